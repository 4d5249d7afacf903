package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/hotkeys"
	"corkcove/internal/logring"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/requestlog"
	"corkcove/internal/routeconfig"
)

// OutboundOptions configure an Outbound chain.
type OutboundOptions struct {
	// Service is the calling service, which the endpoint and policies see as the
	// caller; empty at a gateway.
	Service string
	// Balancer chooses the endpoints.
	Balancer *loadbalancer.Balancer
	// Routes has the compiled configuration in force; nil until there is one.
	Routes *atomic.Pointer[routeconfig.Table]
	// Transport reaches the nodes beside endpoints.
	Transport http.RoundTripper
	// AppClient reaches endpoints that have no sidecar.
	AppClient *AppClient
	// RetryBudget pays for retries and hedged attempts.
	RetryBudget *retry.Budget
	// Pacer shares the machine's link; nil where its rate is not known.
	Pacer *Pacer
	// Sessions knows which endpoint a session is pinned to; nil where sessions
	// are not pinned.
	Sessions *affinity.Sessions
	// RequestLog keeps a record of each request; nil keeps none.
	RequestLog *requestlog.Recorder
	// KeyMeter counts the keys that are read; nil counts none.
	KeyMeter *hotkeys.Meter
	// Ready tells that the node has all that it needs to serve requests.
	Ready func() bool
	// Log takes the log entries of the chain.
	Log logring.Logger
	// BufferLimit is the most that is kept of a request's or response's body, in
	// bytes. A request with a longer body can't be sent again once it was begun.
	BufferLimit int
	// DeadlineMargin is how much sooner than the client's own deadline an endpoint
	// has to answer, so that the answer is there in time.
	DeadlineMargin time.Duration
}

// Outbound is the chain from a client to endpoints. It is safe for concurrent
// use.
type Outbound struct {
	options OutboundOptions
	// InFlight counts the requests under way.
	InFlight atomic.Int64
	// LocalReplies counts the responses that this node wrote itself.
	LocalReplies [localreply.Count]atomic.Int64
	// Flows counts the answered attempts by route and endpoint.
	Flows *FlowMeter

	draining atomic.Bool
	stopped  atomic.Bool
	// lastEnd is when accepted requests must have ended; nil outside a shutdown.
	lastEnd         atomic.Pointer[time.Time]
	pending         pendingRequests
	routeStats      routeStats
	responseTimes   responseTimes
	earlierServices earlierServices
}

// NewOutbound returns an outbound chain.
func NewOutbound(options OutboundOptions) *Outbound {
	return &Outbound{options: options, Flows: NewFlowMeter(time.Now)}
}

// Drain asks clients to go elsewhere with their next request. Idle connections
// stay open, since closing one could cut a request that is under way on it.
func (o *Outbound) Drain() { o.draining.Store(true) }

// StopAccepting refuses what comes from now on: it would not be answered before
// this process ends.
func (o *Outbound) StopAccepting() { o.stopped.Store(true) }

// AcceptUntil refuses from now on all requests but those that will have ended
// by then.
func (o *Outbound) AcceptUntil(then time.Time) { o.lastEnd.Store(&then) }

// tailMargin is how many times a route's slow tail must fit into the time left.
const tailMargin = 2

// endsInTime tells whether a request with that deadline will have ended before
// this process does: by its deadline, or by what is known of its route.
func (o *Outbound) endsInTime(route string, deadline time.Time) bool {
	lastEnd := o.lastEnd.Load()
	if lastEnd == nil || deadline.Before(*lastEnd) {
		return true
	}
	now := time.Now()
	tail, known := o.responseTimes.tail(route)
	tail = max(tail, o.pending.oldest(route, now))
	return known && now.Add(tailMargin*tail).Before(*lastEnd)
}

// outboundFilters are the steps of a request, in order. Each tells whether the
// request has ended with it.
var outboundFilters = [...]func(*outboundRequest) (done bool){
	(*outboundRequest).checkReady,
	(*outboundRequest).matchRoute,
	(*outboundRequest).applyPolicy,
	(*outboundRequest).setDeadline,
	(*outboundRequest).readBody,
	(*outboundRequest).pinSession,
	(*outboundRequest).sendToEndpoints,
}

// ServeHTTP carries one request. It panics with http.ErrAbortHandler where the
// client's connection must break off.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.InFlight.Add(1)
	defer o.InFlight.Add(-1)
	o.announceConnection(w.Header())
	request := &outboundRequest{outbound: o, writer: w, request: r, started: time.Now()}
	request.record = o.newRecord(request)
	defer request.close()
	for _, filter := range outboundFilters {
		if filter(request) {
			return
		}
	}
}

const (
	// keepAliveMargin is how much sooner than this node closes an idle connection
	// the client is asked to stop using it.
	keepAliveMargin = 2 * time.Second
	// minAnnouncedIdle is the idle timeout up to which nothing is announced.
	minAnnouncedIdle = 2 * keepAliveMargin
)

// announceConnection tells the client how long its connection may be used.
func (o *Outbound) announceConnection(h http.Header) {
	if o.draining.Load() {
		h.Set("Connection", "close")
		return
	}
	routes := o.options.Routes.Load()
	if routes == nil || routes.Limits.IdleTimeout <= minAnnouncedIdle {
		return
	}
	seconds := int(routes.Limits.IdleTimeout/time.Second) - int(keepAliveMargin/time.Second)
	h["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(seconds)}
}
