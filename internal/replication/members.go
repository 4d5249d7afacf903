package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

const membershipBlob = "roll"

// How long a learner counts as there after its last word, how often it speaks,
// and how new its copies must be.
const (
	learnerStays = 1500 * time.Millisecond
	learnerSays  = 300 * time.Millisecond
	learnerFresh = 1200 * time.Millisecond
)

// A membership is decided as a change of shard 0 and then enrolled: it is in force
// once majorities of the old membership and of the new one have synced it.

func (b *Replica) sawMembership(m *meshpb.Member, version uint64) {
	if version < b.membership.Version && m != nil && b.membership.Version > 1 {
		b.wire.AcceptMembership(m, &meshpb.AcceptMembershipRequest{Membership: b.membership, From: b.me}, func(r *meshpb.AcceptMembershipResponse) { b.enrolledBy(m.Id, r) })
	}
}

func (b *Replica) HandleAcceptMembership(q *meshpb.AcceptMembershipRequest, reply func(*meshpb.AcceptMembershipResponse)) {
	if b.diskBad {
		reply(nil)
		return
	}
	if q.Membership.Version <= b.membership.Version {
		st := b.membership.Version
		b.book.Append(nil, func(err error) {
			if err != nil {
				reply(nil)
				return
			}
			reply(&meshpb.AcceptMembershipResponse{Version: st, Ok: true})
		})
		return
	}
	b.adopt(q.Membership, func(err error) {
		if err != nil {
			reply(nil)
			return
		}
		reply(&meshpb.AcceptMembershipResponse{Version: q.Membership.Version, Ok: true})
	})
}

func (b *Replica) adopt(r *meshpb.Membership, done func(error)) {
	b.note("membership %d with %d members", r.Version, len(r.Members))
	b.membership = proto.Clone(r).(*meshpb.Membership)
	if !inMembership(b.membership, b.me.Id) {
		if !b.blank {
			b.blank = true
			for _, s := range b.shards {
				b.depose(s, s.epoch, "no longer in the roll")
			}
		}
	} else {
		b.first = false
		if b.blank {
			b.blank = false
			b.started = b.now()
		}
	}
	if b.blank {
		b.joinAt = 0
	}
	b.setPeers()
	for _, s := range b.shards {
		switch s.role {
		case asking:
			b.depose(s, s.asked, "the roll changed")
			s.retryAt = b.now() + b.o.HeartbeatInterval
		case owner, handing:
			s.base = s.version
			s.settled = 0
			b.advance(s)
		}
	}
	b.save(&meshpb.Record{Membership: b.membership}, done)
	for _, p := range b.line {
		b.push(p)
	}
	if b.o.OnMembershipChange != nil {
		b.o.OnMembershipChange(b.membership)
	}
}

func (b *Replica) enrolledBy(id string, r *meshpb.AcceptMembershipResponse) {
	if r == nil || !r.Ok || b.enrolled == nil || r.Version != b.membership.Version {
		return
	}
	b.enrolled[id] = true
}

