package meshtest

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/endpointagent"
	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/requestlog"
	"corkcove/internal/routeconfig"
)

// Settings of the retry budget of each node: over any RetryWindow, the retries of all
// nodes are limited to RetryRatio times their requests plus RetrySlack attempts.
const (
	RetryRatio  = 0.2
	RetrySlack  = 400
	RetryWindow = 10 * time.Second
)

// Settings of each node's load balancer, endpoint agent, proxies, request log and
// session cache.
const (
	// remoteWeight and bulkWeight multiply the scores of endpoints in other zones:
	// bulkWeight for bulk requests, remoteWeight for all others.
	remoteWeight = 2.2
	bulkWeight   = 5
	// slowStart is the time over which an endpoint that is added to a hot key reaches
	// its full share of the key's reads.
	slowStart = time.Second
	// queuePerSlot is the number of requests that may be queued per slot.
	queuePerSlot = 1.5
	// missedHeartbeats is the number of heartbeat intervals without contact after which
	// an endpoint is unhealthy.
	missedHeartbeats = 3
	// bufferBytes is the BufferLimit of the inbound and outbound proxies.
	bufferBytes = 64 << 10
	// maxRecords is the number of request records that a node keeps.
	maxRecords = 1 << 16
	// maxSessions is the number of session pins that a node caches.
	maxSessions = 1 << 16
	// sessionSettleTime is how long an endpoint must have been unavailable before its
	// sessions move.
	sessionSettleTime = 300 * time.Millisecond
	// sessionRefresh is the interval at which the pin of a session in use is refreshed.
	sessionRefresh = time.Minute
	// sessionIdle is how long a session is reported after its last use.
	sessionIdle = 10 * time.Minute
	// longTest is longer than any test runs: no heartbeat is due and no record
	// expires in it.
	longTest = time.Hour
	// budgetUptime is what nodes count as up before the test, so that their retry
	// budgets are fully grown.
	budgetUptime = time.Hour
)

// Addresses in the mesh's network, by endpoint ID.
func appAddress(id string) string      { return "app-" + id }
func inboundAddress(id string) string  { return "in-" + id }
func outboundAddress(id string) string { return "out-" + id }

// Node is a sidecar: an outbound proxy and, beside an endpoint, an inbound one.
type Node struct {
	Name     string
	Balancer *loadbalancer.Balancer
	Sessions *affinity.Sessions
	Records  *requestlog.Recorder
	Routes   atomic.Pointer[routeconfig.Table]
	Endpoint *Endpoint
	Agent    *endpointagent.Agent
	KeyMeter *hotkeys.Meter
}

// newNode makes a node beside the endpoint and starts both.
func (m *Mesh) newNode(e *Endpoint) *Node {
	n := &Node{
		Name:     "node-" + e.ID,
		Endpoint: e,
		Agent:    newAgent(e),
		Balancer: loadbalancer.New(e.Zone, remoteWeight, bulkWeight).SlowStart(slowStart),
		KeyMeter: hotkeys.NewMeter(time.Now),
		Records:  requestlog.New(maxRecords, longTest, time.Now),
	}
	n.Sessions = affinity.New(affinity.Options{
		Pin:             m.PinSession,
		Now:             time.Now,
		ConfigVersion:   n.configVersion,
		MoveDelay:       sessionSettleTime,
		RefreshInterval: sessionRefresh,
		IdleTimeout:     sessionIdle,
		MaxSessions:     maxSessions,
	})
	go e.serve(m.Network.Listen(appAddress(e.ID)))
	serveHTTP(m.Network.Listen(inboundAddress(e.ID)), m.newInbound(n))
	serveHTTP(m.Network.Listen(outboundAddress(e.ID)), m.newOutbound(n))
	return n
}

func newAgent(e *Endpoint) *endpointagent.Agent {
	a := endpointagent.New(endpointagent.Options{
		Service:           e.Service,
		HeartbeatInterval: longTest,
		MissedHeartbeats:  missedHeartbeats,
		QueuePerSlot:      queuePerSlot,
		OnChange:          func(endpointagent.Status) {},
	})
	a.RecordHeartbeat(endpointagent.Heartbeat{ID: e.ID, Slots: e.Slots, State: lifecycle.Ready, Seq: 1})
	return a
}

func (m *Mesh) newInbound(n *Node) http.Handler {
	return proxy.NewInbound(proxy.InboundOptions{
		AppAddr:     appAddress(n.Endpoint.ID),
		Agent:       n.Agent,
		AppClient:   proxy.NewAppClient(m.Network.Transport(), m.Network.Transport()),
		BufferLimit: bufferBytes,
	})
}

func (m *Mesh) newOutbound(n *Node) http.Handler {
	uptime := func() time.Duration { return m.elapsed() + budgetUptime }
	return proxy.NewOutbound(proxy.OutboundOptions{
		Service:     n.Endpoint.Service,
		Balancer:    n.Balancer,
		Routes:      &n.Routes,
		Transport:   m.Network.Transport(),
		RetryBudget: retry.NewBudget(RetryRatio, RetrySlack, RetryWindow, n.Balancer.NodeCount, uptime),
		Sessions:    n.Sessions,
		RequestLog:  n.Records,
		KeyMeter:    n.KeyMeter,
		Ready:       func() bool { return true },
		BufferLimit: bufferBytes,
	})
}

// serveHTTP serves in a goroutine of its own until the listener ends.
func serveHTTP(l net.Listener, handler http.Handler) {
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
}

func (n *Node) configVersion() uint64 {
	if routes := n.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}
