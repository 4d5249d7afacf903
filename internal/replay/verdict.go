package replay

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"corkcove/internal/proxy"
	"corkcove/internal/rpc/meshpb"
)

// What would become of a request.
const (
	VerdictDuplicated   = "doubled"
	VerdictLost         = "vanished"
	VerdictLate         = "stalled"
	VerdictRerouted     = "sent elsewhere"
	VerdictRejected     = "refused anew"
	VerdictMissedTarget = "not at the right place in time"
	VerdictSessionMoved = "session moved"
	VerdictNotSent      = "not asked: its parent does not run"
)

// grave verdicts make a change one that should not be pushed.
var grave = map[string]bool{VerdictDuplicated: true, VerdictLost: true, VerdictLate: true}

// Line tells of one request that the new rules treat otherwise.
type ChangedRequest struct {
	ID       string   `json:"request"`
	Node     string   `json:"node"`
	At       string   `json:"at"`
	Host     string   `json:"host"`
	Path     string   `json:"path"`
	Parent   string   `json:"parent,omitempty"`
	Session  string   `json:"session,omitempty"`
	Verdicts []string `json:"verdicts"`
	Basis    string   `json:"basis"`
	Old      Result   `json:"old"`
	New      Result   `json:"new"`
	at       int64
}

type RouteSummary struct {
	Route    string         `json:"binding"`
	Kind     string         `json:"kind"`
	Node     string         `json:"node"`
	Requests int            `json:"requests"`
	Verdicts map[string]int `json:"verdicts"`
}

type SessionMove struct {
	Session string `json:"session"`
	From    string `json:"from"`
	To      string `json:"to"`
	Reason  string `json:"why"`
	Request string `json:"request"`
	Node    string `json:"node"`
}

type Report struct {
	Nodes            int              `json:"nodes"`
	Requests         int              `json:"requests"`
	SpanSeconds      float64          `json:"spanS"`
	Unreachable      []string         `json:"didNotAnswer"`
	Dropped          uint64           `json:"dropped"`
	Unfinished       uint64           `json:"unfinished"`
	NodesWithoutView int              `json:"withoutView"`
	ControlMismatch  float64          `json:"controlOff"`
	MaxMismatch      float64          `json:"controlAllowed"`
	Usable           bool             `json:"fit"`
	Verdicts         map[string]int   `json:"verdicts"`
	Summaries        []RouteSummary   `json:"sums"`
	ChangedRequests  []ChangedRequest `json:"requestsChanged"`
	Sessions         int              `json:"sessions"`
	SessionMoves     []SessionMove    `json:"sessionMoves"`
	CallsWithParent  int              `json:"callsWithParent"`
	FromModel        int              `json:"fromModel"`
	Shifts           []Shift          `json:"shifts"`
	Flags            []Flag           `json:"flags"`
	// Coverage is the share of what the nodes carried in the span that the
	// record still has.
	Coverage    float64    `json:"coverage"`
	MinCoverage float64    `json:"coverageNeeded"`
	LostSpans   []LostSpan `json:"lost"`
}

// Loss tells how much of the span one node's ring no longer has.
type LostSpan struct {
	Node    string  `json:"node"`
	Seconds float64 `json:"lostS"`
}

type Filter struct{ Route, Kind, Node, Verdict string }

func (f Filter) fits(l ChangedRequest) bool {
	b := cmp.Or(l.Old.Route, l.New.Route)
	k := cmp.Or(l.Old.Kind, l.New.Kind)
	return (f.Route == "" || f.Route == b) && (f.Kind == "" || f.Kind == k) && (f.Node == "" || f.Node == l.Node) &&
		(f.Verdict == "" || slices.Contains(l.Verdicts, f.Verdict))
}

