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

// checkReady refuses requests that this node can't serve yet or any more.
func (x *exchange) checkReady() (done bool) {
	if x.outbound.stopped.Load() {
		return x.reply(localreply.NotReady)
	}
	x.routes = x.outbound.options.Routes.Load()
	if x.routes == nil || !x.outbound.options.Ready() {
		return x.reply(localreply.NotReady)
	}
	if !strings.HasPrefix(x.request.RequestURI, "/") {
		return x.reply(localreply.Malformed)
	}
	return false
}

// matchRoute finds the request's route and, by the route's weights, its service.
func (x *exchange) matchRoute() (done bool) {
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.routes.Match(x.request.Host, path)
	if x.route == nil {
		return x.reply(localreply.NoRoute)
	}
	draw := rand.Float64()
	x.record.setDraw(draw)
	index, ok := x.route.PickService(draw)
	if !ok {
		return x.reply(localreply.NoEndpoint)
	}
	x.service = x.routes.Services[index].Name
	x.findHotKey()
	return false
}

// findHotKey finds the key that a read asks for, and counts it.
func (x *exchange) findHotKey() {
	route := x.route
	if route.HotKey.Location == "" || !route.Kind.Idempotent() {
		return
	}
	path, query, _ := strings.Cut(x.request.RequestURI, "?")
	key := route.HotKey.Extract(route.Prefix, path, query, x.record.keepHeader(x.request.Header.Get))
	x.hotKey = hotkeys.Hash(x.service, key)
	x.outbound.options.KeyMeter.Record(x.hotKey, route.Name, x.service, x.usualTime())
}

// applyPolicy refuses requests that the route's policy does not allow.
func (x *exchange) applyPolicy() (done bool) {
	if x.route.Policy == nil {
		return false
	}
	path, query, _ := strings.Cut(x.request.RequestURI, "?")
	allowed, err := x.route.Policy.Allows(routeconfig.PolicyInput{
		Method:    x.request.Method,
		Path:      path,
		Query:     query,
		Caller:    x.outbound.options.Service,
		BodyBytes: int(x.request.ContentLength),
		Header:    x.record.keepHeader(x.request.Header.Get),
	})
	if err != nil {
		x.outbound.options.Log.Warn("failed to evaluate policy", "route", x.route.Name, "error", err)
	}
	if !allowed {
		return x.reply(localreply.Forbidden)
	}
	return false
}

// defaultTimeout ends requests that neither client nor route bounds.
const defaultTimeout = time.Minute

// setDeadline bounds the request by its client's deadline and its route's
// timeout.
func (x *exchange) setDeadline() (done bool) {
	timeout := x.timeout()
	x.deadline = x.started.Add(timeout)
	if !x.outbound.endsInTime(x.route.Name, x.deadline) {
		return x.reply(localreply.NotReady)
	}
	x.firstSeen = x.outbound.routeStats.isFirstSeen(x.route.Name, timeout)
	ctx, pending, release := x.outbound.pending.add(x.request.Context(), x.route.Name, x.deadline)
	x.onClose(release)
	x.ctx, x.pending = ctx, pending
	return false
}

func (x *exchange) timeout() time.Duration {
	requested, ok := parseDeadline(x.request.Header)
	limit := x.route.Timeout
	switch {
	case limit > 0 && (!ok || limit < requested):
		return limit
	case !ok:
		return defaultTimeout
	}
	return requested
}

// readBody keeps the request's body as far as BufferLimit allows.
func (x *exchange) readBody() (done bool) {
	limit := x.routes.Limits.MaxBodyBytes
	if x.request.ContentLength > limit {
		return x.reply(localreply.BodyTooLarge)
	}
	if x.request.ContentLength == 0 {
		x.body.complete = true
		return false
	}
	setReadDeadline(x.writer, x.deadline)
	source := http.MaxBytesReader(x.writer, x.request.Body, limit)
	kept, complete, err := readPrefix(source, x.request.ContentLength, x.outbound.options.BufferLimit)
	if err != nil {
		return x.reply(x.bodyError(err))
	}
	x.body = requestBody{kept: kept, complete: complete}
	if !complete {
		x.body.remaining = &remainingBody{reader: source}
	}
	return false
}

func (x *exchange) bodyError(err error) localreply.Reply {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return localreply.BodyTooLarge
	case x.isExpired():
		return localreply.Expired
	}
	return localreply.BodyIncomplete
}
