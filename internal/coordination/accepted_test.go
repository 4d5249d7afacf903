package coordination

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

func digestOf(version uint64) []byte {
	digest := sha256.Sum256(fmt.Append(nil, version))
	return digest[:]
}

func TestRecordOfAcceptedChangesIsBoundedAndSnapshotsStayUnchanged(t *testing.T) {
	a, b := NewTable(20*time.Second), NewTable(20*time.Second)
	accept := func(table *Table, version uint64) {
		table.Apply(&meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: version, Digest: digestOf(version)}}, 0)
	}
	const extra = 10
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		accept(a, 2*v)
	}
	early := a.Snapshot(0)
	b.Restore(early, 0, true)
	for v := uint64(MaxAcceptedChanges + 1); v <= MaxAcceptedChanges+extra; v++ {
		accept(a, 2*v)
		accept(b, 2*v+1)
	}
	accept(a, 3)
	for i, row := range []struct {
		table   *Table
		version uint64
		known   bool
		floor   uint64
	}{
		{a, 2 * (MaxAcceptedChanges + extra), true, 2 * extra},
		{a, 2 * (extra + 1), true, 2 * extra},
		{a, 2 * extra, false, 2 * extra},
		{a, 2*(MaxAcceptedChanges+1) + 1, false, 2 * extra},
		{a, 3, false, 2 * extra},
		{b, 2*(MaxAcceptedChanges+1) + 1, true, 2 * extra},
		{b, 2 * (MaxAcceptedChanges + 1), false, 2 * extra},
	} {
		qt.Check(t, row.table.HasAccepted(digestOf(row.version)), qt.Equals, row.known, qt.Commentf("row %d", i))
		qt.Check(t, row.table.AcceptedFloor(), qt.Equals, row.floor, qt.Commentf("row %d", i))
	}
	restored := NewTable(20 * time.Second)
	restored.Restore(early, 0, true)
	qt.Assert(t, restored.AcceptedFloor(), qt.Equals, uint64(0))
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		qt.Assert(t, restored.HasAccepted(digestOf(2*v)), qt.IsTrue)
	}
	for _, snapshot := range []*meshpb.ShardState{early, a.Snapshot(0), b.Snapshot(0)} {
		qt.Assert(t, len(snapshot.AcceptedVersions), qt.Equals, MaxAcceptedChanges)
		qt.Assert(t, len(snapshot.AcceptedDigests), qt.Equals, MaxAcceptedChanges*DigestSize)
	}
}