// faults judges one playing of a request. Whether it may run twice was decided
// by the rules it was carried under, and is not changed by calling it pure.
func faults(t *meshpb.RequestRecord, f *Result, once bool, aim time.Duration) map[string]bool {
	out := map[string]bool{}
	if f.quit {
		return out
	}
	ran, unsure := 0, 0
	at := map[string]bool{}
	for _, r := range f.Attempts {
		if !r.may() {
			continue
		}
		if r.fate == proxy.Answered {
			ran++
		} else {
			unsure++
		}
		at[r.Endpoint] = true
	}
	if once && ran+unsure > 1 {
		out[VerdictDuplicated] = true
	}
	good := f.Code >= 200 && f.Code < 500 && f.answered
	if !good && ran == 0 && !proxy.PromisesNotRun(f.Code) && !(f.Code >= 400 && f.Code < 500) {
		out[VerdictLost] = true
	}
	switch {
	case f.answered && aim > 0 && f.took > aim, f.due > 0 && f.took >= f.due:
		out[VerdictLate] = true
	}
	if !once && !(good && (aim == 0 || f.took <= aim)) {
		out[VerdictMissedTarget] = true
	}
	return out
}

// Bars are what a record must meet before it is decided on, and what is told
// apart and watched.
type Options struct {
	// Off is the share of the record that the old rules may fail to give back.
	MaxMismatch float64
	// Coverage is the share of what was carried that the record must still have.
	MinCoverage   float64
	ByNode        bool
	WatchedRoutes []string
	// Settle is how much of the record's beginning is played but not counted in
	// the flows: widths of hot keys need a while.
	WarmUp time.Duration
}

// coverage tells how much of the span the record has, node by node; one that
// did not answer has nothing.
func (r *Report) coverage(c *meshpb.ReplayFile) {
	kept := 0.0
	for _, n := range c.Nodes {
		span := float64(min(c.SpanUs, max(n.NowUs-n.BeganUs, 1)))
		if c.SpanUs == 0 || n.NowUs == 0 {
			span = 1
		}
		lost := min(max(float64(n.LostUs), 0)/span, 1)
		kept += 1 - lost
		if n.LostUs > 0 {
			r.LostSpans = append(r.LostSpans, LostSpan{n.Node, float64(n.LostUs) / 1e6})
		}
	}
	r.Coverage = kept / float64(max(len(c.Nodes)+len(c.Unreachable), 1))
}

// start is when the record's first request began.
func start(c *meshpb.ReplayFile) int64 {
	first := int64(1 << 62)
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			first = min(first, t.AtUs)
		}
	}
	return first
}

