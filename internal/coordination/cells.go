package coordination

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// historyMargin is added to one and a half times the guaranteed history to give the
// retention, so that a watcher at the very end of the guarantee still finds its
// events.
const historyMargin = 5 * time.Second

// event is a put in the history of a group.
type event struct {
	put *meshpb.Put
	// appliedAt is the time at which this process applied the put, or an estimate of it
	// from the age in a restored snapshot.
	appliedAt time.Duration
}

// keyGroup holds the keys that share a group name. They also share one sequence of
// revisions and one history.
type keyGroup struct {
	// revision is the revision of the newest put in the group.
	revision uint64
	// compactedRevision is the highest revision whose event has been discarded, or 0.
	compactedRevision uint64
	// cells holds the last put of each key.
	cells map[string]*meshpb.Put
	// history holds the recent events in ascending order of revision.
	history []event
}

// cellTable holds the key groups of a shard.
type cellTable struct {
	// retention is how long an event is kept in the history of its group.
	retention time.Duration
	// groups holds the key groups by name.
	groups map[string]*keyGroup
}

func newCellTable(retention time.Duration) cellTable {
	return cellTable{retention: retention, groups: map[string]*keyGroup{}}
}

// GroupName returns the name of a key's group: the key up to and including its first
// dot, or the whole key if it has none.
func GroupName(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// Cell is the value of a key together with its revision.
type Cell struct {
	// Payload is the value. Results of Put leave it empty.
	Payload string
	// Revision is the revision of the put that wrote the value.
	Revision uint64
}

// Put writes a value to a key. If expected is not nil, the key must be at that
// revision, where 0 means that it has no value; otherwise the error is a
// *RevisionMismatchError.
//
// If the value is the key's current one, or the history contains a put of it to the
// key, the request is taken for a repetition of that put, whatever expected is:
// nothing is written, and the result is the revision of that put.
func (t *Table) Put(name, payload string, expected *uint64, now time.Duration) Decision[Cell] {
	group := t.cells.find(GroupName(name))
	if revision, found := group.findPut(name, payload); found {
		return Decision[Cell]{Result: Cell{Revision: revision}, AlreadyApplied: true}
	}
	current := group.cells[name].GetRevision()
	if expected != nil && *expected != current {
		return Decision[Cell]{Err: &RevisionMismatchError{Current: current}}
	}
	revision := group.revision + 1
	return Decision[Cell]{
		Change: &meshpb.Change{Put: &meshpb.Put{Name: name, Payload: payload, Revision: revision}},
		Result: Cell{Revision: revision},
	}
}

// Get returns the current value of a key. The error is ErrNotFound if the key has
// none.
func (t *Table) Get(name string) Decision[Cell] {
	group := t.cells.groups[GroupName(name)]
	if group == nil || group.cells[name] == nil {
		return Decision[Cell]{Err: ErrNotFound}
	}
	put := group.cells[name]
	return Decision[Cell]{Result: Cell{put.Payload, put.Revision}}
}

// EventList lists events of a key group.
type EventList struct {
	// Revision is the newest revision of the group, or 0 if the group has none.
	Revision uint64
	// Events are the puts after the requested revision, oldest first.
	Events []*meshpb.Put
	// CaughtUp reports that there is nothing after the requested revision yet, so that
	// a watch keeps waiting.
	CaughtUp bool
}

// EventsSince returns the events of a group after a revision. The error is
// ErrCompacted if some of them have been discarded. If after is 0 and the group
// exists, the result has only the newest revision, from which a caller can start to
// watch.
func (t *Table) EventsSince(name string, after uint64) Decision[EventList] {
	group := t.cells.groups[name]
	switch {
	case group == nil:
		return Decision[EventList]{Result: EventList{CaughtUp: true}}
	case after == 0:
		return Decision[EventList]{Result: EventList{Revision: group.revision}}
	case after < group.compactedRevision:
		return Decision[EventList]{Err: ErrCompacted}
	}
	list := EventList{Revision: group.revision}
	for _, e := range group.history {
		if e.put.Revision > after {
			list.Events = append(list.Events, e.put)
		}
	}
	list.CaughtUp = len(list.Events) == 0
	return Decision[EventList]{Result: list}
}

// find returns the group with that name, or an empty one that is not part of the table.
func (t *cellTable) find(name string) *keyGroup {
	if group := t.groups[name]; group != nil {
		return group
	}
	return &keyGroup{}
}

// group returns the group with that name, which it creates if there is none.
func (t *cellTable) group(name string) *keyGroup {
	group := t.groups[name]
	if group == nil {
		group = &keyGroup{cells: map[string]*meshpb.Put{}}
		t.groups[name] = group
	}
	return group
}

// findPut returns the revision under which the value was written to the key, if it
// is the key's current value or the history contains the put.
func (g *keyGroup) findPut(name, payload string) (revision uint64, found bool) {
	if current := g.cells[name]; current != nil && current.Payload == payload {
		return current.Revision, true
	}
	for _, e := range slices.Backward(g.history) {
		if e.put.Name == name && e.put.Payload == payload {
			return e.put.Revision, true
		}
	}
	return 0, false
}

// apply records a put and compacts the history of its group.
func (t *cellTable) apply(p *meshpb.Put, now time.Duration) {
	group := t.group(GroupName(p.Name))
	group.revision = max(group.revision, p.Revision)
	group.cells[p.Name] = p
	group.history = append(group.history, event{p, now})
	group.compact(now - t.retention)
}

// compact discards the events that were applied before cutoff.
func (g *keyGroup) compact(cutoff time.Duration) {
	n := 0
	for n < len(g.history) && g.history[n].appliedAt < cutoff {
		g.compactedRevision = g.history[n].put.Revision
		n++
	}
	if n > 0 {
		g.history = append([]event(nil), g.history[n:]...)
	}
}

// snapshot returns the groups, sorted by name.
func (t *cellTable) snapshot(now time.Duration) []*meshpb.KeyGroup {
	var groups []*meshpb.KeyGroup
	for name, g := range t.groups {
		group := &meshpb.KeyGroup{Name: name, Revision: g.revision, Floor: g.compactedRevision}
		for _, put := range g.cells {
			group.Puts = append(group.Puts, put)
		}
		for _, e := range g.history {
			group.History = append(group.History, &meshpb.Put{
				Name: e.put.Name, Payload: e.put.Payload, Revision: e.put.Revision, AgeMs: toMilliseconds(now - e.appliedAt),
			})
		}
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b *meshpb.KeyGroup) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// restore adds a group from a snapshot. timeOf converts the age of an event to the
// time at which it was applied.
func (t *cellTable) restore(state *meshpb.KeyGroup, timeOf func(ageMs uint64) time.Duration) {
	group := t.group(state.Name)
	group.revision, group.compactedRevision = state.Revision, state.Floor
	for _, put := range state.Puts {
		group.cells[put.Name] = put
	}
	for _, p := range state.History {
		put := &meshpb.Put{Name: p.Name, Payload: p.Payload, Revision: p.Revision}
		group.history = append(group.history, event{put, timeOf(p.AgeMs)})
	}
}
