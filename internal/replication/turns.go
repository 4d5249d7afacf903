package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// Tick drives leases, takeovers and handovers. It is called a few times in
// each beat.
func (b *Replica) Tick() {
	now := b.now()
	b.turned()
	if b.diskBad && !b.diskBusy && now >= b.diskTry {
		b.checkpoint()
	}
	b.forgetLearners()
	if b.blank {
		b.seek()
		return
	}
	alone := b.reach() < b.majority()
	if alone {
		b.alone = now
	}
	if b.urgent || now-b.lastBeat >= b.o.HeartbeatInterval || alone && now-b.lastBeat >= b.o.HeartbeatInterval/5 {
		b.lastBeat = now
		b.beat()
		b.noteReached()
	}
	for _, s := range b.shards {
		switch s.role {
		case owner:
			b.relet(s)
			b.release(s)
			if now-s.since > 2*b.o.LeaseDuration && !s.serving {
				b.depose(s, s.epoch, "no majority took its copies")
				continue
			}
			if now > max(s.lease, s.since)+4*b.o.LeaseDuration && s.serving {
				b.depose(s, s.epoch, "no majority holds it")
				continue
			}
			b.maybeHand(s)
		case handing:
			b.release(s)
			if now-s.since > b.o.LeaseDuration {
				s.role = owner
				s.since = now
			}
		case asking:
			if now-s.since > b.o.LeaseDuration || s.pre && now-s.since > b.o.LeaseDuration/3 {
				b.depose(s, s.asked, "asked in vain")
			}
		}
	}
	b.spreadOut()
	b.askAll()
	b.askAgain()
	b.manage()
}

func (b *Replica) beat() {
	var ms []*meshpb.Watermark
	for _, s := range b.shards {
		if s.role == owner && s.serving {
			ms = append(ms, &meshpb.Watermark{Shard: uint32(s.ix), Epoch: s.epoch, Version: s.commit, Committed: s.settled})
		}
	}
	urgent := b.urgent
	b.urgent = false
	for _, p := range b.others() {
		if p.holding || !urgent && b.peers[p.m.Id] != nil && b.fresh(p) {
			continue
		}
		p.holding = true
		at := b.now()
		p.beaten = at
		q := &meshpb.RenewLeasesRequest{Header: b.head(p), Watermarks: ms, Healthy: b.ready(b.me.Id)}
		b.wire.RenewLeases(p.m, q, func(r *meshpb.RenewLeasesResponse) {
			p.holding = false
			if r == nil {
				return
			}
			if r.Id != p.m.Id {
				return
			}
			b.met(p, r.Healthy, r.Leaving)
			if r.Membership != b.membership.Version {
				b.sawMembership(p.m, r.Membership)
				return
			}
			for _, i := range r.Granted {
				s := b.shards[i]
				p.grants[i] = max(p.grants[i], at)
				b.relet(s)
			}
			for _, d := range r.Superseded {
				s := b.shards[d.Shard]
				if d.Epoch > s.epoch && (s.role == owner || s.role == handing) {
					b.depose(s, d.Epoch, "a member promised a higher epoch")
				}
			}
		})
	}
}

// copyBeats of three in a row may be left to copies.
const copyBeats = 3

// fresh tells that copies that went to p of late, and came back, stand for the
// beat: they renewed all that a beat would.
func (b *Replica) fresh(p *peer) bool {
	now := b.now()
	if now-p.beaten >= copyBeats*b.o.HeartbeatInterval || now-p.heard >= b.o.HeartbeatInterval {
		return false
	}
	n := 0
	for _, s := range b.shards {
		if s.role == owner && s.serving {
			n++
			if now-p.grants[s.ix] >= b.o.HeartbeatInterval {
				return false
			}
		}
	}
	return n > 0
}

func (b *Replica) met(p *peer, sound, leaving bool) {
	now := b.now()
	if sound && (!p.sound || now-p.heard > b.o.LeaseDuration) {
		p.soundAt = now
	}
	p.heard, p.ever, p.leaving = now, true, leaving
	p.sound = sound
}

