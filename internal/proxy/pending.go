package proxy

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errShutdown is the cause of a context that was cancelled because the process
// ends.
var errShutdown = errors.New("the process is shutting down")

// isShutdown tells that ctx was cancelled because the process ends.
func isShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// pendingRequest is an accepted request whose answer has not begun.
type pendingRequest struct {
	route  string
	since  time.Time
	cancel context.CancelCauseFunc
}

// pendingRequests are the requests of one chain whose answers have not begun.
// The zero value is ready for use.
type pendingRequests struct {
	mu        sync.Mutex
	set       map[*pendingRequest]struct{}
	cancelled bool
}

// add gives the context for a request's work, which ends at its deadline or
// with cancelAll, and a function that releases both.
func (p *pendingRequests) add(parent context.Context, route string, due time.Time) (context.Context, *pendingRequest, func()) {
	cancellable, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithDeadline(cancellable, due)
	request := &pendingRequest{route: route, since: time.Now(), cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.set == nil {
		p.set = map[*pendingRequest]struct{}{}
	}
	p.set[request] = struct{}{}
	if p.cancelled {
		cancel(errShutdown)
	}
	return ctx, request, func() {
		p.remove(request)
		stop()
		cancel(nil)
	}
}

// remove takes a request out, at the latest once its answer begins: a body that
// is on its way is not cancelled.
func (p *pendingRequests) remove(request *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, request)
}

// oldest is how long the route's oldest pending request has been at work.
func (p *pendingRequests) oldest(route string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for request := range p.set {
		if request.route == route {
			longest = max(longest, now.Sub(request.since))
		}
	}
	return longest
}

// cancelAll cancels the work on all pending requests, so that their handlers
// still write a complete answer before the process exits.
func (p *pendingRequests) cancelAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled = true
	for request := range p.set {
		request.cancel(errShutdown)
	}
}
