package replay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// The parent of "call" is the only request at an endpoint of its node whose deadline
// matches. "q" is ruled out as the parent by its deadline. "other" has no request
// with a matching deadline. The deadline of the four "own" requests would match that
// of "p", but it recurs and is thus one that user agents request.
func TestFindParentsMatchesCallsByNodeAndDeadline(t *testing.T) {
	view := &meshpb.View{Epoch: 1, Version: 1, Endpoints: []*meshpb.Endpoint{{Id: "e0", Node: "n0", Service: "s", State: "up", Inbound: "i", Slots: 2}}}
	newRecord := func(id string, atUs, deadlineUs int64, attempts ...*meshpb.Attempt) *meshpb.RequestRecord {
		return &meshpb.RequestRecord{Id: id, AtUs: atUs, DeadlineUs: deadlineUs, DueUs: deadlineUs, Attempts: attempts}
	}
	recording := &meshpb.ReplayFile{Views: []*meshpb.View{view}, Nodes: []*meshpb.RequestRecordsResponse{
		{Node: "n1", Records: []*meshpb.RequestRecord{newRecord("p", 0, 2_000_000, &meshpb.Attempt{Endpoint: "e0", AtUs: 1000, TookUs: 300_000, Outcome: "ran"}),
			newRecord("q", 0, 1_000_000, &meshpb.Attempt{Endpoint: "e0", AtUs: 1000, TookUs: 300_000, Outcome: "ran"})}},
		{Node: "n0", Records: []*meshpb.RequestRecord{newRecord("call", 100_000, 1_893_000), newRecord("other", 100_000, 500_000)}},
	}}
	for range 4 {
		recording.Nodes[1].Records = append(recording.Nodes[1].Records, newRecord("own", 100_000, 1_897_000))
	}
	parents := findParents(recording, endpointNodes(recording))
	qt.Assert(t, len(parents), qt.Equals, 1)
	for call, parent := range parents {
		qt.Assert(t, call.Id+" of "+parent.Id, qt.Equals, "call of p")
	}
}
