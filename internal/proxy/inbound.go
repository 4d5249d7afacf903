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
	"corkcove/internal/logring"
	"corkcove/internal/proxy/loadbalancer"
)

// InboundOptions configures an Inbound.
type InboundOptions struct {
	// AppAddr is the host and port of the endpoint.
	AppAddr string
	// LinkMbps is the capacity of the machine's network link in Mbit/s, or 0 if it is
	// unknown.
	LinkMbps float64
	// Pacer schedules large bodies on the machine's link. It is nil if the link's
	// capacity is unknown.
	Pacer *Pacer
	// Agent tracks the endpoint's state and admits requests to its slots.
	Agent *endpointagent.Agent
	// AppClient sends requests to the endpoint.
	AppClient *AppClient
	// BufferLimit is the maximum number of bytes of a response body that are buffered
	// before the response is relayed. Some longer responses are buffered completely; see
	// maxBufferedBytes.
	BufferLimit int
	// Log receives the chain's log entries.
	Log logring.Logger
}

// Inbound handles the requests of other nodes to the endpoint next to this node.
// Nothing else sends requests to that endpoint. Inbound is safe for concurrent use.
type Inbound struct {
	options InboundOptions
	// InFlight is the number of requests being handled.
	InFlight atomic.Int64

	draining atomic.Bool
	// pending holds the requests whose responses have not started.
	pending pendingRequests
	// bufferedBytes is what counts against maxBufferedBytes; see reserveBuffer.
	bufferedBytes atomic.Int64
	// sent measures the rate at which responses are sent.
	sent sentRate
}

// NewInbound returns an Inbound with the given options.
func NewInbound(options InboundOptions) *Inbound { return &Inbound{options: options} }

// Drain adds Connection: close to the responses of all requests that arrive from now
// on, so that other nodes stop using their connections to this one.
func (n *Inbound) Drain() { n.draining.Store(true) }

// inboundFilters are the processing steps of a request, in order. A filter returns
// true once it has answered the request, and the remaining ones are skipped.
var inboundFilters = [...]func(*inboundRequest) (done bool){
	(*inboundRequest).readHeaders,
	(*inboundRequest).admit,
	(*inboundRequest).forward,
}

// ServeHTTP handles one request. It panics with http.ErrAbortHandler, which closes
// the connection, if a response fails after its header was written.
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

// loadReport returns the load that is reported to other nodes with each response.
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

// inboundRequest is the state of one request in the inbound chain.
type inboundRequest struct {
	inbound *Inbound
	writer  http.ResponseWriter
	request *http.Request
	// cleanups run when the request ends, the last one first.
	cleanups []func()

	// Set by readHeaders.
	requestID string
	// incarnation is the incarnation of the endpoint that the request is addressed to.
	incarnation string
	// priority is the route's priority; lower values are served first.
	priority int
	// deadline is the time at which the calling node stops waiting for the response.
	deadline time.Time
	// ctx ends at the deadline, when the calling node closes its connection, or when
	// a shutdown cancels the pending requests.
	ctx context.Context
	// pending is the request's entry in Inbound.pending.
	pending *pendingRequest
	// watch is nil if the whole body is read while the request waits.
	watch *closeWatch

	// body is the part of the request's body that was read before the request is
	// forwarded.
	body inboundBody

	// releaseSlot frees the request's slot at the endpoint. It is set by admit and
	// may be called more than once.
	releaseSlot func()
}

// onClose registers f to run when the request ends, before those registered earlier.
func (r *inboundRequest) onClose(f func()) { r.cleanups = append(r.cleanups, f) }

// close runs the registered cleanups.
func (r *inboundRequest) close() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}

// reply tells the calling node why there is no response of the endpoint to relay. It
// always returns true.
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

// readHeaders reads the headers set by the calling node and applies the request's
// deadline. It rejects requests without a valid deadline or an incarnation.
func (r *inboundRequest) readHeaders() (done bool) {
	h := r.request.Header
	r.requestID, r.incarnation = h.Get(headerRequestID), h.Get(headerExpectInstance)
	// A missing or malformed priority becomes 0, which is served first.
	r.priority, _ = strconv.Atoi(h.Get(headerPriority))
	timeout, ok := parseDeadline(h)
	if !ok || r.incarnation == "" {
		return r.reply(nodeRejected, reasonMalformed)
	}
	r.deadline = time.Now().Add(timeout)
	ctx, pending, release := r.inbound.pending.add(r.request.Context(), "", r.deadline)
	r.onClose(release)
	r.ctx, r.pending = ctx, pending
	if !r.readsWholeBodyInQueue() {
		r.watchClose()
	}
	return false
}

// watchClose cancels the request when the calling node closes its connection.
func (r *inboundRequest) watchClose() {
	r.watch = newCloseWatch(r.request, r.pending, r.inbound.options.Log)
	if r.watch != nil {
		r.onClose(r.watch.start())
	}
}

// maxLinkBacklog is the largest backlog of the node's link, by value of headerBulk,
// at which requests with large responses are still admitted. It is small while other
// endpoints may have a free link and larger once those have been tried.
var maxLinkBacklog = map[string]time.Duration{
	bulkShortWait: 80 * time.Millisecond,
	bulkLongWait:  800 * time.Millisecond,
}

