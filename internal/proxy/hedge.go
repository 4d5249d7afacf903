package proxy

import (
	"context"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
)

// attemptWithHedge makes an attempt. A request that may run twice gets a hedged
// attempt beside it, paid by the budget, once the first has been silent for much
// longer than usual; the first good answer counts, and the other is let end by
// itself.
func (r *outboundRequest) attemptWithHedge(endpoint *loadbalancer.Endpoint) attemptResult {
	shortWait := r.plan.ShortWait()
	if !r.body.complete || !r.plan.MayHedge() {
		return r.attempt(r.ctx, endpoint, shortWait, r.plan.MayRetry())
	}
	pair := hedgedPair{request: r, shortWait: shortWait, results: make(chan hedgedResult, 2)}
	pair.start(0, endpoint)
	delay := time.NewTimer(min(retry.HedgeDelay(r.usualTime()), time.Until(r.deadline)/2))
	defer delay.Stop()
	select {
	case only := <-pair.results:
		return only.attemptResult
	case <-delay.C:
	}
	if r.ctx.Err() != nil {
		return (<-pair.results).attemptResult
	}
	second, ok := r.plan.NextHedge()
	if !ok {
		return (<-pair.results).attemptResult
	}
	pair.start(1, second)
	return pair.wait()
}

// hedgedPair is up to two attempts of one request under way at once.
type hedgedPair struct {
	request   *outboundRequest
	shortWait bool
	results   chan hedgedResult
	// detach keeps an attempt from being canceled with the request.
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
	request, shortWait, results := p.request, p.shortWait, p.results
	ctx, cancel := context.WithDeadline(context.WithoutCancel(request.request.Context()), request.deadline)
	p.detach[index] = context.AfterFunc(request.ctx, cancel)
	go func() {
		result := request.attempt(ctx, endpoint, shortWait, true)
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
	if first.outcome == retry.Answered || first.outcome == retry.Canceled {
		p.detach[1-first.index]()
		results := p.results
		go func() { (<-results).discard() }()
		return first.attemptResult
	}
	p.request.plan.HedgeFailed(first.endpoint, first.outcome)
	return (<-p.results).attemptResult
}
