package proxy

import (
	"context"
	"net/http"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
)

const (
	// noEndpointRetryDelay is the pause before a request that found no endpoint
	// tries to choose one again.
	noEndpointRetryDelay = 20 * time.Millisecond
	// slowEjectionTime is the ejection time of a direct endpoint that does not respond
	// within retry.SlowThreshold.
	slowEjectionTime = time.Second
)

// attemptResult is the result of one attempt. An answered attempt keeps its
// connection until the response body is closed.
type attemptResult struct {
	endpoint *loadbalancer.Endpoint
	outcome  retry.Outcome
	response *http.Response
	// prefix is the start of the response body, or all of it if complete is set.
	prefix   []byte
	complete bool
	// duration is the time until the prefix was read or the attempt failed.
	duration time.Duration
	// cancel cancels the context of a hedgeable attempt; nil if the attempt uses
	// the request's context.
	cancel func()
}

// discard releases the resources of an attempt whose response is not needed.
func (r attemptResult) discard() {
	if r.response != nil {
		discard(r.response, maxDrainedBytes)
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// sendToEndpoints makes attempts until a response has been relayed or the plan
// gives up. If the session's endpoint no longer accepts requests, it looks up the
// session's new endpoint and starts over with a new plan.
func (r *outboundRequest) sendToEndpoints() (done bool) {
	r.outbound.options.RetryBudget.RecordRequest(r.service)
	for moves := 0; ; moves++ {
		r.resetPlan()
		reply, answered := r.executePlan()
		if answered {
			return true
		}
		if !r.sessionMayMove(reply, moves) {
			return r.giveUp(reply)
		}
		if r.findSessionEndpoint() {
			return true
		}
	}
}

// resetPlan replaces the plan, keeping the number of attempts that reached an
// endpoint under the earlier plan.
func (r *outboundRequest) resetPlan() {
	earlier := r.plan
	bulk := loadbalancer.IsBulk(r.route.Kind, int64(len(r.body.buffered)))
	r.plan = retry.NewPlan(r.outbound.options.Balancer, r.outbound.options.RetryBudget, r.route, r.service, bulk)
	r.plan.ContinueFrom(earlier)
	r.plan.PinTo(r.session.endpoint)
	r.plan.SetKey(r.hotKey)
}

// sessionMayMove reports whether the request may follow its session to another
// endpoint: the pinned one no longer accepts requests and has not run this one, no
// part of the body that cannot be resent was sent, and the limit on moves is not
// reached.
func (r *outboundRequest) sessionMayMove(reply localreply.Reply, moves int) bool {
	if r.session.endpoint == "" || r.plan.MayHaveRun() || r.body.remaining.endAttempt() {
		return false
	}
	if moves >= MaxSessionMoves || reply != localreply.NoEndpoint {
		return false
	}
	accepts, _ := r.outbound.options.Balancer.Accepts(r.service, r.session.endpoint)
	return !accepts
}

// executePlan makes the plan's attempts. It returns true once an endpoint's
// response has been relayed, or the reply for the client if the plan gives up.
func (r *outboundRequest) executePlan() (reply localreply.Reply, answered bool) {
	for time.Now().Before(r.deadline) && r.ctx.Err() == nil {
		if r.watch.detectClose() {
			r.abort()
		}
		endpoint, action := r.plan.Next()
		if action == retry.GiveUp {
			break
		}
		if action == retry.Wait {
			if !r.sleep(noEndpointRetryDelay) {
				break
			}
			continue
		}
		result := r.attemptWithHedge(endpoint)
		switch result.outcome {
		case retry.Answered:
			r.relay(result)
			return 0, true
		case retry.Canceled:
			r.abort()
		}
		reply, ends := r.plan.AttemptFailed(result.endpoint, result.outcome, r.body.remaining.endAttempt())
		if ends {
			return reply, false
		}
	}
	return localreply.NoEndpoint, false
}

// attempt sends the request to an endpoint and reads the start of its response.
// If shortWait is set, the request should not wait long in the endpoint's queue;
// if mayRetry is set, another endpoint may be tried after this one.
func (r *outboundRequest) attempt(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait, mayRetry bool) attemptResult {
	endpoint.BeginAttempt()
	defer endpoint.EndAttempt()
	average := r.averageResponseTime()
	slowTimer := time.AfterFunc(retry.SlowThreshold(average), func() { ejectSlowEndpoint(endpoint) })
	started := time.Now()
	result := attemptResult{endpoint: endpoint}
	if endpoint.IsDirect() {
		result.response, result.outcome = r.callEndpoint(ctx, endpoint)
	} else {
		result.response, result.outcome = r.callSidecar(ctx, endpoint, shortWait)
	}
	if result.outcome == retry.Answered {
		r.readResponseStart(ctx, &result, mayRetry, average)
	}
	result.duration = time.Since(started)
	inTime := slowTimer.Stop()
	r.record.addAttempt(r, result, started)
	if result.outcome == retry.Answered {
		r.recordAnsweredAttempt(result)
	}
	if endpoint.IsDirect() {
		recordDirectResult(result, average, inTime)
	}
	return result
}

// ejectSlowEndpoint records a failure of a direct endpoint that exceeded
// retry.SlowThreshold, and ejects it. The health of other endpoints is tracked by
// their sidecars.
func ejectSlowEndpoint(endpoint *loadbalancer.Endpoint) {
	if endpoint.IsDirect() {
		endpoint.RecordResult(false, time.Now())
		endpoint.EjectFor(slowEjectionTime)
	}
}

// readResponseStart reads the start of the response body into result. If the
// response is a server error that should be retried on another endpoint, it is
// discarded and the outcome becomes Failed.
func (r *outboundRequest) readResponseStart(ctx context.Context, result *attemptResult, mayRetry bool, average time.Duration) {
	response := result.response
	if mayRetry && r.shouldRetryServerError(response, average) {
		discard(response, maxDrainedBytes)
		result.outcome = retry.Failed
		return
	}
	var err error
	result.prefix, result.complete, err = readPrefix(response.Body, response.ContentLength, r.outbound.options.BufferLimit)
	if err != nil && r.request.Method != http.MethodHead {
		closeBody(response)
		result.outcome = r.failureOutcome(ctx)
	}
}

// shouldRetryServerError reports whether the response is a server error and the
// request should be retried on another endpoint: its route is idempotent, more
// than twice the average response time is left, and the retry budget allows it.
func (r *outboundRequest) shouldRetryServerError(response *http.Response, average time.Duration) bool {
	return response.StatusCode >= 500 &&
		r.route.Kind.Idempotent() &&
		time.Until(r.deadline) > 2*average &&
		r.outbound.options.RetryBudget.CanSpend(r.service)
}

// failureOutcome returns the outcome of an attempt that was interrupted after the
// request may have been read.
func (r *outboundRequest) failureOutcome(ctx context.Context) retry.Outcome {
	switch {
	case r.isCanceled():
		return retry.Canceled
	case ctx.Err() != nil || r.isExpired():
		return retry.TimedOut
	}
	return retry.Failed
}

// recordAnsweredAttempt adds an answered attempt to the route's average response
// time and to the flows.
func (r *outboundRequest) recordAnsweredAttempt(result attemptResult) {
	r.outbound.routeStats.recordDuration(r.route.Name, result.duration)
	r.outbound.Flows.add(flowKey{
		route:         r.route.Name,
		kind:          r.route.Kind,
		service:       r.service,
		endpoint:      result.endpoint.ID(),
		node:          result.endpoint.Node(),
		latencyTarget: r.route.LatencyTarget,
	}, result.duration)
}

// recordDirectResult updates the health state of an endpoint without a sidecar
// after an attempt. InTime reports whether the attempt ended within
// retry.SlowThreshold.
func recordDirectResult(result attemptResult, average time.Duration, inTime bool) {
	endpoint, now := result.endpoint, time.Now()
	switch result.outcome {
	case retry.Answered:
		success := result.response.StatusCode < 500
		endpoint.RecordResult(success && inTime, now)
		if success {
			endpoint.ClearFailures()
			if average > 0 {
				endpoint.RecordSlowness(float64(result.duration)/float64(average), now)
			}
			return
		}
	case retry.Canceled:
		return
	case retry.Declined, retry.Failed, retry.Unreachable:
		endpoint.RecordResult(false, now)
	}
	endpoint.DirectFailed()
}

// relay sends an endpoint's response to the client.
func (r *outboundRequest) relay(result attemptResult) {
	if result.cancel != nil {
		r.onClose(result.cancel)
	}
	defer closeBody(result.response)
	r.outbound.pending.remove(r.pending)
	r.record.setResponse(result.response.StatusCode, "")
	writeResponseHead(r.writer, r.request.Method, result.response, result.prefix, result.complete)
	writeResponseBody(r.writer, result.response, result.prefix, result.complete, r.outbound.options.Pacer, r.deadline)
}
