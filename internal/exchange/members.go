package exchange

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/trunk"
)

const rollBlob = "roll"

type joiner struct {
	m      *trunk.Member
	caught uint64
	first  bool
	seen   time.Duration
}

// A roll is decided as a change of shard 0 and then enrolled: it is in force
// once majorities of the old roll and of the new one have synced it.

func (b *Board) sawRoll(m *trunk.Member, stamp uint64) {
	if stamp < b.roll.Stamp && m != nil && b.roll.Stamp > 1 {
		b.wire.Enroll(m, &trunk.EnrollReq{Roll: b.roll, From: b.me}, func(r *trunk.EnrollResp) { b.enrolledBy(m.Id, r) })
	}
}

func (b *Board) OnEnroll(q *trunk.EnrollReq, reply func(*trunk.EnrollResp)) {
	if b.diskBad {
		reply(nil)
		return
	}
	if q.Roll.Stamp <= b.roll.Stamp {
		st := b.roll.Stamp
		b.book.Append(nil, func(err error) {
			if err != nil {
				reply(nil)
				return
			}
			reply(&trunk.EnrollResp{Stamp: st, Ok: true})
		})
		return
	}
	b.adopt(q.Roll, func(err error) {
		if err != nil {
			reply(nil)
			return
		}
		reply(&trunk.EnrollResp{Stamp: q.Roll.Stamp, Ok: true})
	})
}

func (b *Board) adopt(r *trunk.Roll, done func(error)) {
	b.note("roll %d with %d members", r.Stamp, len(r.Members))
	b.roll = proto.Clone(r).(*trunk.Roll)
	if !inRoll(b.roll, b.me.Id) {
		if !b.blank {
			b.blank = true
			b.survey = nil
			for _, s := range b.shards {
				b.depose(s, s.epoch, "no longer in the roll")
			}
		}
	} else if b.blank {
		b.blank = false
		b.survey = nil
		b.started = b.now()
	}
	b.setPeers()
	for _, s := range b.shards {
		switch s.role {
		case asking:
			b.depose(s, s.asked, "the roll changed")
			s.retryAt = b.now() + b.o.Beat
		case owner, handing:
			s.base = s.stamp
			s.settled = 0
			b.advance(s)
		}
	}
	b.save(&trunk.Record{Roll: b.roll}, done)
	for _, p := range b.peers {
		b.push(p)
	}
	if b.o.OnRoll != nil {
		b.o.OnRoll(b.roll)
	}
}

func (b *Board) enrolledBy(id string, r *trunk.EnrollResp) {
	if r == nil || !r.Ok || b.enrolled == nil || r.Stamp != b.roll.Stamp {
		return
	}
	b.enrolled[id] = true
}

func (b *Board) enrolledAll() bool {
	if b.prior == nil {
		return true
	}
	for _, r := range []*trunk.Roll{b.prior, b.roll} {
		n := 0
		for _, m := range r.Members {
			if b.enrolled[m.Id] {
				n++
			}
		}
		if n < len(r.Members)/2+1 {
			return false
		}
	}
	return true
}

// manage is the work of shard 0's owner on the roll: finish a change that was
// decided, then decide the next.
func (b *Board) manage() {
	s := b.shards[0]
	if s.role != owner || !s.serving || b.now() >= s.lease || s.commit < s.stamp {
		return
	}
	if x := s.table.Blob(rollBlob); x != nil && x.Stamp > b.roll.Stamp {
		var r trunk.Roll
		if proto.Unmarshal(x.Data, &r) == nil {
			b.prior, b.enrolled = b.roll, map[string]bool{}
			b.adopt(&r, func(err error) {
				if err == nil && b.enrolled != nil && b.roll.Stamp == r.Stamp {
					b.enrolled[b.me.Id] = true
				}
			})
			b.spread()
		}
		return
	}
	if b.prior == nil && b.enrolled == nil && b.roll.Stamp > 1 {
		b.prior, b.enrolled = b.roll, map[string]bool{}
		b.save(&trunk.Record{Roll: b.roll}, func(err error) {
			if err == nil && b.enrolled != nil {
				b.enrolled[b.me.Id] = true
			}
		})
		b.spread()
		return
	}
	if !b.enrolledAll() {
		b.spread()
		return
	}
	for i := range b.shards {
		if b.settles[i] < b.roll.Stamp {
			return
		}
	}
	b.decide()
}

func (b *Board) spread() {
	seen := map[string]bool{b.me.Id: true}
	for _, r := range []*trunk.Roll{b.prior, b.roll} {
		for _, m := range r.GetMembers() {
			if seen[m.Id] || b.enrolled[m.Id] {
				continue
			}
			seen[m.Id] = true
			m := m
			b.wire.Enroll(m, &trunk.EnrollReq{Roll: b.roll, From: b.me}, func(r *trunk.EnrollResp) { b.enrolledBy(m.Id, r) })
		}
	}
}

func (b *Board) decide() {
	now := b.now()
	for id, j := range b.joiners {
		if now-j.seen > 2*time.Second || inRoll(b.roll, id) {
			delete(b.joiners, id)
		}
	}
	for _, j := range b.joiners {
		for _, m := range b.roll.Members {
			if m.Addr == j.m.Addr && m.Id != j.m.Id && m.Id != b.me.Id {
				b.change(j.m, m, false)
				return
			}
		}
	}
	for _, j := range b.joiners {
		if len(b.roll.Members) < b.target(j) {
			if j.caught == b.roll.Stamp {
				b.change(j.m, nil, true)
				return
			}
			continue
		}
		for _, m := range b.roll.Members {
			p := b.peers[m.Id]
			if p != nil && now-max(p.heard, b.shards[0].since) > b.o.Unreached {
				b.change(j.m, m, false)
				return
			}
		}
	}
}

