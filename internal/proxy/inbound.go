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
	// heldBytes is how much of responses is kept beyond BufferLimit.
	heldBytes atomic.Int64
	sent      sentRate
}

// NewInbound returns an inbound chain.
func NewInbound(options InboundOptions) *Inbound { return &Inbound{options: options} }

// Drain asks other nodes to go elsewhere with their next request.
func (n *Inbound) Drain() { n.draining.Store(true) }

// inboundFilters are the steps of a request, in order. Each tells whether the
// request has ended with it.
var inboundFilters = [...]func(*inboundExchange) (done bool){
	(*inboundExchange).readHeaders,
	(*inboundExchange).admit,
	(*inboundExchange).forward,
}

// ServeHTTP carries one request. It panics with http.ErrAbortHandler where the
// connection must break off.
func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.InFlight.Add(1)
	defer n.InFlight.Add(-1)
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &inboundExchange{inbound: n, writer: w, request: r}
	defer x.close()
	for _, filter := range inboundFilters {
		if filter(x) {
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
		Work:        load.ServiceTime,
		LinkPercent: int64(n.linkPercent()),
	}
}

// inboundExchange is one request on its way through the inbound chain.
type inboundExchange struct {
	inbound  *Inbound
	writer   http.ResponseWriter
	request  *http.Request
	cleanups []func()

	// Set by readHeaders.
	requestID string
	// instance is the endpoint instance that the request is meant for.
	instance string
	priority int
	deadline time.Time
	ctx      context.Context
	// pending is this request among those whose answers have not begun.
	pending *pendingRequest

	// releaseSlot is set by admit.
	releaseSlot func()
}

// onClose runs f when the exchange ends; the last one added runs first.
func (x *inboundExchange) onClose(f func()) { x.cleanups = append(x.cleanups, f) }

func (x *inboundExchange) close() {
	for i := len(x.cleanups) - 1; i >= 0; i-- {
		x.cleanups[i]()
	}
}

// reply answers that the attempt brought no answer of the endpoint.
func (x *inboundExchange) reply(outcome nodeOutcome, reason string) (done bool) {
	h := x.writer.Header()
	h["Date"] = nil
	h.Set(headerOutcome, string(outcome))
	h.Set(headerReason, reason)
	h.Set(headerLoad, x.inbound.loadReport().String())
	h.Set("Content-Length", "0")
	code := http.StatusBadGateway
	if outcome == nodeRejected || outcome == nodeUnreachable {
		code = http.StatusServiceUnavailable
	}
	x.writer.WriteHeader(code)
	return true
}

// readHeaders reads what the sender says of the request and bounds it by its
// deadline.
func (x *inboundExchange) readHeaders() (done bool) {
	h := x.request.Header
	x.requestID, x.instance = h.Get(headerRequestID), h.Get(headerExpectInstance)
	// A request without a priority is among the first.
	x.priority, _ = strconv.Atoi(h.Get(headerPriority))
	timeout, ok := parseDeadline(h)
	if !ok || x.instance == "" {
		return x.reply(nodeRejected, reasonMalformed)
	}
	x.deadline = time.Now().Add(timeout)
	ctx, pending, release := x.inbound.pending.add(x.request.Context(), "", x.deadline)
	x.onClose(release)
	x.ctx, x.pending = ctx, pending
	return false
}

// maxLinkBacklog is how far behind its link a node may be before it rejects
// large bodies: little while others may be free, more once they were asked.
var maxLinkBacklog = map[string]time.Duration{
	bulkShortWait: 80 * time.Millisecond,
	bulkLongWait:  800 * time.Millisecond,
}

// admit waits for one of the endpoint's slots.
func (x *inboundExchange) admit() (done bool) {
	h := x.request.Header
	if bulk := h.Get(headerBulk); bulk != "" && x.inbound.options.Pacer.backlog(time.Now()) > maxLinkBacklog[bulk] {
		return x.reply(nodeRejected, reasonLinkFull)
	}
	priority := endpointagent.Priority{
		Late:     h.Get(headerLate) != "",
		Rank:     x.priority,
		Deadline: x.deadline,
		Hot:      h.Get(headerHotKey) != "",
	}
	release, rejected := x.inbound.options.Agent.Admit(x.ctx, x.instance, priority, x.maxQueueWait())
	if rejected != endpointagent.NotRejected {
		return x.reply(nodeRejected, string(rejected))
	}
	x.releaseSlot = sync.OnceFunc(release)
	x.onClose(x.releaseSlot)
	return false
}

func (x *inboundExchange) maxQueueWait() time.Duration {
	limit := time.Until(x.deadline)
	if ms, err := strconv.ParseInt(x.request.Header.Get(headerQueueWait), 10, 32); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return limit
}

