package replay

import (
	"fmt"
	"strings"
)

// Text formats the report as text. The summaries and the changed requests are
// restricted to those that filter selects. The lists of lost spans, flags, session
// moves and changed requests are cut off after limit entries each.
func (r *Report) Text(filter Filter, limit int) string {
	var b strings.Builder
	r.writeOverview(&b)
	r.writeDataQuality(&b, limit)
	b.WriteString(shiftsText(r.Shifts))
	b.WriteString(flagsText(r.Flags, limit))
	r.writeVerdicts(&b)
	r.writeSessions(&b, limit)
	r.writeSummaries(&b, filter)
	r.writeChangedRequests(&b, filter, limit)
	return b.String()
}

// writeOverview writes the size of the recording and what is missing from it.
func (r *Report) writeOverview(b *strings.Builder) {
	fmt.Fprintf(b, "%d requests at %d nodes in %.0f s; %d calls matched to a parent request; %d partly simulated by the model\n", r.Requests, r.Nodes, r.SpanSeconds, r.CallsWithParent, r.FromModel)
	if r.Dropped > 0 || r.Unfinished > 0 || r.NodesWithoutView > 0 {
		fmt.Fprintf(b, "missing: %d requests dropped from full ring buffers, %d still in progress; %d nodes without a view\n", r.Dropped, r.Unfinished, r.NodesWithoutView)
	}
	for _, node := range r.Unreachable {
		fmt.Fprintf(b, "%s did not answer: its requests are missing\n", node)
	}
}

// writeDataQuality writes how well the control run reproduces the recording and how
// complete the recording is.
func (r *Report) writeDataQuality(b *strings.Builder, limit int) {
	fmt.Fprintf(b, "control run: %.2f%% of the recorded requests not reproduced (limit: %.2f%%)\n", 100*r.ControlMismatch, 100*r.MaxMismatch)
	fmt.Fprintf(b, "coverage: the recording covers %.1f%% of its time span, averaged over all nodes (required: %.1f%%)\n", 100*r.Coverage, 100*r.MinCoverage)
	for i, lost := range r.LostSpans {
		if i == limit {
			fmt.Fprintf(b, "  and %d more nodes\n", len(r.LostSpans)-i)
			break
		}
		fmt.Fprintf(b, "  %s: %.1f s overwritten in its ring buffer (raise recordSet.requests)\n", lost.Node, lost.Seconds)
	}
	if r.ControlMismatch > r.MaxMismatch {
		b.WriteString("UNFIT FOR A DECISION: the control run does not reproduce the recording\n")
	}
	if r.Coverage < r.MinCoverage {
		b.WriteString("UNFIT FOR A DECISION: the recording's coverage is too low\n")
	}
}

func (r *Report) writeVerdicts(b *strings.Builder) {
	b.WriteString("\nrequests by verdict (new under the proposal):\n")
	for _, v := range allVerdicts {
		fmt.Fprintf(b, "%10d  %s\n", r.Verdicts[v], v)
	}
}

func (r *Report) writeSessions(b *strings.Builder, limit int) {
	fmt.Fprintf(b, "\nsessions: %d in the recording, %d moves under the proposal\n", r.Sessions, len(r.SessionMoves))
	for i, m := range r.SessionMoves {
		if i == limit {
			fmt.Fprintf(b, "  and %d more\n", len(r.SessionMoves)-i)
			break
		}
		fmt.Fprintf(b, "  %s from %s to %s: %s, at %s\n", m.Session, m.From, m.To, m.Reason, m.Node)
	}
}

func (r *Report) writeSummaries(b *strings.Builder, filter Filter) {
	fmt.Fprintf(b, "\n%-20s %-10s %-26s %9s  %s\n", "route", "kind", "node", "requests", "changed")
	for _, s := range r.Summaries {
		if len(s.Verdicts) == 0 || !filter.selectsSummary(s) {
			continue
		}
		fmt.Fprintf(b, "%-20s %-10s %-26s %9d  %s\n", s.Route, s.Kind, s.Node, s.Requests, verdictCountsText(s.Verdicts))
	}
}

func verdictCountsText(counts map[Verdict]int) string {
	var out []string
	for _, v := range allVerdicts {
		if counts[v] > 0 {
			out = append(out, fmt.Sprintf("%d %s", counts[v], v))
		}
	}
	return strings.Join(out, ", ")
}

func (r *Report) writeChangedRequests(b *strings.Builder, filter Filter, limit int) {
	n := 0
	for _, c := range r.ChangedRequests {
		if !filter.selects(c) {
			continue
		}
		if n++; n == 1 {
			fmt.Fprintf(b, "\n%-12s %-18s %-26s %-16s %-10s %-8s %s\n", "at", "request", "node", "route", "kind", "basis", "what")
		}
		if n > limit {
			continue
		}
		fmt.Fprintf(b, "%-12s %-18s %-26s %-16s %-10s %-8s %s: %s -> %s\n", c.At, c.ID, c.Node, c.route(), c.kind(), c.Basis,
			verdictsText(c.Verdicts), c.Old, c.New)
	}
	if n > limit {
		fmt.Fprintf(b, "and %d more; raise --limit to list them\n", n-limit)
	}
}

func verdictsText(verdicts []Verdict) string {
	var out []string
	for _, v := range verdicts {
		out = append(out, string(v))
	}
	return strings.Join(out, ", ")
}
