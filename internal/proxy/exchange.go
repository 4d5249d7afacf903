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

// exchange is one request on its way through the outbound chain.
type exchange struct {
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

// onClose runs f when the exchange ends; the last one added runs first.
func (x *exchange) onClose(f func()) { x.cleanups = append(x.cleanups, f) }

func (x *exchange) close() {
	x.saveRecord()
	for i := len(x.cleanups) - 1; i >= 0; i-- {
		x.cleanups[i]()
	}
}

// maxQueueRetryAfter bounds how long a client is asked to stay away because of
// the queues at endpoints.
const maxQueueRetryAfter = time.Second

// reply answers the request with a response of this node's own.
func (x *exchange) reply(reply localreply.Reply) (done bool) {
	x.outbound.LocalReplies[reply].Add(1)
	x.record.setReply(reply.Code(), reply.Text())
	h := x.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"text/plain"}
	if after := reply.RetryAfter(); after > 0 {
		after = max(after, x.session.retryAfter, min(x.plan.QueueTime(), maxQueueRetryAfter))
		// Spread, so that those refused together don't come back together.
		after += time.Duration(rand.Int64N(int64(after)))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Text())))
	x.writer.WriteHeader(reply.Code())
	// A client that has left can't be told.
	_, _ = io.WriteString(x.writer, reply.Text())
	return true
}

// giveUp ends a request that got no endpoint's answer.
func (x *exchange) giveUp(reply localreply.Reply) (done bool) {
	if x.isClientGone() {
		x.abort()
	}
	if x.plan.MayHaveRun() {
		x.recordResponseTime()
	}
	reply = x.plan.FinalReply(reply, x.isExpired())
	if reply == localreply.TimedOut && shutDown(x.ctx) {
		reply = localreply.ShuttingDown
	}
	return x.reply(reply)
}

// abort ends a request whose client has left. To return without an answer would
// be an empty success to one that has closed its sending side only.
func (x *exchange) abort() {
	x.recordResponseTime()
	panic(http.ErrAbortHandler)
}

// recordResponseTime notes how long a request took that may have run, or whose
// client gave it up.
func (x *exchange) recordResponseTime() {
	x.outbound.responseTimes.record(x.route.Name, time.Since(x.started))
}

func (x *exchange) isExpired() bool { return !time.Now().Before(x.deadline) }

// isClientGone tells that the client has left, not that its time is over.
func (x *exchange) isClientGone() bool { return x.request.Context().Err() != nil && !x.isExpired() }

// sleep tells whether the request still goes on after the pause.
func (x *exchange) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// usualTime returns how long the route's requests usually take.
func (x *exchange) usualTime() time.Duration { return x.outbound.routeStats.usual(x.route.Name) }
