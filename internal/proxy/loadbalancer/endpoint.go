package loadbalancer

import (
	"sync/atomic"
	"time"

	"corkcove/internal/proxy/outlier"
)

// Endpoint is one endpoint as this node knows it. The fields that come from the
// view are immutable; each new view creates new Endpoints, which share the
// endpointState of their predecessors.
type Endpoint struct {
	id          string
	node        string
	inboundAddr string
	addr        string
	zone        string
	slots       int64
	up          bool
	warmingUp   bool
	outlier     bool
	idHash      uint64
	zoneLoad    *zoneLoad
	*endpointState
}

// endpointState is what this node has observed of an endpoint. It outlives a
// view. Times are Unix times in nanoseconds.
type endpointState struct {
	slowness outlier.Slowness
	results  outlier.Counter
	// inFlight is the number of this node's attempts in progress at the endpoint.
	inFlight atomic.Int64
	// load, serviceTime and linkPercent come from the load report received at
	// lastReportAt: the number of requests running and queued, the time that one
	// request takes in nanoseconds, and the utilization of the machine's link.
	load         atomic.Int64
	serviceTime  atomic.Int64
	linkPercent  atomic.Int64
	lastReportAt atomic.Int64
	// ejectedUntil is the time at which an ejection after failures ends.
	ejectedUntil        atomic.Int64
	consecutiveFailures atomic.Int64
	// draining is set once the endpoint or its node has reported that this
	// incarnation accepts no more requests; the view reports it only later.
	draining atomic.Bool
}

// ID returns the ID of the endpoint's incarnation.
func (e *Endpoint) ID() string { return e.id }

// Node returns the name of the node beside the endpoint, or "" if there is none.
func (e *Endpoint) Node() string { return e.node }

// Addr returns the endpoint's own address.
func (e *Endpoint) Addr() string { return e.addr }

// InboundAddr returns the address at which the node beside the endpoint accepts
// requests for it, or "" if there is no such node.
func (e *Endpoint) InboundAddr() string { return e.inboundAddr }

// IsDirect reports whether the endpoint has no sidecar and is dialled directly.
func (e *Endpoint) IsDirect() bool { return e.inboundAddr == "" }

// BeginAttempt counts an attempt as in flight until EndAttempt is called.
func (e *Endpoint) BeginAttempt() { e.inFlight.Add(1) }

// EndAttempt ends an attempt counted by BeginAttempt.
func (e *Endpoint) EndAttempt() { e.inFlight.Add(-1) }

// SetDraining records that this incarnation accepts no more requests.
func (e *Endpoint) SetDraining() { e.draining.Store(true) }

// EjectFor ejects the endpoint for d: it is chosen only if no other endpoint can
// be.
func (e *Endpoint) EjectFor(d time.Duration) {
	e.ejectedUntil.Store(time.Now().Add(d).UnixNano())
}

const (
	// maxBackoffFailures is the number of consecutive failures after which the
	// ejection time no longer grows.
	maxBackoffFailures = 4
	// nodeBackoff is the ejection time per consecutive failure for an endpoint with
	// a sidecar.
	nodeBackoff = 250 * time.Millisecond
	// directBackoff is the first ejection time of an endpoint that is dialled
	// directly. Each further consecutive failure doubles it.
	directBackoff = 400 * time.Millisecond
)

// NodeFailed ejects the endpoint after a failure of the node beside it. The
// ejection time grows linearly with consecutive failures.
func (e *Endpoint) NodeFailed() {
	failures := min(e.consecutiveFailures.Add(1), maxBackoffFailures)
	e.EjectFor(time.Duration(failures) * nodeBackoff)
}

// DirectFailed ejects the endpoint after a failed request that was sent to it
// directly. The ejection time grows exponentially with consecutive failures.
func (e *Endpoint) DirectFailed() {
	failures := min(e.consecutiveFailures.Add(1), maxBackoffFailures)
	e.EjectFor(time.Duration(1<<(failures-1)) * directBackoff)
}

// ClearFailures resets the count of consecutive failures. It does not end an
// ejection.
func (e *Endpoint) ClearFailures() { e.consecutiveFailures.Store(0) }

// RecordResult counts one response for the failure reports.
func (e *Endpoint) RecordResult(success bool, now time.Time) {
	e.results.Record(success, now.UnixNano())
}

// RecordSlowness adds the ratio of one response time to the route's usual
// response time.
func (e *Endpoint) RecordSlowness(ratio float64, now time.Time) {
	e.slowness.Record(ratio, now.UnixNano())
}

// QueueTime returns the estimated time that a new request would wait in the
// endpoint's queue, based on the last load report.
func (e *Endpoint) QueueTime() time.Duration {
	return time.Duration(max(e.load.Load()-e.slots+1, 0) * e.serviceTime.Load() / e.slots)
}

// takesRequests reports whether the endpoint is up in the view and has not
// reported that it is draining.
func (e *Endpoint) takesRequests() bool { return e.up && !e.draining.Load() }

// isAvailable reports whether the endpoint takes requests and is not ejected.
func (e *Endpoint) isAvailable(now int64) bool {
	return e.takesRequests() && e.ejectedUntil.Load() <= now
}
