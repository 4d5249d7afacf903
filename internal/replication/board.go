// Package exchange keeps the shards of the control state: who owns each, under
// which epoch, and where its copies are.
package replication

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("exchange")

var (
	ErrNotOwner       = Error.New("another member owns this shard")
	ErrUnavailable    = Error.New("no owner can serve now; nothing was done")
	ErrOutcomeUnknown = Error.New("the change may or may not have been taken")
)

type StateMachine interface {
	Apply(*meshpb.Change, time.Duration)
	Snapshot(time.Duration) *meshpb.ShardState
	Restore(*meshpb.ShardState, time.Duration, bool)
	BecomeOwner()
	Blob(string) *meshpb.Blob
}

// Wire carries calls to other members. Each callback runs on the board's
// goroutine; a nil answer means that no answer came.
type Transport interface {
	RenewLeases(to *meshpb.Member, q *meshpb.RenewLeasesRequest, cb func(*meshpb.RenewLeasesResponse))
	Replicate(to *meshpb.Member, q *meshpb.ReplicateRequest, cb func(*meshpb.ReplicateResponse))
	RequestVotes(to *meshpb.Member, q *meshpb.RequestVotesRequest, cb func(*meshpb.RequestVotesResponse))
	TransferOwnership(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, cb func(*meshpb.TransferOwnershipResponse))
	AcceptMembership(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, cb func(*meshpb.AcceptMembershipResponse))
	Join(to string, q *meshpb.JoinRequest, cb func(*meshpb.JoinResponse))
}

// Book keeps records. Each callback runs on the board's goroutine, in the
// order of the calls.
type Storage interface {
	Append(rec []byte, done func(error))
	Checkpoint(page [][]byte, done func(error))
}

type Options struct {
	Self               *meshpb.Member
	Seeds              []*meshpb.Member
	Bootstrap          bool
	Shards             int
	LeaseDuration      time.Duration
	HeartbeatInterval  time.Duration
	RequestTimeout     time.Duration
	EvictionTimeout    time.Duration
	CheckpointBytes    int
	NewStateMachine    func() StateMachine
	NewID              func() string
	Now                func() time.Duration
	Rand               func(n int) int
	Logf               func(f string, a ...any)
	OnOwnershipChange  func(shard int, own bool, epoch uint64)
	OnCommit           func(shard int)
	OnMembershipChange func(*meshpb.Membership)
	OnEntryProgress    func(step string, shard int, epoch, version uint64, c *meshpb.Change)
}

type role int

const (
	idle role = iota
	asking
	owner
	handing
)

type wait struct {
	version uint64
	epoch   uint64
	chg     bool
	until   time.Duration
	cb      func(error)
}

type shard struct {
	ix      int
	table   StateMachine
	epoch   uint64
	version uint64
	synced  uint64

	promised    uint64
	promisedBy  string
	leasedUntil time.Duration
	// log holds the last entries that led to version, past where earlier epochs
	// ended in it.
	log  []*meshpb.Entry
	size int
	past []span
	// mark is what the owner last said to be committed, fresh when the one before
	// was last found to be synced here.
	mark  uint64
	fresh time.Duration

	// ended is the last epoch whose owner has said that it gave up: what it sent
	// before and comes later renews nothing.
	ended uint64

	rumour   string
	rumourTo time.Duration

	role role
	pre  bool
	// soundBy was told, until soundUntil, that it would get the promise.
	soundBy    string
	soundUntil time.Duration
	since      time.Duration
	begun      time.Duration
	asked      uint64
	oks        map[string]bool
	best       *meshpb.ShardState
	bestAt     uint64
	bestSt     uint64
	commit     uint64
	base       uint64
	begin      uint64
	serving    bool
	settled    uint64
	pending    time.Duration
	waits      []wait
	succ       string
	lease      time.Duration
	retryAt    time.Duration
}

// span tells that an epoch's part of a log ends at a version.
type span struct{ epoch, version uint64 }

// peer is what is known of another member, or of a learner.
type peer struct {
	m       *meshpb.Member
	heard   time.Duration
	ever    bool
	sound   bool
	leaving bool
	soundAt time.Duration
	holding bool
	beaten  time.Duration
	askedAt time.Duration
	copying bool
	nextAt  time.Duration
	pushed  time.Duration
	grants  []time.Duration
	acked   []uint64
	known   []uint64
	// have is what a copy said it holds of an earlier epoch.
	have []have

	joined time.Duration
	caught uint64
	first  bool
}

type have struct {
	for_ uint64
	span
}

