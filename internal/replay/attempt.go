package replay

import (
	"net/http"
	"slices"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/rpc/meshpb"
)

// rejectionTime is how long it takes until a full endpoint has refused.
const rejectionTime = time.Millisecond

// simulatedAttempt is one attempt under way.
type simulatedAttempt struct {
	request  *simulatedRequest
	endpoint *loadbalancer.Endpoint
	model    *endpointModel
	startUs  int64
	done     func(Attempt)
}

// send begins an attempt at the endpoint and calls done once it has ended. It
// follows the recording where the request went to that endpoint, and the model
// where it did not.
func (r *simulatedRequest) send(endpoint *loadbalancer.Endpoint, done func(Attempt)) {
	a := &simulatedAttempt{
		request:  r,
		endpoint: endpoint,
		model:    r.simulation.model.endpoint(endpoint.ID()),
		startUs:  r.simulation.nowUs,
		done:     done,
	}
	endpoint.BeginAttempt()
	if recorded := r.takeRecordedAttempt(endpoint.ID()); recorded != nil {
		a.follow(recorded)
		return
	}
	r.result.FromModel = true
	a.predict()
}

// takeRecordedAttempt removes the first recorded attempt at the endpoint from
// those that have not been followed, and returns it; nil if there is none.
func (r *simulatedRequest) takeRecordedAttempt(endpoint string) *meshpb.Attempt {
	for i, recorded := range r.unplayed {
		if recorded.Endpoint == endpoint && recorded.Service == r.result.Service {
			r.unplayed = slices.Delete(r.unplayed, i, i+1)
			return recorded
		}
	}
	return nil
}

// follow ends the attempt as it was recorded, or at the deadline.
func (a *simulatedAttempt) follow(recorded *meshpb.Attempt) {
	outcome, _ := retry.ParseOutcome(recorded.Outcome)
	endUs := a.startUs + recorded.TookUs
	if endUs > a.request.deadlineUs && outcome != retry.Canceled {
		endUs, outcome = a.request.deadlineUs, retry.TimedOut
	}
	result := a.result(outcome, int(recorded.Code), endUs)
	a.model.running++
	a.request.simulation.schedule(endUs, func() {
		a.model.release()
		a.finish(result)
	})
}

// predict ends the attempt as the endpoint's model draws it. It waits for a slot
// where the endpoint lets it.
func (a *simulatedAttempt) predict() {
	latency := a.request.routeLatency()
	if latency == 0 {
		latency = unknownLatency
	}
	drawn := a.request.drawOutcome(a.model, latency)
	run := func() { a.runAs(drawn) }
	switch {
	case a.model.running < a.model.slots:
		run()
	case a.model.queueWait(latency) > a.maxQueueWait(latency):
		a.reject()
	default:
		a.model.queue = append(a.model.queue, run)
	}
}

// runAs occupies a slot for the drawn time, or until the deadline.
func (a *simulatedAttempt) runAs(drawn recordedOutcome) {
	s := a.request.simulation
	a.model.running++
	endUs, outcome := s.nowUs+drawn.tookUs, drawn.outcome
	if endUs > a.request.deadlineUs {
		endUs, outcome = a.request.deadlineUs, retry.TimedOut
	}
	s.schedule(endUs, func() {
		a.model.release()
		result := a.result(outcome, drawn.code, endUs)
		result.FromModel = true
		a.finish(result)
	})
}

// maxQueueWait is how long the attempt may wait for a slot: an endpoint without
// an agent beside it takes all until the deadline.
func (a *simulatedAttempt) maxQueueWait(latency time.Duration) time.Duration {
	r := a.request
	if a.model.direct {
		return r.remaining()
	}
	return retry.QueueWait{LatencyTarget: r.route.LatencyTarget, Elapsed: r.elapsed(), Remaining: r.remaining(), MeanLatency: latency, FirstSeen: r.record.FirstSeen, ShortWait: r.plan.ShortWait()}.Limit()
}

// reject ends the attempt at an endpoint whose queue is full.
func (a *simulatedAttempt) reject() {
	outcome := retry.Rejected
	if a.model.direct {
		outcome = retry.Declined
	}
	endUs := a.startUs + rejectionTime.Microseconds()
	result := a.result(outcome, 0, endUs)
	result.FromModel = true
	a.request.simulation.schedule(endUs, func() { a.finish(result) })
}

func (a *simulatedAttempt) result(outcome retry.Outcome, code int, endUs int64) Attempt {
	return Attempt{
		Endpoint: a.endpoint.ID(),
		Service:  a.request.result.Service,
		Outcome:  outcome.String(),
		AtMs:     microseconds(a.startUs - a.request.startUs).Milliseconds(),
		TookMs:   microseconds(endUs - a.startUs).Milliseconds(),
		outcome:  outcome,
		code:     code,
	}
}

// finish tells the load balancer and the request that the attempt has ended.
func (a *simulatedAttempt) finish(result Attempt) {
	r := a.request
	latency := time.Duration(float64(r.routeLatency()) * a.model.relativeLatency)
	a.endpoint.EndAttempt()
	a.endpoint.SetLoad(a.model.load(), latency, r.simulation.nowUs*int64(time.Microsecond))
	a.done(result)
}

// drawOutcome draws what would happen at an endpoint where the recording has
// nothing of this request: its own latency elsewhere, scaled by the two
// endpoints' relative latencies, and failures as often as the recording has them
// at that endpoint around that moment.
func (r *simulatedRequest) drawOutcome(model *endpointModel, routeLatency time.Duration) recordedOutcome {
	total, failures := model.outcomesAround(r.simulation.nowUs)
	if total >= minWindowOutcomes && len(failures) > 0 && r.random.Float64() < float64(len(failures))/float64(total) {
		return failures[r.random.IntN(len(failures))]
	}
	took := r.scaledLatency(model, routeLatency)
	return recordedOutcome{outcome: retry.Answered, code: http.StatusOK, tookUs: took.Microseconds()}
}

func (r *simulatedRequest) scaledLatency(model *endpointModel, routeLatency time.Duration) time.Duration {
	took := time.Duration(float64(routeLatency) * model.relativeLatency)
	for _, attempt := range r.record.Attempts {
		if attempt.Outcome == retry.Answered.String() && attempt.Code < http.StatusInternalServerError {
			other := max(r.simulation.model.endpoint(attempt.Endpoint).relativeLatency, minRelativeLatency)
			took = microseconds(int64(float64(attempt.TookUs) * model.relativeLatency / other))
		}
	}
	return took
}