// admit waits for one of the endpoint's slots. It rejects the request if there is
// none in time, or if its response is large and the link's backlog too long.
func (r *inboundRequest) admit() (done bool) {
	h := r.request.Header
	if bulk := h.Get(headerBulk); bulk != "" && r.inbound.options.Pacer.backlog(time.Now()) > maxLinkBacklog[bulk] {
		return r.reply(nodeRejected, reasonLinkFull)
	}
	priority := endpointagent.Priority{
		Late:     h.Get(headerLate) != "",
		Rank:     r.priority,
		Deadline: r.deadline,
		HotRead:  h.Get(headerHotKey) != "",
	}
	release, rejected := r.inbound.options.Agent.Admit(r.ctx, r.incarnation, priority, r.maxQueueWait(), r)
	if rejected != endpointagent.NotRejected {
		return r.reply(nodeRejected, string(rejected))
	}
	r.releaseSlot = sync.OnceFunc(release)
	r.onClose(r.releaseSlot)
	return false
}

// maxQueueWait returns how long the request may wait for a slot: until its deadline,
// or for the time in headerQueueWait if that is shorter.
func (r *inboundRequest) maxQueueWait() time.Duration {
	limit := time.Until(r.deadline)
	if ms, err := strconv.ParseInt(r.request.Header.Get(headerQueueWait), 10, 32); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return limit
}

// forwardMargin is subtracted from the calling node's deadline to get the endpoint's.
const forwardMargin = 2 * time.Millisecond

// forward sends the request to the endpoint and relays the response, or replies with
// the reason why there is none.
func (r *inboundRequest) forward() (done bool) {
	if r.body.queued && !r.body.complete && !r.readFirstPart() || r.watch.detectClose() {
		return r.reply(nodeRejected, string(endpointagent.RejectedCanceled))
	}
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
	case r.ctx.Err() != nil && outcome != callFailed:
		return r.reply(nodeRejected, string(endpointagent.RejectedDeadlineExceeded))
	case r.ctx.Err() != nil:
		return r.replyInterrupted()
	case outcome == callDialFailed:
		r.inbound.options.Agent.RecordConnectionRefused(r.incarnation)
		return r.reply(nodeUnreachable, reasonDialFailed)
	case outcome == callNotSent:
		return r.reply(nodeUnreachable, reasonNotSent)
	}
	r.recordOutcome(false)
	return r.reply(nodeFailed, err.Error())
}

// newRequest returns the request to send to the endpoint and sets the deadline for
// reading its body.
func (r *inboundRequest) newRequest() *http.Request {
	headers := forwardedHeaders(r.request, 0)
	headers[headerDeadline] = []string{formatMillis(time.Until(r.deadline) - forwardMargin)}
	forwarded := forwardedRequest(r.ctx, r.request, r.inbound.options.AppAddr, headers)
	if r.request.ContentLength == 0 {
		forwarded.Body = singleUseBody{strings.NewReader("")}
		return forwarded
	}
	forwarded.Body = singleUseBody{r.body.reader(r.request)}
	setReadDeadline(r.writer, r.deadline)
	return forwarded
}

// replyInterrupted replies to a request whose context ended while the endpoint may
// have been running it. It counts as a failure of the endpoint only if the deadline
// has passed, not if this node shuts down or the calling node has gone.
func (r *inboundRequest) replyInterrupted() (done bool) {
	if canceledByShutdown(r.ctx) {
		return r.reply(nodeFailed, reasonShutdown)
	}
	if time.Now().After(r.deadline) {
		r.recordOutcome(false)
	}
	return r.reply(nodeTimedOut, reasonDeadline)
}

// recordOutcome tells the agent whether the endpoint handled the request
// successfully.
func (r *inboundRequest) recordOutcome(success bool) {
	r.inbound.options.Agent.RecordOutcome(r.incarnation, success)
}

const (
	// maxBufferedBytes limits the total size of the responses over BufferLimit that a
	// node buffers whole, so that the endpoint's slot is free before they are written
	// to the link.
	maxBufferedBytes = 24 << 20
	// maxBufferedResponse is the size in bytes below which such a response must be.
	maxBufferedResponse = maxBufferedBytes / 4
	// responseOverhead is roughly how many bytes a response takes on the link in
	// addition to its body.
	responseOverhead = 600
)

// relay writes the endpoint's response to the calling node. If the response was
// buffered whole, the slot is released before that, otherwise after it.
func (r *inboundRequest) relay(response *http.Response, started time.Time) (done bool) {
	n := r.inbound
	prefix, complete, err := readPrefix(response.Body, response.ContentLength, r.reserveBuffer(response))
	if err != nil && r.request.Method != http.MethodHead {
		return r.replyRelayFailed(err)
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

// reserveBuffer returns how many bytes of a response to buffer: its full length if
// that is below maxBufferedResponse and fits into maxBufferedBytes, otherwise
// BufferLimit. A response over BufferLimit but below maxBufferedResponse counts
// against maxBufferedBytes until its request ends, even if it does not fit.
func (r *inboundRequest) reserveBuffer(response *http.Response) int {
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

// replyRelayFailed replies to a request for which reading the endpoint's response failed
// with err before any part of the response was sent to the calling node.
func (r *inboundRequest) replyRelayFailed(err error) (done bool) {
	switch {
	case canceledByShutdown(r.ctx):
		return r.reply(nodeFailed, reasonShutdown)
	case r.ctx.Err() != nil:
		return r.reply(nodeTimedOut, reasonDeadline)
	}
	r.recordOutcome(false)
	return r.reply(nodeFailed, err.Error())
}
