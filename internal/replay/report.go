package replay

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// Basis tells whether a result is based on recorded data only.
type Basis string

const (
	// BasisRecord means that the recording has every attempt of the result.
	BasisRecord Basis = "record"
	// BasisModel means that the result depends on an attempt or a header that is
	// not in the recording.
	BasisModel Basis = "model"
)

// Report describes how a proposed change would affect the requests of a recording.
type Report struct {
	// Nodes and Requests are the numbers of nodes and requests in the recording.
	// SpanSeconds is the length of the recorded time span.
	Nodes       int     `json:"nodes"`
	Requests    int     `json:"requests"`
	SpanSeconds float64 `json:"spanS"`
	// Unreachable lists the nodes that did not answer; none of their requests are in
	// the recording.
	Unreachable []string `json:"didNotAnswer"`
	// Dropped and Unfinished count requests that are missing from the nodes' records:
	// Dropped those overwritten in full ring buffers, Unfinished those still in
	// progress.
	Dropped    uint64 `json:"dropped"`
	Unfinished uint64 `json:"unfinished"`
	// NodesWithoutView counts the nodes that recorded no view.
	NodesWithoutView int `json:"withoutView"`
	// ControlMismatch is the share of requests, from 0 to 1, that the control run did
	// not reproduce. MaxMismatch is its upper limit.
	ControlMismatch float64 `json:"controlOff"`
	MaxMismatch     float64 `json:"controlAllowed"`
	// Usable is true if ControlMismatch and Coverage are within their limits.
	Usable bool `json:"fit"`
	// Verdicts counts requests by verdict. Summaries has the same counts by route,
	// kind and node.
	Verdicts  map[Verdict]int `json:"verdicts"`
	Summaries []RouteSummary  `json:"sums"`
	// ChangedRequests lists the requests with at least one verdict, by start time.
	ChangedRequests []ChangedRequest `json:"requestsChanged"`
	// Sessions is the number of distinct sessions in the recording, counted per
	// service.
	Sessions int `json:"sessions"`
	// SessionMoves lists the sessions that nodes moved in the simulation of the
	// proposal.
	SessionMoves []SessionMove `json:"sessionMoves"`
	// CallsWithParent counts the requests that were identified as calls made by an
	// endpoint while it processed another request.
	CallsWithParent int `json:"callsWithParent"`
	// FromModel counts the requests whose result under the proposal depends on the
	// model.
	FromModel int `json:"fromModel"`
	// Shifts has one entry per flow, including flows that do not change.
	Shifts []Shift `json:"shifts"`
	// Flags lists the harmful changes to requests on watched routes.
	Flags []Flag `json:"flags"`
	// Coverage is the share of the recorded time span, from 0 to 1, that the nodes'
	// records cover, averaged over all nodes. MinCoverage is its lower limit.
	Coverage    float64 `json:"coverage"`
	MinCoverage float64 `json:"coverageNeeded"`
	// LostSpans lists the nodes that lost a part of the span.
	LostSpans []LostSpan `json:"lost"`
}

// ChangedRequest is a request with a different outcome under the proposal.
type ChangedRequest struct {
	ID string `json:"request"`
	// Node is the node that received the request.
	Node string `json:"node"`
	// At is the UTC time of day at which the request started.
	At string `json:"at"`
	// Host is the requested host, Path the path without the query.
	Host string `json:"host"`
	Path string `json:"path"`
	// Parent is the ID of the request whose processing made this call; empty if
	// unknown.
	Parent string `json:"parent,omitempty"`
	// Session is the request's session key; empty if it has none.
	Session string `json:"session,omitempty"`
	// Verdicts is sorted and has at least one entry.
	Verdicts []Verdict `json:"verdicts"`
	// Basis tells whether New relies on the model.
	Basis Basis `json:"basis"`
	// Old is the result under the recorded configurations, New the result under the
	// proposal.
	Old  Result `json:"old"`
	New  Result `json:"new"`
	atUs int64
}

func (r ChangedRequest) route() string { return cmp.Or(r.Old.Route, r.New.Route) }
func (r ChangedRequest) kind() string  { return cmp.Or(r.Old.Kind, r.New.Kind) }

// RouteSummary counts requests and verdicts for one route and kind on one node.
type RouteSummary struct {
	Route string `json:"binding"`
	Kind  string `json:"kind"`
	Node  string `json:"node"`
	// Requests counts all requests of the group, Verdicts those with each verdict.
	Requests int             `json:"requests"`
	Verdicts map[Verdict]int `json:"verdicts"`
}

// SessionMove is the reassignment of a session to another endpoint by a node.
type SessionMove struct {
	// Session is the session key.
	Session string `json:"session"`
	// From and To each have the form "service endpoint".
	From string `json:"from"`
	To   string `json:"to"`
	// Reason is the node's explanation of the move.
	Reason string `json:"why"`
	// Request is always empty. It stays because consumers of stored reports may
	// expect the key.
	Request string `json:"request"`
	// Node is the node that moved the session.
	Node string `json:"node"`
}

// LostSpan is the length of the part of the recorded time span, in seconds, whose
// records were overwritten in a node's ring buffer.
type LostSpan struct {
	Node    string  `json:"node"`
	Seconds float64 `json:"lostS"`
}

// Filter selects the requests and summaries that Report.Text lists. An empty field
// matches everything; Verdict does not apply to summaries.
type Filter struct{ Route, Kind, Node, Verdict string }

func (f Filter) selects(r ChangedRequest) bool {
	return matches(f.Route, r.route()) && matches(f.Kind, r.kind()) && matches(f.Node, r.Node) &&
		(f.Verdict == "" || slices.Contains(r.Verdicts, Verdict(f.Verdict)))
}

func (f Filter) selectsSummary(s RouteSummary) bool {
	return matches(f.Route, s.Route) && matches(f.Kind, s.Kind) && matches(f.Node, s.Node)
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// SevereCount returns how often the proposal would duplicate, lose or delay a
// request. A request counts once for each of these verdicts.
func (r *Report) SevereCount() int {
	n := 0
	for _, v := range severeVerdicts {
		n += r.Verdicts[v]
	}
	return n
}

// setCoverage sets Coverage and LostSpans. Unreachable nodes count as not covered.
func (r *Report) setCoverage(recording *meshpb.ReplayFile) {
	covered := 0.0
	for _, node := range recording.Nodes {
		span := float64(min(recording.SpanUs, max(node.NowUs-node.BeganUs, 1)))
		if recording.SpanUs == 0 || node.NowUs == 0 {
			span = 1
		}
		lost := min(max(float64(node.LostUs), 0)/span, 1)
		covered += 1 - lost
		if node.LostUs > 0 {
			r.LostSpans = append(r.LostSpans, LostSpan{node.Node, seconds(node.LostUs)})
		}
	}
	r.Coverage = covered / float64(max(len(recording.Nodes)+len(recording.Unreachable), 1))
}
