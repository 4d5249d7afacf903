package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
)

// extraHeaderCapacity is the capacity reserved in an attempt's header map for the
// headers that the attempt adds.
const extraHeaderCapacity = 6

// newHeaders returns the request headers common to direct calls and calls through
// a sidecar.
func (r *outboundRequest) newHeaders(endpoint *loadbalancer.Endpoint) http.Header {
	h := forwardedHeaders(r.request, extraHeaderCapacity)
	delete(h, headerCaller)
	if service := r.outbound.options.Service; service != "" {
		h[headerCaller] = []string{service}
	}
	h[headerExpectInstance] = []string{endpoint.ID()}
	return h
}

// newRequest returns the request of one attempt, addressed to addr. If the body
// is not buffered as a whole, it adds an Expect header to headers.
func (r *outboundRequest) newRequest(ctx context.Context, addr string, headers http.Header) *http.Request {
	attempt := forwardedRequest(ctx, r.request, addr, headers)
	if r.body.complete {
		attempt.Body = singleUseBody{bytes.NewReader(r.body.buffered)}
		if attempt.ContentLength < 0 {
			attempt.ContentLength = int64(len(r.body.buffered))
		}
		return attempt
	}
	// The body cannot be resent, so send it only once the receiver asks for it.
	headers["Expect"] = []string{"100-continue"}
	attempt.Body = singleUseBody{&checkedBody{buffered: r.body.buffered, rest: r.body.remaining.forAttempt(), watch: r.watch}}
	return attempt
}

// forwardedRequest returns a request to addr with the method, target, host and
// content length of from. The body is not set.
func forwardedRequest(ctx context.Context, from *http.Request, addr string, headers http.Header) *http.Request {
	r := &http.Request{
		Method:        from.Method,
		URL:           forwardURL(addr, from.RequestURI),
		Host:          from.Host,
		Header:        headers,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: from.ContentLength,
	}
	return r.WithContext(ctx)
}

// callEndpoint sends an attempt directly to an endpoint without a sidecar. The
// response is nil unless the outcome is Answered.
func (r *outboundRequest) callEndpoint(ctx context.Context, endpoint *loadbalancer.Endpoint) (*http.Response, retry.Outcome) {
	headers := r.newHeaders(endpoint)
	headers[headerDeadline] = []string{formatMillis(time.Until(r.deadline) - r.outbound.options.DeadlineMargin)}
	request := r.newRequest(ctx, endpoint.Addr(), headers)
	response, outcome, err := r.outbound.options.AppClient.send(request, r.request.Header.Get(headerRequestID), r.route.Kind.Idempotent())
	switch outcome {
	case callAnswered:
		return response, retry.Answered
	case callDeclined:
		if response.StatusCode == http.StatusMisdirectedRequest {
			endpoint.SetDraining()
		}
		return nil, retry.Declined
	case callDialFailed, callNotSent:
		if r.isCanceled() {
			return nil, retry.Canceled
		}
		return nil, retry.Unreachable
	}
	failure := r.failureOutcome(ctx)
	if failure == retry.Failed {
		r.outbound.options.Log.Warn("no valid response from endpoint", "endpoint", endpoint.ID(), "error", err)
	}
	return nil, failure
}

// callSidecar sends an attempt to the endpoint's sidecar. The response is nil
// unless the outcome is Answered.
func (r *outboundRequest) callSidecar(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait bool) (*http.Response, retry.Outcome) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, r.newSidecarTrace(ctx, &sent))
	request := r.newRequest(ctx, endpoint.InboundAddr(), r.newSidecarHeaders(endpoint, shortWait))
	response, err := r.outbound.options.Transport.RoundTrip(request)
	if err != nil {
		return nil, r.sidecarErrorOutcome(ctx, endpoint, sent.Load(), err)
	}
	endpoint.ClearFailures()
	if load, ok := loadbalancer.ParseLoadReport(response.Header.Get(headerLoad)); ok {
		endpoint.ApplyLoadReport(load)
	}
	if outcome := response.Header.Get(headerOutcome); outcome != "" {
		closeBody(response)
		return nil, applySidecarOutcome(endpoint, nodeOutcome(outcome), response.Header.Get(headerReason))
	}
	if reason := invalidReason(response, r.request.Header.Get(headerRequestID), r.route.Kind.Idempotent()); reason != "" {
		closeBody(response)
		endpoint.NodeFailed()
		r.outbound.options.Log.Warn("rejected an invalid response from a peer node", "endpoint", endpoint.ID(), "reason", reason)
		return nil, retry.Failed
	}
	return response, retry.Answered
}

