package exchange

import (
	"slices"
	"sort"
	"time"

	"corkcove/internal/trunk"
)

// Do runs f on the shard if this member owns it, and calls cb when what f saw
// and did is safe: committed by a majority, and read under the hold.
func (b *Board) Do(i int, f func(t Table, now time.Duration) *trunk.Change, cb func(error)) {
	s := b.shards[i]
	now := b.now()
	if s.role != owner {
		cb(ErrElsewhere)
		return
	}
	if !s.serving || now >= s.lease {
		cb(ErrBusy)
		return
	}
	c := f(s.table, now)
	w := wait{epoch: s.epoch, cb: cb, until: now + b.o.CallWait}
	if c != nil {
		b.propose(s, c)
		w.chg = true
	}
	w.stamp = s.stamp
	s.waits = append(s.waits, w)
	b.release(s)
}

func (b *Board) propose(s *shard, c *trunk.Change) {
	s.stamp++
	e := &trunk.Entry{Shard: uint32(s.ix), Epoch: s.epoch, Stamp: s.stamp, Change: c}
	s.table.Apply(c, b.now())
	b.step("proposed", s, e.Epoch, e.Stamp, c)
	s.tails = append(s.tails, e)
	if len(s.tails) > 512 {
		s.tails = append([]*trunk.Entry(nil), s.tails[256:]...)
	}
	ep, at := s.epoch, s.stamp
	b.save(&trunk.Record{Entry: e}, func(err error) {
		if err == nil && s.epoch == ep && s.synced+1 >= at {
			s.synced = max(s.synced, at)
			b.step("synced", s, ep, at, c)
			b.advance(s)
		}
	})
	if s.commit+1 >= s.stamp {
		s.pending = b.now()
	}
	for _, p := range b.near {
		b.push(p)
	}
}

