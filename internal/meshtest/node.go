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

// Settings of each node's retry budget, as in retry.NewBudget: the ratio of retries
// to requests, the number of attempts in addition to this, and the window.
const (
	RetryRatio  = 0.2
	RetrySlack  = 400
	RetryWindow = 10 * time.Second
)

// Other settings of each node, which are passed to the constructors of its parts.
const (
	remoteWeight           = 2.2
	bulkWeight             = 5
	slowStart              = time.Second
	queuePerSlot           = 1.5
	missedHeartbeats       = 3
	bufferBytes            = 64 << 10
	maxRecords             = 1 << 16
	maxSessions            = 1 << 16
	sessionMoveDelay       = 300 * time.Millisecond
	sessionRefreshInterval = time.Minute
	sessionIdleTimeout     = 10 * time.Minute
	// testDurationLimit exceeds the virtual duration of every test, so that no
	// heartbeat becomes due and no record expires.
	testDurationLimit = time.Hour
	// initialUptime is added to the uptime of each node, so that its retry budget has
	// its full size from the start.
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
