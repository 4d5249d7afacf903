package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A put that is sent again, because its response was lost, must return the revision
// of its first transmission, also if the key has been written since: otherwise it
// would overwrite the newer value or be refused although it was applied.
func TestRepeatedPutReturnsFirstRevision(t *testing.T) {
	table := NewTable(20 * time.Second)
	put := func(name, payload string, expected *uint64, now time.Duration) Decision[Cell] {
		return apply(table, table.Put(name, payload, expected, now), now)
	}
	zero, one := uint64(0), uint64(1)
	qt.Assert(t, put("g.a", "v1", &zero, 0).Result.Revision, qt.Equals, uint64(1))
	qt.Assert(t, put("g.b", "w1", nil, 0).Result.Revision, qt.Equals, uint64(2))
	qt.Assert(t, put("g.a", "v2", &one, 0).Result.Revision, qt.Equals, uint64(3))
	repeated := put("g.a", "v1", &zero, time.Second)
	qt.Assert(t, repeated, qt.Equals, Decision[Cell]{Result: Cell{Revision: 1}, AlreadyApplied: true})
	stale := put("g.a", "v3", &one, time.Second)
	qt.Assert(t, stale, qt.DeepEquals, Decision[Cell]{Err: &RevisionMismatchError{Current: 3}})
	qt.Assert(t, put("h.a", "v1", nil, 0).Result.Revision, qt.Equals, uint64(1))
}

// Watchers must find every event of the guaranteed history, also after a restart from
// a snapshot on disk. Older events are compacted, and a revision before them must be
// refused: a list with a gap would look complete to the watcher.
func TestHistoryIsRetainedForGuaranteedTimeAndAcrossRestart(t *testing.T) {
	table := NewTable(20 * time.Second)
	at := func(i int) time.Duration { return time.Duration(i) * time.Second }
	for i := 1; i <= 60; i++ {
		apply(table, table.Put("g.k", string(rune('0'+i)), nil, at(i)), at(i))
	}
	list := table.EventsSince("g.", 40).Result
	qt.Assert(t, len(list.Events), qt.Equals, 20)
	for i, p := range list.Events {
		qt.Assert(t, p.Revision, qt.Equals, uint64(41+i))
	}
	qt.Assert(t, table.EventsSince("g.", 3).Err, qt.Equals, ErrCompacted)
	newest := table.EventsSince("g.", 60)
	qt.Assert(t, newest.Err, qt.IsNil)
	qt.Assert(t, newest.Result.CaughtUp, qt.IsTrue)
	restored := NewTable(20 * time.Second)
	restored.Restore(table.Snapshot(at(60)), 0, true)
	qt.Assert(t, len(restored.EventsSince("g.", 40).Result.Events), qt.Equals, 20)
	d := apply(restored, restored.Put("g.k", "new", nil, 0), 0)
	qt.Assert(t, d.Result.Revision, qt.Equals, uint64(61))
	got := restored.Get("g.k")
	qt.Assert(t, got.Err, qt.IsNil)
	qt.Assert(t, got.Result, qt.Equals, Cell{"new", 61})
}