// Play plays the record under the old rules and under the new ones, and tells
// what differs.
func Simulate(c *meshpb.ReplayFile, r Scenario, b Options) (*Report, error) {
	was, err := newWorld(c, Scenario{Seed: r.Seed})
	if err != nil {
		return nil, err
	}
	was.seed()
	was.play()
	now, err := newWorld(c, r)
	if err != nil {
		return nil, err
	}
	now.seed()
	now.play()
	rep := &Report{Nodes: len(c.Nodes), SpanSeconds: float64(c.SpanUs) / 1e6, Unreachable: append([]string{}, c.Unreachable...), MaxMismatch: b.MaxMismatch, MinCoverage: b.MinCoverage, Verdicts: map[string]int{},
		ChangedRequests: []ChangedRequest{}, Summaries: []RouteSummary{}, SessionMoves: []SessionMove{}, Flags: []Flag{}, LostSpans: []LostSpan{}}
	rep.coverage(c)
	nodes := nodesOf(c)
	parents := join(c, nodes)
	w := watch{b.WatchedRoutes, calledRoutes(c, parents)}
	fl := &flows{atlas: atlasOf(c), byNode: b.ByNode, from: start(c) + b.WarmUp.Microseconds(), m: map[Flow]*Shift{}}
	off := 0
	type sumKey struct{ b, k, n string }
	sums := map[sumKey]*RouteSummary{}
	sessions := map[string]bool{}
	runsAt := func(w *world, p *meshpb.RequestRecord, node string) bool {
		if p == nil {
			return true
		}
		f := w.fares[p]
		for _, r := range f.Attempts {
			if r.may() && nodes[r.Endpoint] == node {
				return true
			}
		}
		return false
	}
	for _, n := range c.Nodes {
		rep.Dropped += n.Dropped
		rep.Unfinished += n.Unfinished
		if len(n.Views) == 0 {
			rep.NodesWithoutView++
		}
		for _, t := range n.Records {
			rep.Requests++
			old, then := was.fares[t], now.fares[t]
			if !same(t, old) {
				off++
			}
			once := once(t, old, then)
			fl.add(n, t, old, then)
			aim := old.aim
			if aim == 0 || then.aim > 0 && then.aim < aim {
				aim = then.aim
			}
			before, after := faults(t, old, once, aim), faults(t, then, once, aim)
			var vs []string
			for v := range after {
				if !before[v] {
					vs = append(vs, v)
				}
			}
			if len(then.Attempts) > 0 && len(old.Attempts) > 0 && then.Service != old.Service {
				vs = append(vs, VerdictRerouted)
			}
			if then.Code >= 400 && then.Code < 600 && !then.answered && old.answered && !after[VerdictLost] {
				vs = append(vs, VerdictRejected)
			}
			if t.Session != "" {
				sessions[t.Session+" "+old.Service] = true
				if old.SessionEndpoint != "" && then.SessionEndpoint != "" && old.SessionEndpoint != then.SessionEndpoint {
					vs = append(vs, VerdictSessionMoved)
				}
			}
			p := parents[t]
			if p != nil {
				rep.CallsWithParent++
				if !runsAt(now, p, n.Node) && runsAt(was, p, n.Node) {
					vs = []string{VerdictNotSent}
				}
			}
			if then.FromModel {
				rep.FromModel++
			}
			sk := sumKey{cmp.Or(old.Route, then.Route, "(none)"), cmp.Or(old.Kind, then.Kind), n.Node}
			s := sums[sk]
			if s == nil {
				s = &RouteSummary{Route: sk.b, Kind: sk.k, Node: sk.n, Verdicts: map[string]int{}}
				sums[sk] = s
			}
			s.Requests++
			if len(vs) == 0 {
				continue
			}
			slices.Sort(vs)
			for _, v := range vs {
				s.Verdicts[v]++
				rep.Verdicts[v]++
			}
			l := ChangedRequest{ID: t.Id, Node: n.Node, At: time.UnixMicro(t.AtUs).UTC().Format("15:04:05.000"), Host: t.Host, Path: pathOf(t.Target), Session: t.Session,
				Verdicts: vs, Basis: "record", Old: *old, New: *then, at: t.AtUs}
			if then.FromModel {
				l.Basis = "model"
			}
			if p != nil {
				l.Parent = p.Id
			}
			rep.ChangedRequests = append(rep.ChangedRequests, l)
			if w.has(t, then, once) {
				if what, why := harm(t, vs, then, once, aim); what != "" {
					rep.Flags = append(rep.Flags, Flag{ID: l.ID, Node: l.Node, At: l.At, Route: sk.b, Kind: sk.k, Parent: l.Parent, Harm: what, Reason: why, Basis: l.Basis, at: l.at})
				}
			}
		}
	}
	for _, n := range now.nodes {
		_, ms, _ := n.cords.Report(0)
		for _, m := range ms {
			rep.SessionMoves = append(rep.SessionMoves, SessionMove{Session: m.Key, From: m.Service + " " + m.From, To: m.ToService + " " + m.To, Reason: m.Why, Node: n.r.Node})
		}
	}
	slices.SortFunc(rep.SessionMoves, func(a, b SessionMove) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Node, b.Node))
	})
	rep.Sessions = len(sessions)
	rep.ControlMismatch = float64(off) / float64(max(rep.Requests, 1))
	rep.Usable = rep.ControlMismatch <= b.MaxMismatch && rep.Coverage >= b.MinCoverage
	rep.Shifts = fl.shifts()
	sort.SliceStable(rep.Flags, func(i, j int) bool { return rep.Flags[i].at < rep.Flags[j].at })
	for _, s := range sums {
		rep.Summaries = append(rep.Summaries, *s)
	}
	sort.Slice(rep.Summaries, func(i, j int) bool {
		a, b := rep.Summaries[i], rep.Summaries[j]
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node, b.Node)) < 0
	})
	sort.SliceStable(rep.ChangedRequests, func(i, j int) bool { return rep.ChangedRequests[i].at < rep.ChangedRequests[j].at })
	return rep, nil
}

