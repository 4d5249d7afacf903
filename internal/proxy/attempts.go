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
	// silentEjection is how long an endpoint is left out that was silent for too
	// long.
	silentEjection = time.Second
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
func (x *exchange) sendToEndpoints() (done bool) {
	x.outbound.options.RetryBudget.RecordRequest(x.service)
	for moves := 0; ; moves++ {
		x.startPlan()
		reply, answered := x.followPlan()
		if answered {
			return true
		}
		if !x.maySessionMove(reply, moves) {
			return x.giveUp(reply)
		}
		if x.findSessionEndpoint() {
			return true
		}
	}
}

func (x *exchange) startPlan() {
	earlier := x.plan
	bulk := loadbalancer.IsBulk(x.route.Kind, int64(len(x.body.kept)))
	x.plan = retry.NewPlan(x.outbound.options.Balancer, x.outbound.options.RetryBudget, x.route, x.service, bulk)
	x.plan.ContinueFrom(earlier)
	x.plan.PinTo(x.session.endpoint)
	x.plan.SetKey(x.hotKey)
}

// maySessionMove tells that the session's endpoint is leaving and has not run
// the request.
func (x *exchange) maySessionMove(reply localreply.Reply, moves int) bool {
	if x.session.endpoint == "" || x.plan.MayHaveRun() || x.body.remaining.endAttempt() {
		return false
	}
	if moves >= MaxSessionMoves || reply != localreply.NoEndpoint {
		return false
	}
	accepts, _ := x.outbound.options.Balancer.Accepts(x.service, x.session.endpoint)
	return !accepts
}

// followPlan makes the plan's attempts until an endpoint's answer has been
// relayed, or returns the reply with which the plan ends.
func (x *exchange) followPlan() (reply localreply.Reply, answered bool) {
	for time.Now().Before(x.deadline) && x.ctx.Err() == nil {
		endpoint, action := x.plan.Next()
		if action == retry.GiveUp {
			break
		}
		if action == retry.Wait {
			if !x.sleep(noEndpointPoll) {
				break
			}
			continue
		}
		result := x.tryEndpoint(endpoint)
		switch result.outcome {
		case retry.Answered:
			x.relay(result)
			return 0, true
		case retry.ClientGone:
			x.abort()
		}
		reply, ends := x.plan.AttemptFailed(result.endpoint, result.outcome, x.body.remaining.endAttempt())
		if ends {
			return reply, false
		}
	}
	return localreply.NoEndpoint, false
}

// attempt sends the request to an endpoint and reads the start of its answer.
// ShortWait tells that the request should not wait for long in the endpoint's
// queue, mayRetry that another endpoint may be tried.
func (x *exchange) attempt(ctx context.Context, endpoint *loadbalancer.Endpoint, shortWait, mayRetry bool) attemptResult {
	endpoint.BeginAttempt()
	defer endpoint.EndAttempt()
	usual := x.usualTime()
	silence := time.AfterFunc(retry.SilenceLimit(usual), func() { recordSilence(endpoint) })
	started := time.Now()
	result := attemptResult{endpoint: endpoint}
	if endpoint.IsDirect() {
		result.response, result.outcome = x.callEndpoint(ctx, endpoint)
	} else {
		result.response, result.outcome = x.callNode(ctx, endpoint, shortWait)
	}
	if result.outcome == retry.Answered {
		x.readAnswer(ctx, &result, mayRetry, usual)
	}
	result.took = time.Since(started)
	inTime := silence.Stop()
	x.record.addAttempt(x, result, started)
	if result.outcome == retry.Answered {
		x.recordAnswer(result)
	}
	if endpoint.IsDirect() {
		recordDirectResult(result, usual, inTime)
	}
	return result
}

// recordSilence notes that an endpoint has been silent for too long. Where a
// node stands beside the endpoint, that node judges it.
func recordSilence(endpoint *loadbalancer.Endpoint) {
	if endpoint.IsDirect() {
		endpoint.RecordResult(false, time.Now())
		endpoint.EjectFor(silentEjection)
	}
}

// readAnswer reads the start of an answer's body, unless it is a server error
// that another endpoint may not have.
func (x *exchange) readAnswer(ctx context.Context, result *attemptResult, mayRetry bool, usual time.Duration) {
	response := result.response
	if mayRetry && x.isWorthRetry(response, usual) {
		discard(response, maxDrained)
		result.outcome = retry.Failed
		return
	}
	var err error
	result.prefix, result.complete, err = readPrefix(response.Body, response.ContentLength, x.outbound.options.BufferLimit)
	if err != nil && x.request.Method != http.MethodHead {
		closeBody(response)
		result.outcome = x.failureOutcome(ctx)
	}
}

// isWorthRetry tells whether an endpoint's error should be tried elsewhere: the
// request may run twice, and there are time and budget for it.
func (x *exchange) isWorthRetry(response *http.Response, usual time.Duration) bool {
	return response.StatusCode >= 500 &&
		x.route.Kind.Idempotent() &&
		time.Until(x.deadline) > 2*usual &&
		x.outbound.options.RetryBudget.CanSpend(x.service)
}

// failureOutcome tells how an attempt ended that broke off.
func (x *exchange) failureOutcome(ctx context.Context) retry.Outcome {
	switch {
	case x.isClientGone():
		return retry.ClientGone
	case ctx.Err() != nil || x.isExpired():
		return retry.TimedOut
	}
	return retry.Failed
}

func (x *exchange) recordAnswer(result attemptResult) {
	x.outbound.routeStats.recordAnswer(x.route.Name, result.took)
	x.outbound.Flows.add(flowKey{
		route:    x.route.Name,
		kind:     x.route.Kind,
		service:  x.service,
		endpoint: result.endpoint.ID(),
		node:     result.endpoint.Node(),
		target:   x.route.LatencyTarget,
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
	case retry.ClientGone:
		return
	case retry.Declined, retry.Failed, retry.Unreachable:
		endpoint.RecordResult(false, now)
	}
	endpoint.DirectFailed()
}

// relay passes an endpoint's answer on to the client.
func (x *exchange) relay(result attemptResult) {
	if result.cancel != nil {
		x.onClose(result.cancel)
	}
	defer closeBody(result.response)
	x.outbound.pending.remove(x.pending)
	defer x.recordResponseTime()
	x.record.setReply(result.response.StatusCode, "")
	writeResponseHead(x.writer, x.request.Method, result.response, result.prefix, result.complete)
	writeResponseBody(x.writer, result.response, result.prefix, result.complete, x.outbound.options.Pacer, x.deadline)
}
