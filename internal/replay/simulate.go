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

// timeOfDay is the layout of the times in reports.
const timeOfDay = "15:04:05.000"

// Simulate plays the recording under the recorded configurations and under the
// scenario, and reports what differs.
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

// summaryKey is what summaries are told apart by.
type summaryKey struct{ route, kind, node string }

// reportBuilder gathers a report from two simulations, request by request.
type reportBuilder struct {
	report        *Report
	before, after *simulation
	nodeOf        map[string]string
	parents       parentIndex
	watched       watchList
	shifts        *shiftCounter
	summaries     map[summaryKey]*RouteSummary
	sessions      map[sessionID]bool
	// mismatches counts the requests that the control run did not reproduce.
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

// outcomePair is one request with its results in both simulations.
type outcomePair struct {
	node   *meshpb.RequestRecordsResponse
	record *meshpb.RequestRecord
	// before is its result under the recorded configurations, after under the
	// scenario.
	before, after *Result
	// runOnce tells that it must not run twice.
	runOnce bool
	// latencyTarget is the stricter one of both routes, 0 if neither has one.
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
	o := &outcomePair{node: node, record: record, before: b.before.results[record], after: b.after.results[record]}
	o.runOnce = mustRunOnce(o)
	o.latencyTarget = stricterTarget(o.before.latencyTarget, o.after.latencyTarget)
	o.verdicts = b.judge(o)

	b.report.Requests++
	if !reproduces(o.before, record) {
		b.mismatches++
	}
	if b.parents[record] != nil {
		b.report.CallsWithParent++
	}
	if o.after.FromModel {
		b.report.FromModel++
	}
	if record.Session != "" {
		b.sessions[sessionID{record.Session, o.before.Service}] = true
	}
	b.shifts.add(node, record, o.before, o.after)
	b.count(o)
	if len(o.verdicts) > 0 {
		b.addChangedRequest(o)
	}
}

// mustRunOnce tells that a request must not run twice: by the kind that it was
// recorded with, and by that of its new route only if it had none.
func mustRunOnce(o *outcomePair) bool {
	kind, known := routeconfig.ParseRouteKind(cmp.Or(o.record.Kind, o.before.Kind))
	if known {
		return !kind.Idempotent()
	}
	return o.after.Route != "" && !o.after.kind.Idempotent()
}

func stricterTarget(before, after time.Duration) time.Duration {
	if before == 0 || after > 0 && after < before {
		return after
	}
	return before
}

// judge returns the sorted verdicts on a request.
func (b *reportBuilder) judge(o *outcomePair) []Verdict {
	if b.parentGone(o) {
		return []Verdict{VerdictNotSent}
	}
	faultsAfter := faults(o.after, o.runOnce, o.latencyTarget)
	verdicts := newFaults(faults(o.before, o.runOnce, o.latencyTarget), faultsAfter)
	if len(o.after.Attempts) > 0 && len(o.before.Attempts) > 0 && o.after.Service != o.before.Service {
		verdicts = append(verdicts, VerdictRerouted)
	}
	if o.newlyRejected() && !slices.Contains(faultsAfter, VerdictLost) {
		verdicts = append(verdicts, VerdictRejected)
	}
	if o.sessionMoved() {
		verdicts = append(verdicts, VerdictSessionMoved)
	}
	slices.Sort(verdicts)
	return verdicts
}

// parentGone tells that the request is a call, and that its parent runs at the
// call's node under the recorded configurations only.
func (b *reportBuilder) parentGone(o *outcomePair) bool {
	parent := b.parents[o.record]
	if parent == nil {
		return false
	}
	return !b.mayRunAt(b.after.results[parent], o.node.Node) && b.mayRunAt(b.before.results[parent], o.node.Node)
}

func (b *reportBuilder) mayRunAt(result *Result, node string) bool {
	return slices.ContainsFunc(result.Attempts, func(a Attempt) bool { return a.mayHaveRun() && b.nodeOf[a.Endpoint] == node })
}

// maxErrorStatus is above all HTTP statuses that tell of an error.
const maxErrorStatus = 600

// newlyRejected tells that a node answers with an error of its own where an
// endpoint answered before.
func (o *outcomePair) newlyRejected() bool {
	isError := o.after.Code >= http.StatusBadRequest && o.after.Code < maxErrorStatus
	return isError && !o.after.answered && o.before.answered
}

func (o *outcomePair) sessionMoved() bool {
	before, after := o.before.SessionEndpoint, o.after.SessionEndpoint
	return o.record.Session != "" && before != "" && after != "" && before != after
}

// count adds the request and its verdicts to the totals and to its summary.
func (b *reportBuilder) count(o *outcomePair) {
	key := o.summaryKey()
	summary := b.summaries[key]
	if summary == nil {
		summary = &RouteSummary{Route: key.route, Kind: key.kind, Node: key.node, Verdicts: map[Verdict]int{}}
		b.summaries[key] = summary
	}
	summary.Requests++
	for _, v := range o.verdicts {
		summary.Verdicts[v]++
		b.report.Verdicts[v]++
	}
}

func (o *outcomePair) summaryKey() summaryKey {
	return summaryKey{
		route: cmp.Or(o.before.Route, o.after.Route, unmatchedRoute),
		kind:  cmp.Or(o.before.Kind, o.after.Kind),
		node:  o.node.Node,
	}
}

func (b *reportBuilder) addChangedRequest(o *outcomePair) {
	changed := ChangedRequest{
		ID:       o.record.Id,
		Node:     o.node.Node,
		At:       time.UnixMicro(o.record.AtUs).UTC().Format(timeOfDay),
		Host:     o.record.Host,
		Path:     pathOf(o.record.Target),
		Parent:   b.parents[o.record].GetId(),
		Session:  o.record.Session,
		Verdicts: o.verdicts,
		Basis:    BasisRecord,
		Old:      *o.before,
		New:      *o.after,
		atUs:     o.record.AtUs,
	}
	if o.after.FromModel {
		changed.Basis = BasisModel
	}
	b.report.ChangedRequests = append(b.report.ChangedRequests, changed)
	if b.watched.watches(o) {
		b.addFlag(o, changed)
	}
}

func (b *reportBuilder) addFlag(o *outcomePair, changed ChangedRequest) {
	harm, reason := o.harm()
	if harm == "" {
		return
	}
	key := o.summaryKey()
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

// addSessionMoves lists the sessions that nodes moved under the scenario.
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

// finish fills in what needs all requests, and puts the lists in order.
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

// reproduces tells that the control run gave a request the recorded end: the
// same status, and the same attempts with the same outcomes.
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

// pathOf returns the path of a request target, or all of it if it has no valid
// one.
func pathOf(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.Path
	}
	return target
}
