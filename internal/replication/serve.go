package replication

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// Do runs f on the shard if this member owns it, and calls cb when what f saw
// and did is safe: committed by a majority, and read under the lease.
func (b *Replica) Execute(i int, f func(t StateMachine, now time.Duration) *meshpb.Change, cb func(error)) {
	s := b.shards[i]
	now := b.now()
	if s.role != owner {
		cb(ErrNotOwner)
		return
	}
	if !s.serving || now >= s.lease {
		cb(ErrUnavailable)
		return
	}
	c := f(s.table, now)
	w := wait{epoch: s.epoch, cb: cb, until: now + b.o.RequestTimeout}
	if c != nil {
		b.propose(s, c)
		w.chg = true
	}
	w.version = s.version
	s.waits = append(s.waits, w)
	b.release(s)
}

func (b *Replica) propose(s *shard, c *meshpb.Change) {
	e := &meshpb.Entry{Shard: uint32(s.ix), Epoch: s.epoch, Version: s.version + 1, Change: c}
	s.take(e, b.now())
	b.step("proposed", s, e.Epoch, e.Version, c)
	ep, at := s.epoch, s.version
	b.save(&meshpb.Record{Entry: e}, func(err error) {
		if err == nil && s.epoch == ep && s.synced+1 >= at {
			s.synced = max(s.synced, at)
			b.step("synced", s, ep, at, c)
			b.advance(s)
		}
	})
	if s.commit+1 >= s.version {
		s.pending = b.now()
	}
	for _, p := range b.near {
		b.push(p)
	}
}

func (b *Replica) release(s *shard) {
	now := b.now()
	for len(s.waits) > 0 {
		w := s.waits[0]
		if s.role != owner && s.role != handing || s.epoch != w.epoch {
			s.waits = s.waits[1:]
			w.fail()
			continue
		}
		if s.commit >= w.version && (w.chg || now < s.lease) {
			s.waits = s.waits[1:]
			w.cb(nil)
			continue
		}
		if now >= w.until {
			s.waits = s.waits[1:]
			w.fail()
			continue
		}
		return
	}
}

func (w wait) fail() {
	if w.chg {
		w.cb(ErrOutcomeUnknown)
		return
	}
	w.cb(ErrUnavailable)
}

func (b *Replica) advance(s *shard) {
	if s.role != owner && s.role != handing {
		return
	}
	var at []uint64
	for _, m := range b.membership.Members {
		if m.Id == b.me.Id {
			at = append(at, s.synced)
		} else if p := b.peers[m.Id]; p != nil && p.known[s.ix] == s.epoch {
			at = append(at, p.acked[s.ix])
		} else {
			at = append(at, 0)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i] > at[j] })
	c := at[b.majority()-1]
	if c < s.base {
		return
	}
	if !s.serving {
		s.serving = true
		b.note("shard %d: serving at epoch %d from version %d", s.ix, s.epoch, s.base)
		b.relet(s)
		if b.o.OnOwnershipChange != nil {
			b.o.OnOwnershipChange(s.ix, true, s.epoch)
		}
	}
	if s.settled != b.membership.Version {
		s.settled = b.membership.Version
		b.settles[s.ix] = max(b.settles[s.ix], s.settled)
		b.urgent = true
	}
	if c > s.commit {
		s.commit = c
		b.step("committed", s, s.epoch, c, nil)
		b.release(s)
		if b.o.OnCommit != nil {
			b.o.OnCommit(s.ix)
		}
	}
	if s.role == handing {
		b.finishHand(s)
	}
}

// relet works out until when a majority lets this member own the shard.
func (b *Replica) relet(s *shard) {
	var at []time.Duration
	for _, m := range b.membership.Members {
		if m.Id == b.me.Id {
			at = append(at, b.now())
		} else if p := b.peers[m.Id]; p != nil {
			at = append(at, p.grants[s.ix])
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i] > at[j] })
	if len(at) < b.majority() {
		return
	}
	s.lease = max(s.lease, at[b.majority()-1]+b.o.LeaseDuration*9/10)
	if s.ix == 0 && s.serving {
		b.held.Store(int64(s.lease))
		b.epoch.Store(s.epoch)
	}
	b.release(s)
}

