package proxy

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errShutdown is the cause of contexts canceled because the process is shutting
// down.
var errShutdown = errors.New("the process is shutting down")

// canceledByShutdown reports whether ctx was canceled because the process is
// shutting down.
func canceledByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// pendingRequest is an accepted request whose response has not started.
type pendingRequest struct {
	// route is the name of the request's route; empty in the inbound chain.
	route    string
	started  time.Time
	deadline time.Time
	cancel   context.CancelCauseFunc
}

// canceledRequests describes the requests that cancelAll canceled.
type canceledRequests struct {
	count int
	// newest is the request that was accepted last; nil if count is 0.
	newest *pendingRequest
}

// pendingRequests is the set of a chain's requests whose responses have not
// started. The zero value is ready to use.
type pendingRequests struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{}
	// canceled is set once cancelAll was called.
	canceled bool
}

// add adds a request to the set. It returns the request's context, which ends at
// the deadline or when cancelAll is called, the request's entry, and a function
// that removes the entry and releases the context. After cancelAll, the context
// is canceled from the start.
func (p *pendingRequests) add(parent context.Context, route string, deadline time.Time) (context.Context, *pendingRequest, func()) {
	cancelCtx, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithDeadline(cancelCtx, deadline)
	request := &pendingRequest{route: route, started: time.Now(), deadline: deadline, cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*pendingRequest]struct{}{}
	}
	p.requests[request] = struct{}{}
	if p.canceled {
		cancel(errShutdown)
	}
	return ctx, request, func() {
		p.remove(request)
		stop()
		cancel(nil)
	}
}

// remove removes a request. It is called before the response is written, so that
// cancelAll does not cancel a response body that is being sent.
func (p *pendingRequests) remove(request *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, request)
}

// cancelAll cancels the contexts of all pending and later requests, so that their
// handlers can still write a complete response before the process exits. It returns
// the requests that were pending.
func (p *pendingRequests) cancelAll() canceledRequests {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceled = true
	canceled := canceledRequests{count: len(p.requests)}
	for request := range p.requests {
		request.cancel(errShutdown)
		if canceled.newest == nil || request.started.After(canceled.newest.started) {
			canceled.newest = request
		}
	}
	return canceled
}
