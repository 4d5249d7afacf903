package retry

import (
	"slices"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
)

// Action is what a plan wants next.
type Action int

const (
	// Send asks for an attempt at the endpoint that comes with it.
	Send Action = iota
	// Wait asks for a pause, because no endpoint can be chosen yet.
	Wait
	// GiveUp ends the request.
	GiveUp
)

const (
	// shortWaits is how many endpoints are asked for a short wait in the queue
	// before the best is asked for a long one.
	shortWaits = 2
	// maxAttempts bounds the attempts of a request, those included that reached
	// no endpoint.
	maxAttempts = 12
	// maxUnreachable bounds the endpoints that may be found unreachable.
	maxUnreachable = 5
)

// Plan decides, attempt by attempt, what becomes of one request.
type Plan struct {
	balancer *loadbalancer.Balancer
	budget   *Budget
	route    *routeconfig.CompiledRoute
	service  string
	bulk     bool
	// pinnedTo is the only endpoint that the request may go to; empty if it may
	// go to any.
	pinnedTo string
	// preferFirst names an endpoint to take before the choice by load.
	preferFirst func() string
	key         uint64

	// attempts counts all attempts, arrivals those that reached an endpoint.
	attempts    int
	arrivals    int
	rejected    int
	unreachable int
	queueTime   time.Duration
	mayHaveRun  bool
	anyZone     bool
	tried       []*loadbalancer.Endpoint
	arrivedAt   []*loadbalancer.Endpoint
}

// NewPlan returns the plan of a request for a service on the route.
func NewPlan(balancer *loadbalancer.Balancer, budget *Budget, route *routeconfig.CompiledRoute, service string, bulk bool) Plan {
	return Plan{balancer: balancer, budget: budget, route: route, service: service, bulk: bulk}
}

// SetKey makes an idempotent request keep to the endpoints of the key that it
// reads; 0 is no key. Others go the ordinary way.
func (p *Plan) SetKey(key uint64) {
	if p.route.Kind.Idempotent() {
		p.key = key
	}
}

// PinTo keeps the request to one endpoint, unless id is empty.
func (p *Plan) PinTo(id string) { p.pinnedTo = id }

// PreferFirst takes the endpoint that next names before the choice by load, as
// long as it takes requests and was not tried.
func (p *Plan) PreferFirst(next func() string) { p.preferFirst = next }

// ContinueFrom counts the arrivals of an earlier plan of the same request.
func (p *Plan) ContinueFrom(earlier Plan) { p.arrivals = earlier.arrivals }

// MayHaveRun tells that an endpoint may have run the request.
func (p *Plan) MayHaveRun() bool { return p.mayHaveRun }

// QueueTime returns the shortest time that the request would have waited in the
// queue of an endpoint that rejected it, or 0.
func (p *Plan) QueueTime() time.Duration { return p.queueTime }

func (p *Plan) maxArrivals() int { return max(p.route.MaxAttempts, 1) }

// MayRetry tells that another endpoint may be reached after the attempt under
// way.
func (p *Plan) MayRetry() bool { return p.arrivals+1 < p.maxArrivals() }

// ShortWait tells that the next endpoint should be asked for a short wait in its
// queue only, since others may have room.
func (p *Plan) ShortWait() bool { return p.pinnedTo == "" && p.rejected < shortWaits }