func (b *Replica) HandleRenewLeases(q *meshpb.RenewLeasesRequest) *meshpb.RenewLeasesResponse {
	r := &meshpb.RenewLeasesResponse{Membership: b.membership.Version, Healthy: b.ready(b.me.Id), Member: b.member(), Id: b.me.Id, Leaving: b.leaving}
	if q.Header.To != b.me.Id {
		return r
	}
	if q.Header.Membership != b.membership.Version {
		b.sawMembership(q.Header.From, q.Header.Membership)
		return r
	}
	from := q.Header.From.Id
	p := b.peers[from]
	if p == nil {
		return r
	}
	if q.Header.NotReceiving {
		return r
	}
	b.met(p, q.Healthy, q.Header.Leaving)
	for _, m := range q.Watermarks {
		s := b.shards[m.Shard]
		if m.Epoch == s.epoch {
			// What was committed a beat ago has had time to come.
			if s.synced >= min(s.mark, m.Version) {
				s.fresh = b.now()
			}
			s.mark = m.Version
		}
		switch {
		case m.Epoch <= s.ended:
		case m.Epoch == s.promised && s.promisedBy == from:
			b.grant(s)
			r.Granted = append(r.Granted, m.Shard)
			if m.Committed > 0 {
				b.settles[s.ix] = max(b.settles[s.ix], m.Committed)
			}
		case m.Epoch > s.promised:
			s.rumour, s.rumourTo = from, b.now()+b.o.LeaseDuration
			s.asked = max(s.asked, m.Epoch)
		case m.Epoch < s.promised:
			r.Superseded = append(r.Superseded, &meshpb.Watermark{Shard: m.Shard, Epoch: s.promised})
		}
	}
	return r
}

// Owner names the member that this one believes to own the shard.
func (b *Replica) Owner(i int) (*meshpb.Member, bool) {
	s := b.shards[i]
	if s.role == owner || s.role == handing {
		return b.me, true
	}
	who := s.promisedBy
	if b.now() < s.rumourTo {
		who = s.rumour
	} else if b.now() >= s.leasedUntil {
		return nil, false
	}
	if who == b.me.Id || who == "" || b.blank {
		return nil, false
	}
	for _, m := range b.membership.Members {
		if m.Id == who {
			return m, true
		}
	}
	return nil, false
}

func (b *Replica) OwnedEpoch(i int) (uint64, bool) {
	s := b.shards[i]
	return s.epoch, s.role == owner && s.serving && b.now() < s.lease
}

// order gives the place of a member in the line for a shard: shard 0 goes to
// the lowest index, the others start at a member each.
func (b *Replica) order(i int, id string) int {
	n := len(b.membership.Members)
	x := b.index(id)
	if x < 0 || n == 0 {
		return n
	}
	if i == 0 {
		return x
	}
	if n >= lightMaster {
		// The first in line for shard 0 comes last for all others.
		if x == 0 {
			return n - 1
		}
		n--
		return (x - 1 - (i-1)%n + n) % n
	}
	return (x - (i-1)%n + n) % n
}

// lightMaster is from how many members on the one that is first in line for
// shard 0 is kept free of other shards: it is the one that tells all nodes.
const lightMaster = 5

func (b *Replica) first1(i int) string {
	best, at := "", 1<<30
	for _, m := range b.membership.Members {
		if o := b.order(i, m.Id); o < at && b.ready(m.Id) {
			best, at = m.Id, o
		}
	}
	return best
}

func (b *Replica) reach() int {
	n := 0
	for _, m := range b.membership.Members {
		if b.alive(m.Id) {
			n++
		}
	}
	return n
}

func (b *Replica) askAll() {
	now := b.now()
	if !b.ready(b.me.Id) || b.reach() < b.majority() {
		return
	}
	var asks []*shard
	for _, s := range b.shards {
		if s.role != idle || now < s.retryAt || now < s.rumourTo {
			continue
		}
		if now < s.leasedUntil && s.promisedBy != b.me.Id {
			continue
		}
		// Who owned it before a restart need not wait: all others promised to it.
		again := s.promisedBy == b.me.Id && now-b.started < 2*b.o.LeaseDuration
		if f := b.first1(s.ix); f != b.me.Id && !again {
			d := time.Duration(b.order(s.ix, b.me.Id)+1) * b.o.HeartbeatInterval
			if now < max(s.leasedUntil, s.retryAt, b.started)+2*b.o.LeaseDuration+d {
				continue
			}
		} else if !again && now-b.started < b.o.HeartbeatInterval && b.order(s.ix, b.me.Id) > 0 {
			// Those before in the order may just not have been heard yet.
			continue
		}
		asks = append(asks, s)
	}
	b.sound(asks)
}