// seed plugs sessions in where the record has them first.
func (w *world) seed() {
	type at struct{ key, service string }
	first := map[at]*meshpb.RequestRecord{}
	for _, n := range w.c.Nodes {
		for _, t := range n.Records {
			if t.Session == "" || len(t.Attempts) == 0 {
				continue
			}
			k := at{t.Session, t.Service}
			if o := first[k]; o == nil || t.AtUs < o.AtUs {
				first[k] = t
			}
		}
	}
	for k, t := range first {
		p := &meshpb.Pin{Key: k.key, Service: k.service, Endpoint: t.Attempts[0].Endpoint, Config: t.Config}
		w.pins.Apply(&meshpb.Change{Pin: p}, time.Hour)
		for _, n := range w.nodes {
			n.cords.Add(p.Key, p.Service, p.Endpoint)
		}
	}
}

// same tells whether the playing under the old rules gave back what was
// recorded.
func same(t *meshpb.RequestRecord, f *Result) bool {
	if f.quit {
		return true
	}
	if t.Code == 0 && len(t.Attempts) == 0 {
		return true
	}
	if int(t.Code) != f.Code && !(t.Code == 0) {
		return false
	}
	if len(t.Attempts) != len(f.Attempts) {
		return false
	}
	seen := map[string]int{}
	for _, d := range t.Attempts {
		seen[d.Endpoint+d.Outcome]++
	}
	for _, r := range f.Attempts {
		seen[r.Endpoint+r.Outcome]--
	}
	for _, n := range seen {
		if n != 0 {
			return false
		}
	}
	return true
}

func nodesOf(c *meshpb.ReplayFile) map[string]string {
	out := map[string]string{}
	for _, v := range c.Views {
		for _, e := range v.Endpoints {
			out[e.Id] = e.Node
		}
	}
	return out
}

// firsthand tells which deadlines of a binding user agents ask with: those come
// again and again, while a call has what is left of its parent's.
func firsthand(c *meshpb.ReplayFile) func(*meshpb.RequestRecord) bool {
	type ask struct {
		binding string
		ms      int64
	}
	all, same := map[string]int{}, map[ask]int{}
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			all[t.Route]++
			same[ask{t.Route, t.DeadlineUs / 1000}]++
		}
	}
	return func(t *meshpb.RequestRecord) bool {
		n := same[ask{t.Route, t.DeadlineUs / 1000}]
		return n >= 3 && 10*n >= all[t.Route]
	}
}

// join finds the parent of each call that an endpoint made: the one request
// that its endpoint was at work on then, and that ends with the same deadline.
func join(c *meshpb.ReplayFile, nodeOf map[string]string) map[*meshpb.RequestRecord]*meshpb.RequestRecord {
	type work struct {
		t        *meshpb.RequestRecord
		from, to int64
		due      int64
	}
	at := map[string][]work{}
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			for _, d := range t.Attempts {
				if x := nodeOf[d.Endpoint]; x != "" {
					at[x] = append(at[x], work{t, t.AtUs + d.AtUs, t.AtUs + d.AtUs + d.TookUs, t.AtUs + t.DueUs})
				}
			}
		}
	}
	const slack = int64(25 * time.Millisecond / time.Microsecond)
	own := firsthand(c)
	out := map[*meshpb.RequestRecord]*meshpb.RequestRecord{}
	for _, n := range c.Nodes {
		ws := at[n.Node]
		for _, t := range n.Records {
			if own(t) {
				continue
			}
			var found *meshpb.RequestRecord
			many := false
			for _, w := range ws {
				if w.t == t || t.AtUs < w.from || t.AtUs > w.to || t.DeadlineUs == 0 {
					continue
				}
				if d := t.AtUs + t.DeadlineUs - w.due; d < -slack || d > slack/5 {
					continue
				}
				many = many || found != nil && found != w.t
				found = w.t
			}
			if found != nil && !many {
				out[t] = found
			}
		}
	}
	return out
}

// Grave counts what the new rules would do that the old did not.
func (r *Report) SevereCount() int {
	n := 0
	for v, k := range r.Verdicts {
		if grave[v] {
			n += k
		}
	}
	return n
}

