package coordination

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// historyMargin is added to one and a half times the promised history, so that
// a watcher at the edge of the promise still finds its events.
const historyMargin = 5 * time.Second

// event is one put in a group's history.
type event struct {
	put       *meshpb.Put
	appliedAt time.Duration
}

// keyGroup holds the keys that share a prefix, a sequence of revisions and a
// history.
type keyGroup struct {
	revision uint64
	// compactedRevision is the highest revision whose event was discarded.
	compactedRevision uint64
	cells             map[string]*meshpb.Put
	// history holds the recent events, by rising revision.
	history []event
}

// cellTable holds a shard's key groups.
type cellTable struct {
	retention time.Duration
	groups    map[string]*keyGroup
}

func newCellTable(retention time.Duration) cellTable {
	return cellTable{retention: retention, groups: map[string]*keyGroup{}}
}

// GroupName is the group of a key: its name up to the first dot, dot included,
// or the whole name.
func GroupName(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// Cell is a key's value.
type Cell struct {
	Payload string
	// Revision is that of the put that wrote the value.
	Revision uint64
}

// Put writes a key, on condition that it stands at the revision expected (0: has
// no value) if that is given; otherwise the error is *RevisionMismatchError. A
// value that the history shows under the key counts as an earlier sending of
// the same put, and gets its revision.
func (t *Table) Put(name, payload string, expected *uint64, now time.Duration) Decision[Cell] {
	group := t.cells.group(GroupName(name))
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

// Get reads a key; without a value the error is ErrNotFound.
func (t *Table) Get(name string) Decision[Cell] {
	group := t.cells.groups[GroupName(name)]
	if group == nil || group.cells[name] == nil {
		return Decision[Cell]{Err: ErrNotFound}
	}
	put := group.cells[name]
	return Decision[Cell]{Result: Cell{put.Payload, put.Revision}}
}

// EventList is what happened in a group of keys.
type EventList struct {
	// Revision is the group's newest.
	Revision uint64
	// Events are the puts after the revision asked for, oldest first.
	Events []*meshpb.Put
	// CaughtUp says that there is nothing to tell yet: a watch goes on waiting.
	CaughtUp bool
}

// EventsSince lists the group's events after a revision; if some of them were
// discarded the error is ErrCompacted. After 0 it tells the newest revision
// only, for a caller that begins to watch.
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

func (k *cellTable) group(name string) *keyGroup {
	group := k.groups[name]
	if group == nil {
		group = &keyGroup{cells: map[string]*meshpb.Put{}}
		k.groups[name] = group
	}
	return group
}

// findPut looks for the value as the key's present one and in the history.
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

func (k *cellTable) apply(p *meshpb.Put, now time.Duration) {
	group := k.group(GroupName(p.Name))
	group.revision = max(group.revision, p.Revision)
	group.cells[p.Name] = p
	group.history = append(group.history, event{p, now})
	group.compact(now - k.retention)
}

// compact discards the events from before a time.
func (g *keyGroup) compact(before time.Duration) {
	n := 0
	for n < len(g.history) && g.history[n].appliedAt < before {
		g.compactedRevision = g.history[n].put.Revision
		n++
	}
	if n > 0 {
		g.history = append([]event(nil), g.history[n:]...)
	}
}

func (k *cellTable) snapshot(now time.Duration) []*meshpb.KeyGroup {
	var groups []*meshpb.KeyGroup
	for name, g := range k.groups {
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

// restore reads a group; at gives the time of an event from its age.
func (k *cellTable) restore(from *meshpb.KeyGroup, at func(ageMs uint64) time.Duration) {
	group := k.group(from.Name)
	group.revision, group.compactedRevision = from.Revision, from.Floor
	for _, put := range from.Puts {
		group.cells[put.Name] = put
	}
	for _, p := range from.History {
		put := &meshpb.Put{Name: p.Name, Payload: p.Payload, Revision: p.Revision}
		group.history = append(group.history, event{put, at(p.AgeMs)})
	}
}