func (b *Replica) enrolledAll() bool {
	if b.prior == nil {
		return true
	}
	for _, r := range []*meshpb.Membership{b.prior, b.membership} {
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

// manage is the work of shard 0's owner on the membership: finish a change that was
// decided, then decide the next.
func (b *Replica) manage() {
	s := b.shards[0]
	if s.role != owner || !s.serving || b.now() >= s.lease || s.commit < s.version {
		return
	}
	if x := s.table.Blob(membershipBlob); x != nil && x.Version > b.membership.Version {
		var r meshpb.Membership
		if proto.Unmarshal(x.Data, &r) == nil {
			b.prior, b.enrolled = b.membership, map[string]bool{}
			b.adopt(&r, func(err error) {
				if err == nil && b.enrolled != nil && b.membership.Version == r.Version {
					b.enrolled[b.me.Id] = true
				}
			})
			b.spread()
		}
		return
	}
	if b.prior == nil && b.enrolled == nil && b.membership.Version > 1 {
		b.prior, b.enrolled = b.membership, map[string]bool{}
		b.save(&meshpb.Record{Membership: b.membership}, func(err error) {
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
	if b.settled() {
		b.decide()
	}
}

func (b *Replica) spread() {
	seen := map[string]bool{b.me.Id: true}
	for _, r := range []*meshpb.Membership{b.prior, b.membership} {
		for _, m := range r.GetMembers() {
			if seen[m.Id] || b.enrolled[m.Id] {
				continue
			}
			seen[m.Id] = true
			m := m
			b.wire.AcceptMembership(m, &meshpb.AcceptMembershipRequest{Membership: b.membership, From: b.me}, func(r *meshpb.AcceptMembershipResponse) { b.enrolledBy(m.Id, r) })
		}
	}
}

// decide changes the membership by one step, such that no step lowers how many
// may be lost. A member that is gone leaves before its successor comes: with an
// odd number of members the majority of the rest is then smaller. One that is
// about to leave goes after its successor has come.
func (b *Replica) decide() {
	n, size := len(b.membership.Members), b.places()
	lost, leaver := b.unreached(), b.leaver()
	for _, j := range b.learners {
		for _, m := range b.membership.Members {
			if m.Addr == j.m.Addr && m.Id != b.me.Id {
				b.drop(m, "its address has another id")
				return
			}
		}
	}
	if n > size {
		if lost != nil {
			b.drop(lost, "unreached, and there is one too many")
		} else if leaver != nil {
			b.drop(leaver, "leaves")
		}
		return
	}
	for _, j := range b.learners {
		if j.caught != b.membership.Version {
			continue
		}
		switch {
		case n < size:
			b.admit(j, size)
		case j.first:
			b.admit(j, n+1)
		case lost != nil:
			b.drop(lost, "unreached, and a learner waits")
		case leaver != nil:
			b.admit(j, size)
		default:
			continue
		}
		return
	}
}

// places is how many members there are to be.
func (b *Replica) places() int {
	n := max(len(b.o.Seeds), int(b.membership.Size))
	if x := b.shards[0].table.Blob("places"); x != nil {
		n = max(n, int(x.Version))
	}
	return n
}

// unreached is the member that has been silent longest, and for long enough; one
// that had said before that it leaves comes first.
func (b *Replica) unreached() *meshpb.Member {
	var best *peer
	for _, p := range b.line {
		if b.now()-max(p.heard, b.alone) <= b.o.EvictionTimeout {
			continue
		}
		if best == nil || p.leaving && !best.leaving || p.leaving == best.leaving && p.heard < best.heard {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.m
}

func (b *Replica) leaver() *meshpb.Member {
	for _, p := range b.line {
		if p.leaving {
			return p.m
		}
	}
	return nil
}

// drop takes a member out. Its place in the order is kept for the next to come,
// or taken by the one that has come already, so that shards need not move.
func (b *Replica) drop(gone *meshpb.Member, why string) {
	r := &meshpb.Membership{Version: b.membership.Version + 1, Size: uint32(b.places()), Gaps: slices.Clone(b.membership.Gaps)}
	i, last := b.index(gone.Id), len(b.membership.Members)-1
	if last == 0 {
		return
	}
	r.Members = slices.Clone(b.membership.Members)
	if last >= int(r.Size) {
		r.Members[i] = r.Members[last]
		r.Members = r.Members[:last]
	} else {
		r.Members = slices.Delete(r.Members, i, i+1)
		r.Gaps = append(r.Gaps, uint32(i))
	}
	b.note("deciding membership %d: %s is out (%s)", r.Version, gone.Addr, why)
	b.agree(r)
}

func (b *Replica) admit(j *peer, size int) {
	r := &meshpb.Membership{Version: b.membership.Version + 1, Size: uint32(size), Gaps: slices.Clone(b.membership.Gaps)}
	at := len(b.membership.Members)
	if n := len(r.Gaps); n > 0 {
		at = min(at, int(r.Gaps[n-1]))
		r.Gaps = r.Gaps[:n-1]
	}
	r.Members = slices.Insert(slices.Clone(b.membership.Members), at, j.m)
	b.note("deciding membership %d: %s joins", r.Version, j.m.Addr)
	b.agree(r)
}

func (b *Replica) agree(r *meshpb.Membership) {
	x, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	b.propose(b.shards[0], &meshpb.Change{Blob: &meshpb.Blob{Name: membershipBlob, Data: x, Version: r.Version}})
}

// settled tells that every shard's content is with a majority of this membership.
func (b *Replica) settled() bool {
	for i := range b.shards {
		if b.settles[i] < b.membership.Version {
			return false
		}
	}
	return true
}

// OnJoin takes a learner's word: who owns a shard sends it copies from now on,
// and the master gives it a place when there is one.
func (b *Replica) HandleJoin(q *meshpb.JoinRequest) *meshpb.JoinResponse {
	r := &meshpb.JoinResponse{Ok: inMembership(b.membership, q.From.Id), Membership: b.membership}
	if _, own := b.OwnedEpoch(0); own {
		r.Replicated = b.enrolledAll() && b.settled()
	}
	if b.blank || r.Ok || q.Leaving {
		return r
	}
	p := b.learner(q.From.Id)
	if p == nil {
		p = b.newPeer()
		b.learners = append(b.learners, p)
	}
	p.m, p.joined, p.caught, p.first = q.From, b.now(), q.CaughtUp, q.Bootstrap
	return r
}

func (b *Replica) forgetLearners() {
	now := b.now()
	b.learners = slices.DeleteFunc(b.learners, func(p *peer) bool { return now-p.joined > learnerStays })
}

// seek is the work of a process outside the membership: it tells all members
// that it is there, and what it has caught up with.
func (b *Replica) seek() {
	now := b.now()
	if now < b.joinAt || b.diskBad || b.gone {
		return
	}
	b.joinAt = now + learnerSays
	q := &meshpb.JoinRequest{From: b.me, Bootstrap: b.first, Leaving: b.leaving}
	if b.caughtUp() {
		q.CaughtUp = b.membership.Version
	}
	seen := map[string]bool{b.me.Addr: true}
	for _, m := range slices.Concat(b.membership.Members, b.o.Seeds, b.more) {
		if seen[m.Addr] {
			continue
		}
		seen[m.Addr] = true
		b.wire.Join(m.Addr, q, b.joined)
	}
}

// Reseed gives a process outside the membership further members to ask: those of
// its start may all be gone.
func (b *Replica) SetExtraSeeds(ms []*meshpb.Member) { b.more = ms }

func (b *Replica) joined(r *meshpb.JoinResponse) {
	if r == nil || !b.blank {
		return
	}
	if b.leaving && r.Replicated && r.Membership.GetVersion() == b.membership.Version {
		b.gone = true
	}
	if r.Membership.GetVersion() > b.membership.Version {
		b.adopt(r.Membership, func(error) {})
	}
}

// caughtUp tells that this learner holds what each shard's owner had committed
// a moment ago.
func (b *Replica) caughtUp() bool {
	for _, s := range b.shards {
		if b.now()-s.fresh > learnerFresh {
			return false
		}
	}
	return true
}
