package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/proxy/loadbalancer"
)

// InboundOptions configure an Inbound chain.
type InboundOptions struct {
	// AppAddr is the endpoint's address.
	AppAddr string
	// LinkMbps is what this machine's link takes, 0 if not known.
	LinkMbps float64
	// Pacer shares the machine's link; nil where its rate is not known.
	Pacer *Pacer
	// Agent knows the endpoint and admits requests to its slots.
	Agent *endpointagent.Agent
	// AppClient reaches the endpoint.
	AppClient *AppClient
	// BufferLimit is the most that is kept of a response's body, in bytes, before
	// it goes on.
	BufferLimit int
}

// Inbound is the chain from other nodes to the endpoint beside this one, which
// nobody else talks to. It is safe for concurrent use.
type Inbound struct {
	options InboundOptions
	// InFlight counts the requests under way.
	InFlight atomic.Int64

	draining atomic.Bool
	pending  pendingRequests
	// bufferedBytes is how much of responses is kept beyond BufferLimit.
	bufferedBytes atomic.Int64
	sent          sentRate
}

// NewInbound returns an inbound chain.
func NewInbound(options InboundOptions) *Inbound { return &Inbound{options: options} }

// Drain asks other nodes to go elsewhere with their next request.
func (n *Inbound) Drain() { n.draining.Store(true) }

// inboundFilters are the steps of a request, in order. Each tells whether the
// request has ended with it.
var inboundFilters = [...]func(*inboundRequest) (done bool){
	(*inboundRequest).readHeaders,
	(*inboundRequest).admit,
	(*inboundRequest).forward,
}

// ServeHTTP carries one request. It panics with http.ErrAbortHandler where the
// connection must break off.
func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.InFlight.Add(1)
	defer n.InFlight.Add(-1)
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	request := &inboundRequest{inbound: n, writer: w, request: r}
	defer request.close()
	for _, filter := range inboundFilters {
		if filter(request) {
			return
		}
	}
}

// loadReport is what other nodes are told with each response.
func (n *Inbound) loadReport() loadbalancer.LoadReport {
	load := n.options.Agent.Load()
	return loadbalancer.LoadReport{
		Running:     int64(load.Running),
		Queued:      int64(load.Queued),
		Slots:       int64(load.Slots),
		ServiceTime: load.ServiceTime,
		LinkPercent: int64(n.linkPercent()),
	}
}

// inboundRequest is one request on its way through the inbound chain.
type inboundRequest struct {
	inbound  *Inbound
	writer   http.ResponseWriter
	request  *http.Request
	cleanups []func()

	// Set by readHeaders.
	requestID string
	// incarnation is the endpoint's incarnation that the request is meant for.
	incarnation string
	priority    int
	deadline    time.Time
	ctx         context.Context
	// pending is this request among those whose answers have not begun.
	pending *pendingRequest

	// releaseSlot is set by admit.
	releaseSlot func()
}

// onClose runs f when the request ends; the last one added runs first.
func (r *inboundRequest) onClose(f func()) { r.cleanups = append(r.cleanups, f) }

func (r *inboundRequest) close() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}

// reply answers that the attempt brought no answer of the endpoint.
func (r *inboundRequest) reply(outcome nodeOutcome, reason string) (done bool) {
	h := r.writer.Header()
	h["Date"] = nil
	h.Set(headerOutcome, string(outcome))
	h.Set(headerReason, reason)
	h.Set(headerLoad, r.inbound.loadReport().String())
	h.Set("Content-Length", "0")
	code := http.StatusBadGateway
	if outcome == nodeRejected || outcome == nodeUnreachable {
		code = http.StatusServiceUnavailable
	}
	r.writer.WriteHeader(code)
	return true
}

// readHeaders reads what the sender says of the request and bounds it by its
// deadline.
func (r *inboundRequest) readHeaders() (done bool) {
	h := r.request.Header
	r.requestID, r.incarnation = h.Get(headerRequestID), h.Get(headerExpectInstance)
	// Without a valid priority it is 0, which is served first.
	r.priority, _ = strconv.Atoi(h.Get(headerPriority))
	timeout, ok := parseDeadline(h)
	if !ok || r.incarnation == "" {
		return r.reply(nodeRejected, reasonMalformed)
	}
	r.deadline = time.Now().Add(timeout)
	ctx, pending, release := r.inbound.pending.add(r.request.Context(), "", r.deadline)
	r.onClose(release)
	r.ctx, r.pending = ctx, pending
	return false
}

// maxLinkBacklog is how far behind its link a node may be before it rejects
// large bodies: little while others may be free, more once they were asked.
var maxLinkBacklog = map[string]time.Duration{
	bulkShortWait: 80 * time.Millisecond,
	bulkLongWait:  800 * time.Millisecond,
}

// admit waits for one of the endpoint's slots.
func (r *inboundRequest) admit() (done bool) {
	h := r.request.Header
	if bulk := h.Get(headerBulk); bulk != "" && r.inbound.options.Pacer.backlog(time.Now()) > maxLinkBacklog[bulk] {
		return r.reply(nodeRejected, reasonLinkFull)
	}
	priority := endpointagent.Priority{
		Late:     h.Get(headerLate) != "",
		Rank:     r.priority,
		Deadline: r.deadline,
		Hot:      h.Get(headerHotKey) != "",
	}
	release, rejected := r.inbound.options.Agent.Admit(r.ctx, r.incarnation, priority, r.maxQueueWait())
	if rejected != endpointagent.NotRejected {
		return r.reply(nodeRejected, string(rejected))
	}
	r.releaseSlot = sync.OnceFunc(release)
	r.onClose(r.releaseSlot)
	return false
}