// spreadOut sends changes to the peers that did not get them at once: those
// that a majority does not need, in turns, and all if a majority is slow.
func (b *Replica) spreadOut() {
	now := b.now()
	late := false
	for _, s := range b.shards {
		late = late || (s.role == owner || s.role == handing) && (s.role == handing || !s.serving || s.commit < s.version && now-s.pending > b.o.LeaseDuration/20)
	}
	for _, p := range b.others() {
		if late || now-p.pushed >= b.o.HeartbeatInterval {
			b.push(p)
		}
	}
	b.rank()
}

// rank puts first the peers whose copies make a majority: sound ones, by
// preference of this zone.
func (b *Replica) rank() {
	b.near = append(b.near[:0], b.line...)
	cost := func(p *peer) int {
		n := 0
		if !b.ready(p.m.Id) {
			n += 4
		}
		if p.copying && b.now()-p.pushed > b.o.LeaseDuration/20 {
			n += 2
		}
		if p.m.Zone != b.me.Zone {
			n++
		}
		return n
	}
	sort.SliceStable(b.near, func(i, j int) bool { return cost(b.near[i]) < cost(b.near[j]) })
	b.near = b.near[:min(len(b.near), max(b.majority()-1, 2))]
}

// stateBytes bounds what goes into one copy, but for a single state that is larger.
const stateBytes = 256 << 10

// load collects what the peer lacks: of a shard whose epoch it does not have,
// what leads there from what it has, or all; else the entries that follow. It
// tells too whether all went in.
func (b *Replica) load(p *peer) (q *meshpb.ReplicateRequest, whole bool) {
	q = &meshpb.ReplicateRequest{}
	size := 0
	for _, s := range b.shards {
		if s.role != owner && s.role != handing {
			continue
		}
		if size > stateBytes {
			return q, false
		}
		at := p.acked[s.ix]
		if p.known[s.ix] != s.epoch {
			h := s.past[len(s.past)-1]
			if x := p.have[s.ix]; x.for_ == s.epoch {
				h = x.span
			}
			x := s.raiseFor(h)
			if x == nil {
				st := b.dump(s)
				size += proto.Size(st)
				q.States = append(q.States, st)
				continue
			}
			size += proto.Size(x)
			q.EpochChanges = append(q.EpochChanges, x)
			at = s.begin
		}
		es, ok := s.after(span{s.epoch, at})
		if !ok {
			st := b.dump(s)
			size += proto.Size(st)
			q.States = append(q.States, st)
			continue
		}
		for _, e := range es {
			if size > stateBytes {
				return q, false
			}
			size += proto.Size(e)
			q.Entries = append(q.Entries, e)
		}
	}
	return q, true
}

func (b *Replica) push(p *peer) {
	now := b.now()
	if p.copying || now < p.nextAt || b.blank {
		return
	}
	p.pushed = now
	q, whole := b.load(p)
	if len(q.States)+len(q.Entries)+len(q.EpochChanges) == 0 {
		return
	}
	q.Header = b.head(p)
	p.copying = true
	at := now
	b.wire.Replicate(p.m, q, func(r *meshpb.ReplicateResponse) {
		p.copying = false
		if r == nil {
			p.nextAt = b.now() + 100*time.Millisecond
			return
		}
		if !r.Member || r.Membership != b.membership.Version {
			p.nextAt = b.now() + 100*time.Millisecond
			b.sawMembership(p.m, r.Membership)
			return
		}
		b.met(p, r.Healthy, p.leaving)
		again := !whole
		for _, a := range r.Acks {
			s := b.shards[a.Shard]
			if a.Promised >= s.promised && a.Promised > 0 && (s.role == owner || s.role == handing) {
				b.depose(s, a.Promised, "a copy obeys another")
				continue
			}
			if a.Epoch != s.epoch || s.role != owner && s.role != handing {
				continue
			}
			if a.Gap {
				p.known[s.ix], p.acked[s.ix] = 0, 0
				p.have[s.ix] = have{s.epoch, span{a.HaveEpoch, a.HaveVersion}}
				if again = again || a.Promised == 0; a.Promised > 0 {
					p.nextAt = b.now() + b.o.HeartbeatInterval/5
				}
				continue
			}
			p.known[s.ix], p.acked[s.ix] = a.Epoch, a.Version
			p.grants[s.ix] = max(p.grants[s.ix], at)
			b.advance(s)
			b.relet(s)
		}
		if !r.NotReceiving {
			b.unanswered(p, q, r)
		}
		if again || slices.Contains(b.near, p) {
			b.push(p)
		}
	})
}

