package replay

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// parentIndex leads from a call that an endpoint made to the request that it was
// at work on.
type parentIndex map[*meshpb.RequestRecord]*meshpb.RequestRecord

const (
	// A call's deadline is what its parent has left, as the endpoint counted it:
	// later than the parent's by at most maxDeadlineLeadUs, earlier by at most
	// maxDeadlineLagUs, in microseconds.
	maxDeadlineLagUs  = int64(25 * time.Millisecond / time.Microsecond)
	maxDeadlineLeadUs = maxDeadlineLagUs / 5
	// A deadline is one that user agents ask for if at least minEqualDeadlines
	// requests of its route have it, and one in maxEqualDeadlineShare of them.
	minEqualDeadlines     = 3
	maxEqualDeadlineShare = 10
)

// workInterval is a time in which an endpoint was at work on a request.
type workInterval struct {
	record       *meshpb.RequestRecord
	fromUs, toUs int64
	deadlineUs   int64
}

// mayHaveCalled tells that a request may be a call made in the interval.
func (w workInterval) mayHaveCalled(call *meshpb.RequestRecord) bool {
	if w.record == call || call.AtUs < w.fromUs || call.AtUs > w.toUs || call.DeadlineUs == 0 {
		return false
	}
	difference := call.AtUs + call.DeadlineUs - w.deadlineUs
	return difference >= -maxDeadlineLagUs && difference <= maxDeadlineLeadUs
}

// findParents finds the parent of each call that an endpoint made: the one
// request that its endpoint was at work on then, and that ends with the same
// deadline. nodeOf leads from endpoints to their nodes.
func findParents(recording *meshpb.ReplayFile, nodeOf map[string]string) parentIndex {
	work := workByNode(recording, nodeOf)
	fromUserAgent := userAgentDeadlines(recording)
	parents := parentIndex{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if fromUserAgent(record) {
				continue
			}
			if parent := onlyParent(record, work[node.Node]); parent != nil {
				parents[record] = parent
			}
		}
	}
	return parents
}

func workByNode(recording *meshpb.ReplayFile, nodeOf map[string]string) map[string][]workInterval {
	out := map[string][]workInterval{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			for _, attempt := range record.Attempts {
				at := nodeOf[attempt.Endpoint]
				if at == "" {
					continue
				}
				fromUs := record.AtUs + attempt.AtUs
				out[at] = append(out[at], workInterval{record, fromUs, fromUs + attempt.TookUs, record.AtUs + record.DueUs})
			}
		}
	}
	return out
}

// onlyParent returns the one request that may have made the call; nil if there is
// none, or more than one.
func onlyParent(call *meshpb.RequestRecord, work []workInterval) *meshpb.RequestRecord {
	var parent *meshpb.RequestRecord
	for _, w := range work {
		if !w.mayHaveCalled(call) {
			continue
		}
		if parent != nil && parent != w.record {
			return nil
		}
		parent = w.record
	}
	return parent
}

// userAgentDeadlines tells which requests have a deadline that user agents ask
// for: those come again and again on a route, while a call has what is left of
// its parent's.
func userAgentDeadlines(recording *meshpb.ReplayFile) func(*meshpb.RequestRecord) bool {
	type deadline struct {
		route string
		ms    int64
	}
	key := func(r *meshpb.RequestRecord) deadline {
		return deadline{r.Route, microseconds(r.DeadlineUs).Milliseconds()}
	}
	requests, equal := map[string]int{}, map[deadline]int{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			requests[record.Route]++
			equal[key(record)]++
		}
	}
	return func(record *meshpb.RequestRecord) bool {
		n := equal[key(record)]
		return n >= minEqualDeadlines && maxEqualDeadlineShare*n >= requests[record.Route]
	}
}

// endpointNodes leads from endpoints to their nodes.
func endpointNodes(recording *meshpb.ReplayFile) map[string]string {
	out := map[string]string{}
	for _, view := range recording.Views {
		for _, endpoint := range view.Endpoints {
			out[endpoint.Id] = endpoint.Node
		}
	}
	return out
}
