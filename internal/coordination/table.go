package coordination

import (
	"sort"
	"strings"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const block = 64

type lock struct {
	holder string
	fence  uint64
	hold   time.Duration
	until  time.Duration
}

type event struct {
	put *meshpb.Put
	at  time.Duration
}

type group struct {
	rev   uint64
	floor uint64
	cells map[string]*meshpb.Put
	past  []event
}

// Table is one shard's content. Only the goroutine that owns the shard's
// mailbox touches it.
type Table struct {
	keep   time.Duration
	fences uint64
	locks  map[string]lock
	nums   map[string]uint64
	given  map[string]uint64
	groups map[string]*group
	blobs  map[string]*meshpb.Blob
	pins   pins
	taken  taken
}

func NewTable(history time.Duration) *Table {
	t := &Table{keep: history*3/2 + 5*time.Second, pins: pins{idle: 10 * time.Minute, most: 8192}}
	t.clear()
	return t
}

func (t *Table) clear() {
	t.fences = 0
	t.locks = map[string]lock{}
	t.nums = map[string]uint64{}
	t.given = map[string]uint64{}
	t.groups = map[string]*group{}
	t.blobs = map[string]*meshpb.Blob{}
	t.pins.by = map[pinKey]pin{}
	t.taken = taken{}
}

func GroupName(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

func (t *Table) group(n string) *group {
	g := t.groups[n]
	if g == nil {
		g = &group{cells: map[string]*meshpb.Put{}}
		t.groups[n] = g
	}
	return g
}

func (t *Table) Apply(c *meshpb.Change, now time.Duration) {
	if l := c.GetLock(); l != nil {
		t.fences = max(t.fences, l.FencingToken)
		if l.Free {
			delete(t.locks, l.Name)
		} else {
			h := time.Duration(l.TtlMs) * time.Millisecond
			u := now + h
			if o, ok := t.locks[l.Name]; ok && o.fence == l.FencingToken {
				u = max(u, o.until)
			}
			t.locks[l.Name] = lock{l.Owner, l.FencingToken, h, u}
		}
	}
	if n := c.GetCounter(); n != nil {
		t.nums[n.Name] = max(t.nums[n.Name], n.High)
	}
	if p := c.GetPut(); p != nil {
		g := t.group(GroupName(p.Name))
		g.rev = max(g.rev, p.Revision)
		g.cells[p.Name] = p
		g.past = append(g.past, event{p, now})
		t.prune(g, now)
	}
	if b := c.GetBlob(); b != nil {
		t.blobs[b.Name] = b
		t.taken.read(b)
	}
	if x := c.GetAccepted(); x != nil {
		t.taken.add(x)
	}
	if p := c.GetPin(); p != nil {
		t.pins.apply(p, now)
	}
}

func (t *Table) prune(g *group, now time.Duration) {
	n := 0
	for n < len(g.past) && now-g.past[n].at > t.keep {
		g.floor = g.past[n].put.Revision
		n++
	}
	if n > 0 {
		g.past = append([]event(nil), g.past[n:]...)
	}
}

// Lead is called when this process comes to own the shard: numbers reserved
// by an earlier owner are passed over.
func (t *Table) BecomeOwner() { t.given = map[string]uint64{} }

func ms(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

func (t *Table) Snapshot(now time.Duration) *meshpb.ShardState {
	s := &meshpb.ShardState{LastFencingToken: t.fences}
	for n, l := range t.locks {
		left := max(l.until-now, 0)
		h := max(l.hold, left)
		s.Locks = append(s.Locks, &meshpb.Lock{Name: n, Owner: l.holder, FencingToken: l.fence, TtlMs: ms(h + time.Millisecond - 1), AgeMs: ms(h - left)})
	}
	for n, h := range t.nums {
		s.Counters = append(s.Counters, &meshpb.Counter{Name: n, High: h})
	}
	for n, g := range t.groups {
		o := &meshpb.KeyGroup{Name: n, Revision: g.rev, Floor: g.floor}
		for _, p := range g.cells {
			o.Puts = append(o.Puts, p)
		}
		for _, e := range g.past {
			o.History = append(o.History, &meshpb.Put{Name: e.put.Name, Payload: e.put.Payload, Revision: e.put.Revision, AgeMs: ms(now - e.at)})
		}
		s.Groups = append(s.Groups, o)
	}
	for _, b := range t.blobs {
		s.Blobs = append(s.Blobs, b)
	}
	s.Pins = t.pins.dump(now)
	t.taken.dump(s)
	sort.Slice(s.Locks, func(i, j int) bool { return s.Locks[i].Name < s.Locks[j].Name })
	sort.Slice(s.Counters, func(i, j int) bool { return s.Counters[i].Name < s.Counters[j].Name })
	sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].Name < s.Groups[j].Name })
	sort.Slice(s.Blobs, func(i, j int) bool { return s.Blobs[i].Name < s.Blobs[j].Name })
	return s
}

