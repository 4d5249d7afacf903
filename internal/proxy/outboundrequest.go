package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
)

// outboundRequest is one request on its way through the outbound chain.
type outboundRequest struct {
	outbound *Outbound
	writer   http.ResponseWriter
	request  *http.Request
	started  time.Time
	cleanups []func()
	// record is the request's entry for the request log; nil if none is kept.
	record *requestRecord

	// Set by matchRoute.
	routes  *routeconfig.Table
	route   *routeconfig.CompiledRoute
	service string
	hotKey  uint64

	// Set by setDeadline.
	deadline time.Time
	ctx      context.Context
	// firstSeen tells that the client has probably not tried this before.
	firstSeen bool
	// pending is this request among those whose answers have not begun.
	pending *pendingRequest

	body    requestBody
	session sessionPin
	plan    retry.Plan
}

// requestBody is a request's body: what is kept of it, and what is not.
type requestBody struct {
	kept []byte
	// complete tells that all of it is kept, so that it can be sent again.
	complete  bool
	remaining *remainingBody
}

// onClose runs f when the request ends; the last one added runs first.
func (r *outboundRequest) onClose(f func()) { r.cleanups = append(r.cleanups, f) }

func (r *outboundRequest) close() {
	r.saveRecord()
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}

// maxQueueRetryAfter bounds how long a client is asked to stay away because of
// the queues at endpoints.
const maxQueueRetryAfter = time.Second

// reply answers the request with a response of this node's own.
func (r *outboundRequest) reply(reply localreply.Reply) (done bool) {
	r.outbound.LocalReplies[reply].Add(1)
	r.record.setReply(reply.Code(), reply.Text())
	h := r.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"text/plain"}
	if after := reply.RetryAfter(); after > 0 {
		after = max(after, r.session.retryAfter, min(r.plan.QueueTime(), maxQueueRetryAfter))
		// Spread, so that those refused together don't come back together.
		after += time.Duration(rand.Int64N(int64(after)))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Text())))
	r.writer.WriteHeader(reply.Code())
	// A client that has left can't be told.
	_, _ = io.WriteString(r.writer, reply.Text())
	return true
}

// giveUp ends a request that got no endpoint's answer.
func (r *outboundRequest) giveUp(reply localreply.Reply) (done bool) {
	if r.isCanceled() {
		r.abort()
	}
	if r.plan.MayHaveRun() {
		r.recordResponseTime()
	}
	reply = r.plan.FinalReply(reply, r.isExpired())
	if reply == localreply.TimedOut && isShutdown(r.ctx) {
		reply = localreply.ShuttingDown
	}
	return r.reply(reply)
}

// abort ends a request whose client has left. To return without an answer would
// be an empty success to one that has closed its sending side only.
func (r *outboundRequest) abort() {
	r.recordResponseTime()
	panic(http.ErrAbortHandler)
}

// recordResponseTime notes how long a request took that may have run, or whose
// client gave it up.
func (r *outboundRequest) recordResponseTime() {
	r.outbound.responseTimes.record(r.route.Name, time.Since(r.started))
}

func (r *outboundRequest) isExpired() bool { return !time.Now().Before(r.deadline) }

// isCanceled tells that the client has left, not that its time is over.
func (r *outboundRequest) isCanceled() bool {
	return r.request.Context().Err() != nil && !r.isExpired()
}

// sleep tells whether the request still goes on after the pause.
func (r *outboundRequest) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// usualTime returns how long the route's requests usually take.
func (r *outboundRequest) usualTime() time.Duration { return r.outbound.routeStats.usual(r.route.Name) }
