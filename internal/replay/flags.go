package replay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"corkcove/internal/proxy/localreply"
	"corkcove/internal/rpc/meshpb"
)

// Harm is what a proposal does to a flagged request.
type Harm string

const (
	// HarmSentTwice is that it must run once and may run twice.
	HarmSentTwice Harm = "sent twice"
	// HarmDropped is that it gets no endpoint's answer.
	HarmDropped Harm = "dropped"
	// HarmLeftWaiting is that it is answered too late.
	HarmLeftWaiting Harm = "left waiting"
)

// Flag names one watched request that a proposal would harm and that the
// recorded configuration does not.
type Flag struct {
	ID     string `json:"request"`
	Node   string `json:"node"`
	At     string `json:"at"`
	Route  string `json:"route"`
	Kind   string `json:"kind"`
	Parent string `json:"parent,omitempty"`
	Harm   Harm   `json:"what"`
	Reason string `json:"why"`
	Basis  Basis  `json:"basis"`
	atUs   int64
}

// watchList tells which requests are flagged: those that must not run twice,
// those on routes that endpoints call, and those on routes that the operator
// names.
type watchList struct {
	named  []string
	called map[string]bool
}

// routesOfCalls are those on which at least half the requests are calls of
// endpoints.
func routesOfCalls(recording *meshpb.ReplayFile, parents parentIndex) map[string]bool {
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

func (w watchList) has(route string) bool { return w.called[route] || slices.Contains(w.named, route) }

// watches tells whether the outcome is flagged if it is harmed.
func (w watchList) watches(o *requestComparison) bool {
	return o.runOnce || w.has(o.record.Route) || slices.Contains(w.named, o.after.Route)
}

// harm tells what the proposal does to a watched request, and why; "" if nothing.
func (o *requestComparison) harm() (harm Harm, reason string) {
	has := func(v Verdict) bool { return slices.Contains(o.verdicts, v) }
	result := o.after
	missedTarget := fmt.Sprintf("takes %d ms, its aim is %d ms", result.TookMs, o.latencyTarget.Milliseconds())
	switch {
	case has(VerdictDuplicated):
		return HarmSentTwice, fmt.Sprintf("kind %s lets it go on after it may have run: %s", result.Kind, attemptsText(possibleRuns(result.Attempts)))
	case has(VerdictLost):
		return HarmDropped, fmt.Sprintf("ends with %d after %d ms, and whether it ran is not known%s", result.Code, result.TookMs, o.shorterTimeout())
	case has(VerdictRejected) && !localreply.GuaranteesNotRun(result.Code):
		return HarmDropped, fmt.Sprintf("answered %d by the system: %s", result.Code, localReplyReason(result.Code))
	case has(VerdictRejected):
		return HarmDropped, fmt.Sprintf("refused with %d; it has not run, and its sender is told so", result.Code)
	case has(VerdictLate):
		return HarmLeftWaiting, missedTarget + o.shorterTimeout()
	case has(VerdictMissedTarget) && !o.runOnce && result.answered && result.Code < http.StatusInternalServerError:
		return HarmLeftWaiting, missedTarget
	case has(VerdictMissedTarget) && !o.runOnce:
		return HarmDropped, fmt.Sprintf("ends with %d after %d ms", result.Code, result.TookMs)
	}
	return "", ""
}

func possibleRuns(attempts []Attempt) []Attempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a Attempt) bool { return !a.mayHaveRun() })
}

// shorterTimeout adds to a reason that the proposal gives the request less time
// than it had.
func (o *requestComparison) shorterTimeout() string {
	limit := o.after.timeLimit
	if limit > 0 && (o.record.DueUs == 0 || limit < microseconds(o.record.DueUs)) {
		return fmt.Sprintf(" (the route's timeout is %d ms now)", limit.Milliseconds())
	}
	return ""
}

// localReplyReason tells why a node answers with an error of its own.
func localReplyReason(code int) string {
	switch code {
	case localreply.NoRoute.Code():
		return "no route"
	case localreply.Forbidden.Code():
		return "the route's policy bars it"
	case http.StatusRequestEntityTooLarge:
		return "its body is over the limit"
	}
	return "no endpoint gave an answer"
}

func flagsText(flags []Flag, limit int) string {
	if len(flags) == 0 {
		return "\nno purchase, payment, upload or check would be sent twice, dropped or left waiting anew\n"
	}
	counts := map[Harm]int{}
	for _, f := range flags {
		counts[f.Harm]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nflagged: %d %s, %d %s, %d %s\n", counts[HarmSentTwice], HarmSentTwice, counts[HarmDropped], HarmDropped, counts[HarmLeftWaiting], HarmLeftWaiting)
	for i, f := range flags {
		if i == limit {
			fmt.Fprintf(&b, "and %d more; --most shows them\n", len(flags)-i)
			break
		}
		fmt.Fprintf(&b, "%-12s %-18s %-26s %-16s %-10s %-8s %-13s %s\n", f.At, f.ID, f.Node, f.Route, f.Kind, f.Basis, f.Harm, f.Reason)
	}
	return b.String()
}
