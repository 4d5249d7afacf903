package proxy

import (
	"slices"
	"time"

	"corkcove/internal/routeconfig"
)

type result int

const (
	answered result = iota
	bounced
	unmet
	turned
	broken
	timeout
	quit
)

// Fate is what became of one dispatch.
type Outcome = result

const (
	Answered    = answered
	Rejected    = bounced
	Unreachable = unmet
	Declined    = turned
	Failed      = broken
	TimedOut    = timeout
	ClientGone  = quit
)

// Move is what a course wants next.
type Action int

const (
	Send Action = iota
	Wait
	GiveUp
)

// shortTries endpoints are asked for a short wait, then the best for a long one.
const (
	shortTries = 2
	mostTries  = 12
	mostUnmet  = 5
)

// Course decides, dispatch by dispatch, what becomes of one request. It knows
// no clock and no wire: live requests and replayed ones go through it alike.
type AttemptPlan struct {
	pools    *Balancer
	budget   *Budget
	route    *routeconfig.CompiledRoute
	to       string
	heavy    bool
	only     string
	again    time.Duration
	arrivals int
	tries    int
	full     int
	missed   int
	mayRun   bool
	wide     bool
	tried    []*remote
	ran      []*remote
	lead     func() string
	key      uint64
}

func NewAttemptPlan(p *Balancer, b *Budget, route *routeconfig.CompiledRoute, to string, heavy bool) AttemptPlan {
	return AttemptPlan{pools: p, budget: b, route: route, to: to, heavy: heavy}
}

func (c *AttemptPlan) most() int { return max(c.route.MaxAttempts, 1) }

// more tells that another arrival is allowed after the one under way.
func (c *AttemptPlan) more() bool { return c.arrivals+1 < c.most() }

func (c *AttemptPlan) short() bool { return c.only == "" && c.full < shortTries }

func (c *AttemptPlan) choose() *remote {
	if c.only != "" {
		return c.pools.find(c.to, c.only)
	}
	if c.lead != nil {
		if r := c.pools.find(c.to, c.lead()); r != nil && !(want{tried: c.tried}).had(r) {
			c.tried = append(c.tried, r)
			return r
		}
	}
	r := c.pools.pick(want{service: c.to, heavy: c.heavy, up: c.heavy && c.route.Kind != routeconfig.KindDownload, pure: c.route.Kind.Idempotent(), aim: c.route.LatencyTarget, tried: c.tried, wide: c.wide, key: c.key})
	if r != nil {
		c.tried = append(c.tried, r)
	}
	return r
}

// next names the endpoint for the next dispatch, which the budget has paid for
// where it is a second arrival.
func (c *AttemptPlan) next() (*remote, Action) {
	if c.tries >= mostTries || c.arrivals >= c.most() {
		return nil, GiveUp
	}
	if c.full == shortTries {
		c.tried = slices.Clone(c.ran)
	}
	c.tries++
	r := c.choose()
	if r == nil {
		if c.full > 0 || c.tries > 1 {
			return nil, GiveUp
		}
		return nil, Wait
	}
	if c.arrivals > 0 && !c.budget.TrySpend(c.to) {
		return nil, GiveUp
	}
	return r, Send
}

// got takes what became of a dispatch that brought no answer. Done tells that
// the request ends with the outcome.
func (c *AttemptPlan) got(r *remote, res result, started bool) (o outcome, done bool) {
	switch res {
	case bounced:
		c.full++
		if e := r.wait(); c.again == 0 || e < c.again {
			c.again = e
		}
		c.unspend()
		if c.full > shortTries || started || c.only != "" {
			return refused, true
		}
		return 0, false
	case unmet:
		c.unspend()
		c.missed++
		return refused, c.missed > mostUnmet || started || c.only != ""
	case turned:
		c.ran = append(c.ran, r)
		c.arrivals++
		c.wide = true
		return refused, started || c.only != ""
	case broken:
		c.ran = append(c.ran, r)
		c.arrivals++
		c.mayRun = true
		return lost, !c.route.Kind.Idempotent() || started
	}
	c.mayRun = true
	return late, true
}

func (c *AttemptPlan) unspend() {
	if c.arrivals > 0 {
		c.budget.refund(c.to)
	}
}

// mayRace tells that a second dispatch may go out while the first is silent.
func (c *AttemptPlan) mayRace() bool {
	return c.route.Kind.Idempotent() && !c.heavy && c.only == "" && c.more()
}

// second names the endpoint for a dispatch beside the one under way.
func (c *AttemptPlan) second() *remote {
	if !c.budget.spare(c.to) {
		return nil
	}
	r := c.choose()
	if r == nil || !c.budget.TrySpend(c.to) {
		return nil
	}
	c.arrivals++
	return r
}

// lost takes what became of the one of two dispatches that ended first.
func (c *AttemptPlan) lost(r *remote, res result) {
	switch res {
	case bounced, unmet:
		c.arrivals--
		c.budget.refund(c.to)
	case broken, timeout:
		c.mayRun = true
		c.ran = append(c.ran, r)
	}
}

// end is the outcome of a request that was given up with o.
func (c *AttemptPlan) end(o outcome, past bool) outcome {
	if c.mayRun && (o == refused || o == expired) {
		o = lost
		if past {
			o = late
		}
	}
	if o == refused && past {
		o = expired
	}
	return o
}

// Answer is the outcome of a request that the system answers itself.
type LocalReply = outcome

const (
	NoRoute    = noRoute
	NoEndpoint = refused
	Forbidden  = barred
)

func (o outcome) Code() int { return outcomes[o].code }

// Promises tells that the answer says the request has not run and never will.
func PromisesNotRun(code int) bool { return code == 503 || code == 429 || code == 408 || code == 421 }

// The steps of a course, for those who play it without a wire.

func (c *AttemptPlan) Next() (Endpoint, Action) { r, m := c.next(); return Endpoint{r}, m }

func (c *AttemptPlan) AttemptFailed(s Endpoint, f Outcome) (LocalReply, bool) {
	return c.got(s.r, f, false)
}

func (c *AttemptPlan) NextHedge() (Endpoint, bool) { r := c.second(); return Endpoint{r}, r != nil }

func (c *AttemptPlan) HedgeFailed(s Endpoint, f Outcome) { c.lost(s.r, f) }

func (c *AttemptPlan) FinalReply(o LocalReply, past bool) LocalReply { return c.end(o, past) }

func (c *AttemptPlan) MayHedge() bool { return c.mayRace() }

func (c *AttemptPlan) MayHaveRun() bool { return c.mayRun }

func (c *AttemptPlan) MayRetry() bool { return c.more() }

func (c *AttemptPlan) ShortWait() bool { return c.short() }

// Key makes a read keep to its key's homes; what can't be repeated goes the
// ordinary way.
func (c *AttemptPlan) SetKey(k uint64) {
	if c.route.Kind.Idempotent() {
		c.key = k
	}
}

// After counts the arrivals of an earlier course of the same request.
func (c *AttemptPlan) ContinueFrom(was AttemptPlan) { c.arrivals = was.arrivals }

// Only keeps the course to one endpoint.
func (c *AttemptPlan) PinTo(id string) { c.only = id }

// Lead names endpoints to take before the choice by load, while they may be.
func (c *AttemptPlan) PreferFirst(f func() string) { c.lead = f }