// Next returns the endpoint for the next attempt, which the budget has paid for
// where it is not the first to arrive.
func (p *Plan) Next() (*loadbalancer.Endpoint, Action) {
	if p.attempts >= maxAttempts || p.arrivals >= p.maxArrivals() {
		return nil, GiveUp
	}
	if p.rejected == shortWaits {
		// Now the endpoints without room are asked for a long wait.
		p.tried = slices.Clone(p.arrivedAt)
	}
	p.attempts++
	endpoint := p.choose()
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

func (p *Plan) choose() *loadbalancer.Endpoint {
	if p.pinnedTo != "" {
		return p.balancer.Find(p.service, p.pinnedTo)
	}
	endpoint := p.preferred()
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

func (p *Plan) preferred() *loadbalancer.Endpoint {
	if p.preferFirst == nil {
		return nil
	}
	endpoint := p.balancer.Find(p.service, p.preferFirst())
	if endpoint == nil || hasID(p.tried, endpoint.ID()) {
		return nil
	}
	return endpoint
}

func hasID(endpoints []*loadbalancer.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(e *loadbalancer.Endpoint) bool { return e.ID() == id })
}

// AttemptFailed takes in how an attempt without an answer ended; bodyStarted
// tells that a part of the request's body was sent that can't be sent again. It
// returns the reply with which the request ends, or false if it goes on.
func (p *Plan) AttemptFailed(endpoint *loadbalancer.Endpoint, outcome Outcome, bodyStarted bool) (reply localreply.Reply, ends bool) {
	stuck := bodyStarted || p.pinnedTo != ""
	switch outcome {
	case Rejected:
		p.rejected++
		p.recordQueueTime(endpoint.QueueTime())
		p.refund()
		if p.rejected > shortWaits || stuck {
			return localreply.NoEndpoint, true
		}
		return 0, false
	case Unreachable:
		p.refund()
		p.unreachable++
		return localreply.NoEndpoint, p.unreachable > maxUnreachable || stuck
	case Declined:
		p.arrive(endpoint)
		p.anyZone = true
		return localreply.NoEndpoint, stuck
	case Failed:
		p.arrive(endpoint)
		p.mayHaveRun = true
		return localreply.Broken, !p.route.Kind.Idempotent() || bodyStarted
	}
	p.mayHaveRun = true
	return localreply.TimedOut, true
}

func (p *Plan) arrive(endpoint *loadbalancer.Endpoint) {
	p.arrivedAt = append(p.arrivedAt, endpoint)
	p.arrivals++
}

func (p *Plan) recordQueueTime(d time.Duration) {
	if p.queueTime == 0 || d < p.queueTime {
		p.queueTime = d
	}
}

// refund gives back what an attempt cost that did not arrive.
func (p *Plan) refund() {
	if p.arrivals > 0 {
		p.budget.refund(p.service)
	}
}

// MayHedge tells that a second attempt may go out while the first is silent.
func (p *Plan) MayHedge() bool {
	return p.route.Kind.Idempotent() && !p.bulk && p.pinnedTo == "" && p.MayRetry()
}

// NextHedge returns the endpoint for an attempt beside the one under way, or
// false if there is none or the budget does not pay for it.
func (p *Plan) NextHedge() (*loadbalancer.Endpoint, bool) {
	if !p.budget.canSpendOnHedge(p.service) {
		return nil, false
	}
	endpoint := p.choose()
	if endpoint == nil || !p.budget.Spend(p.service) {
		return nil, false
	}
	p.arrivals++
	return endpoint, true
}

// HedgeFailed takes in how that of two attempts ended without an answer that
// ended first.
func (p *Plan) HedgeFailed(endpoint *loadbalancer.Endpoint, outcome Outcome) {
	switch outcome {
	case Rejected, Unreachable:
		p.arrivals--
		p.budget.refund(p.service)
	case Failed, TimedOut:
		p.mayHaveRun = true
		p.arrivedAt = append(p.arrivedAt, endpoint)
	}
}

// FinalReply returns what a request is answered that ends with reply: nothing is
// promised of one that may have run. Expired tells that its time is over.
func (p *Plan) FinalReply(reply localreply.Reply, expired bool) localreply.Reply {
	switch {
	case p.mayHaveRun && (reply == localreply.NoEndpoint || reply == localreply.Expired):
		if expired {
			return localreply.TimedOut
		}
		return localreply.Broken
	case reply == localreply.NoEndpoint && expired:
		return localreply.Expired
	}
	return reply
}