type Replica struct {
	o          Options
	wire       Transport
	book       Storage
	me         *meshpb.Member
	membership *meshpb.Membership
	shards     []*shard
	peers      map[string]*peer
	// line are the peers in the order of the membership, learners those that
	// are to become members, in the order in which they came.
	line     []*peer
	learners []*peer
	near     []*peer

	diskBad  bool
	outs     []time.Duration
	diskTry  time.Duration
	diskBusy bool
	written  int
	blank    bool
	first    bool
	leaving  bool
	started  time.Duration

	lastBeat time.Duration
	ticked   time.Duration
	starved  time.Duration
	// alone is when this member last reached no majority.
	alone time.Duration

	enrolled map[string]bool
	prior    *meshpb.Membership
	joinAt   time.Duration
	more     []*meshpb.Member
	gone     bool
	urgent   bool
	settles  []uint64
	sounded  []*shard

	held  atomic.Int64
	epoch atomic.Uint64
	touch atomic.Pointer[map[string]bool]
}

func New(o Options, w Transport, bk Storage, recs [][]byte) (*Replica, error) {
	b := &Replica{o: o, wire: w, book: bk, me: proto.Clone(o.Self).(*meshpb.Member), peers: map[string]*peer{},
		settles: make([]uint64, o.Shards), first: o.Bootstrap, started: o.Now(), starved: -1 << 40}
	for i := 0; i < o.Shards; i++ {
		b.shards = append(b.shards, &shard{ix: i, table: o.NewStateMachine()})
	}
	now := o.Now()
	for _, r := range recs {
		var rec meshpb.Record
		if err := proto.Unmarshal(r, &rec); err != nil {
			return nil, Error.Wrap(err)
		}
		b.replay(&rec, now)
	}
	if b.me.Id == "" {
		founder := false
		if o.Bootstrap {
			for _, s := range o.Seeds {
				if s.Addr == o.Self.Addr {
					founder = true
				}
			}
		}
		if founder {
			b.me.Id = "founder-" + o.Self.Addr
			r := &meshpb.Membership{Version: 1, Size: uint32(len(o.Seeds))}
			for _, s := range o.Seeds {
				m := proto.Clone(s).(*meshpb.Member)
				m.Id = "founder-" + s.Addr
				r.Members = append(r.Members, m)
			}
			b.membership = r
		} else {
			b.me.Id = o.NewID()
			b.blank = true
		}
	} else if b.membership == nil || !inMembership(b.membership, b.me.Id) {
		b.blank = true
	}
	if b.membership == nil {
		b.membership = &meshpb.Membership{}
	}
	b.first = b.first && !b.member()
	for _, s := range b.shards {
		s.fresh = -1 << 40
		if s.promisedBy != "" && s.promisedBy != b.me.Id {
			s.leasedUntil = now + o.LeaseDuration
		}
	}
	b.setPeers()
	b.checkpoint()
	return b, nil
}

func (b *Replica) replay(r *meshpb.Record, now time.Duration) {
	if id := r.GetIdentity(); id != nil {
		b.me.Id, b.first = id.Id, b.first || id.Bootstrap
	}
	if x := r.GetMembership(); x != nil && (b.membership == nil || x.Version > b.membership.Version) {
		b.membership = x
		b.first = b.first && !inMembership(x, b.me.Id)
	}
	if p := r.GetVote(); p != nil && int(p.Shard) < len(b.shards) {
		s := b.shards[p.Shard]
		if p.Epoch >= s.promised {
			s.promised, s.promisedBy = p.Epoch, p.Candidate
		}
	}
	if st := r.GetState(); st != nil && int(st.Shard) < len(b.shards) {
		s := b.shards[st.Shard]
		s.epoch, s.version = st.Epoch, st.Version
		s.table.Restore(st, now, true)
		s.forget()
	}
	if x := r.GetEpochChange(); x != nil && int(x.Shard) < len(b.shards) {
		if s := b.shards[x.Shard]; s.epoch == x.FromEpoch && s.version == x.FromVersion {
			s.raise(x, now)
		}
	}
	if e := r.GetEntry(); e != nil && int(e.Shard) < len(b.shards) {
		s := b.shards[e.Shard]
		if e.Epoch == s.epoch && e.Version == s.version+1 {
			s.take(e, now)
		}
	}
}

func inMembership(r *meshpb.Membership, id string) bool {
	for _, m := range r.GetMembers() {
		if m.Id == id {
			return true
		}
	}
	return false
}

func (b *Replica) now() time.Duration { return b.o.Now() }

func (b *Replica) note(f string, a ...any) {
	if b.o.Logf != nil {
		b.o.Logf(f, a...)
	}
}

func (b *Replica) step(step string, s *shard, epoch, version uint64, c *meshpb.Change) {
	if b.o.OnEntryProgress != nil {
		b.o.OnEntryProgress(step, s.ix, epoch, version, c)
	}
}