func (b *Board) target(j *joiner) int {
	n := len(b.o.Seeds)
	if x := b.shards[0].table.Blob("places"); x != nil {
		n = max(n, int(x.Stamp))
	}
	if j.first {
		n = max(n, len(b.roll.Members)+1)
	}
	return n
}

func (b *Board) change(j, gone *trunk.Member, add bool) {
	r := &trunk.Roll{Stamp: b.roll.Stamp + 1}
	for _, m := range b.roll.Members {
		if gone == nil || m.Id != gone.Id {
			r.Members = append(r.Members, m)
		}
	}
	if gone != nil && len(r.Members) == 0 {
		return
	}
	s := b.shards[0]
	if add {
		r.Members = append(r.Members, j)
		if n := len(r.Members); n > len(b.o.Seeds) {
			b.propose(s, &trunk.Change{Blob: &trunk.Blob{Name: "places", Stamp: uint64(n)}})
		}
		b.note("deciding roll %d: %s joins", r.Stamp, j.Addr)
	} else {
		b.note("deciding roll %d: %s leaves for %s", r.Stamp, gone.Addr, j.Addr)
	}
	x, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	b.propose(s, &trunk.Change{Blob: &trunk.Blob{Name: rollBlob, Data: x, Stamp: r.Stamp}})
}

func (b *Board) OnJoin(q *trunk.JoinReq) *trunk.JoinResp {
	if _, own := b.Own(0); !own {
		return &trunk.JoinResp{Why: "not the master"}
	}
	b.joiners[q.From.Id] = &joiner{m: q.From, caught: q.Caught, first: q.First, seen: b.now()}
	return &trunk.JoinResp{Ok: inRoll(b.roll, q.From.Id)}
}

func (b *Board) OnSurvey(q *trunk.SurveyReq, reply func(*trunk.SurveyResp)) {
	r := &trunk.SurveyResp{Member: b.member(), Roll: b.roll}
	if !r.Member || b.diskBad {
		r.Member = false
		reply(r)
		return
	}
	for _, s := range b.shards {
		r.States = append(r.States, b.dump(s))
		r.Pledges = append(r.Pledges, &trunk.Pledge{Shard: uint32(s.ix), Epoch: s.promised, By: s.promisedBy})
	}
	b.book.Append(nil, func(err error) {
		if err != nil {
			r = &trunk.SurveyResp{Roll: b.roll}
		}
		reply(r)
	})
}

// seek is the work of a process outside the roll: copy from a majority of the
// members, then ask the master to be let in.
func (b *Board) seek() {
	now := b.now()
	if now < b.surveyAt || b.diskBad {
		return
	}
	b.surveyAt = now + 300*time.Millisecond
	got := map[string]*trunk.SurveyResp{}
	addrs := map[string]bool{}
	for _, m := range b.roll.Members {
		addrs[m.Addr] = true
	}
	for _, m := range b.o.Seeds {
		addrs[m.Addr] = true
	}
	delete(addrs, b.me.Addr)
	done := false
	for a := range addrs {
		a := a
		b.wire.Survey(a, &trunk.SurveyReq{From: b.me}, func(r *trunk.SurveyResp) {
			if r == nil || !b.blank {
				return
			}
			if r.Roll.GetStamp() > b.roll.Stamp {
				if inRoll(r.Roll, b.me.Id) {
					return
				}
				b.roll = r.Roll
				b.surveyAt = min(b.surveyAt, b.now()+50*time.Millisecond)
				if b.o.OnRoll != nil {
					b.o.OnRoll(b.roll)
				}
				return
			}
			if !r.Member || r.Roll.GetStamp() != b.roll.Stamp {
				return
			}
			got[a] = r
			if len(got) >= b.majority() && !done {
				done = true
				b.copyFrom(got)
			}
		})
	}
}

func (b *Board) copyFrom(got map[string]*trunk.SurveyResp) {
	stamp := b.roll.Stamp
	left, fin := gather(func(failed bool) {
		if failed || !b.blank || b.roll.Stamp != stamp {
			return
		}
		for _, m := range b.roll.Members {
			b.wire.Join(m, &trunk.JoinReq{From: b.me, Caught: stamp, First: b.first}, func(*trunk.JoinResp) {})
		}
	})
	for _, s := range b.shards {
		var best *trunk.ShardState
		var pl *trunk.Pledge
		for _, r := range got {
			if x := r.States[s.ix]; best == nil || x.Epoch > best.Epoch || x.Epoch == best.Epoch && x.Stamp > best.Stamp {
				best = x
			}
			if x := r.Pledges[s.ix]; pl == nil || x.Epoch > pl.Epoch {
				pl = x
			}
		}
		if pl.Epoch >= s.promised {
			s.promised, s.promisedBy = pl.Epoch, pl.By
			s.heldUntil = b.now() + b.o.Hold
			*left++
			b.save(&trunk.Record{Pledge: pl}, fin)
		}
		if best.Epoch > s.epoch || best.Epoch == s.epoch && best.Stamp > s.stamp {
			*left++
			b.install(s, best, best.Epoch, fin)
		}
	}
	fin(nil)
}