// newSidecarTrace returns a trace that sets sent once the request headers are written, and
// that adapts the connection's user timeout to the body. A body that is not buffered as a
// whole is sent when the sidecar has asked for it, so until then the sidecar must respond.
func (r *outboundRequest) newSidecarTrace(ctx context.Context, sent *atomic.Bool) *httptrace.ClientTrace {
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	if r.body.complete {
		length := int64(len(r.body.buffered))
		trace.GotConn = func(info httptrace.GotConnInfo) { extendUserTimeout(ctx, info.Conn, length) }
		return trace
	}
	var connection net.Conn
	trace.GotConn = func(info httptrace.GotConnInfo) {
		connection = info.Conn
		extendUserTimeout(ctx, connection, 0)
	}
	trace.Got100Continue = func() { extendUserTimeout(ctx, connection, -1) }
	return trace
}

// newSidecarHeaders adds to newHeaders what the endpoint's sidecar needs to queue
// and forward the request.
func (r *outboundRequest) newSidecarHeaders(endpoint *loadbalancer.Endpoint, shortWait bool) http.Header {
	h := r.newHeaders(endpoint)
	remaining := time.Until(r.deadline) - r.outbound.options.DeadlineMargin
	wait := retry.QueueWait{
		LatencyTarget: r.route.LatencyTarget,
		Elapsed:       time.Since(r.started),
		Remaining:     remaining,
		MeanLatency:   r.averageResponseTime(),
		FirstSeen:     r.firstSeen,
		ShortWait:     shortWait,
	}
	h[headerPriority] = []string{strconv.Itoa(r.route.Priority)}
	h[headerDeadline] = []string{formatMillis(remaining)}
	h[headerQueueWait] = []string{formatMillis(wait.Limit())}
	if !r.firstSeen {
		h[headerLate] = []string{headerFlagValue}
	}
	if r.outbound.options.Balancer.IsHot(r.hotKey) {
		h[headerHotKey] = []string{headerFlagValue}
	}
	if !r.route.Kind.Idempotent() {
		h[headerOnce] = []string{headerFlagValue}
	}
	if r.route.Kind == routeconfig.KindDownload {
		h[headerBulk] = []string{bulkHeaderValue(shortWait)}
	}
	return h
}

// bulkHeaderValue returns the value of headerBulk.
func bulkHeaderValue(short bool) string {
	if short {
		return bulkShortWait
	}
	return bulkLongWait
}

// sidecarErrorOutcome returns the outcome of an attempt that failed with err
// before the endpoint's sidecar responded. Sent reports whether the request
// headers were written, in which case the sidecar may have read them.
// Failures that the sidecar caused are recorded on the endpoint.
func (r *outboundRequest) sidecarErrorOutcome(ctx context.Context, endpoint *loadbalancer.Endpoint, sent bool, err error) retry.Outcome {
	switch {
	case r.isCanceled():
		return retry.Canceled
	case !sent && (isDialError(err) || ctx.Err() == nil):
		endpoint.NodeFailed()
		return retry.Rejected
	case !sent:
		return retry.Rejected
	case ctx.Err() != nil:
		return retry.TimedOut
	}
	endpoint.NodeFailed()
	r.outbound.options.Log.Warn("lost the connection to a peer node", "endpoint", endpoint.ID(), "error", err)
	return retry.Failed
}

const (
	// unhealthyEjectionTime is the ejection time of an endpoint whose sidecar rejects
	// requests because the endpoint is unhealthy or missing, or because the sidecar is
	// stopping.
	unhealthyEjectionTime = 200 * time.Millisecond
	// unreachableEjectionTime is the ejection time of an endpoint that its sidecar could
	// not connect to.
	unreachableEjectionTime = 300 * time.Millisecond
)

// misdirectedReason is the reason that a sidecar reports for a declined attempt
// if the endpoint is not the incarnation that the request was addressed to.
var misdirectedReason = strconv.Itoa(http.StatusMisdirectedRequest)

// applySidecarOutcome updates the endpoint's state after its sidecar reported an
// attempt without a response from the endpoint, and returns the attempt's
// outcome.
func applySidecarOutcome(endpoint *loadbalancer.Endpoint, outcome nodeOutcome, reason string) retry.Outcome {
	switch outcome {
	case nodeRejected:
		switch endpointagent.RejectReason(reason) {
		case endpointagent.RejectedDraining, endpointagent.RejectedOtherIncarnation:
			endpoint.SetDraining()
		case endpointagent.RejectedUnhealthy, endpointagent.RejectedNoEndpoint, endpointagent.RejectedStopping:
			endpoint.EjectFor(unhealthyEjectionTime)
		}
		return retry.Rejected
	case nodeUnreachable:
		endpoint.EjectFor(unreachableEjectionTime)
		return retry.Rejected
	case nodeDeclined:
		if reason == misdirectedReason {
			endpoint.SetDraining()
		}
		return retry.Declined
	case nodeTimedOut:
		return retry.TimedOut
	}
	return retry.Failed
}
