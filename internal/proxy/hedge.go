package proxy

import (
	"context"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
)

// tryEndpoint makes an attempt. A request that may run twice gets a hedged
// attempt beside it, paid by the budget, once the first has been silent for much
// longer than usual; the first good answer counts, and the other is let end by
// itself.
func (x *exchange) tryEndpoint(endpoint *loadbalancer.Endpoint) attemptResult {
	shortWait := x.plan.ShortWait()
	if !x.body.complete || !x.plan.MayHedge() {
		return x.attempt(x.ctx, endpoint, shortWait, x.plan.MayRetry())
	}
	pair := hedgedPair{exchange: x, shortWait: shortWait, results: make(chan hedgedResult, 2)}
	pair.start(0, endpoint)
	delay := time.NewTimer(min(retry.HedgeDelay(x.usualTime()), time.Until(x.deadline)/2))
	defer delay.Stop()
	select {
	case only := <-pair.results:
		return only.attemptResult
	case <-delay.C:
	}
	if x.ctx.Err() != nil {
		return (<-pair.results).attemptResult
	}
	second, ok := x.plan.NextHedge()
	if !ok {
		return (<-pair.results).attemptResult
	}
	pair.start(1, second)
	return pair.wait()
}

// hedgedPair is up to two attempts of one request under way at once.
type hedgedPair struct {
	exchange  *exchange
	shortWait bool
	results   chan hedgedResult
	// detach keeps an attempt from being cancelled with the exchange.
	detach [2]func() bool
}

type hedgedResult struct {
	attemptResult
	index int
}

// start makes an attempt on a goroutine of its own, which ends with the attempt:
// at the request's deadline at the latest.
func (p *hedgedPair) start(index int, endpoint *loadbalancer.Endpoint) {
	// The goroutine gets these rather than p, which so needs no heap.
	x, shortWait, results := p.exchange, p.shortWait, p.results
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.request.Context()), x.deadline)
	p.detach[index] = context.AfterFunc(x.ctx, cancel)
	go func() {
		result := x.attempt(ctx, endpoint, shortWait, true)
		result.cancel = cancel
		if result.outcome != retry.Answered {
			cancel()
		}
		results <- hedgedResult{result, index}
	}()
}

// wait returns the result that counts of two attempts under way.
func (p *hedgedPair) wait() attemptResult {
	first := <-p.results
	if first.outcome == retry.Answered || first.outcome == retry.ClientGone {
		p.detach[1-first.index]()
		results := p.results
		go func() { (<-results).discard() }()
		return first.attemptResult
	}
	p.exchange.plan.HedgeFailed(first.endpoint, first.outcome)
	return (<-p.results).attemptResult
}