func (r *Report) Text(f Filter, most int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests at %d nodes in %.0f s; %d calls joined to their parents; %d followed the model at some point\n", r.Requests, r.Nodes, r.SpanSeconds, r.CallsWithParent, r.FromModel)
	if r.Dropped > 0 || r.Unfinished > 0 || r.NodesWithoutView > 0 {
		fmt.Fprintf(&b, "missing: %d dropped by full records, %d still under way, %d nodes without a view\n", r.Dropped, r.Unfinished, r.NodesWithoutView)
	}
	for _, s := range r.Unreachable {
		fmt.Fprintf(&b, "%s did not answer: its requests are missing\n", s)
	}
	fmt.Fprintf(&b, "control: the old rules give back all but %.2f%% of what was recorded (allowed: %.2f%%)\n", 100*r.ControlMismatch, 100*r.MaxMismatch)
	fmt.Fprintf(&b, "coverage: the record has %.1f%% of what the nodes carried in its span (needed: %.1f%%)\n", 100*r.Coverage, 100*r.MinCoverage)
	for i, l := range r.LostSpans {
		if i == most {
			fmt.Fprintf(&b, "  and %d more nodes\n", len(r.LostSpans)-i)
			break
		}
		fmt.Fprintf(&b, "  %s: its ring lost %.1f s (recordSet.requests)\n", l.Node, l.Seconds)
	}
	if r.ControlMismatch > r.MaxMismatch {
		b.WriteString("UNFIT TO DECIDE ON: the playing does not give back what happened\n")
	}
	if r.Coverage < r.MinCoverage {
		b.WriteString("UNFIT TO DECIDE ON: too much of what was carried is missing\n")
	}
	b.WriteString(shiftsText(r.Shifts))
	b.WriteString(flagsText(r.Flags, most))
	b.WriteString("\nunder the new rules, and not under the old:\n")
	names := []string{VerdictDuplicated, VerdictLost, VerdictLate, VerdictRerouted, VerdictRejected, VerdictMissedTarget, VerdictSessionMoved, VerdictNotSent}
	for _, v := range names {
		fmt.Fprintf(&b, "%10d  %s\n", r.Verdicts[v], v)
	}
	fmt.Fprintf(&b, "\nsessions: %d open, %d moves\n", r.Sessions, len(r.SessionMoves))
	for i, m := range r.SessionMoves {
		if i == most {
			fmt.Fprintf(&b, "  and %d more\n", len(r.SessionMoves)-i)
			break
		}
		fmt.Fprintf(&b, "  %s from %s to %s: %s, at %s\n", m.Session, m.From, m.To, m.Reason, m.Node)
	}
	fmt.Fprintf(&b, "\n%-20s %-10s %-26s %9s  %s\n", "route", "kind", "node", "requests", "changed")
	for _, s := range r.Summaries {
		if len(s.Verdicts) == 0 || f.Route != "" && f.Route != s.Route || f.Kind != "" && f.Kind != s.Kind || f.Node != "" && f.Node != s.Node {
			continue
		}
		var cs []string
		for _, v := range names {
			if s.Verdicts[v] > 0 {
				cs = append(cs, fmt.Sprintf("%d %s", s.Verdicts[v], v))
			}
		}
		fmt.Fprintf(&b, "%-20s %-10s %-26s %9d  %s\n", s.Route, s.Kind, s.Node, s.Requests, strings.Join(cs, ", "))
	}
	n := 0
	for _, l := range r.ChangedRequests {
		if !f.fits(l) {
			continue
		}
		if n++; n == 1 {
			fmt.Fprintf(&b, "\n%-12s %-18s %-26s %-16s %-10s %-8s %s\n", "at", "request", "node", "route", "kind", "basis", "what")
		}
		if n > most {
			continue
		}
		fmt.Fprintf(&b, "%-12s %-18s %-26s %-16s %-10s %-8s %s: %s -> %s\n", l.At, l.ID, l.Node, cmp.Or(l.Old.Route, l.New.Route), cmp.Or(l.Old.Kind, l.New.Kind), l.Basis,
			strings.Join(l.Verdicts, ", "), l.Old.text(), l.New.text())
	}
	if n > most {
		fmt.Fprintf(&b, "and %d more; --most shows them\n", n-most)
	}
	return b.String()
}

func (f Result) text() string {
	var rs []string
	for _, r := range f.Attempts {
		rs = append(rs, r.Endpoint+" "+r.Outcome)
	}
	if len(rs) == 0 {
		rs = []string{"nowhere"}
	}
	return fmt.Sprintf("%d in %d ms (%s)", f.Code, f.TookMs, strings.Join(rs, ", "))
}