// sound asks first whether the promises would be given: one that comes back
// after a cut would else raise its own and so unseat an owner that all others
// keep to.
func (b *Replica) sound(ss []*shard) {
	if len(ss) == 0 {
		return
	}
	var as []*meshpb.VoteRequest
	for _, s := range ss {
		s.role, s.pre, s.since = asking, true, b.now()
		s.asked = b.nextEpoch(s)
		s.oks = map[string]bool{b.me.Id: true}
		s.soundBy, s.soundUntil = b.me.Id, b.now()+b.o.HeartbeatInterval/2
		as = append(as, s.ask())
	}
	for _, p := range b.line {
		b.askPeer(p, as)
	}
	for _, s := range ss {
		b.promised(s, s.asked, b.me.Id)
	}
	b.askSounded()
}

// askSounded asks in one for all whose sounding has just come to its end.
func (b *Replica) askSounded() {
	ss := b.sounded
	b.sounded = nil
	b.ask(ss)
}

// epochRanks parts the epochs among the members, so that two who ask at once
// never ask for the same one, and the one that is left obeys the other.
const epochRanks = 64

func (b *Replica) nextEpoch(s *shard) uint64 {
	return (max(s.promised, s.asked, s.epoch)/epochRanks+1)*epochRanks + uint64(b.index(b.me.Id)%epochRanks)
}

func (b *Replica) ask(ss []*shard) {
	if len(ss) == 0 {
		return
	}
	now := b.now()
	var as []*meshpb.VoteRequest
	for _, s := range ss {
		e := b.nextEpoch(s)
		s.role, s.pre, s.since, s.asked = asking, false, now, e
		s.promised, s.promisedBy = e, b.me.Id
		s.leasedUntil = 0
		s.oks = map[string]bool{}
		s.best, s.bestAt, s.bestSt = nil, s.epoch, s.version
		as = append(as, s.ask())
		b.save(&meshpb.Record{Vote: &meshpb.Vote{Shard: uint32(s.ix), Epoch: e, Candidate: b.me.Id}}, func(err error) {
			if err != nil {
				if s.role == asking && s.asked == e {
					b.depose(s, e, "own promise not synced")
				}
				return
			}
			b.promised(s, e, b.me.Id)
		})
	}
	for _, p := range b.line {
		b.askPeer(p, as)
	}
}

// ask is the question for a promise that the shard is asked under now.
func (s *shard) ask() *meshpb.VoteRequest {
	return &meshpb.VoteRequest{Shard: uint32(s.ix), Epoch: s.asked, HaveEpoch: s.epoch, HaveVersion: s.version, PreVote: s.pre}
}

// askAgain repeats what is still asked to the members that have not promised: a
// handover's word may have reached them after the question.
func (b *Replica) askAgain() {
	now := b.now()
	for _, p := range b.line {
		var asks []*meshpb.VoteRequest
		for _, s := range b.shards {
			if s.role == asking && !s.oks[p.m.Id] && now-s.since > b.o.HeartbeatInterval/2 {
				asks = append(asks, s.ask())
			}
		}
		if len(asks) > 0 && now-p.askedAt > b.o.HeartbeatInterval/2 {
			b.askPeer(p, asks)
		}
	}
}