func (b *Replica) majority() int { return len(b.membership.Members)/2 + 1 }

func (b *Replica) member() bool { return !b.blank && inMembership(b.membership, b.me.Id) }

func (b *Replica) index(id string) int {
	for i, m := range b.membership.Members {
		if m.Id == id {
			return i
		}
	}
	return -1
}

func (b *Replica) setPeers() {
	n := map[string]*peer{}
	b.line = nil
	for _, m := range b.membership.Members {
		if m.Id == b.me.Id {
			continue
		}
		p := b.peers[m.Id]
		if p == nil {
			p = b.learner(m.Id)
		}
		if p == nil {
			p = b.newPeer()
		}
		p.m = m
		n[m.Id] = p
		b.line = append(b.line, p)
	}
	b.peers = n
	b.learners = slices.DeleteFunc(b.learners, func(p *peer) bool { return n[p.m.Id] != nil })
	b.rank()
}

func (b *Replica) newPeer() *peer {
	n := len(b.shards)
	p := &peer{grants: make([]time.Duration, n), acked: make([]uint64, n), known: make([]uint64, n), have: make([]have, n)}
	for i := range p.grants {
		p.grants[i] = -1 << 62
	}
	return p
}

func (b *Replica) learner(id string) *peer {
	for _, p := range b.learners {
		if p.m.Id == id {
			return p
		}
	}
	return nil
}

// others are all that copies go to: members and learners.
func (b *Replica) others() []*peer {
	return append(slices.Clip(b.line), b.learners...)
}

func (b *Replica) alive(id string) bool {
	if id == b.me.Id {
		return true
	}
	p := b.peers[id]
	return p != nil && b.inTouch(p)
}

// inTouch tells that the other has been heard within a lease.
func (b *Replica) inTouch(p *peer) bool { return p.ever && b.now()-p.heard < b.o.LeaseDuration }

func (b *Replica) ready(id string) bool {
	if id == b.me.Id {
		return !b.diskBad && !b.stalled() && !b.leaving && b.member() && b.reach() >= b.majority()
	}
	return b.alive(id) && b.peers[id].sound
}

func (b *Replica) head(p *peer) *meshpb.SenderHeader {
	return &meshpb.SenderHeader{From: b.me, To: p.m.Id, NotReceiving: !b.inTouch(p), Membership: b.membership.Version, Healthy: b.ready(b.me.Id), Leaving: b.leaving}
}

// disk

func enc(r *meshpb.Record) []byte {
	x, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return x
}

func (b *Replica) save(r *meshpb.Record, done func(error)) {
	x := enc(r)
	b.written += len(x)
	b.outs = append(b.outs, b.now())
	b.book.Append(x, func(err error) {
		b.outs = b.outs[1:]
		if err != nil {
			b.spoil(err)
		}
		done(err)
	})
	if b.written > b.o.CheckpointBytes && !b.diskBusy && !b.diskBad {
		b.checkpoint()
	}
}

// stalled tells that a record has waited long for the disk. Where this member
// itself got no processor of late, the wait is no sign of the disk: to hand over
// then would bring the load that it suffers from to the next member, and so on.
func (b *Replica) stalled() bool {
	now := b.now()
	return len(b.outs) > 0 && now-b.outs[0] > b.o.LeaseDuration/2 && now-b.starved > b.o.LeaseDuration
}

// turned notes a tick; one that comes late means that the processor was short.
func (b *Replica) turned() {
	now := b.now()
	if b.ticked > 0 && now-b.ticked > b.o.HeartbeatInterval {
		b.starved = now
	}
	b.ticked = now
}

func (b *Replica) spoil(err error) {
	if !b.diskBad {
		b.note("disk refuses: %v", err)
		b.diskBad = true
		b.diskTry = b.now() + 300*time.Millisecond
	}
}

func (b *Replica) page() [][]byte {
	out := [][]byte{enc(&meshpb.Record{Identity: &meshpb.Identity{Id: b.me.Id, Bootstrap: b.first}})}
	if b.membership.Version > 0 {
		out = append(out, enc(&meshpb.Record{Membership: b.membership}))
	}
	for _, s := range b.shards {
		st := b.dump(s)
		out = append(out, enc(&meshpb.Record{State: st}))
		if s.promised > 0 {
			out = append(out, enc(&meshpb.Record{Vote: &meshpb.Vote{Shard: uint32(s.ix), Epoch: s.promised, Candidate: s.promisedBy}}))
		}
	}
	return out
}

