package replay

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// parentIndex maps the calls that endpoints made to their parents: the requests
// that the endpoints were processing when they made the calls.
type parentIndex map[*meshpb.RequestRecord]*meshpb.RequestRecord

const (
	// An endpoint sets the deadline of a call to the time that it computes as
	// remaining for the parent. The call's deadline may therefore be earlier than
	// the parent's by at most maxDeadlineLagUs, or later by at most
	// maxDeadlineLeadUs, in microseconds.
	maxDeadlineLagUs  = int64(25 * time.Millisecond / time.Microsecond)
	maxDeadlineLeadUs = maxDeadlineLagUs / 5
	// A deadline is taken to be requested by user agents if at least
	// minEqualDeadlines requests of the route, and at least one in
	// equalDeadlineDivisor of them, have the same deadline.
	minEqualDeadlines    = 3
	equalDeadlineDivisor = 10
)

// processingInterval is a time interval in which an endpoint processed a request.
// Times are in Unix microseconds; deadlineUs is the request's deadline.
type processingInterval struct {
	record       *meshpb.RequestRecord
	fromUs, toUs int64
	deadlineUs   int64
}

// couldBeParentOf reports whether the endpoint may have made the call while it
// processed the request: the call falls within the interval and the deadlines match.
func (w processingInterval) couldBeParentOf(call *meshpb.RequestRecord) bool {
	if w.record == call || call.AtUs < w.fromUs || call.AtUs > w.toUs || call.DeadlineUs == 0 {
		return false
	}
	difference := call.AtUs + call.DeadlineUs - w.deadlineUs
	return difference >= -maxDeadlineLagUs && difference <= maxDeadlineLeadUs
}

// findParents finds the parent of each call that an endpoint made: the only request
// that an endpoint on the call's node was processing at that time and whose deadline
// matches that of the call. nodeOf maps endpoint IDs to node names.
func findParents(recording *meshpb.ReplayFile, nodeOf map[string]string) parentIndex {
	work := intervalsByNode(recording, nodeOf)
	fromUserAgent := userAgentDeadlines(recording)
	parents := parentIndex{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if fromUserAgent(record) {
				continue
			}
			if parent := uniqueParent(record, work[node.Node]); parent != nil {
				parents[record] = parent
			}
		}
	}
	return parents
}

// intervalsByNode returns the processing intervals of all endpoints, by the node on
// which the endpoint runs.
func intervalsByNode(recording *meshpb.ReplayFile, nodeOf map[string]string) map[string][]processingInterval {
	out := map[string][]processingInterval{}
	for _, recorded := range recording.Nodes {
		for _, record := range recorded.Records {
			for _, attempt := range record.Attempts {
				node := nodeOf[attempt.Endpoint]
				if node == "" {
					continue
				}
				fromUs := record.AtUs + attempt.AtUs
				out[node] = append(out[node], processingInterval{record, fromUs, fromUs + attempt.TookUs, record.AtUs + record.DueUs})
			}
		}
	}
	return out
}

// uniqueParent returns the only request during which the call may have been made. It
// returns nil if there is none or more than one.
func uniqueParent(call *meshpb.RequestRecord, work []processingInterval) *meshpb.RequestRecord {
	var parent *meshpb.RequestRecord
	for _, w := range work {
		if !w.couldBeParentOf(call) {
			continue
		}
		if parent != nil && parent != w.record {
			return nil
		}
		parent = w.record
	}
	return parent
}

// userAgentDeadlines returns a function that reports whether a request has a
// deadline requested by user agents. Such deadlines recur on a route, while that of
// a call is the remaining time of its parent and varies from call to call.
func userAgentDeadlines(recording *meshpb.ReplayFile) func(*meshpb.RequestRecord) bool {
	type deadline struct {
		route string
		ms    int64
	}
	key := func(r *meshpb.RequestRecord) deadline {
		return deadline{r.Route, microseconds(r.DeadlineUs).Milliseconds()}
	}
	routeTotals, counts := map[string]int{}, map[deadline]int{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			routeTotals[record.Route]++
			counts[key(record)]++
		}
	}
	return func(record *meshpb.RequestRecord) bool {
		n := counts[key(record)]
		return n >= minEqualDeadlines && equalDeadlineDivisor*n >= routeTotals[record.Route]
	}
}

// endpointNodes maps endpoint IDs to the names of their nodes, according to the
// last of the recorded views that contains the endpoint.
func endpointNodes(recording *meshpb.ReplayFile) map[string]string {
	out := map[string]string{}
	for _, view := range recording.Views {
		for _, endpoint := range view.Endpoints {
			out[endpoint.Id] = endpoint.Node
		}
	}
	return out
}
