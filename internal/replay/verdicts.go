package replay

import (
	"net/http"
	"slices"
	"time"

	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
)

// Verdict tells what a proposal does to a request that the recorded
// configuration does not.
type Verdict string

// The verdicts, in the order in which reports list them.
const (
	// VerdictDuplicated is that it must run once and may run twice.
	VerdictDuplicated Verdict = "doubled"
	// VerdictLost is that it gets no answer that tells whether it ran.
	VerdictLost Verdict = "vanished"
	// VerdictLate is that it is answered after its latency target, or reaches its time
	// limit.
	VerdictLate Verdict = "stalled"
	// VerdictRerouted is that it goes to another service.
	VerdictRerouted Verdict = "sent elsewhere"
	// VerdictRejected is that a node answers it with an error instead of an endpoint.
	VerdictRejected Verdict = "refused anew"
	// VerdictMissedTarget is that it may be retried and is not answered within its
	// latency target.
	VerdictMissedTarget Verdict = "not at the right place in time"
	// VerdictSessionMoved is that its session is assigned to another endpoint.
	VerdictSessionMoved Verdict = "session moved"
	// VerdictNotSent is that the request that it is a call of no longer runs at its
	// node.
	VerdictNotSent Verdict = "not asked: its parent does not run"
)

var allVerdicts = []Verdict{
	VerdictDuplicated, VerdictLost, VerdictLate, VerdictRerouted,
	VerdictRejected, VerdictMissedTarget, VerdictSessionMoved, VerdictNotSent,
}

// severeVerdicts are those that a change should not be pushed with.
var severeVerdicts = []Verdict{VerdictDuplicated, VerdictLost, VerdictLate}

// faults are the verdicts on one simulation of a request, before it is compared
// with the other. Whether it may run twice was decided by the configuration that
// it was recorded under: a proposal that calls it idempotent does not change it.
func faults(result *Result, runOnce bool, latencyTarget time.Duration) []Verdict {
	if result.clientGone {
		return nil
	}
	var out []Verdict
	answered, uncertain := countRuns(result.Attempts)
	if runOnce && answered+uncertain > 1 {
		out = append(out, VerdictDuplicated)
	}
	succeeded := result.answered && result.Code >= http.StatusOK && result.Code < http.StatusInternalServerError
	if !succeeded && answered == 0 && !tellsNotRun(result.Code) {
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

// countRuns counts the attempts that were answered, and those that may have run.
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

// tellsNotRun reports whether an error status tells the client that its request
// has not run.
func tellsNotRun(code int) bool {
	return localreply.GuaranteesNotRun(code) || code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

// newFaults are the faults under the proposal that are not there without it.
func newFaults(before, after []Verdict) []Verdict {
	return slices.DeleteFunc(slices.Clone(after), func(v Verdict) bool { return slices.Contains(before, v) })
}