// forwardMargin is how much sooner than its sender's deadline the endpoint has
// to answer.
const forwardMargin = 2 * time.Millisecond

// forward sends the request to the endpoint.
func (x *inboundExchange) forward() (done bool) {
	request := x.newRequest()
	started := time.Now()
	idempotent := x.request.Header.Get(headerOnce) == ""
	response, outcome, err := x.inbound.options.AppClient.send(request, x.requestID, idempotent)
	switch {
	case outcome == callAnswered:
		defer closeBody(response)
		return x.relay(response, started)
	case outcome == callDeclined:
		x.recordOutcome(false)
		return x.reply(nodeDeclined, strconv.Itoa(response.StatusCode))
	case x.ctx.Err() != nil && outcome != callBroken:
		return x.reply(nodeRejected, string(endpointagent.RejectedLate))
	case x.ctx.Err() != nil:
		return x.interrupted()
	case outcome == callDialFailed:
		x.inbound.options.Agent.RecordConnectionRefused(x.instance)
		return x.reply(nodeUnreachable, reasonDialFailed)
	case outcome == callNotSent:
		return x.reply(nodeUnreachable, reasonNotSent)
	}
	x.recordOutcome(false)
	return x.reply(nodeLost, err.Error())
}

func (x *inboundExchange) newRequest() *http.Request {
	headers := forwardedHeaders(x.request, 0)
	headers[headerDeadline] = []string{formatMillis(time.Until(x.deadline) - forwardMargin)}
	r := forwardedRequest(x.ctx, x.request, x.inbound.options.AppAddr, headers)
	if x.request.ContentLength == 0 {
		r.Body = singleUseBody{strings.NewReader("")}
		return r
	}
	r.Body = singleUseBody{x.request.Body}
	setReadDeadline(x.writer, x.deadline)
	return r
}

// interrupted answers a request whose context ended while the endpoint may have
// been running it.
func (x *inboundExchange) interrupted() (done bool) {
	if shutDown(x.ctx) {
		return x.reply(nodeLost, reasonShutdown)
	}
	if time.Now().After(x.deadline) {
		x.recordOutcome(false)
	}
	return x.reply(nodeTimedOut, reasonDeadline)
}

// recordOutcome tells the agent whether the endpoint did what was asked of it.
func (x *inboundExchange) recordOutcome(success bool) {
	x.inbound.options.Agent.RecordOutcome(x.instance, success)
}

const (
	// maxHeldBytes bounds the responses that a node keeps whole for its link, so
	// that the endpoint's slot is free before they are on their way.
	maxHeldBytes = 24 << 20
	// maxHeldResponse bounds one of them.
	maxHeldResponse = maxHeldBytes / 4
	// responseOverhead is about what a response takes of the link beside its body,
	// in bytes.
	responseOverhead = 600
)

// relay passes the endpoint's response on.
func (x *inboundExchange) relay(response *http.Response, started time.Time) (done bool) {
	n := x.inbound
	prefix, complete, err := readPrefix(response.Body, response.ContentLength, x.bufferLimit(response))
	if err != nil && x.request.Method != http.MethodHead {
		return x.relayFailed(err)
	}
	n.pending.remove(x.pending)
	x.recordOutcome(response.StatusCode < 500)
	if complete {
		n.options.Agent.RecordResponse(x.instance, time.Since(started))
		x.releaseSlot()
	} else {
		setWriteDeadline(x.writer, x.deadline)
	}
	n.sent.add(max(response.ContentLength, int64(len(prefix)))+responseOverhead, time.Now())
	x.writer.Header().Set(headerLoad, n.loadReport().String())
	writeResponseHead(x.writer, x.request.Method, response, prefix, complete)
	writeResponseBody(x.writer, response, prefix, complete, n.options.Pacer, x.deadline)
	if !complete {
		n.options.Agent.RecordResponse(x.instance, time.Since(started))
	}
	return true
}

// bufferLimit returns how much of a response is kept: all of a larger one too,
// while there is room for it.
func (x *inboundExchange) bufferLimit(response *http.Response) int {
	n, length := x.inbound, response.ContentLength
	limit := int64(n.options.BufferLimit)
	if length <= limit || length >= maxHeldResponse {
		return int(limit)
	}
	if n.heldBytes.Add(length) <= maxHeldBytes {
		limit = length
	}
	x.onClose(func() { n.heldBytes.Add(-length) })
	return int(limit)
}

// relayFailed answers a request whose response broke off at its start.
func (x *inboundExchange) relayFailed(err error) (done bool) {
	switch {
	case shutDown(x.ctx):
		return x.reply(nodeLost, reasonShutdown)
	case x.ctx.Err() != nil:
		return x.reply(nodeTimedOut, reasonDeadline)
	}
	x.recordOutcome(false)
	return x.reply(nodeLost, err.Error())
}
