package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

var _ replication.StateMachine = (*Table)(nil)

// Table is the replicated state of one shard. Only the goroutine of the shard's
// replica calls its methods.
type Table struct {
	locks    lockTable
	counters counterTable
	cells    cellTable
	sessions sessionTable
	accepted acceptedChanges
	// blobs are opaque values that are replaced whole, by name.
	blobs map[string]*meshpb.Blob
}

// NewTable returns an empty table that keeps the events of the last history.
func NewTable(history time.Duration) *Table {
	t := &Table{sessions: newSessionTable(), cells: newCellTable(history*3/2 + historyMargin)}
	t.clear()
	return t
}

// clear empties the table; its limits stay.
func (t *Table) clear() {
	t.locks = newLockTable()
	t.counters = newCounterTable()
	t.cells = newCellTable(t.cells.retention)
	t.sessions.pins = map[pinKey]pin{}
	t.accepted = acceptedChanges{}
	t.blobs = map[string]*meshpb.Blob{}
}

// Apply carries out a change of the shard's log.
func (t *Table) Apply(c *meshpb.Change, now time.Duration) {
	if l := c.GetLock(); l != nil {
		t.locks.apply(l, now)
	}
	if n := c.GetCounter(); n != nil {
		t.counters.apply(n)
	}
	if p := c.GetPut(); p != nil {
		t.cells.apply(p, now)
	}
	if b := c.GetBlob(); b != nil {
		t.putBlob(b)
	}
	if a := c.GetAccepted(); a != nil {
		t.accepted.add(a)
	}
	if p := c.GetPin(); p != nil {
		t.sessions.apply(p, now)
	}
}

// Blob returns a blob's value; nil if there is none.
func (t *Table) Blob(name string) *meshpb.Blob { return t.blobs[name] }

func (t *Table) putBlob(b *meshpb.Blob) {
	t.blobs[b.Name] = b
	t.accepted.addLegacy(b)
}

// BecomeOwner is called when this process becomes the shard's owner.
func (t *Table) BecomeOwner() { t.counters.skipReserved() }

// Snapshot writes the table as a snapshot, each list in a fixed order.
func (t *Table) Snapshot(now time.Duration) *meshpb.ShardState {
	state := &meshpb.ShardState{
		LastFencingToken: t.locks.lastFencingToken,
		Locks:            t.locks.snapshot(now),
		Counters:         t.counters.snapshot(),
		Groups:           t.cells.snapshot(now),
		Pins:             t.sessions.snapshot(now),
	}
	t.accepted.snapshot(state)
	for _, b := range t.blobs {
		state.Blobs = append(state.Blobs, b)
	}
	slices.SortFunc(state.Blobs, func(a, b *meshpb.Blob) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

// Restore replaces the table by a snapshot. The ages in it count if it came
// straight from another process; fresh restarts each lock's time to live and
// each event's age, as after a read from disk.
func (t *Table) Restore(state *meshpb.ShardState, now time.Duration, fresh bool) {
	age := fromMilliseconds
	if fresh {
		age = func(uint64) time.Duration { return 0 }
	}
	at := func(ageMs uint64) time.Duration { return now - age(ageMs) }
	t.clear()
	t.locks.lastFencingToken = state.LastFencingToken
	for _, l := range state.Locks {
		t.locks.restore(l, now, age(l.AgeMs))
	}
	for _, c := range state.Counters {
		t.counters.restore(c)
	}
	for _, g := range state.Groups {
		t.cells.restore(g, at)
	}
	t.accepted.restore(state)
	for _, b := range state.Blobs {
		t.putBlob(b)
	}
	for _, p := range state.Pins {
		t.sessions.put(p, at(p.AgeMs))
	}
}

// toMilliseconds rounds down to whole toMilliseconds, 0 at least.
func toMilliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

func fromMilliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
