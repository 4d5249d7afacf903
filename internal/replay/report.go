package replay

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// Basis tells what a result rests on.
type Basis string

const (
	// BasisRecord is that all of it was recorded.
	BasisRecord Basis = "record"
	// BasisModel is that some attempt or header is not in the recording.
	BasisModel Basis = "model"
)

// Report tells what a proposal would change for the requests of a recording.
type Report struct {
	// Nodes and Requests are how many the recording has, SpanSeconds how long it
	// reaches back.
	Nodes       int     `json:"nodes"`
	Requests    int     `json:"requests"`
	SpanSeconds float64 `json:"spanS"`
	// Unreachable are the nodes whose requests are missing altogether.
	Unreachable []string `json:"didNotAnswer"`
	// Dropped and Unfinished count requests that the nodes did not record: those
	// that their full rings lost, those still under way.
	Dropped          uint64 `json:"dropped"`
	Unfinished       uint64 `json:"unfinished"`
	NodesWithoutView int    `json:"withoutView"`
	// ControlMismatch is the share of requests that the control run did not
	// reproduce, MaxMismatch what was allowed.
	ControlMismatch float64 `json:"controlOff"`
	MaxMismatch     float64 `json:"controlAllowed"`
	// Usable tells that mismatch and coverage are within their bounds.
	Usable bool `json:"fit"`
	// Verdicts counts requests by verdict, Summaries also by route and node.
	Verdicts        map[Verdict]int  `json:"verdicts"`
	Summaries       []RouteSummary   `json:"sums"`
	ChangedRequests []ChangedRequest `json:"requestsChanged"`
	// Sessions counts those of the recording.
	Sessions     int           `json:"sessions"`
	SessionMoves []SessionMove `json:"sessionMoves"`
	// CallsWithParent counts the requests that were found to be calls of endpoints.
	CallsWithParent int `json:"callsWithParent"`
	// FromModel counts the requests whose result is not the recorded one.
	FromModel int     `json:"fromModel"`
	Shifts    []Shift `json:"shifts"`
	Flags     []Flag  `json:"flags"`
	// Coverage is the share of what the nodes forwarded in the span that the
	// recording still has, MinCoverage what was needed.
	Coverage    float64    `json:"coverage"`
	MinCoverage float64    `json:"coverageNeeded"`
	LostSpans   []LostSpan `json:"lost"`
}

// ChangedRequest is one request that the proposal treats otherwise.
type ChangedRequest struct {
	ID   string `json:"request"`
	Node string `json:"node"`
	// At is the time of day when it began, in UTC.
	At   string `json:"at"`
	Host string `json:"host"`
	Path string `json:"path"`
	// Parent is the ID of the request that it is a call of.
	Parent   string    `json:"parent,omitempty"`
	Session  string    `json:"session,omitempty"`
	Verdicts []Verdict `json:"verdicts"`
	Basis    Basis     `json:"basis"`
	Old      Result    `json:"old"`
	New      Result    `json:"new"`
	atUs     int64
}

func (r ChangedRequest) route() string { return cmp.Or(r.Old.Route, r.New.Route) }
func (r ChangedRequest) kind() string  { return cmp.Or(r.Old.Kind, r.New.Kind) }

// RouteSummary counts the verdicts on one route's requests at one node.
type RouteSummary struct {
	Route    string          `json:"binding"`
	Kind     string          `json:"kind"`
	Node     string          `json:"node"`
	Requests int             `json:"requests"`
	Verdicts map[Verdict]int `json:"verdicts"`
}

// SessionMove is a session that a node assigned to another endpoint.
type SessionMove struct {
	Session string `json:"session"`
	// From and To are each a service and an endpoint.
	From   string `json:"from"`
	To     string `json:"to"`
	Reason string `json:"why"`
	// Request is always empty; readers of stored reports may expect its key.
	Request string `json:"request"`
	Node    string `json:"node"`
}

// LostSpan tells how much of the span one node's ring no longer has.
type LostSpan struct {
	Node    string  `json:"node"`
	Seconds float64 `json:"lostS"`
}

// Filter selects the requests that Report.Text lists; what is empty selects all.
type Filter struct{ Route, Kind, Node, Verdict string }

func (f Filter) selects(r ChangedRequest) bool {
	return matches(f.Route, r.route()) && matches(f.Kind, r.kind()) && matches(f.Node, r.Node) &&
		(f.Verdict == "" || slices.Contains(r.Verdicts, Verdict(f.Verdict)))
}

func (f Filter) selectsSummary(s RouteSummary) bool {
	return matches(f.Route, s.Route) && matches(f.Kind, s.Kind) && matches(f.Node, s.Node)
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// SevereCount counts the requests that the proposal would duplicate, lose or
// delay.
func (r *Report) SevereCount() int {
	n := 0
	for _, v := range severeVerdicts {
		n += r.Verdicts[v]
	}
	return n
}

// setCoverage tells how much of the span the recording has, node by node; a node
// that did not answer has nothing.
func (r *Report) setCoverage(recording *meshpb.ReplayFile) {
	kept := 0.0
	for _, node := range recording.Nodes {
		span := float64(min(recording.SpanUs, max(node.NowUs-node.BeganUs, 1)))
		if recording.SpanUs == 0 || node.NowUs == 0 {
			span = 1
		}
		lost := min(max(float64(node.LostUs), 0)/span, 1)
		kept += 1 - lost
		if node.LostUs > 0 {
			r.LostSpans = append(r.LostSpans, LostSpan{node.Node, seconds(node.LostUs)})
		}
	}
	r.Coverage = kept / float64(max(len(recording.Nodes)+len(recording.Unreachable), 1))
}
