package replay

import (
	"net/http"
	"slices"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/rpc/meshpb"
)

// rejectionLatency is how long a full endpoint takes to reject an attempt.
const rejectionLatency = time.Millisecond

// simulatedAttempt is an attempt in progress.
type simulatedAttempt struct {
	request  *simulatedRequest
	endpoint *loadbalancer.Endpoint
	model    *endpointModel
	startUs  int64
	done     func(Attempt)
}

// send starts an attempt at the endpoint and calls done when it ends. If the
// recorded request was sent to that endpoint, the recorded attempt is replayed;
// otherwise the endpoint's model determines the outcome.
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
		a.replayRecorded(recorded)
		return
	}
	r.result.FromModel = true
	a.predict()
}

// takeRecordedAttempt removes the first remaining recorded attempt at the endpoint
// and the request's current service, and returns it. It returns nil if there is
// none.
func (r *simulatedRequest) takeRecordedAttempt(endpoint string) *meshpb.Attempt {
	for i, recorded := range r.remainingAttempts {
		if recorded.Endpoint == endpoint && recorded.Service == r.result.Service {
			r.remainingAttempts = slices.Delete(r.remainingAttempts, i, i+1)
			return recorded
		}
	}
	return nil
}

// replayRecorded ends the attempt as recorded, or with a timeout at the request's
// deadline if that comes first.
func (a *simulatedAttempt) replayRecorded(recorded *meshpb.Attempt) {
	outcome, _ := retry.ParseOutcome(recorded.Outcome)
	endUs := a.startUs + recorded.TookUs
	if endUs > a.request.deadlineUs && outcome != retry.Canceled {
		endUs, outcome = a.request.deadlineUs, retry.TimedOut
	}
	result := a.result(outcome, int(recorded.Code), endUs)
	a.model.running++
	a.request.simulation.schedule(endUs, func() {
		a.model.releaseSlot()
		a.finish(result)
	})
}

// predict ends the attempt with an outcome sampled from the endpoint's model. If
// all slots are occupied, the attempt is queued, or rejected if it would wait too
// long.
func (a *simulatedAttempt) predict() {
	latency := a.request.routeLatency()
	if latency == 0 {
		latency = defaultLatency
	}
	sampled := a.request.sampleOutcome(a.model, latency)
	run := func() { a.occupySlot(sampled) }
	switch {
	case a.model.running < a.model.slots:
		run()
	case a.model.queueWait(latency) > a.maxQueueWait(latency):
		a.reject()
	default:
		a.model.queue = append(a.model.queue, run)
	}
}

// occupySlot occupies a slot for the sampled latency, or until the request's
// deadline.
func (a *simulatedAttempt) occupySlot(sampled recordedOutcome) {
	s := a.request.simulation
	a.model.running++
	endUs, outcome := s.nowUs+sampled.tookUs, sampled.outcome
	if endUs > a.request.deadlineUs {
		endUs, outcome = a.request.deadlineUs, retry.TimedOut
	}
	s.schedule(endUs, func() {
		a.model.releaseSlot()
		result := a.result(outcome, sampled.code, endUs)
		result.FromModel = true
		a.finish(result)
	})
}

// maxQueueWait returns how long the attempt may wait for a slot. A direct endpoint
// has no sidecar that limits its queue, so attempts may wait until the deadline.
func (a *simulatedAttempt) maxQueueWait(latency time.Duration) time.Duration {
	r := a.request
	if a.model.direct {
		return r.remaining()
	}
	return retry.QueueWait{LatencyTarget: r.route.LatencyTarget, Elapsed: r.elapsed(), Remaining: r.remaining(), MeanLatency: latency, FirstSeen: r.record.FirstSeen, ShortWait: r.plan.ShortWait()}.Limit()
}

// reject ends an attempt that would have to wait longer than maxQueueWait.
func (a *simulatedAttempt) reject() {
	outcome := retry.Rejected
	if a.model.direct {
		outcome = retry.Declined
	}
	endUs := a.startUs + rejectionLatency.Microseconds()
	result := a.result(outcome, 0, endUs)
	result.FromModel = true
	a.request.simulation.schedule(endUs, func() { a.finish(result) })
}

// result returns the attempt as part of the request's Result, given how and when it
// ended. outcome and code are those of the attempt, endUs is in virtual time.
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

// finish reports the end of the attempt to the load balancer and to the request.
func (a *simulatedAttempt) finish(result Attempt) {
	r := a.request
	latency := time.Duration(float64(r.routeLatency()) * a.model.relativeLatency)
	a.endpoint.EndAttempt()
	a.endpoint.SetLoad(a.model.load(), latency, r.simulation.nowUs*int64(time.Microsecond))
	a.done(result)
}

// sampleOutcome returns the outcome of an attempt that is not in the recording. It
// fails with the endpoint's recorded failure rate around the current time;
// otherwise it is answered after the latency that scaledLatency estimates.
func (r *simulatedRequest) sampleOutcome(model *endpointModel, routeLatency time.Duration) recordedOutcome {
	total, failures := model.outcomesAround(r.simulation.nowUs)
	if total >= minWindowOutcomes && len(failures) > 0 && r.random.Float64() < float64(len(failures))/float64(total) {
		return failures[r.random.IntN(len(failures))]
	}
	took := r.scaledLatency(model, routeLatency)
	return recordedOutcome{outcome: retry.Answered, code: http.StatusOK, tookUs: took.Microseconds()}
}

// scaledLatency estimates the request's latency at an endpoint from its last
// recorded successful attempt, scaled by the relative latencies of the two
// endpoints. Without such an attempt, it scales the mean latency of the route.
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