// nothing is what no copy has, so that the whole state goes.
var nothing = span{version: 1 << 63}

// unanswered notes raises of which a copy said nothing, or that it would go on
// from just there: a member of the release before knows none and gets states.
func (b *Replica) unanswered(p *peer, q *meshpb.ReplicateRequest, r *meshpb.ReplicateResponse) {
	for _, x := range q.EpochChanges {
		i := slices.IndexFunc(r.Acks, func(a *meshpb.ReplicateAck) bool { return a.Shard == x.Shard })
		if i >= 0 {
			a := r.Acks[i]
			if !a.Gap || a.Promised > 0 || a.HaveEpoch != x.FromEpoch || a.HaveVersion != x.FromVersion {
				continue
			}
		}
		if s := b.shards[x.Shard]; x.Epoch == s.epoch {
			p.have[x.Shard] = have{s.epoch, nothing}
			p.nextAt = b.now() + b.o.HeartbeatInterval/5
		}
	}
}

func (b *Replica) depose(s *shard, epoch uint64, why string) {
	if s.role == idle {
		return
	}
	was := s.serving
	b.note("shard %d: given up at epoch %d (%s, %d)", s.ix, s.epoch, why, epoch)
	s.role, s.serving, s.lease = idle, false, 0
	if s.ix == 0 {
		b.held.Store(0)
	}
	s.best, s.oks = nil, nil
	s.retryAt = b.now() + b.o.HeartbeatInterval + time.Duration(b.o.Rand(200))*time.Millisecond
	s.asked = max(s.asked, epoch)
	b.release(s)
	if was && b.o.OnOwnershipChange != nil {
		b.o.OnOwnershipChange(s.ix, false, s.epoch)
	}
}

// gather calls end once fin has been called for each that is left; one is left
// at first.
func gather(end func(failed bool)) (left *int, fin func(error)) {
	n, failed := 1, false
	return &n, func(err error) {
		failed = failed || err != nil
		if n--; n == 0 {
			end(failed)
		}
	}
}

// copied gathers what a copy came to, in the order of the shards in it.
type copied struct {
	b    *Replica
	from string
	acks []*meshpb.ReplicateAck
	by   map[uint32]*meshpb.ReplicateAck
	left *int
	fin  func(error)
}

func (c *copied) ack(shard uint32, epoch, version uint64) *meshpb.ReplicateAck {
	a := &meshpb.ReplicateAck{Shard: shard, Epoch: epoch, Version: version}
	c.acks = append(c.acks, a)
	c.by[shard] = a
	return a
}

// flush makes the answer wait for all that this shard has not synced yet.
func (c *copied) flush() {
	*c.left++
	c.b.book.Append(nil, c.fin)
}

// outdone tells that another epoch was promised than the one that a copy is for.
func (c *copied) outdone(s *shard, a *meshpb.ReplicateAck) bool {
	if a.Epoch > s.promised || a.Epoch == s.promised && s.promisedBy == c.from && a.Epoch > s.ended {
		return false
	}
	a.Promised, a.Gap = s.promised, true
	return true
}

// obey promises the epoch that a copy comes under, as it would have been asked.
func (c *copied) obey(s *shard, epoch uint64) {
	if epoch <= s.promised {
		return
	}
	c.b.depose(s, epoch, "another took over")
	s.promised, s.promisedBy = epoch, c.from
	c.b.save(&meshpb.Record{Vote: &meshpb.Vote{Shard: uint32(s.ix), Epoch: epoch, Candidate: c.from}}, func(error) {})
}

func (c *copied) state(st *meshpb.ShardState) {
	s := c.b.shards[st.Shard]
	a := c.ack(st.Shard, st.Epoch, st.Version)
	if c.outdone(s, a) {
		return
	}
	if st.Epoch == s.epoch && s.version >= st.Version {
		a.Version = s.version
		c.flush()
		return
	}
	c.obey(s, st.Epoch)
	*c.left++
	c.b.install(s, st, st.Epoch, c.fin)
}

