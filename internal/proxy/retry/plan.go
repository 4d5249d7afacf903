package retry

import (
	"slices"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
)

// Action is the next step of a request, as decided by Plan.Next.
type Action int

const (
	// Send means that the request is to be sent to the returned endpoint.
	Send Action = iota
	// Wait means that no endpoint is available yet and the caller is to try again
	// after a pause.
	Wait
	// GiveUp means that no further attempt is allowed.
	GiveUp
)

const (
	// shortWaitAttempts is the number of rejected attempts with a short queue wait
	// before one attempt with a long queue wait is made at the best endpoint.
	shortWaitAttempts = 2
	// maxTotalAttempts limits the attempts of a request, including those that
	// reached no endpoint.
	maxTotalAttempts = 12
	// maxUnreachable is the number of unreachable endpoints that a request
	// tolerates; one more ends it.
	maxUnreachable = 5
)

// Plan decides after each attempt of one request whether, where and when the next
// is made. It is not safe for concurrent use.
type Plan struct {
	balancer *loadbalancer.Balancer
	budget   *Budget
	route    *routeconfig.CompiledRoute
	service  string
	bulk     bool
	// pinnedTo is the ID of the only endpoint that the request may be sent to,
	// empty if any will do.
	pinnedTo string
	// nextPreferred returns the ID of an endpoint that takes precedence over load
	// balancing; it is nil unless SetPreferred was called.
	nextPreferred func() string
	// key is the hash of the key that the request reads, 0 if there is none.
	key uint64

	// attempts counts all attempts but hedged ones, including those for which no
	// endpoint was available.
	attempts int
	// arrivals counts the attempts that reached an endpoint; a hedged attempt
	// counts from its start.
	arrivals    int
	rejected    int
	unreachable int
	queueTime   time.Duration
	mayHaveRun  bool
	// anyZone means that attempts need not stay in the local zone. It is set once
	// an endpoint has declined the request.
	anyZone bool
	// tried are the endpoints that are not picked again.
	tried []*loadbalancer.Endpoint
	// reached are the endpoints that attempts have reached.
	reached []*loadbalancer.Endpoint
}

// NewPlan returns the plan for a request to the service on the route. bulk means
// that the request or its response has a large body.
func NewPlan(balancer *loadbalancer.Balancer, budget *Budget, route *routeconfig.CompiledRoute, service string, bulk bool) Plan {
	return Plan{balancer: balancer, budget: budget, route: route, service: service, bulk: bulk}
}

// SetKey sends an idempotent request to the endpoints of the key that it reads,
// given by its hash; 0 means no key. The key of any other request is ignored, and
// it is balanced by load.
func (p *Plan) SetKey(key uint64) {
	if p.route.Kind.Idempotent() {
		p.key = key
	}
}

// PinTo restricts the request to the endpoint with the ID, unless id is empty.
func (p *Plan) PinTo(id string) { p.pinnedTo = id }

// SetPreferred gives the endpoint whose ID next returns precedence over load
// balancing, provided that it accepts requests and has not been tried.
func (p *Plan) SetPreferred(next func() string) { p.nextPreferred = next }

// ContinueFrom makes the arrivals of an earlier plan for the same request count
// towards the limit of this one.
func (p *Plan) ContinueFrom(earlier Plan) { p.arrivals = earlier.arrivals }

// MayHaveRun reports whether an endpoint may have run the request.
func (p *Plan) MayHaveRun() bool { return p.mayHaveRun }

// QueueTime returns the shortest estimated queue time among the endpoints that
// rejected the request, or 0 if there is none.
func (p *Plan) QueueTime() time.Duration { return p.queueTime }

// maxArrivals returns how many endpoints the request may reach.
func (p *Plan) maxArrivals() int { return max(p.route.MaxAttempts, 1) }

// MayRetry reports whether the route allows the request to reach another endpoint
// after the attempt in progress. The budget is not considered.
func (p *Plan) MayRetry() bool { return p.arrivals+1 < p.maxArrivals() }

// ShortWait reports whether the next attempt should wait only briefly in the
// endpoint's queue, because other endpoints may have free slots.
func (p *Plan) ShortWait() bool { return p.pinnedTo == "" && p.rejected < shortWaitAttempts }

// Next returns the next action and, for Send, the endpoint. It charges the budget
// if an earlier attempt has reached an endpoint.
func (p *Plan) Next() (*loadbalancer.Endpoint, Action) {
	if p.attempts >= maxTotalAttempts || p.arrivals >= p.maxArrivals() {
		return nil, GiveUp
	}
	if p.rejected == shortWaitAttempts {
		// The endpoints that rejected a short wait become eligible for a long one.
		p.tried = slices.Clone(p.reached)
	}
	p.attempts++
	endpoint := p.pickEndpoint()
	if endpoint == nil {
		if p.rejected > 0 || p.attempts > 1 {
			return nil, GiveUp
		}
		return nil, Wait
	}
	if p.arrivals > 0 && !p.budget.Spend(p.service) {
		return nil, GiveUp
	}
	return endpoint, Send
}

