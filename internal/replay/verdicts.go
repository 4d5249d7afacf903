package replay

import (
	"net/http"
	"slices"
	"time"

	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
)

// Verdict is an effect on a request that occurs under the proposal, but not under the
// recorded configurations.
type Verdict string

// The verdicts, in the order in which reports list them.
const (
	// VerdictDuplicated means that a request that is not idempotent may run more than
	// once.
	VerdictDuplicated Verdict = "doubled"
	// VerdictLost means that the request fails and that the client cannot tell whether
	// it ran.
	VerdictLost Verdict = "vanished"
	// VerdictLate means that an endpoint's response exceeds the latency target, or that
	// the request reaches its time limit.
	VerdictLate Verdict = "stalled"
	// VerdictRerouted means that the request goes to another service.
	VerdictRerouted Verdict = "sent elsewhere"
	// VerdictRejected means that the node responds with an error of its own, where an
	// endpoint responded before.
	VerdictRejected Verdict = "refused anew"
	// VerdictMissedTarget means that an idempotent request fails or exceeds its latency
	// target.
	VerdictMissedTarget Verdict = "not at the right place in time"
	// VerdictSessionMoved means that the request's session is assigned to another
	// endpoint.
	VerdictSessionMoved Verdict = "session moved"
	// VerdictNotSent means that the request is a call whose parent request no longer
	// runs on the node that made the call.
	VerdictNotSent Verdict = "not asked: its parent does not run"
)

// allVerdicts lists the verdicts in the order of reports.
var allVerdicts = []Verdict{
	VerdictDuplicated, VerdictLost, VerdictLate, VerdictRerouted,
	VerdictRejected, VerdictMissedTarget, VerdictSessionMoved, VerdictNotSent,
}

// severeVerdicts are the verdicts with which a change should not be deployed.
var severeVerdicts = []Verdict{VerdictDuplicated, VerdictLost, VerdictLate}

// resultVerdicts returns the verdicts on a request's result in one simulation, without
// a comparison with the other simulation. The caller determines runOnce from the route
// kind that the request was recorded with, so that a proposal cannot make a request
// safe to repeat by declaring its route idempotent.
func resultVerdicts(result *Result, runOnce bool, latencyTarget time.Duration) []Verdict {
	if result.clientGone {
		return nil
	}
	var out []Verdict
	answered, uncertain := countRuns(result.Attempts)
	if runOnce && answered+uncertain > 1 {
		out = append(out, VerdictDuplicated)
	}
	succeeded := result.answered && result.Code >= http.StatusOK && result.Code < http.StatusInternalServerError
	if !succeeded && answered == 0 && !guaranteesNotRun(result.Code) {
		out = append(out, VerdictLost)
	}
	missedTarget := latencyTarget > 0 && result.took > latencyTarget
	if result.answered && missedTarget || result.timeLimit > 0 && result.took >= result.timeLimit {
		out = append(out, VerdictLate)
	}
	if !runOnce && (!succeeded || missedTarget) {
		out = append(out, VerdictMissedTarget)
	}
	return out
}

// countRuns returns the number of attempts that were answered, and the number of other
// attempts that the endpoint may have processed.
func countRuns(attempts []Attempt) (answered, uncertain int) {
	for _, a := range attempts {
		switch {
		case a.outcome == retry.Answered:
			answered++
		case a.mayHaveRun():
			uncertain++
		}
	}
	return answered, uncertain
}

// guaranteesNotRun reports whether an error status tells the client that the request
// was not processed: every 4xx status, and the local replies that guarantee it.
func guaranteesNotRun(code int) bool {
	return localreply.GuaranteesNotRun(code) || code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

// addedVerdicts returns the verdicts of after that are not in before.
func addedVerdicts(before, after []Verdict) []Verdict {
	return slices.DeleteFunc(slices.Clone(after), func(v Verdict) bool { return slices.Contains(before, v) })
}
