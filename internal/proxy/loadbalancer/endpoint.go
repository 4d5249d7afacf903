package loadbalancer

import (
	"sync/atomic"
	"time"

	"corkcove/internal/proxy/outlier"
)

// Endpoint is what this node knows of one endpoint. What the view says of it
// never changes; a new view makes new Endpoints that share the state.
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
	hash        uint64
	zoneLoad    *zoneLoad
	*endpointState
}

// endpointState is what this node has learnt of an endpoint; it outlives a view.
// Times are Unix times in nanoseconds.
type endpointState struct {
	slowness outlier.Slowness
	results  outlier.Counter
	// inFlight is this node's attempts under way at the endpoint.
	inFlight atomic.Int64
	// load, serviceTime and linkPercent are from the load report of lastReport: requests
	// running and queued, the time that one takes, and how full the link is.
	load        atomic.Int64
	serviceTime atomic.Int64
	linkPercent atomic.Int64
	lastReport  atomic.Int64
	// ejectedUntil is when the endpoint may be chosen again after failures.
	ejectedUntil        atomic.Int64
	consecutiveFailures atomic.Int64
	// draining is set once the endpoint or its node said that this incarnation takes
	// no more requests, which the view will say later.
	draining atomic.Bool
}

// ID returns the id of the endpoint's incarnation.
func (e *Endpoint) ID() string { return e.id }

// Node returns the name of the node beside the endpoint; empty if there is none.
func (e *Endpoint) Node() string { return e.node }

// Addr returns the endpoint's own address.
func (e *Endpoint) Addr() string { return e.addr }

// InboundAddr returns the address of the node beside the endpoint; empty if
// there is none.
func (e *Endpoint) InboundAddr() string { return e.inboundAddr }

// IsDirect tells that the endpoint has no sidecar and is dialled directly.
func (e *Endpoint) IsDirect() bool { return e.inboundAddr == "" }

// BeginAttempt counts an attempt at the endpoint until EndAttempt.
func (e *Endpoint) BeginAttempt() { e.inFlight.Add(1) }

// EndAttempt ends what BeginAttempt began.
func (e *Endpoint) EndAttempt() { e.inFlight.Add(-1) }

// SetDraining records that this incarnation takes no more requests.
func (e *Endpoint) SetDraining() { e.draining.Store(true) }

// EjectFor keeps the endpoint from being chosen for a while, unless there is no
// other.
func (e *Endpoint) EjectFor(d time.Duration) {
	e.ejectedUntil.Store(time.Now().Add(d).UnixNano())
}

const (
	// maxBackoffFailures bounds how many failures in a row lengthen an ejection.
	maxBackoffFailures = 4
	// nodeBackoff is how much each failure in a row lengthens the ejection of an
	// endpoint with a sidecar.
	nodeBackoff = 250 * time.Millisecond
	// directBackoff is the first ejection of an endpoint that is dialled directly;
	// each failure in a row doubles it.
	directBackoff = 400 * time.Millisecond
)

// NodeFailed ejects the endpoint because the node beside it failed.
func (e *Endpoint) NodeFailed() {
	failures := min(e.consecutiveFailures.Add(1), maxBackoffFailures)
	e.EjectFor(time.Duration(failures) * nodeBackoff)
}

// DirectFailed ejects the endpoint because it failed when dialled directly.
func (e *Endpoint) DirectFailed() {
	failures := min(e.consecutiveFailures.Add(1), maxBackoffFailures)
	e.EjectFor(time.Duration(1<<(failures-1)) * directBackoff)
}

// ClearFailures ends a row of failures.
func (e *Endpoint) ClearFailures() { e.consecutiveFailures.Store(0) }

// RecordResult counts one response for the outlier reports.
func (e *Endpoint) RecordResult(success bool, now time.Time) {
	e.results.Record(success, now.UnixNano())
}

// RecordSlowness adds how many times longer than usual one response took.
func (e *Endpoint) RecordSlowness(ratio float64, now time.Time) {
	e.slowness.Record(ratio, now.UnixNano())
}

// QueueTime returns how long a request that comes now would stand in the
// endpoint's queue.
func (e *Endpoint) QueueTime() time.Duration {
	return time.Duration(max(e.load.Load()-e.slots+1, 0) * e.serviceTime.Load() / e.slots)
}

// takesRequests tells that neither the view nor the endpoint says otherwise.
func (e *Endpoint) takesRequests() bool { return e.up && !e.draining.Load() }

// isAvailable tells that the endpoint takes requests and is not ejected.
func (e *Endpoint) isAvailable(now int64) bool {
	return e.takesRequests() && e.ejectedUntil.Load() <= now
}