func (b *Replica) askPeer(p *peer, asks []*meshpb.VoteRequest) {
	p.askedAt = b.now()
	q := &meshpb.RequestVotesRequest{Header: b.head(p), Votes: asks}
	membership := b.membership.Version
	b.wire.RequestVotes(p.m, q, func(r *meshpb.RequestVotesResponse) {
		if r == nil || !r.Member {
			return
		}
		if r.Membership != b.membership.Version || membership != b.membership.Version {
			b.sawMembership(p.m, r.Membership)
			return
		}
		for _, a := range r.Replies {
			s := b.shards[a.Shard]
			if s.role != asking || s.asked != a.Epoch || s.pre != a.PreVote {
				continue
			}
			if !a.Granted {
				if a.Promised > s.asked || a.PreVote && a.Promised == s.asked {
					b.depose(s, a.Promised, "promised elsewhere")
				}
				continue
			}
			p.have[s.ix] = have{a.Epoch, span{a.HaveEpoch, a.HaveVersion}}
			if a.State != nil && (a.HaveEpoch > s.bestAt || a.HaveEpoch == s.bestAt && a.HaveVersion > s.bestSt) {
				s.best, s.bestAt, s.bestSt = a.State, a.HaveEpoch, a.HaveVersion
			}
			b.promised(s, a.Epoch, p.m.Id)
		}
		b.askSounded()
	})
}

func (b *Replica) HandleRequestVotes(q *meshpb.RequestVotesRequest, reply func(*meshpb.RequestVotesResponse)) {
	r := &meshpb.RequestVotesResponse{Membership: b.membership.Version, Member: b.member() && q.Header.To == b.me.Id}
	if !r.Member || q.Header.Membership != b.membership.Version || !inMembership(b.membership, q.Header.From.Id) {
		b.sawMembership(q.Header.From, q.Header.Membership)
		reply(r)
		return
	}
	if b.diskBad {
		reply(nil)
		return
	}
	from := q.Header.From.Id
	now := b.now()
	left, fin := gather(func(failed bool) {
		if failed {
			reply(nil)
			return
		}
		reply(r)
	})
	for _, a := range q.Votes {
		s := b.shards[a.Shard]
		x := &meshpb.VoteReply{Shard: a.Shard, Promised: s.promised, Epoch: a.Epoch, PreVote: a.PreVote}
		r.Replies = append(r.Replies, x)
		if a.Epoch == s.promised && s.promisedBy == from && !a.PreVote {
			// Promised already; the answer was lost.
			b.vow(s, a, x)
			*left++
			b.book.Append(nil, fin)
			continue
		}
		if a.Epoch <= s.promised {
			continue
		}
		if now < s.leasedUntil && s.promisedBy != from {
			continue
		}
		if (s.role == owner || s.role == handing) && now < s.lease {
			continue
		}
		if a.PreVote {
			if x.Granted = now >= s.soundUntil || s.soundBy == from; x.Granted {
				s.soundBy, s.soundUntil = from, now+b.o.HeartbeatInterval/2
			}
			continue
		}
		b.depose(s, a.Epoch, "promised to another")
		s.promised, s.promisedBy = a.Epoch, from
		s.leasedUntil = max(s.leasedUntil, now+b.o.LeaseDuration/2)
		b.vow(s, a, x)
		*left++
		b.save(&meshpb.Record{Vote: &meshpb.Vote{Shard: a.Shard, Epoch: a.Epoch, Candidate: from}}, fin)
	}
	fin(nil)
}

// vow fills in the promise, with the copy's content if it is newer than the asker's.
func (b *Replica) vow(s *shard, a *meshpb.VoteRequest, x *meshpb.VoteReply) {
	x.Granted, x.Promised = true, a.Epoch
	x.HaveEpoch, x.HaveVersion = s.epoch, s.version
	if s.epoch > a.HaveEpoch || s.epoch == a.HaveEpoch && s.version > a.HaveVersion {
		x.State = b.dump(s)
	}
}

func (b *Replica) promised(s *shard, e uint64, id string) {
	if s.role != asking || s.asked != e {
		return
	}
	s.oks[id] = true
	n := 0
	for _, m := range b.membership.Members {
		if s.oks[m.Id] {
			n++
		}
	}
	if n < b.majority() || !s.oks[b.me.Id] {
		return
	}
	if s.pre {
		b.sounded = append(b.sounded, s)
		s.oks = map[string]bool{}
		return
	}
	st := s.best
	s.role, s.since, s.begun = owner, b.now(), b.now()
	s.serving, s.lease, s.commit, s.settled = false, 0, 0, 0
	s.best, s.oks = nil, nil
	if s.ix == 0 {
		b.prior, b.enrolled = nil, nil
	}
	done := func(err error) {
		if err != nil {
			b.depose(s, e, "own copy not synced")
			return
		}
		b.advance(s)
	}
	if st == nil {
		s.begin, s.base = s.version, s.version
		b.lift(s, &meshpb.EpochChange{Shard: uint32(s.ix), Epoch: e, FromEpoch: s.epoch, FromVersion: s.version}, done)
	} else {
		s.begin, s.base = st.Version, st.Version
		b.install(s, st, e, done)
	}
	s.table.BecomeOwner()
	for _, p := range b.line {
		b.push(p)
	}
}