func (c *copied) raise(x *meshpb.EpochChange) {
	s := c.b.shards[x.Shard]
	a := c.ack(x.Shard, x.Epoch, 0)
	if c.outdone(s, a) {
		return
	}
	if x.Epoch == s.epoch {
		a.Version = s.version
		c.flush()
		return
	}
	if s.epoch != x.FromEpoch || s.version != x.FromVersion {
		a.Gap, a.HaveEpoch, a.HaveVersion = true, s.epoch, s.version
		return
	}
	c.obey(s, x.Epoch)
	*c.left++
	c.b.lift(s, x, c.fin)
	a.Version = s.version
}

// lift raises a copy and has it synced as one record.
func (b *Replica) lift(s *shard, x *meshpb.EpochChange, done func(error)) {
	s.raise(x, b.now())
	s.synced = 0
	ep, at := s.epoch, s.version
	b.save(&meshpb.Record{EpochChange: x}, func(err error) {
		if err == nil && s.epoch == ep {
			s.synced = max(s.synced, at)
		}
		done(err)
	})
}

func (c *copied) entry(e *meshpb.Entry) {
	b := c.b
	s := b.shards[e.Shard]
	a := c.by[e.Shard]
	if a == nil {
		a = c.ack(e.Shard, e.Epoch, s.version)
		if e.Epoch == s.epoch {
			c.flush()
		}
	}
	if a.Gap || c.outdone(s, a) {
		return
	}
	if e.Epoch != s.epoch || e.Version > s.version+1 {
		a.Gap, a.HaveEpoch, a.HaveVersion = true, s.epoch, s.version
		return
	}
	if e.Version <= s.version {
		return
	}
	s.take(e, b.now())
	a.Version = e.Version
	b.step("received", s, e.Epoch, e.Version, e.Change)
	*c.left++
	b.save(&meshpb.Record{Entry: e}, func(err error) {
		if err == nil && s.epoch == e.Epoch {
			s.synced = max(s.synced, e.Version)
			b.step("synced", s, e.Epoch, e.Version, e.Change)
		}
		c.fin(err)
	})
}

// OnCopy answers reply once all it takes is synced. Learners take copies as
// members do; they don't count.
func (b *Replica) HandleReplicate(q *meshpb.ReplicateRequest, reply func(*meshpb.ReplicateResponse)) {
	r := &meshpb.ReplicateResponse{Membership: b.membership.Version, Member: (b.member() || !b.leaving) && q.Header.To == b.me.Id}
	if !r.Member || q.Header.Membership != b.membership.Version || !inMembership(b.membership, q.Header.From.Id) {
		b.sawMembership(q.Header.From, q.Header.Membership)
		reply(r)
		return
	}
	if b.diskBad {
		reply(nil)
		return
	}
	c := &copied{b: b, from: q.Header.From.Id, by: map[uint32]*meshpb.ReplicateAck{}}
	if p := b.peers[c.from]; p != nil && !q.Header.NotReceiving {
		b.met(p, q.Header.Healthy, q.Header.Leaving)
	}
	r.Healthy = b.ready(b.me.Id)
	if q.Header.NotReceiving {
		// It does not hear the answers, or is back after a while: this one tells.
		r.NotReceiving = true
		reply(r)
		return
	}
	c.left, c.fin = gather(func(failed bool) {
		if failed {
			reply(nil)
			return
		}
		for _, a := range c.acks {
			if s := b.shards[a.Shard]; !a.Gap && s.promised == a.Epoch && s.promisedBy == c.from {
				b.grant(s)
			} else {
				a.Gap = true
			}
		}
		r.Acks = c.acks
		reply(r)
	})
	for _, st := range q.States {
		c.state(st)
	}
	for _, x := range q.EpochChanges {
		c.raise(x)
	}
	for _, e := range q.Entries {
		c.entry(e)
	}
	c.fin(nil)
}

func (b *Replica) grant(s *shard) {
	if s.promisedBy != b.me.Id {
		s.leasedUntil = max(s.leasedUntil, b.now()+b.o.LeaseDuration)
	}
}
