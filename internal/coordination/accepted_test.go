package coordination

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// digestOf returns a digest that differs for each version.
func digestOf(version uint64) []byte {
	digest := sha256.Sum256(fmt.Append(nil, version))
	return digest[:]
}

// Two tables add changes after a common snapshot, whose arrays they share: neither
// may see the other's changes, and the snapshot must stay as it was. Changes beyond
// MaxAcceptedChanges and changes that arrive out of order must not be recognized.
func TestRecordOfAcceptedChangesIsBoundedAndSnapshotsStayUnchanged(t *testing.T) {
	first, second := NewTable(20*time.Second), NewTable(20*time.Second)
	accept := func(table *Table, version uint64) {
		table.Apply(&meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: version, Digest: digestOf(version)}}, 0)
	}
	const extra = 10
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		accept(first, 2*v)
	}
	shared := first.Snapshot(0)
	second.Restore(shared, 0, true)
	for v := uint64(MaxAcceptedChanges + 1); v <= MaxAcceptedChanges+extra; v++ {
		accept(first, 2*v)
		accept(second, 2*v+1)
	}
	accept(first, 3)
	for i, test := range []struct {
		table    *Table
		version  uint64
		accepted bool
		floor    uint64
	}{
		{first, 2 * (MaxAcceptedChanges + extra), true, 2 * extra},
		{first, 2 * (extra + 1), true, 2 * extra},
		{first, 2 * extra, false, 2 * extra},
		{first, 2*(MaxAcceptedChanges+1) + 1, false, 2 * extra},
		{first, 3, false, 2 * extra},
		{second, 2*(MaxAcceptedChanges+1) + 1, true, 2 * extra},
		{second, 2 * (MaxAcceptedChanges + 1), false, 2 * extra},
	} {
		qt.Check(t, test.table.HasAccepted(digestOf(test.version)), qt.Equals, test.accepted, qt.Commentf("case %d", i))
		qt.Check(t, test.table.AcceptedFloor(), qt.Equals, test.floor, qt.Commentf("case %d", i))
	}
	restored := NewTable(20 * time.Second)
	restored.Restore(shared, 0, true)
	qt.Assert(t, restored.AcceptedFloor(), qt.Equals, uint64(0))
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		qt.Assert(t, restored.HasAccepted(digestOf(2*v)), qt.IsTrue)
	}
	for _, snapshot := range []*meshpb.ShardState{shared, first.Snapshot(0), second.Snapshot(0)} {
		qt.Assert(t, len(snapshot.AcceptedVersions), qt.Equals, MaxAcceptedChanges)
		qt.Assert(t, len(snapshot.AcceptedDigests), qt.Equals, MaxAcceptedChanges*DigestSize)
	}
}