func (b *Board) release(s *shard) {
	now := b.now()
	for len(s.waits) > 0 {
		w := s.waits[0]
		if s.role != owner && s.role != handing || s.epoch != w.epoch {
			s.waits = s.waits[1:]
			w.fail()
			continue
		}
		if s.commit >= w.stamp && (w.chg || now < s.lease) {
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
		w.cb(ErrUnsure)
		return
	}
	w.cb(ErrBusy)
}

func (b *Board) advance(s *shard) {
	if s.role != owner && s.role != handing {
		return
	}
	var at []uint64
	for _, m := range b.roll.Members {
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
		b.note("shard %d: serving at epoch %d from stamp %d", s.ix, s.epoch, s.base)
		b.relet(s)
		if b.o.OnOwner != nil {
			b.o.OnOwner(s.ix, true, s.epoch)
		}
	}
	if s.settled != b.roll.Stamp {
		s.settled = b.roll.Stamp
		if s.ix < len(b.shards) {
			b.settles[s.ix] = max(b.settles[s.ix], s.settled)
		}
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
func (b *Board) relet(s *shard) {
	var at []time.Duration
	for _, m := range b.roll.Members {
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
	s.lease = max(s.lease, at[b.majority()-1]+b.o.Hold*9/10)
	if s.ix == 0 && s.serving {
		b.held.Store(int64(s.lease))
		b.epoch.Store(s.epoch)
	}
	b.release(s)
}

// spreadOut sends changes to the peers that did not get them at once: those
// that a majority does not need, in turns, and all if a majority is slow.
func (b *Board) spreadOut() {
	now := b.now()
	late := false
	for _, s := range b.shards {
		late = late || (s.role == owner || s.role == handing) && (s.role == handing || !s.serving || s.commit < s.stamp && now-s.pending > b.o.Hold/20)
	}
	for _, p := range b.peers {
		if late || now-p.pushed >= b.o.Beat {
			b.push(p)
		}
	}
	b.rank()
}

// rank puts first the peers whose copies make a majority: sound ones, by
// preference of this site.
func (b *Board) rank() {
	b.near = b.near[:0]
	for _, m := range b.roll.Members {
		if p := b.peers[m.Id]; p != nil {
			b.near = append(b.near, p)
		}
	}
	cost := func(p *peer) int {
		n := 0
		if !b.ready(p.m.Id) {
			n += 4
		}
		if p.copying && b.now()-p.pushed > b.o.Hold/20 {
			n += 2
		}
		if p.m.Site != b.me.Site {
			n++
		}
		return n
	}
	sort.SliceStable(b.near, func(i, j int) bool { return cost(b.near[i]) < cost(b.near[j]) })
	b.near = b.near[:min(len(b.near), max(b.majority()-1, 2))]
}

func (b *Board) push(p *peer) {
	now := b.now()
	if p.copying || now < p.nextAt || b.blank {
		return
	}
	p.pushed = now
	q := &trunk.CopyReq{}
	size := 0
	for _, s := range b.shards {
		if s.role != owner && s.role != handing {
			continue
		}
		if p.known[s.ix] != s.epoch {
			q.States = append(q.States, b.dump(s))
			continue
		}
		if p.acked[s.ix] >= s.stamp {
			continue
		}
		if len(s.tails) == 0 || s.tails[0].Stamp > p.acked[s.ix]+1 {
			q.States = append(q.States, b.dump(s))
			continue
		}
		for _, e := range s.tails[p.acked[s.ix]+1-s.tails[0].Stamp:] {
			q.Entries = append(q.Entries, e)
			if size++; size > 256 {
				break
			}
		}
	}
	if len(q.States)+len(q.Entries) == 0 {
		return
	}
	q.Head = b.head(p.m.Id)
	p.copying = true
	at := now
	b.wire.Copy(p.m, q, func(r *trunk.CopyResp) {
		p.copying = false
		if r == nil {
			p.nextAt = b.now() + 100*time.Millisecond
			return
		}
		if !r.Member || r.Roll != b.roll.Stamp {
			p.nextAt = b.now() + 100*time.Millisecond
			b.sawRoll(p.m, r.Roll)
			return
		}
		b.met(p, r.Sound)
		for _, a := range r.Acks {
			s := b.shards[a.Shard]
			if a.Promised > s.promised && (s.role == owner || s.role == handing) {
				b.depose(s, a.Promised, "a copy knows a higher epoch")
				continue
			}
			if a.Epoch != s.epoch || s.role != owner && s.role != handing {
				continue
			}
			if a.Gap {
				p.known[s.ix], p.acked[s.ix] = 0, 0
				continue
			}
			p.known[s.ix], p.acked[s.ix] = a.Epoch, a.Stamp
			p.grants[s.ix] = max(p.grants[s.ix], at)
			b.advance(s)
			b.relet(s)
		}
		if slices.Contains(b.near, p) {
			b.push(p)
		}
	})
}

func (b *Board) depose(s *shard, epoch uint64, why string) {
	if s.role == idle {
		return
	}
	was := s.serving
	b.note("shard %d: given up at epoch %d (%s, %d)", s.ix, s.epoch, why, epoch)
	s.role, s.serving, s.lease = idle, false, 0
	if s.ix == 0 {
		b.held.Store(0)
	}
	s.best, s.oks, s.tails = nil, nil, nil
	s.retryAt = b.now() + b.o.Beat + time.Duration(b.o.Rand(200))*time.Millisecond
	s.asked = max(s.asked, epoch)
	b.release(s)
	if was && b.o.OnOwner != nil {
		b.o.OnOwner(s.ix, false, s.epoch)
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

// OnCopy answers reply once all it takes is synced.
func (b *Board) OnCopy(q *trunk.CopyReq, reply func(*trunk.CopyResp)) {
	r := &trunk.CopyResp{Roll: b.roll.Stamp, Member: b.member() && q.Head.To == b.me.Id}
	if !r.Member || q.Head.Roll != b.roll.Stamp || !inRoll(b.roll, q.Head.From.Id) {
		b.sawRoll(q.Head.From, q.Head.Roll)
		reply(r)
		return
	}
	if b.diskBad {
		reply(nil)
		return
	}
	from := q.Head.From.Id
	if p := b.peers[from]; p != nil {
		b.met(p, q.Head.Sound)
	}
	r.Sound = b.ready(b.me.Id)
	acks := map[uint32]*trunk.CopyAck{}
	left, fin := gather(func(failed bool) {
		if failed {
			reply(nil)
			return
		}
		for _, a := range acks {
			if s := b.shards[a.Shard]; !a.Gap && s.promised == a.Epoch && s.promisedBy == from {
				b.grant(s)
			} else {
				a.Gap = true
			}
			r.Acks = append(r.Acks, a)
		}
		reply(r)
	})
	for _, st := range q.States {
		s := b.shards[st.Shard]
		a := &trunk.CopyAck{Shard: st.Shard, Epoch: st.Epoch, Stamp: st.Stamp}
		acks[st.Shard] = a
		if st.Epoch < s.promised || st.Epoch == s.promised && s.promisedBy != from {
			a.Promised, a.Gap = s.promised, true
			continue
		}
		if st.Epoch == s.epoch && s.stamp >= st.Stamp {
			a.Stamp = s.stamp
			*left++
			b.book.Append(nil, fin)
			continue
		}
		if st.Epoch > s.promised {
			b.depose(s, st.Epoch, "another took over")
			s.promised, s.promisedBy = st.Epoch, from
			b.save(&trunk.Record{Pledge: &trunk.Pledge{Shard: st.Shard, Epoch: st.Epoch, By: from}}, func(error) {})
		}
		*left++
		b.install(s, st, st.Epoch, fin)
	}
	for _, e := range q.Entries {
		s := b.shards[e.Shard]
		a := acks[e.Shard]
		if a == nil {
			a = &trunk.CopyAck{Shard: e.Shard, Epoch: e.Epoch, Stamp: s.stamp}
			acks[e.Shard] = a
			if e.Epoch == s.epoch {
				*left++
				b.book.Append(nil, fin)
			}
		}
		if a.Gap {
			continue
		}
		if e.Epoch < s.promised || s.promisedBy != from {
			a.Promised, a.Gap = s.promised, true
			continue
		}
		if e.Epoch != s.epoch || e.Stamp > s.stamp+1 {
			a.Gap = true
			continue
		}
		if e.Stamp <= s.stamp {
			continue
		}
		s.stamp = e.Stamp
		a.Stamp = e.Stamp
		s.table.Apply(e.Change, b.now())
		b.step("received", s, e.Epoch, e.Stamp, e.Change)
		*left++
		at, ep := e.Stamp, e.Epoch
		b.save(&trunk.Record{Entry: e}, func(err error) {
			if err == nil && s.epoch == ep {
				s.synced = max(s.synced, at)
				b.step("synced", s, ep, at, e.Change)
			}
			fin(err)
		})
	}
	fin(nil)
}

func (b *Board) grant(s *shard) {
	if s.promisedBy != b.me.Id {
		s.heldUntil = max(s.heldUntil, b.now()+b.o.Hold)
	}
}
