package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"corkcove/internal/proxy"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// What would happen to a request that must happen once, or must answer quickly.
const (
	FlagSentTwice   = "sent twice"
	FlagDropped     = "dropped"
	FlagLeftWaiting = "left waiting"
)

// Flag tells of one purchase, refund, payment, upload or check that the new
// rules would harm and the old did not.
type Flag struct {
	ID     string `json:"request"`
	Node   string `json:"node"`
	At     string `json:"at"`
	Route  string `json:"route"`
	Kind   string `json:"kind"`
	Parent string `json:"parent,omitempty"`
	Harm   string `json:"what"`
	Reason string `json:"why"`
	Basis  string `json:"basis"`
	at     int64
}

// watch tells which requests are flagged: those that must not run twice, those
// that endpoints call, and those on routes that the operator names.
type watch struct {
	named  []string
	called map[string]bool
}

// calledRoutes are those on which most requests are calls of endpoints.
func calledRoutes(c *meshpb.ReplayFile, parents map[*meshpb.RequestRecord]*meshpb.RequestRecord) map[string]bool {
	all, calls := map[string]int{}, map[string]int{}
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			all[t.Route]++
			if parents[t] != nil {
				calls[t.Route]++
			}
		}
	}
	out := map[string]bool{}
	for r, n := range calls {
		out[r] = r != "" && 2*n >= all[r]
	}
	return out
}

func (w watch) has(t *meshpb.RequestRecord, f *Result, once bool) bool {
	return once || w.called[t.Route] || slices.Contains(w.named, t.Route) || slices.Contains(w.named, f.Route)
}

// harm gives what the new rules do to a watched request, and why.
func harm(t *meshpb.RequestRecord, verdicts []string, f *Result, once bool, aim time.Duration) (what, why string) {
	has := func(v string) bool { return slices.Contains(verdicts, v) }
	switch {
	case has(VerdictDuplicated):
		var at []string
		for _, r := range f.Attempts {
			if r.may() {
				at = append(at, r.Endpoint+" "+r.Outcome)
			}
		}
		return FlagSentTwice, fmt.Sprintf("kind %s lets it go on after it may have run: %s", f.Kind, strings.Join(at, ", "))
	case has(VerdictLost):
		return FlagDropped, fmt.Sprintf("ends with %d after %d ms, and whether it ran is not known%s", f.Code, f.TookMs, cutShort(t, f))
	case has(VerdictRejected) && !proxy.PromisesNotRun(f.Code):
		return FlagDropped, fmt.Sprintf("answered %d by the system: %s", f.Code, ownAnswer(f))
	case has(VerdictRejected):
		return FlagDropped, fmt.Sprintf("refused with %d; it has not run, and its sender is told so", f.Code)
	case has(VerdictLate):
		return FlagLeftWaiting, fmt.Sprintf("takes %d ms, its aim is %d ms%s", f.TookMs, aim.Milliseconds(), cutShort(t, f))
	case has(VerdictMissedTarget) && !once && f.answered && f.Code < 500:
		return FlagLeftWaiting, fmt.Sprintf("takes %d ms, its aim is %d ms", f.TookMs, aim.Milliseconds())
	case has(VerdictMissedTarget) && !once:
		return FlagDropped, fmt.Sprintf("ends with %d after %d ms", f.Code, f.TookMs)
	}
	return "", ""
}

func cutShort(t *meshpb.RequestRecord, f *Result) string {
	if f.due > 0 && (t.DueUs == 0 || f.due < time.Duration(t.DueUs)*time.Microsecond) {
		return fmt.Sprintf(" (the route's timeout is %d ms now)", f.due.Milliseconds())
	}
	return ""
}

func ownAnswer(f *Result) string {
	switch {
	case f.Code == proxy.NoRoute.Code():
		return "no route"
	case f.Code == proxy.Forbidden.Code():
		return "the route's policy bars it"
	case f.Code == 413:
		return "its body is over the limit"
	}
	return "no endpoint gave an answer"
}

// once tells that a request must not run twice under the rules it was carried
// under.
func once(t *meshpb.RequestRecord, old, then *Result) bool {
	k, known := routeconfig.ParseRouteKind(cmp.Or(t.Kind, old.Kind))
	return known && !k.Idempotent() || !known && then.Route != "" && !then.kind.Idempotent()
}

func flagsText(fs []Flag, most int) string {
	if len(fs) == 0 {
		return "\nno purchase, payment, upload or check would be sent twice, dropped or left waiting anew\n"
	}
	n := map[string]int{}
	for _, f := range fs {
		n[f.Harm]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nflagged: %d %s, %d %s, %d %s\n", n[FlagSentTwice], FlagSentTwice, n[FlagDropped], FlagDropped, n[FlagLeftWaiting], FlagLeftWaiting)
	for i, f := range fs {
		if i == most {
			fmt.Fprintf(&b, "and %d more; --most shows them\n", len(fs)-i)
			break
		}
		fmt.Fprintf(&b, "%-12s %-18s %-26s %-16s %-10s %-8s %-13s %s\n", f.At, f.ID, f.Node, f.Route, f.Kind, f.Basis, f.Harm, f.Reason)
	}
	return b.String()
}
