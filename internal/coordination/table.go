package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

var _ replication.StateMachine = (*Table)(nil)

// Table is the replicated state of one shard. Its methods are not safe for
// concurrent use: only the goroutine of the shard's replica calls them. Their now
// arguments are readings of the replica's monotonic clock.
type Table struct {
	locks    lockTable
	counters counterTable
	cells    cellTable
	sessions sessionTable
	accepted acceptedChanges
	// blobs holds opaque values by name. They are only replaced as a whole.
	blobs map[string]*meshpb.Blob
}

// NewTable returns an empty table. It retains the events of the last minHistory at
// least (see historyMargin).
func NewTable(minHistory time.Duration) *Table {
	t := &Table{sessions: newSessionTable(), cells: newCellTable(minHistory*3/2 + historyMargin)}
	t.clear()
	return t
}

// clear removes the content and keeps the configured limits.
func (t *Table) clear() {
	t.locks = newLockTable()
	t.counters = newCounterTable()
	t.cells = newCellTable(t.cells.retention)
	t.sessions.pins = map[pinKey]pin{}
	t.accepted = acceptedChanges{}
	t.blobs = map[string]*meshpb.Blob{}
}

// Apply applies a change from the shard's log.
func (t *Table) Apply(change *meshpb.Change, now time.Duration) {
	if l := change.GetLock(); l != nil {
		t.locks.apply(l, now)
	}
	if c := change.GetCounter(); c != nil {
		t.counters.apply(c)
	}
	if p := change.GetPut(); p != nil {
		t.cells.apply(p, now)
	}
	if b := change.GetBlob(); b != nil {
		t.putBlob(b)
	}
	if a := change.GetAccepted(); a != nil {
		t.accepted.add(a)
	}
	if p := change.GetPin(); p != nil {
		t.sessions.apply(p, now)
	}
}

// Blob returns the blob with that name, or nil if there is none.
func (t *Table) Blob(name string) *meshpb.Blob { return t.blobs[name] }

// putBlob stores a blob, and the accepted changes that it contains if an earlier
// release wrote it.
func (t *Table) putBlob(b *meshpb.Blob) {
	t.blobs[b.Name] = b
	t.accepted.addLegacy(b)
}

// BecomeOwner is called when this process becomes the shard's owner. Numbers that
// an earlier owner reserved are not issued from then on.
func (t *Table) BecomeOwner() { t.counters.skipReserved() }

// Snapshot returns the whole content of the table. Each list has a deterministic
// order.
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

// Restore replaces the content of the table with a snapshot. If fromDisk is false,
// the snapshot has just been received from another process, and the ages in it are
// valid. If fromDisk is true, the time since the snapshot was taken is unknown: each
// lock gets its full time to live again, and events and pins count as new.
func (t *Table) Restore(state *meshpb.ShardState, now time.Duration, fromDisk bool) {
	age := fromMilliseconds
	if fromDisk {
		age = func(uint64) time.Duration { return 0 }
	}
	timeOf := func(ageMs uint64) time.Duration { return now - age(ageMs) }
	t.clear()
	t.locks.lastFencingToken = state.LastFencingToken
	for _, l := range state.Locks {
		t.locks.restore(l, now, age(l.AgeMs))
	}
	for _, c := range state.Counters {
		t.counters.restore(c)
	}
	for _, g := range state.Groups {
		t.cells.restore(g, timeOf)
	}
	t.accepted.restore(state)
	for _, b := range state.Blobs {
		t.putBlob(b)
	}
	for _, p := range state.Pins {
		t.sessions.put(p, timeOf(p.AgeMs))
	}
}

// toMilliseconds rounds down to whole milliseconds. Negative durations become 0.
func toMilliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

func fromMilliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
