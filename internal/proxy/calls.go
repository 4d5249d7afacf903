package proxy

import (
	"bytes"
	"context"
	"io"
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

// attemptHeaders is for how many headers of its own a forwarded request has
// room.
const attemptHeaders = 6

// newHeaders returns the headers of an attempt at an endpoint.
func (x *exchange) newHeaders(endpoint *loadbalancer.Endpoint) http.Header {
	h := forwardedHeaders(x.request, attemptHeaders)
	delete(h, headerCaller)
	if service := x.outbound.options.Service; service != "" {
		h[headerCaller] = []string{service}
	}
	h[headerExpectInstance] = []string{endpoint.ID()}
	return h
}

// newRequest returns the request of an attempt to the address.
func (x *exchange) newRequest(ctx context.Context, addr string, headers http.Header) *http.Request {
	r := forwardedRequest(ctx, x.request, addr, headers)
	if x.body.complete {
		r.Body = singleUseBody{bytes.NewReader(x.body.kept)}
		if r.ContentLength < 0 {
			r.ContentLength = int64(len(x.body.kept))
		}
		return r
	}
	// The body is sent once the other side wants it, since it can't be sent again.
	headers["Expect"] = []string{"100-continue"}
	r.Body = singleUseBody{io.MultiReader(bytes.NewReader(x.body.kept), x.body.remaining.forAttempt())}
	return r
}

// forwardedRequest returns a request to the address with the method, target and
// length of one that is forwarded; its body is not set.
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

// callEndpoint dials the endpoint itself.
func (x *exchange) callEndpoint(ctx context.Context, endpoint *loadbalancer.Endpoint) (*http.Response, retry.Outcome) {
	headers := x.newHeaders(endpoint)
	headers[headerDeadline] = []string{formatMillis(time.Until(x.deadline) - x.outbound.options.DeadlineMargin)}
	request := x.newRequest(ctx, endpoint.Addr(), headers)
	response, outcome, err := x.outbound.options.AppClient.send(request, x.request.Header.Get(headerRequestID), x.route.Kind.Idempotent())
	switch outcome {
	case callAnswered:
		return response, retry.Answered
	case callDeclined:
		if response.StatusCode == http.StatusMisdirectedRequest {
			endpoint.MarkDraining()
		}
		return nil, retry.Declined
	case callDialFailed, callNotSent:
		if x.isClientGone() {
			return nil, retry.ClientGone
		}
		return nil, retry.Unreachable
	}
	failure := x.failureOutcome(ctx)
	if failure == retry.Failed {
		x.outbound.options.Log.Warn("endpoint closed its connection early", "endpoint", endpoint.ID(), "error", err)
	}
	return nil, failure
}

// callNode sends the request to the node beside the endpoint.
func (x *exchange) callNode(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait bool) (*http.Response, retry.Outcome) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	request := x.newRequest(ctx, endpoint.InboundAddr(), x.newNodeHeaders(endpoint, shortWait))
	response, err := x.outbound.options.Transport.RoundTrip(request)
	if err != nil {
		return nil, x.nodeCallFailed(ctx, endpoint, sent.Load(), err)
	}
	endpoint.ClearFailures()
	if load, ok := loadbalancer.ParseLoadReport(response.Header.Get(headerLoad)); ok {
		endpoint.ApplyLoadReport(load)
	}
	if outcome := response.Header.Get(headerOutcome); outcome != "" {
		closeBody(response)
		return nil, applyNodeOutcome(endpoint, nodeOutcome(outcome), response.Header.Get(headerReason))
	}
	if reason := invalidReason(response, x.request.Header.Get(headerRequestID), x.route.Kind.Idempotent()); reason != "" {
		closeBody(response)
		endpoint.NodeFailed()
		x.outbound.options.Log.Warn("rejected an invalid response of a peer node", "endpoint", endpoint.ID(), "reason", reason)
		return nil, retry.Failed
	}
	return response, retry.Answered
}

func (x *exchange) newNodeHeaders(endpoint *loadbalancer.Endpoint, shortWait bool) http.Header {
	h := x.newHeaders(endpoint)
	remaining := time.Until(x.deadline) - x.outbound.options.DeadlineMargin
	wait := retry.QueueWait{
		Target:    x.route.LatencyTarget,
		Passed:    time.Since(x.started),
		Remaining: remaining,
		Usual:     x.usualTime(),
		FirstSeen: x.firstSeen,
		Short:     shortWait,
	}
	h[headerPriority] = []string{strconv.Itoa(x.route.Priority)}
	h[headerDeadline] = []string{formatMillis(remaining)}
	h[headerQueueWait] = []string{formatMillis(wait.Limit())}
	if !x.firstSeen {
		h[headerLate] = []string{headerSet}
	}
	if x.outbound.options.Balancer.IsHot(x.hotKey) {
		h[headerHotKey] = []string{headerSet}
	}
	if !x.route.Kind.Idempotent() {
		h[headerOnce] = []string{headerSet}
	}
	if x.route.Kind == routeconfig.KindDownload {
		h[headerBulk] = []string{bulkWait(shortWait)}
	}
	return h
}

func bulkWait(short bool) string {
	if short {
		return bulkShortWait
	}
	return bulkLongWait
}

// nodeCallFailed tells how an attempt ended that got no response from the node
// beside the endpoint; sent tells that the node may have read it.
func (x *exchange) nodeCallFailed(ctx context.Context, endpoint *loadbalancer.Endpoint, sent bool, err error) retry.Outcome {
	switch {
	case x.isClientGone():
		return retry.ClientGone
	case !sent && (isDialError(err) || ctx.Err() == nil):
		endpoint.NodeFailed()
		return retry.Rejected
	case !sent:
		return retry.Rejected
	case ctx.Err() != nil:
		return retry.TimedOut
	}
	endpoint.NodeFailed()
	return retry.Failed
}

const (
	// unhealthyEjection is how long an endpoint is left out whose node does not
	// admit requests for now.
	unhealthyEjection = 200 * time.Millisecond
	// unreachableEjection is how long an endpoint is left out that its node did
	// not reach.
	unreachableEjection = 300 * time.Millisecond
)

// misdirected is the reason of a declined attempt by which the endpoint is
// another instance than was meant.
var misdirected = strconv.Itoa(http.StatusMisdirectedRequest)

// applyNodeOutcome takes in what the node beside an endpoint says of an attempt
// that brought no answer.
func applyNodeOutcome(endpoint *loadbalancer.Endpoint, outcome nodeOutcome, reason string) retry.Outcome {
	switch outcome {
	case nodeRejected:
		switch endpointagent.RejectReason(reason) {
		case endpointagent.RejectedDraining, endpointagent.RejectedOtherIncarnation:
			endpoint.MarkDraining()
		case endpointagent.RejectedUnhealthy, endpointagent.RejectedNoEndpoint, endpointagent.RejectedStopping:
			endpoint.EjectFor(unhealthyEjection)
		}
		return retry.Rejected
	case nodeUnreachable:
		endpoint.EjectFor(unreachableEjection)
		return retry.Rejected
	case nodeDeclined:
		if reason == misdirected {
			endpoint.MarkDraining()
		}
		return retry.Declined
	case nodeTimedOut:
		return retry.TimedOut
	}
	return retry.Failed
}
