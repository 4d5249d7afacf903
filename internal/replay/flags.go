package replay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"corkcove/internal/proxy/localreply"
	"corkcove/internal/rpc/meshpb"
)

// Harm classifies how a proposal would harm a watched request. The values are part of
// JSON reports, so they must not change.
type Harm string

const (
	// HarmDuplicated means that the request must not run twice, but may under the
	// proposal.
	HarmDuplicated Harm = "sent twice"
	// HarmDropped means that the request fails: a node answers it with an error, or
	// it ends without a successful response.
	HarmDropped Harm = "dropped"
	// HarmDelayed means that the response exceeds the latency target or that the
	// request reaches its time limit.
	HarmDelayed Harm = "left waiting"
)

// Flag reports one watched request that the proposal would harm and the recorded
// configuration does not.
type Flag struct {
	// ID is the request ID, Node the node where the request began.
	ID   string `json:"request"`
	Node string `json:"node"`
	// At is the time of day when the request began, in UTC.
	At string `json:"at"`
	// Route and Kind are those under the recorded configuration, or under the
	// proposal if the former has none.
	Route string `json:"route"`
	Kind  string `json:"kind"`
	// Parent is the ID of the request that an endpoint was handling when it made this
	// one; empty if there is none.
	Parent string `json:"parent,omitempty"`
	// Harm is how the proposal harms the request, Reason an explanation for operators.
	Harm   Harm   `json:"what"`
	Reason string `json:"why"`
	// Basis tells whether the result under the proposal was recorded or modelled.
	Basis Basis `json:"basis"`
	// atUs is At in microseconds since the Unix epoch.
	atUs int64
}

// watchList selects the requests that are flagged if the proposal harms them: those
// that must not run twice, those on routes that endpoints call, and those on routes
// that the operator names.
type watchList struct {
	// named has the routes of Options.WatchedRoutes, calledByEndpoints those that
	// routesCalledByEndpoints returns.
	named             []string
	calledByEndpoints map[string]bool
}

// routesCalledByEndpoints returns the routes on which at least half of the requests
// are calls that endpoints made.
func routesCalledByEndpoints(recording *meshpb.ReplayFile, parents parentIndex) map[string]bool {
	requests, calls := map[string]int{}, map[string]int{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			requests[record.Route]++
			if parents[record] != nil {
				calls[record.Route]++
			}
		}
	}
	out := map[string]bool{}
	for route, n := range calls {
		out[route] = route != "" && 2*n >= requests[route]
	}
	return out
}

func (w watchList) hasRoute(route string) bool {
	return w.calledByEndpoints[route] || slices.Contains(w.named, route)
}

// watches reports whether the request is flagged if the proposal harms it.
func (w watchList) watches(o *requestComparison) bool {
	return o.runOnce || w.hasRoute(o.record.Route) || slices.Contains(w.named, o.after.Route)
}

// harm returns how the proposal harms the request, and a reason for operators; both
// are empty if it does not.
func (o *requestComparison) harm() (harm Harm, reason string) {
	has := func(v Verdict) bool { return slices.Contains(o.verdicts, v) }
	result := o.after
	missedTarget := fmt.Sprintf("takes %d ms, the latency target is %d ms", result.TookMs, o.latencyTarget.Milliseconds())
	switch {
	case has(VerdictDuplicated):
		return HarmDuplicated, fmt.Sprintf("kind %s allows another attempt after one that may have run: %s", result.Kind, attemptsText(possibleRuns(result.Attempts)))
	case has(VerdictLost):
		return HarmDropped, fmt.Sprintf("ends with %d after %d ms, and may or may not have run%s", result.Code, result.TookMs, o.timeoutNote())
	case has(VerdictRejected) && !localreply.GuaranteesNotRun(result.Code):
		return HarmDropped, fmt.Sprintf("answered with %d by the node: %s", result.Code, localReplyReason(result.Code))
	case has(VerdictRejected):
		return HarmDropped, fmt.Sprintf("rejected with %d, which tells the client that it has not run", result.Code)
	case has(VerdictLate):
		return HarmDelayed, missedTarget + o.timeoutNote()
	case has(VerdictMissedTarget) && !o.runOnce && result.answered && result.Code < http.StatusInternalServerError:
		return HarmDelayed, missedTarget
	case has(VerdictMissedTarget) && !o.runOnce:
		return HarmDropped, fmt.Sprintf("ends with %d after %d ms", result.Code, result.TookMs)
	}
	return "", ""
}

// possibleRuns returns the attempts in which the endpoint may have run the request.
func possibleRuns(attempts []Attempt) []Attempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a Attempt) bool { return !a.mayHaveRun() })
}

// timeoutNote returns a suffix for a reason that states the time limit under the
// proposal. It is empty unless the limit is shorter than the recorded one or the
// recording has none.
func (o *requestComparison) timeoutNote() string {
	timeLimit := o.after.timeLimit
	if timeLimit > 0 && (o.record.DueUs == 0 || timeLimit < microseconds(o.record.DueUs)) {
		return fmt.Sprintf(" (the route's timeout becomes %d ms)", timeLimit.Milliseconds())
	}
	return ""
}

// localReplyReason returns why a node answers with an error instead of an endpoint.
func localReplyReason(code int) string {
	switch code {
	case localreply.NoRoute.Code():
		return "no route matches"
	case localreply.Forbidden.Code():
		return "the route's policy denies it"
	case http.StatusRequestEntityTooLarge:
		return "its body exceeds the limit"
	}
	return "no endpoint answered"
}

// flagsText formats the flags for an operator; the list ends after limit entries.
func flagsText(flags []Flag, limit int) string {
	if len(flags) == 0 {
		return "\nno watched request would newly be sent twice, dropped or left waiting\n"
	}
	counts := map[Harm]int{}
	for _, f := range flags {
		counts[f.Harm]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nflagged: %d %s, %d %s, %d %s\n", counts[HarmDuplicated], HarmDuplicated, counts[HarmDropped], HarmDropped, counts[HarmDelayed], HarmDelayed)
	for i, f := range flags {
		if i == limit {
			fmt.Fprintf(&b, "and %d more; raise --most to list them\n", len(flags)-i)
			break
		}
		fmt.Fprintf(&b, "%-12s %-18s %-26s %-16s %-10s %-8s %-13s %s\n", f.At, f.ID, f.Node, f.Route, f.Kind, f.Basis, f.Harm, f.Reason)
	}
	return b.String()
}
