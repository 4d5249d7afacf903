package proxy

import (
	"context"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
)

// attemptWithHedge makes an attempt. If the request may be hedged and the attempt
// has not ended after retry.HedgeDelay, or after half of the remaining time if
// that is shorter, a second attempt is made at another endpoint, subject to the
// retry budget. The first response wins; the other attempt is not canceled, and
// its result is discarded.
func (r *outboundRequest) attemptWithHedge(endpoint *loadbalancer.Endpoint) attemptResult {
	shortWait := r.plan.ShortWait()
	if !r.body.complete || !r.plan.MayHedge() {
		return r.attempt(r.ctx, endpoint, shortWait, r.plan.MayRetry())
	}
	attempts := hedgedAttempts{request: r, shortWait: shortWait, results: make(chan hedgedResult, 2)}
	attempts.start(0, endpoint)
	delay := time.NewTimer(min(retry.HedgeDelay(r.averageResponseTime()), time.Until(r.deadline)/2))
	defer delay.Stop()
	select {
	case only := <-attempts.results:
		return only.attemptResult
	case <-delay.C:
	}
	if r.ctx.Err() != nil {
		return (<-attempts.results).attemptResult
	}
	second, ok := r.plan.NextHedge()
	if !ok {
		return (<-attempts.results).attemptResult
	}
	attempts.start(1, second)
	return attempts.wait()
}

// hedgedAttempts runs up to two concurrent attempts of one request.
type hedgedAttempts struct {
	request   *outboundRequest
	shortWait bool
	results   chan hedgedResult
	// detach holds functions that keep an attempt from being canceled when the
	// request's context ends.
	detach [2]func() bool
}

// hedgedResult is the result of the attempt started with index.
type hedgedResult struct {
	attemptResult
	index int
}

// start makes an attempt on a new goroutine, which ends with the attempt, no
// later than the request's deadline.
func (h *hedgedAttempts) start(index int, endpoint *loadbalancer.Endpoint) {
	// Copied so that the goroutine does not capture h, which would move h to the
	// heap.
	request, shortWait, results := h.request, h.shortWait, h.results
	ctx, cancel := context.WithDeadline(context.WithoutCancel(request.request.Context()), request.deadline)
	h.detach[index] = context.AfterFunc(request.ctx, cancel)
	go func() {
		result := request.attempt(ctx, endpoint, shortWait, true)
		result.cancel = cancel
		if result.outcome != retry.Answered {
			cancel()
		}
		results <- hedgedResult{result, index}
	}()
}

// wait returns the first result that ends the request, or the second result if
// the first attempt failed.
func (h *hedgedAttempts) wait() attemptResult {
	first := <-h.results
	if first.outcome == retry.Answered || first.outcome == retry.Canceled {
		h.detach[1-first.index]()
		results := h.results
		go func() { (<-results).discard() }()
		return first.attemptResult
	}
	h.request.plan.HedgeFailed(first.endpoint, first.outcome)
	return (<-h.results).attemptResult
}