func (r *inboundRequest) maxQueueWait() time.Duration {
	limit := time.Until(r.deadline)
	if ms, err := strconv.ParseInt(r.request.Header.Get(headerQueueWait), 10, 32); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return limit
}

// forwardMargin is how much sooner than its sender's deadline the endpoint has
// to answer.
const forwardMargin = 2 * time.Millisecond

// forward sends the request to the endpoint.
func (r *inboundRequest) forward() (done bool) {
	request := r.newRequest()
	started := time.Now()
	idempotent := r.request.Header.Get(headerOnce) == ""
	response, outcome, err := r.inbound.options.AppClient.send(request, r.requestID, idempotent)
	switch {
	case outcome == callAnswered:
		defer closeBody(response)
		return r.relay(response, started)
	case outcome == callDeclined:
		r.recordOutcome(false)
		return r.reply(nodeDeclined, strconv.Itoa(response.StatusCode))
	case r.ctx.Err() != nil && outcome != callBroken:
		return r.reply(nodeRejected, string(endpointagent.RejectedLate))
	case r.ctx.Err() != nil:
		return r.interrupted()
	case outcome == callDialFailed:
		r.inbound.options.Agent.RecordConnectionRefused(r.incarnation)
		return r.reply(nodeUnreachable, reasonDialFailed)
	case outcome == callNotSent:
		return r.reply(nodeUnreachable, reasonNotSent)
	}
	r.recordOutcome(false)
	return r.reply(nodeFailed, err.Error())
}

func (r *inboundRequest) newRequest() *http.Request {
	headers := forwardedHeaders(r.request, 0)
	headers[headerDeadline] = []string{formatMillis(time.Until(r.deadline) - forwardMargin)}
	forwarded := forwardedRequest(r.ctx, r.request, r.inbound.options.AppAddr, headers)
	if r.request.ContentLength == 0 {
		forwarded.Body = singleUseBody{strings.NewReader("")}
		return forwarded
	}
	forwarded.Body = singleUseBody{readToLength(r.request.Body, r.request.ContentLength)}
	setReadDeadline(r.writer, r.deadline)
	return forwarded
}

// interrupted answers a request whose context ended while the endpoint may have
// been running it.
func (r *inboundRequest) interrupted() (done bool) {
	if canceledByShutdown(r.ctx) {
		return r.reply(nodeFailed, reasonShutdown)
	}
	if time.Now().After(r.deadline) {
		r.recordOutcome(false)
	}
	return r.reply(nodeTimedOut, reasonDeadline)
}

// recordOutcome tells the agent whether the endpoint did what was asked of it.
func (r *inboundRequest) recordOutcome(success bool) {
	r.inbound.options.Agent.RecordOutcome(r.incarnation, success)
}

const (
	// maxBufferedBytes bounds the responses that a node keeps whole for its link, so
	// that the endpoint's slot is free before they are on their way.
	maxBufferedBytes = 24 << 20
	// maxBufferedResponse bounds one of them.
	maxBufferedResponse = maxBufferedBytes / 4
	// responseOverhead is about what a response takes of the link beside its body,
	// in bytes.
	responseOverhead = 600
)

// relay passes the endpoint's response on.
func (r *inboundRequest) relay(response *http.Response, started time.Time) (done bool) {
	n := r.inbound
	prefix, complete, err := readPrefix(response.Body, response.ContentLength, r.bufferLimit(response))
	if err != nil && r.request.Method != http.MethodHead {
		return r.relayFailed(err)
	}
	n.pending.remove(r.pending)
	r.recordOutcome(response.StatusCode < 500)
	if complete {
		n.options.Agent.RecordResponse(r.incarnation, time.Since(started))
		r.releaseSlot()
	} else {
		setWriteDeadline(r.writer, r.deadline)
	}
	n.sent.add(max(response.ContentLength, int64(len(prefix)))+responseOverhead, time.Now())
	r.writer.Header().Set(headerLoad, n.loadReport().String())
	writeResponseHead(r.writer, r.request.Method, response, prefix, complete)
	writeResponseBody(r.writer, response, prefix, complete, n.options.Pacer, r.deadline)
	if !complete {
		n.options.Agent.RecordResponse(r.incarnation, time.Since(started))
	}
	return true
}

// bufferLimit returns how much of a response is kept: all of a larger one too,
// while there is room for it.
func (r *inboundRequest) bufferLimit(response *http.Response) int {
	n, length := r.inbound, response.ContentLength
	limit := int64(n.options.BufferLimit)
	if length <= limit || length >= maxBufferedResponse {
		return int(limit)
	}
	if n.bufferedBytes.Add(length) <= maxBufferedBytes {
		limit = length
	}
	r.onClose(func() { n.bufferedBytes.Add(-length) })
	return int(limit)
}

// relayFailed answers a request whose response broke off at its start.
func (r *inboundRequest) relayFailed(err error) (done bool) {
	switch {
	case canceledByShutdown(r.ctx):
		return r.reply(nodeFailed, reasonShutdown)
	case r.ctx.Err() != nil:
		return r.reply(nodeTimedOut, reasonDeadline)
	}
	r.recordOutcome(false)
	return r.reply(nodeFailed, err.Error())
}
