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
	// sessionMoveDelay is how long an endpoint must have been unavailable before its
	// sessions move.
	sessionMoveDelay = 300 * time.Millisecond
	// sessionRefreshInterval is the interval at which the pin of a session in use is refreshed.
	sessionRefreshInterval = time.Minute
	// sessionIdleTimeout is how long a session is reported after its last use.
	sessionIdleTimeout = 10 * time.Minute
	// testDurationLimit is longer than any test runs: no heartbeat is due and no record
	// expires in it.
	testDurationLimit = time.Hour
	// initialUptime is what nodes count as up before the test, so that their retry
	// budgets are fully grown.
	initialUptime = time.Hour
)

// Addresses in Mesh.Network: those of an endpoint and of the inbound and outbound
// listeners of its node, by the ID of the endpoint.
func appAddress(id string) string      { return "app-" + id }
func inboundAddress(id string) string  { return "in-" + id }
func outboundAddress(id string) string { return "out-" + id }

// Node is a sidecar with an outbound proxy, and an inbound proxy in front of its
// endpoint.
type Node struct {
	// Name is "node-" followed by the ID of the endpoint.
	Name string
	// Balancer chooses the endpoints of outbound requests.
	Balancer *loadbalancer.Balancer
	// Sessions caches the pins of sessions.
	Sessions *affinity.Sessions
	// Records has the records of outbound requests, and the views and configurations
	// that they refer to.
	Records *requestlog.Recorder
	// Routes is the configuration in force; nil before the first one.
	Routes atomic.Pointer[routeconfig.Table]
	// Endpoint is the endpoint that the inbound proxy sends requests to.
	Endpoint *Endpoint
	// Agent admits inbound requests to the endpoint.
	Agent *endpointagent.Agent
	// KeyMeter measures how often keys are read through this node.
	KeyMeter *hotkeys.Meter
}

// newNode returns a node for an endpoint after starting the listeners of both.
func (m *Mesh) newNode(e *Endpoint) *Node {
	n := &Node{
		Name:     "node-" + e.ID,
		Endpoint: e,
		Agent:    newAgent(e),
		Balancer: loadbalancer.New(e.Zone, remoteWeight, bulkWeight).SlowStart(slowStart),
		KeyMeter: hotkeys.NewMeter(time.Now),
		Records:  requestlog.New(maxRecords, testDurationLimit, time.Now),
	}
	n.Sessions = affinity.New(affinity.Options{
		Pin:             m.PinSession,
		Now:             time.Now,
		ConfigVersion:   n.configVersion,
		MoveDelay:       sessionMoveDelay,
		RefreshInterval: sessionRefreshInterval,
		IdleTimeout:     sessionIdleTimeout,
		MaxSessions:     maxSessions,
	})
	go e.serve(m.Network.Listen(appAddress(e.ID)))
	serveHTTP(m.Network.Listen(inboundAddress(e.ID)), m.newInbound(n))
	serveHTTP(m.Network.Listen(outboundAddress(e.ID)), m.newOutbound(n))
	return n
}

// newAgent returns an agent to which the endpoint has sent its first heartbeat.
func newAgent(e *Endpoint) *endpointagent.Agent {
	a := endpointagent.New(endpointagent.Options{
		Service:           e.Service,
		HeartbeatInterval: testDurationLimit,
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
	uptime := func() time.Duration { return m.elapsed() + initialUptime }
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

// serveHTTP serves HTTP in a new goroutine until the listener is closed.
func serveHTTP(l net.Listener, handler http.Handler) {
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
}

// configVersion returns the version of the configuration in force, or 0 if there is
// none.
func (n *Node) configVersion() uint64 {
	if routes := n.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}
