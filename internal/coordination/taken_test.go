package coordination

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

func sumOf(v uint64) []byte {
	s := sha256.Sum256(fmt.Append(nil, v))
	return s[:]
}

func TestRecordOfOrdersIsBoundedAndItsDumpsStayAsTheyWere(t *testing.T) {
	a, b := NewTable(20*time.Second), NewTable(20*time.Second)
	take := func(t *Table, v uint64) {
		t.Apply(&meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: v, Digest: sumOf(v)}}, 0)
	}
	const extra = 10
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		take(a, 2*v)
	}
	early := a.Snapshot(0)
	b.Restore(early, 0, true)
	for v := uint64(MaxAcceptedChanges + 1); v <= MaxAcceptedChanges+extra; v++ {
		take(a, 2*v)
		take(b, 2*v+1)
	}
	take(a, 3)
	for i, x := range []struct {
		t       *Table
		v       uint64
		known   bool
		forgets uint64
	}{
		{a, 2 * (MaxAcceptedChanges + extra), true, 2 * extra},
		{a, 2 * (extra + 1), true, 2 * extra},
		{a, 2 * extra, false, 2 * extra},
		{a, 2*(MaxAcceptedChanges+1) + 1, false, 2 * extra},
		{a, 3, false, 2 * extra},
		{b, 2*(MaxAcceptedChanges+1) + 1, true, 2 * extra},
		{b, 2 * (MaxAcceptedChanges + 1), false, 2 * extra},
	} {
		qt.Check(t, x.t.HasAccepted(sumOf(x.v)), qt.Equals, x.known, qt.Commentf("row %d", i))
		qt.Check(t, x.t.AcceptedFloor(), qt.Equals, x.forgets, qt.Commentf("row %d", i))
	}
	c := NewTable(20 * time.Second)
	c.Restore(early, 0, true)
	qt.Assert(t, c.AcceptedFloor(), qt.Equals, uint64(0))
	for v := uint64(1); v <= MaxAcceptedChanges; v++ {
		qt.Assert(t, c.HasAccepted(sumOf(2*v)), qt.IsTrue)
	}
	for _, d := range []*meshpb.ShardState{early, a.Snapshot(0), b.Snapshot(0)} {
		qt.Assert(t, len(d.AcceptedVersions), qt.Equals, MaxAcceptedChanges)
		qt.Assert(t, len(d.AcceptedDigests), qt.Equals, MaxAcceptedChanges*DigestSize)
	}
}
