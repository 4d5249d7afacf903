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

// attemptHeaders is how many headers an attempt adds at most; the header map is
// allocated for them.
const attemptHeaders = 6

// newHeaders returns the headers of an attempt at an endpoint.
func (r *outboundRequest) newHeaders(endpoint *loadbalancer.Endpoint) http.Header {
	h := forwardedHeaders(r.request, attemptHeaders)
	delete(h, headerCaller)
	if service := r.outbound.options.Service; service != "" {
		h[headerCaller] = []string{service}
	}
	h[headerExpectInstance] = []string{endpoint.ID()}
	return h
}

// newRequest returns the request of an attempt to the address.
func (r *outboundRequest) newRequest(ctx context.Context, addr string, headers http.Header) *http.Request {
	attempt := forwardedRequest(ctx, r.request, addr, headers)
	if r.body.complete {
		attempt.Body = singleUseBody{bytes.NewReader(r.body.kept)}
		if attempt.ContentLength < 0 {
			attempt.ContentLength = int64(len(r.body.kept))
		}
		return attempt
	}
	// The body is sent once the other side wants it, since it can't be sent again.
	headers["Expect"] = []string{"100-continue"}
	attempt.Body = singleUseBody{io.MultiReader(bytes.NewReader(r.body.kept), r.body.remaining.forAttempt())}
	return attempt
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
		r.outbound.options.Log.Warn("endpoint closed its connection early", "endpoint", endpoint.ID(), "error", err)
	}
	return nil, failure
}

// callNode sends the request to the node beside the endpoint.
func (r *outboundRequest) callNode(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait bool) (*http.Response, retry.Outcome) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	request := r.newRequest(ctx, endpoint.InboundAddr(), r.newNodeHeaders(endpoint, shortWait))
	response, err := r.outbound.options.Transport.RoundTrip(request)
	if err != nil {
		return nil, r.nodeCallFailed(ctx, endpoint, sent.Load(), err)
	}
	endpoint.ClearFailures()
	if load, ok := loadbalancer.ParseLoadReport(response.Header.Get(headerLoad)); ok {
		endpoint.ApplyLoadReport(load)
	}
	if outcome := response.Header.Get(headerOutcome); outcome != "" {
		closeBody(response)
		return nil, applyNodeOutcome(endpoint, nodeOutcome(outcome), response.Header.Get(headerReason))
	}
	if reason := invalidReason(response, r.request.Header.Get(headerRequestID), r.route.Kind.Idempotent()); reason != "" {
		closeBody(response)
		endpoint.NodeFailed()
		r.outbound.options.Log.Warn("rejected an invalid response of a peer node", "endpoint", endpoint.ID(), "reason", reason)
		return nil, retry.Failed
	}
	return response, retry.Answered
}

func (r *outboundRequest) newNodeHeaders(endpoint *loadbalancer.Endpoint, shortWait bool) http.Header {
	h := r.newHeaders(endpoint)
	remaining := time.Until(r.deadline) - r.outbound.options.DeadlineMargin
	wait := retry.QueueWait{
		LatencyTarget: r.route.LatencyTarget,
		Elapsed:       time.Since(r.started),
		Remaining:     remaining,
		MeanLatency:   r.usualTime(),
		FirstSeen:     r.firstSeen,
		ShortWait:     shortWait,
	}
	h[headerPriority] = []string{strconv.Itoa(r.route.Priority)}
	h[headerDeadline] = []string{formatMillis(remaining)}
	h[headerQueueWait] = []string{formatMillis(wait.Limit())}
	if !r.firstSeen {
		h[headerLate] = []string{headerSet}
	}
	if r.outbound.options.Balancer.IsHot(r.hotKey) {
		h[headerHotKey] = []string{headerSet}
	}
	if !r.route.Kind.Idempotent() {
		h[headerOnce] = []string{headerSet}
	}
	if r.route.Kind == routeconfig.KindDownload {
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
func (r *outboundRequest) nodeCallFailed(ctx context.Context, endpoint *loadbalancer.Endpoint, sent bool, err error) retry.Outcome {
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
	return retry.Failed
}

const (
	// unhealthyEjection is for how long an endpoint is not chosen whose node does
	// not admit requests.
	unhealthyEjection = 200 * time.Millisecond
	// unreachableEjection is for how long an endpoint is not chosen that its node
	// did not reach.
	unreachableEjection = 300 * time.Millisecond
)

// misdirected is the reason of a declined attempt whose endpoint is another
// incarnation than the one that was meant.
var misdirected = strconv.Itoa(http.StatusMisdirectedRequest)

// applyNodeOutcome takes in what the node beside an endpoint says of an attempt
// that brought no answer.
func applyNodeOutcome(endpoint *loadbalancer.Endpoint, outcome nodeOutcome, reason string) retry.Outcome {
	switch outcome {
	case nodeRejected:
		switch endpointagent.RejectReason(reason) {
		case endpointagent.RejectedDraining, endpointagent.RejectedOtherIncarnation:
			endpoint.SetDraining()
		case endpointagent.RejectedUnhealthy, endpointagent.RejectedNoEndpoint, endpointagent.RejectedStopping:
			endpoint.EjectFor(unhealthyEjection)
		}
		return retry.Rejected
	case nodeUnreachable:
		endpoint.EjectFor(unreachableEjection)
		return retry.Rejected
	case nodeDeclined:
		if reason == misdirected {
			endpoint.SetDraining()
		}
		return retry.Declined
	case nodeTimedOut:
		return retry.TimedOut
	}
	return retry.Failed
}
