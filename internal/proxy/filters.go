package proxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
)

// checkReady rejects requests that arrive before this node is ready or after it has
// stopped accepting, and requests whose target is not a path.
func (r *outboundRequest) checkReady() (done bool) {
	if r.outbound.stopped.Load() {
		return r.reply(localreply.NotReady)
	}
	r.routes = r.outbound.options.Routes.Load()
	if r.routes == nil || !r.outbound.options.Ready() {
		return r.reply(localreply.NotReady)
	}
	if !strings.HasPrefix(r.request.RequestURI, "/") {
		return r.reply(localreply.Malformed)
	}
	return false
}

// matchRoute finds the request's route and picks a service by the route's weights.
func (r *outboundRequest) matchRoute() (done bool) {
	path, _, _ := strings.Cut(r.request.RequestURI, "?")
	r.route = r.routes.Match(r.request.Host, path)
	if r.route == nil {
		return r.reply(localreply.NoRoute)
	}
	draw := rand.Float64()
	r.record.setDraw(draw)
	index, ok := r.route.PickService(draw)
	if !ok {
		return r.reply(localreply.NoEndpoint)
	}
	r.service = r.routes.Services[index].Name
	r.extractKey()
	return false
}

// extractKey determines which key an idempotent request reads, stores its hash in
// hotKey and counts the read. It does nothing if the route has no key.
func (r *outboundRequest) extractKey() {
	route := r.route
	if route.HotKey.Location == "" || !route.Kind.Idempotent() {
		return
	}
	path, query, _ := strings.Cut(r.request.RequestURI, "?")
	key := route.HotKey.Extract(route.PathPrefix, path, query, r.record.recordHeaders(r.request.Header.Get))
	r.hotKey = hotkeys.Hash(r.service, key)
	r.outbound.options.KeyMeter.Record(r.hotKey, route.Name, r.service, r.averageResponseTime())
}

// applyPolicy rejects requests that the route's policy does not allow, and all requests
// if its evaluation fails.
func (r *outboundRequest) applyPolicy() (done bool) {
	if r.route.Policy == nil {
		return false
	}
	path, query, _ := strings.Cut(r.request.RequestURI, "?")
	allowed, err := r.route.Policy.Allows(routeconfig.PolicyInput{
		Method:    r.request.Method,
		Path:      path,
		Query:     query,
		Caller:    r.outbound.options.Service,
		BodyBytes: int(r.request.ContentLength),
		Header:    r.record.recordHeaders(r.request.Header.Get),
	})
	if err != nil {
		r.outbound.options.Log.Warn("failed to evaluate policy", "route", r.route.Name, "error", err)
	}
	if !allowed {
		return r.reply(localreply.Forbidden)
	}
	return false
}

// defaultTimeout applies to requests for which neither client nor route sets a timeout.
const defaultTimeout = time.Minute

// setDeadline applies the client's deadline and the route's timeout, whichever is
// sooner.
func (r *outboundRequest) setDeadline() (done bool) {
	timeout := r.timeout()
	r.deadline = r.started.Add(timeout)
	r.firstSeen = r.outbound.routeStats.isFirstSeen(r.route.Name, timeout)
	ctx, pending, release := r.outbound.pending.add(r.request.Context(), r.route.Name, r.deadline)
	r.onClose(release)
	r.ctx, r.pending = ctx, pending
	return false
}

// checkShutdown rejects requests whose deadlines are too late for a process that shuts
// down.
func (r *outboundRequest) checkShutdown() (done bool) {
	if r.outbound.completesInTime(r.deadline) {
		return false
	}
	return r.reply(localreply.NotReady)
}

// timeout returns the shorter of the client's and the route's timeouts, or
// defaultTimeout if there is neither.
func (r *outboundRequest) timeout() time.Duration {
	requested, ok := parseDeadline(r.request.Header)
	limit := r.route.Timeout
	switch {
	case limit > 0 && (!ok || limit < requested):
		return limit
	case !ok:
		return defaultTimeout
	}
	return requested
}

// readBody buffers the request's body up to BufferLimit. The rest of a longer body is
// read while an attempt sends it.
func (r *outboundRequest) readBody() (done bool) {
	limit := r.routes.Limits.MaxBodyBytes
	if r.request.ContentLength > limit {
		return r.reply(localreply.BodyTooLarge)
	}
	if r.request.ContentLength == 0 {
		r.body.complete = true
		return false
	}
	setReadDeadline(r.writer, r.deadline)
	source := http.MaxBytesReader(r.writer, r.request.Body, limit)
	kept, complete, err := readPrefix(source, r.request.ContentLength, r.outbound.options.BufferLimit)
	if err != nil {
		return r.reply(r.bodyErrorReply(err))
	}
	r.body = requestBody{buffered: kept, complete: complete}
	if !complete {
		r.body.remaining = &remainingBody{reader: source}
		r.watchClose(min(maxReadAhead, int(limit)-len(kept)))
	}
	return false
}

// watchClose cancels the request when the client disconnects. While no attempt reads the
// remaining body, it reads up to limit bytes of it ahead: a client that cannot send the
// rest of its request cannot tell that it has disconnected either.
func (r *outboundRequest) watchClose(limit int) {
	r.watch = newCloseWatch(r.request, r.pending, r.outbound.options.Log)
	if r.watch == nil {
		return
	}
	budget, buffered := &r.outbound.readAhead, 0
	r.watch.readAhead = func(unread int) bool {
		// Reading more than was received would wait for the client, and the response would
		// wait for that.
		available := unread
		if r.request.ContentLength < 0 {
			available /= chunkedReadAheadDivisor
		}
		size := min(available, limit-buffered, copyBufferSize)
		if unread < minReadAhead || size <= 0 || !budget.reserve(size) {
			return false
		}
		n := r.body.remaining.readAhead(size)
		budget.release(size - n)
		buffered += n
		return n > 0
	}
	stop := r.watch.start()
	r.onClose(func() {
		stop()
		budget.release(buffered)
	})
}

// bodyErrorReply returns the reply to a request whose body could not be read.
func (r *outboundRequest) bodyErrorReply(err error) localreply.Reply {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return localreply.BodyTooLarge
	case r.isExpired():
		return localreply.Expired
	}
	return localreply.BodyIncomplete
}
