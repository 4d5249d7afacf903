package replay

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// timeOfDay is the layout in which reports print times.
const timeOfDay = "15:04:05.000"

// Simulate replays the recording twice, under the recorded configurations and
// under the scenario, and reports the differences. It returns an error if a
// configuration in the recording cannot be decoded or the traffic model cannot be
// built.
func Simulate(recording *meshpb.ReplayFile, scenario Scenario, options Options) (*Report, error) {
	before, err := simulate(recording, Scenario{Seed: scenario.Seed})
	if err != nil {
		return nil, err
	}
	after, err := simulate(recording, scenario)
	if err != nil {
		return nil, err
	}
	b := newReportBuilder(recording, options, before, after)
	for _, node := range recording.Nodes {
		b.addNode(node)
		for _, record := range node.Records {
			b.addRequest(node, record)
		}
	}
	b.addSessionMoves()
	return b.finish(options), nil
}

// summaryKey identifies a RouteSummary.
type summaryKey struct{ route, kind, node string }

// reportBuilder builds a report by comparing two simulations request by request.
type reportBuilder struct {
	report        *Report
	before, after *simulation
	// nodeOf maps endpoint IDs to node names.
	nodeOf    map[string]string
	parents   parentIndex
	watched   watchList
	shifts    *shiftCounter
	summaries map[summaryKey]*RouteSummary
	sessions  map[sessionID]bool
	// mismatches is the number of requests that the control run did not reproduce.
	mismatches int
}

func newReportBuilder(recording *meshpb.ReplayFile, options Options, before, after *simulation) *reportBuilder {
	nodeOf := endpointNodes(recording)
	parents := findParents(recording, nodeOf)
	b := &reportBuilder{
		report: &Report{
			Nodes:           len(recording.Nodes),
			SpanSeconds:     seconds(recording.SpanUs),
			Unreachable:     append([]string{}, recording.Unreachable...),
			MaxMismatch:     options.MaxMismatch,
			MinCoverage:     options.MinCoverage,
			Verdicts:        map[Verdict]int{},
			ChangedRequests: []ChangedRequest{},
			Summaries:       []RouteSummary{},
			SessionMoves:    []SessionMove{},
			Flags:           []Flag{},
			LostSpans:       []LostSpan{},
		},
		before:  before,
		after:   after,
		nodeOf:  nodeOf,
		parents: parents,
		watched: watchList{named: options.WatchedRoutes, calledByEndpoints: routesCalledByEndpoints(recording, parents)},
		shifts: &shiftCounter{
			locations: locateEndpoints(recording),
			byNode:    options.ByNode,
			fromUs:    before.startUs + options.WarmUp.Microseconds(),
			shifts:    map[Flow]*Shift{},
		},
		summaries: map[summaryKey]*RouteSummary{},
		sessions:  map[sessionID]bool{},
	}
	b.report.setCoverage(recording)
	return b
}

// requestComparison holds one request with its results in both simulations.
type requestComparison struct {
	node   *meshpb.RequestRecordsResponse
	record *meshpb.RequestRecord
	// before is the result under the recorded configurations, after the result
	// under the scenario.
	before, after *Result
	// runOnce is true if the request must not run more than once.
	runOnce bool
	// latencyTarget is the shorter of the two routes' targets, or 0 if neither route
	// has one.
	latencyTarget time.Duration
	verdicts      []Verdict
}

func (b *reportBuilder) addNode(node *meshpb.RequestRecordsResponse) {
	b.report.Dropped += node.Dropped
	b.report.Unfinished += node.Unfinished
	if len(node.Views) == 0 {
		b.report.NodesWithoutView++
	}
}

func (b *reportBuilder) addRequest(node *meshpb.RequestRecordsResponse, record *meshpb.RequestRecord) {
	c := &requestComparison{node: node, record: record, before: b.before.results[record], after: b.after.results[record]}
	c.runOnce = mustRunOnce(c)
	c.latencyTarget = stricterTarget(c.before.latencyTarget, c.after.latencyTarget)
	c.verdicts = b.computeVerdicts(c)

	b.report.Requests++
	if !reproduces(c.before, record) {
		b.mismatches++
	}
	if b.parents[record] != nil {
		b.report.CallsWithParent++
	}
	if c.after.FromModel {
		b.report.FromModel++
	}
	if record.Session != "" {
		b.sessions[sessionID{record.Session, c.before.Service}] = true
	}
	b.shifts.add(node, record, c.before, c.after)
	b.addToSummary(c)
	if len(c.verdicts) > 0 {
		b.addChangedRequest(c)
	}
}