// pickEndpoint returns the endpoint for an attempt, or nil if none is available.
func (p *Plan) pickEndpoint() *loadbalancer.Endpoint {
	if p.pinnedTo != "" {
		return p.balancer.Find(p.service, p.pinnedTo)
	}
	endpoint := p.preferredEndpoint()
	if endpoint == nil {
		endpoint = p.balancer.Pick(loadbalancer.Criteria{
			Service:       p.service,
			Bulk:          p.bulk,
			Upload:        p.bulk && p.route.Kind != routeconfig.KindDownload,
			Idempotent:    p.route.Kind.Idempotent(),
			LatencyTarget: p.route.LatencyTarget,
			Tried:         p.tried,
			AnyZone:       p.anyZone,
			Key:           p.key,
		})
	}
	if endpoint != nil {
		p.tried = append(p.tried, endpoint)
	}
	return endpoint
}

// preferredEndpoint returns the endpoint set by SetPreferred, or nil if there is
// none, it accepts no requests or it has been tried.
func (p *Plan) preferredEndpoint() *loadbalancer.Endpoint {
	if p.nextPreferred == nil {
		return nil
	}
	endpoint := p.balancer.Find(p.service, p.nextPreferred())
	if endpoint == nil || containsID(p.tried, endpoint.ID()) {
		return nil
	}
	return endpoint
}

func containsID(endpoints []*loadbalancer.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(e *loadbalancer.Endpoint) bool { return e.ID() == id })
}

// AttemptFailed records an attempt that ended without a response from its
// endpoint. bodyStarted means that part of the request body has been sent and
// cannot be sent again. If done is true, the request ends with the reply;
// otherwise Next decides on another attempt.
func (p *Plan) AttemptFailed(endpoint *loadbalancer.Endpoint, outcome Outcome, bodyStarted bool) (reply localreply.Reply, done bool) {
	cannotSwitch := bodyStarted || p.pinnedTo != ""
	switch outcome {
	case Rejected:
		p.rejected++
		p.recordQueueTime(endpoint.QueueTime())
		p.refund()
		if p.rejected > shortWaitAttempts || cannotSwitch {
			return localreply.NoEndpoint, true
		}
		return 0, false
	case Unreachable:
		p.refund()
		p.unreachable++
		return localreply.NoEndpoint, p.unreachable > maxUnreachable || cannotSwitch
	case Declined:
		p.recordArrival(endpoint)
		p.anyZone = true
		return localreply.NoEndpoint, cannotSwitch
	case Failed:
		p.recordArrival(endpoint)
		p.mayHaveRun = true
		return localreply.InvalidResponse, !p.route.Kind.Idempotent() || bodyStarted
	}
	p.mayHaveRun = true
	return localreply.TimedOut, true
}

// recordArrival counts an attempt that reached the endpoint.
func (p *Plan) recordArrival(endpoint *loadbalancer.Endpoint) {
	p.reached = append(p.reached, endpoint)
	p.arrivals++
}

// recordQueueTime keeps the shortest queue time.
func (p *Plan) recordQueueTime(d time.Duration) {
	if p.queueTime == 0 || d < p.queueTime {
		p.queueTime = d
	}
}

// refund reverses the charge for an attempt that did not reach its endpoint. The
// attempts before the first arrival are not charged.
func (p *Plan) refund() {
	if p.arrivals > 0 {
		p.budget.refund(p.service)
	}
}

// MayHedge reports whether a hedged attempt may be sent while the first has no
// response. The budget is not considered.
func (p *Plan) MayHedge() bool {
	return p.route.Kind.Idempotent() && !p.bulk && p.pinnedTo == "" && p.MayRetry()
}

// NextHedge returns the endpoint for a hedged attempt and charges the budget. It
// returns false if no endpoint is available or the budget does not allow it.
func (p *Plan) NextHedge() (*loadbalancer.Endpoint, bool) {
	if !p.budget.canSpendOnHedge(p.service) {
		return nil, false
	}
	endpoint := p.pickEndpoint()
	if endpoint == nil || !p.budget.Spend(p.service) {
		return nil, false
	}
	p.arrivals++
	return endpoint, true
}

// HedgeFailed records the first of two concurrent attempts to end, if it ended
// without a response. The other one is passed to AttemptFailed if it fails too.
func (p *Plan) HedgeFailed(endpoint *loadbalancer.Endpoint, outcome Outcome) {
	switch outcome {
	case Rejected, Unreachable:
		p.arrivals--
		p.budget.refund(p.service)
	case Failed, TimedOut:
		p.mayHaveRun = true
		p.reached = append(p.reached, endpoint)
	}
}

// FinalReply returns the reply to send to the client of a request that ends with
// the given reply. If the request may have run, a reply that says it has not is
// replaced. expired means that the request's deadline has passed.
func (p *Plan) FinalReply(reply localreply.Reply, expired bool) localreply.Reply {
	switch {
	case p.mayHaveRun && (reply == localreply.NoEndpoint || reply == localreply.Expired):
		if expired {
			return localreply.TimedOut
		}
		return localreply.InvalidResponse
	case reply == localreply.NoEndpoint && expired:
		return localreply.Expired
	}
	return reply
}