func (b *Replica) checkpoint() {
	b.diskBusy = true
	b.written = 0
	type mark struct{ epoch, version uint64 }
	var ms []mark
	for _, s := range b.shards {
		ms = append(ms, mark{s.epoch, s.version})
	}
	b.book.Checkpoint(b.page(), func(err error) {
		b.diskBusy = false
		if err != nil {
			b.spoil(err)
			b.diskTry = b.now() + 300*time.Millisecond
			return
		}
		if b.diskBad {
			b.note("disk takes writes again")
		}
		b.diskBad = false
		for i, s := range b.shards {
			if s.epoch == ms[i].epoch {
				s.synced = max(s.synced, ms[i].version)
				b.advance(s)
			}
		}
	})
}

func (b *Replica) dump(s *shard) *meshpb.ShardState {
	st := s.table.Snapshot(b.now())
	st.Shard, st.Epoch, st.Version = uint32(s.ix), s.epoch, s.version
	return st
}

// install makes st the shard's accepted state and calls done once it is synced.
func (b *Replica) install(s *shard, st *meshpb.ShardState, epoch uint64, done func(error)) {
	s.table.Restore(st, b.now(), false)
	s.forget()
	s.past = []span{{st.Epoch, st.Version}}
	s.epoch, s.version, s.synced = epoch, st.Version, 0
	rec := proto.Clone(st).(*meshpb.ShardState)
	rec.Shard, rec.Epoch = uint32(s.ix), epoch
	at := st.Version
	b.save(&meshpb.Record{State: rec}, func(err error) {
		if err == nil && s.epoch == epoch {
			s.synced = max(s.synced, at)
		}
		done(err)
	})
}

func (b *Replica) DiskHealthy() bool { return !b.diskBad }

func (b *Replica) Membership() *meshpb.Membership { return b.membership }

func (b *Replica) Self() *meshpb.Member { return b.me }

func (b *Replica) StateMachine(i int) StateMachine { return b.shards[i].table }

func (b *Replica) IsLearner() bool { return !b.member() }

// Committed is the last version of the shard that its owner knows to be committed.
func (b *Replica) CommittedVersion(i int) uint64 { return b.shards[i].commit }

func (b *Replica) Epoch(i int) uint64 { return b.shards[i].epoch }

// Lines tells of each shard what this member knows; of those it owns, also how
// far the copies are and how many members may be lost with the rest still a
// majority that holds all.
func (b *Replica) ShardStatuses() []*meshpb.ShardStatus {
	var out []*meshpb.ShardStatus
	for _, s := range b.shards {
		l := &meshpb.ShardStatus{Shard: uint32(s.ix), Epoch: s.epoch, Version: s.version}
		if m, ok := b.Owner(s.ix); ok {
			l.Owner = m.Addr
		}
		if s.role == owner || s.role == handing {
			b.owned(s, l)
		}
		out = append(out, l)
	}
	return out
}

func (b *Replica) owned(s *shard, l *meshpb.ShardStatus) {
	l.Owned, l.Committed, l.LeaseMs = true, s.commit, int64(max(s.lease-b.now(), 0)/time.Millisecond)
	whole := 1
	for _, p := range b.others() {
		c := &meshpb.ReplicaStatus{Addr: p.m.Addr, Learner: b.peers[p.m.Id] == nil, Reached: b.inTouch(p), Sound: p.sound, Leaving: p.leaving,
			Known: p.known[s.ix] == s.epoch}
		if c.Behind = s.version; c.Known {
			c.Behind = s.version - min(p.acked[s.ix], s.version)
		}
		if c.Reached && c.Known && p.acked[s.ix] >= s.commit && !c.Learner {
			whole++
		}
		l.Copies = append(l.Copies, c)
	}
	l.MayLose = int32(whole - b.majority())
}

// Held tells, from any goroutine, whether this member serves shard 0 under a
// lease right now.
func (b *Replica) HoldsMasterLease() bool { return int64(b.now()) < b.held.Load() }

// Follows tells whether this member's lease of the shard to the owner under that
// epoch runs now.
func (b *Replica) LeaseGranted(i int, epoch uint64) bool {
	s := b.shards[i]
	return s.promised == epoch && b.now() < s.leasedUntil
}

// Promised is the epoch under which this member last promised the shard.
func (b *Replica) PromisedEpoch(i int) uint64 { return b.shards[i].promised }

// Epoch0 is the epoch under which this member last served shard 0.
func (b *Replica) MasterEpoch() uint64 { return b.epoch.Load() }

// Reached tells, from any goroutine, whether this member and the one at addr
// have heard each other within a lease.
func (b *Replica) InContact(addr string) bool {
	m := b.touch.Load()
	return m != nil && (*m)[addr]
}

func (b *Replica) noteReached() {
	m := map[string]bool{}
	for _, p := range b.line {
		if b.inTouch(p) {
			m[p.m.Addr] = true
		}
	}
	b.touch.Store(&m)
}