// mustRunOnce reports whether a request must not run more than once. The recorded
// kind of its route decides. If the request has none, the kind from the control run
// decides, and otherwise that of its route under the scenario.
func mustRunOnce(c *requestComparison) bool {
	kind, known := routeconfig.ParseRouteKind(cmp.Or(c.record.Kind, c.before.Kind))
	if known {
		return !kind.Idempotent()
	}
	return c.after.Route != "" && !c.after.kind.Idempotent()
}

// stricterTarget returns the shorter of two latency targets, where 0 means none.
func stricterTarget(before, after time.Duration) time.Duration {
	if before == 0 || after > 0 && after < before {
		return after
	}
	return before
}

// computeVerdicts returns the sorted verdicts for a request.
func (b *reportBuilder) computeVerdicts(c *requestComparison) []Verdict {
	if b.parentNoLongerRuns(c) {
		return []Verdict{VerdictNotSent}
	}
	faultsAfter := resultVerdicts(c.after, c.runOnce, c.latencyTarget)
	verdicts := addedVerdicts(resultVerdicts(c.before, c.runOnce, c.latencyTarget), faultsAfter)
	if len(c.after.Attempts) > 0 && len(c.before.Attempts) > 0 && c.after.Service != c.before.Service {
		verdicts = append(verdicts, VerdictRerouted)
	}
	if c.newlyRejected() && !slices.Contains(faultsAfter, VerdictLost) {
		verdicts = append(verdicts, VerdictRejected)
	}
	if c.sessionMoved() {
		verdicts = append(verdicts, VerdictSessionMoved)
	}
	slices.Sort(verdicts)
	return verdicts
}

// parentNoLongerRuns reports whether the request is a call whose parent may have run
// on the call's node under the recorded configurations, but not under the scenario.
func (b *reportBuilder) parentNoLongerRuns(c *requestComparison) bool {
	parent := b.parents[c.record]
	if parent == nil {
		return false
	}
	return !b.mayHaveRunOn(b.after.results[parent], c.node.Node) && b.mayHaveRunOn(b.before.results[parent], c.node.Node)
}

// mayHaveRunOn reports whether an attempt of the result ran, or may have run, at an
// endpoint on the node.
func (b *reportBuilder) mayHaveRunOn(result *Result, node string) bool {
	return slices.ContainsFunc(result.Attempts, func(a Attempt) bool { return a.mayHaveRun() && b.nodeOf[a.Endpoint] == node })
}

// errorStatusEnd is the first status code above the HTTP error range.
const errorStatusEnd = 600

// newlyRejected reports whether a node answers with a local error under the
// scenario where an endpoint answered before.
func (c *requestComparison) newlyRejected() bool {
	isError := c.after.Code >= http.StatusBadRequest && c.after.Code < errorStatusEnd
	return isError && !c.after.answered && c.before.answered
}

// sessionMoved reports whether the scenario assigns the request's session to
// another endpoint.
func (c *requestComparison) sessionMoved() bool {
	before, after := c.before.SessionEndpoint, c.after.SessionEndpoint
	return c.record.Session != "" && before != "" && after != "" && before != after
}

// addToSummary counts the request in the summary of its route, and its verdicts in
// that summary and in the report's totals.
func (b *reportBuilder) addToSummary(c *requestComparison) {
	key := c.summaryKey()
	summary := b.summaries[key]
	if summary == nil {
		summary = &RouteSummary{Route: key.route, Kind: key.kind, Node: key.node, Verdicts: map[Verdict]int{}}
		b.summaries[key] = summary
	}
	summary.Requests++
	for _, v := range c.verdicts {
		summary.Verdicts[v]++
		b.report.Verdicts[v]++
	}
}

func (c *requestComparison) summaryKey() summaryKey {
	return summaryKey{
		route: cmp.Or(c.before.Route, c.after.Route, unmatchedRoute),
		kind:  cmp.Or(c.before.Kind, c.after.Kind),
		node:  c.node.Node,
	}
}