// Load replaces the content. Ages are honoured when the state came straight
// from another process; fresh restarts every hold and the history's age, as
// after a read from disk.
func (t *Table) Restore(s *meshpb.ShardState, now time.Duration, fresh bool) {
	t.clear()
	t.fences = s.LastFencingToken
	age := func(v uint64) time.Duration {
		if fresh {
			return 0
		}
		return time.Duration(v) * time.Millisecond
	}
	for _, l := range s.Locks {
		h := time.Duration(l.TtlMs) * time.Millisecond
		t.locks[l.Name] = lock{l.Owner, l.FencingToken, h, now + h - age(l.AgeMs)}
	}
	for _, n := range s.Counters {
		t.nums[n.Name] = n.High
	}
	for _, o := range s.Groups {
		g := t.group(o.Name)
		g.rev, g.floor = o.Revision, o.Floor
		for _, p := range o.Puts {
			g.cells[p.Name] = p
		}
		for _, p := range o.History {
			g.past = append(g.past, event{&meshpb.Put{Name: p.Name, Payload: p.Payload, Revision: p.Revision}, now - age(p.AgeMs)})
		}
	}
	t.taken.load(s)
	for _, b := range s.Blobs {
		t.blobs[b.Name] = b
		t.taken.read(b)
	}
	for _, p := range s.Pins {
		t.pins.put(p, now-age(p.AgeMs))
	}
}

func (t *Table) Blob(n string) *meshpb.Blob { return t.blobs[n] }

type Outcome int

const (
	Done Outcome = iota
	Held
	Lost
	Moved
	Absent
	Gone
	Waiting
)

type LockGrant struct {
	Outcome      Outcome
	FencingToken uint64
}

func (t *Table) AcquireLock(name, holder string, hold, now time.Duration) (*meshpb.Change, LockGrant) {
	l, ok := t.locks[name]
	if ok && now < l.until && l.holder != holder {
		return nil, LockGrant{Outcome: Held}
	}
	f := l.fence
	if !ok || l.holder != holder || now >= l.until {
		f = t.fences + 1
	}
	return &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: holder, FencingToken: f, TtlMs: ms(hold)}}, LockGrant{Done, f}
}

func (t *Table) RenewLock(name, holder string, fence uint64, hold, now time.Duration) (*meshpb.Change, LockGrant) {
	l, ok := t.locks[name]
	if !ok || l.holder != holder || l.fence != fence || now >= l.until {
		return nil, LockGrant{Outcome: Lost}
	}
	return &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: holder, FencingToken: fence, TtlMs: ms(hold)}}, LockGrant{Done, fence}
}

func (t *Table) ReleaseLock(name, holder string, fence uint64) (*meshpb.Change, LockGrant) {
	l, ok := t.locks[name]
	if !ok || l.holder != holder || l.fence != fence {
		return nil, LockGrant{Outcome: Done}
	}
	return &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: holder, FencingToken: fence, Free: true}}, LockGrant{Outcome: Done}
}

func (t *Table) NextNumber(name string) (*meshpb.Change, uint64) {
	h := t.nums[name]
	n, ok := t.given[name]
	if !ok {
		n = h
	}
	n++
	t.given[name] = n
	if n <= h {
		return nil, n
	}
	return &meshpb.Change{Counter: &meshpb.Counter{Name: name, High: n + block - 1}}, n
}

type Cell struct {
	Outcome  Outcome
	Payload  string
	Revision uint64
}

func (t *Table) Put(name, payload string, on *uint64, now time.Duration) (*meshpb.Change, Cell) {
	g := t.group(GroupName(name))
	cur := g.cells[name]
	if cur != nil && cur.Payload == payload {
		return nil, Cell{Outcome: Done, Revision: cur.Revision}
	}
	for i := len(g.past) - 1; i >= 0; i-- {
		if p := g.past[i].put; p.Name == name && p.Payload == payload {
			return nil, Cell{Outcome: Done, Revision: p.Revision}
		}
	}
	if on != nil && *on != cur.GetRevision() {
		return nil, Cell{Outcome: Moved, Revision: cur.GetRevision()}
	}
	r := g.rev + 1
	return &meshpb.Change{Put: &meshpb.Put{Name: name, Payload: payload, Revision: r}}, Cell{Outcome: Done, Revision: r}
}

func (t *Table) Get(name string) Cell {
	g := t.groups[GroupName(name)]
	if g == nil || g.cells[name] == nil {
		return Cell{Outcome: Absent}
	}
	p := g.cells[name]
	return Cell{Done, p.Payload, p.Revision}
}

type EventList struct {
	Outcome  Outcome
	Revision uint64
	Events   []*meshpb.Put
}

func (t *Table) EventsSince(name string, after uint64) EventList {
	g := t.groups[name]
	if g == nil {
		return EventList{Outcome: Waiting}
	}
	if after < g.floor && after > 0 {
		return EventList{Outcome: Gone, Revision: g.rev}
	}
	e := EventList{Outcome: Waiting, Revision: g.rev}
	if after == 0 {
		e.Outcome = Done
		return e
	}
	for _, p := range g.past {
		if p.put.Revision > after {
			e.Events = append(e.Events, p.put)
			e.Outcome = Done
		}
	}
	return e
}
