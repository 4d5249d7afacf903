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
	// noEndpointPoll is how often a request that finds no endpoint looks again.
	noEndpointPoll = 20 * time.Millisecond
	// slowEjection is for how long an endpoint that did not answer in time is not
	// chosen.
	slowEjection = time.Second
)

// attemptResult is how one attempt ended; one that was answered still holds its
// connection.
type attemptResult struct {
	endpoint *loadbalancer.Endpoint
	outcome  retry.Outcome
	response *http.Response
	// prefix is the start of the response's body, all of it if complete.
	prefix   []byte
	complete bool
	took     time.Duration
	// cancel ends the attempt's context, where it has one of its own.
	cancel func()
}

// discard gives up the answer of an attempt that is not needed.
func (r attemptResult) discard() {
	if r.response != nil {
		discard(r.response, maxDrained)
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// sendToEndpoints makes attempts until an endpoint answers or the plan gives up.
func (r *outboundRequest) sendToEndpoints() (done bool) {
	r.outbound.options.RetryBudget.RecordRequest(r.service)
	for moves := 0; ; moves++ {
		r.startPlan()
		reply, answered := r.followPlan()
		if answered {
			return true
		}
		if !r.maySessionMove(reply, moves) {
			return r.giveUp(reply)
		}
		if r.findSessionEndpoint() {
			return true
		}
	}
}

func (r *outboundRequest) startPlan() {
	earlier := r.plan
	bulk := loadbalancer.IsBulk(r.route.Kind, int64(len(r.body.kept)))
	r.plan = retry.NewPlan(r.outbound.options.Balancer, r.outbound.options.RetryBudget, r.route, r.service, bulk)
	r.plan.ContinueFrom(earlier)
	r.plan.PinTo(r.session.endpoint)
	r.plan.SetKey(r.hotKey)
}

// maySessionMove tells that the session's endpoint is leaving and has not run
// the request.
func (r *outboundRequest) maySessionMove(reply localreply.Reply, moves int) bool {
	if r.session.endpoint == "" || r.plan.MayHaveRun() || r.body.remaining.endAttempt() {
		return false
	}
	if moves >= MaxSessionMoves || reply != localreply.NoEndpoint {
		return false
	}
	accepts, _ := r.outbound.options.Balancer.Accepts(r.service, r.session.endpoint)
	return !accepts
}

// followPlan makes the plan's attempts until an endpoint's answer has been
// relayed, or returns the reply with which the plan ends.
func (r *outboundRequest) followPlan() (reply localreply.Reply, answered bool) {
	for time.Now().Before(r.deadline) && r.ctx.Err() == nil {
		endpoint, action := r.plan.Next()
		if action == retry.GiveUp {
			break
		}
		if action == retry.Wait {
			if !r.sleep(noEndpointPoll) {
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

// attempt sends the request to an endpoint and reads the start of its answer.
// ShortWait tells that the request should not wait for long in the endpoint's
// queue, mayRetry that another endpoint may be tried.
func (r *outboundRequest) attempt(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait, mayRetry bool) attemptResult {
	endpoint.BeginAttempt()
	defer endpoint.EndAttempt()
	usual := r.usualTime()
	slow := time.AfterFunc(retry.SlowThreshold(usual), func() { recordSlowEndpoint(endpoint) })
	started := time.Now()
	result := attemptResult{endpoint: endpoint}
	if endpoint.IsDirect() {
		result.response, result.outcome = r.callEndpoint(ctx, endpoint)
	} else {
		result.response, result.outcome = r.callNode(ctx, endpoint, shortWait)
	}
	if result.outcome == retry.Answered {
		r.readAnswer(ctx, &result, mayRetry, usual)
	}
	result.took = time.Since(started)
	inTime := slow.Stop()
	r.record.addAttempt(r, result, started)
	if result.outcome == retry.Answered {
		r.recordAnswer(result)
	}
	if endpoint.IsDirect() {
		recordDirectResult(result, usual, inTime)
	}
	return result
}

// recordSlowEndpoint ejects an endpoint that has not answered for too long. An
// endpoint with a sidecar is judged by that sidecar instead.
func recordSlowEndpoint(endpoint *loadbalancer.Endpoint) {
	if endpoint.IsDirect() {
		endpoint.RecordResult(false, time.Now())
		endpoint.EjectFor(slowEjection)
	}
}

// readAnswer reads the start of an answer's body, unless it is a server error
// that another endpoint may not have.
func (r *outboundRequest) readAnswer(ctx context.Context, result *attemptResult, mayRetry bool, usual time.Duration) {
	response := result.response
	if mayRetry && r.shouldRetryError(response, usual) {
		discard(response, maxDrained)
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

// shouldRetryError tells whether an endpoint's error should be tried elsewhere: the
// request may run twice, and there are time and budget for it.
func (r *outboundRequest) shouldRetryError(response *http.Response, usual time.Duration) bool {
	return response.StatusCode >= 500 &&
		r.route.Kind.Idempotent() &&
		time.Until(r.deadline) > 2*usual &&
		r.outbound.options.RetryBudget.CanSpend(r.service)
}

// failureOutcome tells how an attempt ended that broke off.
func (r *outboundRequest) failureOutcome(ctx context.Context) retry.Outcome {
	switch {
	case r.isCanceled():
		return retry.Canceled
	case ctx.Err() != nil || r.isExpired():
		return retry.TimedOut
	}
	return retry.Failed
}

func (r *outboundRequest) recordAnswer(result attemptResult) {
	r.outbound.routeStats.recordAnswer(r.route.Name, result.took)
	r.outbound.Flows.add(flowKey{
		route:    r.route.Name,
		kind:     r.route.Kind,
		service:  r.service,
		endpoint: result.endpoint.ID(),
		node:     result.endpoint.Node(),
		target:   r.route.LatencyTarget,
	}, result.took)
}

// recordDirectResult notes how an endpoint without a node of its own answered.
func recordDirectResult(result attemptResult, usual time.Duration, inTime bool) {
	endpoint, now := result.endpoint, time.Now()
	switch result.outcome {
	case retry.Answered:
		success := result.response.StatusCode < 500
		endpoint.RecordResult(success && inTime, now)
		if success {
			endpoint.ClearFailures()
			if usual > 0 {
				endpoint.RecordSlowness(float64(result.took)/float64(usual), now)
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

// relay passes an endpoint's answer on to the client.
func (r *outboundRequest) relay(result attemptResult) {
	if result.cancel != nil {
		r.onClose(result.cancel)
	}
	defer closeBody(result.response)
	r.outbound.pending.remove(r.pending)
	defer r.recordResponseTime()
	r.record.setReply(result.response.StatusCode, "")
	writeResponseHead(r.writer, r.request.Method, result.response, result.prefix, result.complete)
	writeResponseBody(r.writer, result.response, result.prefix, result.complete, r.outbound.options.Pacer, r.deadline)
}