func (b *reportBuilder) addChangedRequest(c *requestComparison) {
	changed := ChangedRequest{
		ID:       c.record.Id,
		Node:     c.node.Node,
		At:       time.UnixMicro(c.record.AtUs).UTC().Format(timeOfDay),
		Host:     c.record.Host,
		Path:     pathOf(c.record.Target),
		Parent:   b.parents[c.record].GetId(),
		Session:  c.record.Session,
		Verdicts: c.verdicts,
		Basis:    BasisRecord,
		Old:      *c.before,
		New:      *c.after,
		atUs:     c.record.AtUs,
	}
	if c.after.FromModel {
		changed.Basis = BasisModel
	}
	b.report.ChangedRequests = append(b.report.ChangedRequests, changed)
	if b.watched.watches(c) {
		b.addFlag(c, changed)
	}
}

func (b *reportBuilder) addFlag(c *requestComparison, changed ChangedRequest) {
	harm, reason := c.harm()
	if harm == "" {
		return
	}
	key := c.summaryKey()
	b.report.Flags = append(b.report.Flags, Flag{
		ID:     changed.ID,
		Node:   changed.Node,
		At:     changed.At,
		Route:  key.route,
		Kind:   key.kind,
		Parent: changed.Parent,
		Harm:   harm,
		Reason: reason,
		Basis:  changed.Basis,
		atUs:   changed.atUs,
	})
}

// addSessionMoves adds the sessions that nodes moved under the scenario to the
// report.
func (b *reportBuilder) addSessionMoves() {
	for _, n := range b.after.nodes {
		_, moves, _ := n.sessions.Report(0)
		for _, m := range moves {
			b.report.SessionMoves = append(b.report.SessionMoves, SessionMove{
				Session: m.Key,
				From:    m.Service + " " + m.From,
				To:      m.ToService + " " + m.To,
				Reason:  m.Why,
				Node:    n.recorded.Node,
			})
		}
	}
	slices.SortFunc(b.report.SessionMoves, func(a, b SessionMove) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Node, b.Node))
	})
}

// finish sets the fields that depend on all requests, sorts the lists and returns
// the report.
func (b *reportBuilder) finish(options Options) *Report {
	r := b.report
	r.Sessions = len(b.sessions)
	r.ControlMismatch = float64(b.mismatches) / float64(max(r.Requests, 1))
	r.Usable = r.ControlMismatch <= options.MaxMismatch && r.Coverage >= options.MinCoverage
	r.Shifts = b.shifts.sorted()
	for _, summary := range b.summaries {
		r.Summaries = append(r.Summaries, *summary)
	}
	slices.SortFunc(r.Summaries, func(a, b RouteSummary) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node, b.Node))
	})
	slices.SortStableFunc(r.Flags, func(a, b Flag) int { return cmp.Compare(a.atUs, b.atUs) })
	slices.SortStableFunc(r.ChangedRequests, func(a, b ChangedRequest) int { return cmp.Compare(a.atUs, b.atUs) })
	return r
}

// reproduces reports whether the control run reproduced the recorded result of a
// request: the same status, and attempts at the same endpoints with the same
// outcomes, in any order. A request that has neither a status nor attempts in the
// recording, or whose client left in the control run, counts as reproduced.
func reproduces(result *Result, record *meshpb.RequestRecord) bool {
	if result.clientGone || record.Code == 0 && len(record.Attempts) == 0 {
		return true
	}
	if record.Code != 0 && int(record.Code) != result.Code || len(record.Attempts) != len(result.Attempts) {
		return false
	}
	type attempt struct{ endpoint, outcome string }
	unmatched := map[attempt]int{}
	for _, a := range record.Attempts {
		unmatched[attempt{a.Endpoint, a.Outcome}]++
	}
	for _, a := range result.Attempts {
		unmatched[attempt{a.Endpoint, a.Outcome}]--
	}
	for _, n := range unmatched {
		if n != 0 {
			return false
		}
	}
	return true
}

// pathOf returns the path of a request target, or the whole target if it cannot be
// parsed.
func pathOf(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.Path
	}
	return target
}