// Handing over: the owner stops taking calls, lets the successor catch up, and
// names it to all.
func (b *Replica) maybeHand(s *shard) {
	now := b.now()
	if !s.serving {
		return
	}
	if b.leaving || b.diskBad || b.stalled() && now-s.begun > 2*b.o.LeaseDuration {
		for k := 0; k < len(b.membership.Members); k++ {
			for _, m := range b.membership.Members {
				if m.Id != b.me.Id && b.order(s.ix, m.Id) == k && b.ready(m.Id) {
					b.hand(s, m.Id)
					return
				}
			}
		}
		return
	}
	if len(b.membership.Members) < int(b.membership.Size) {
		return
	}
	f := b.first1(s.ix)
	if f == "" || f == b.me.Id || now-s.since < 4*b.o.LeaseDuration {
		return
	}
	p := b.peers[f]
	if now-p.soundAt < 3*b.o.LeaseDuration || p.known[s.ix] != s.epoch || p.acked[s.ix]+64 < s.version {
		return
	}
	for _, x := range b.shards {
		if x.role == handing {
			return
		}
	}
	b.hand(s, f)
}

func (b *Replica) hand(s *shard, to string) {
	s.role, s.succ, s.since = handing, to, b.now()
	if p := b.peers[to]; p != nil {
		b.push(p)
	}
	b.finishHand(s)
}

func (b *Replica) finishHand(s *shard) {
	p := b.peers[s.succ]
	if p == nil || s.commit < s.version || p.known[s.ix] != s.epoch || p.acked[s.ix] < s.version {
		return
	}
	b.release(s)
	if len(s.waits) > 0 {
		return
	}
	b.note("shard %d: handed to %s at epoch %d", s.ix, s.succ, s.epoch)
	q := &meshpb.TransferOwnershipRequest{Watermarks: []*meshpb.Watermark{{Shard: uint32(s.ix), Epoch: s.epoch}}, Successor: s.succ}
	succ := s.succ
	b.depose(s, s.epoch, "handed over")
	s.leasedUntil, s.retryAt = 0, b.now()+2*b.o.LeaseDuration
	for _, x := range b.line {
		q := &meshpb.TransferOwnershipRequest{Watermarks: q.Watermarks, Successor: succ, Header: b.head(x)}
		b.wire.TransferOwnership(x.m, q, func(*meshpb.TransferOwnershipResponse) {})
	}
}

func (b *Replica) HandleTransferOwnership(q *meshpb.TransferOwnershipRequest) *meshpb.TransferOwnershipResponse {
	if q.Header.To != b.me.Id || q.Header.Membership != b.membership.Version || !b.member() {
		return &meshpb.TransferOwnershipResponse{}
	}
	var ss []*shard
	for _, m := range q.Watermarks {
		s := b.shards[m.Shard]
		if s.promised != m.Epoch || s.promisedBy != q.Header.From.Id {
			continue
		}
		s.leasedUntil, s.ended = 0, m.Epoch
		if q.Successor == b.me.Id {
			if s.role == idle && !b.diskBad {
				ss = append(ss, s)
			}
		} else {
			s.retryAt = b.now() + b.o.LeaseDuration
		}
	}
	b.ask(ss)
	return &meshpb.TransferOwnershipResponse{Ok: true}
}

// Leave starts handing over all that this member owns. Where a learner waits for
// a place, it is given this member's before Done.
func (b *Replica) Leave() { b.leaving = true; b.urgent = true }

// Done tells that a leaving member owns nothing any more and, if a learner could
// take its place, that this has happened.
func (b *Replica) LeaveComplete() bool {
	for _, s := range b.shards {
		if s.role == owner || s.role == handing {
			return false
		}
	}
	return b.gone || b.member() && len(b.learners) == 0 && len(b.membership.Members) <= int(b.membership.Size)
}
