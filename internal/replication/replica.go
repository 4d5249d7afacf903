package replication

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// masterShard is the shard whose owner is the master of the cluster and decides
// upon the membership.
const masterShard = 0

// founderIDPrefix and the address are the id of a member of the first start, so
// that all of them know the ids of all.
const founderIDPrefix = "founder-"

// Replica is one member's replicas of all shards and its roles in them. See the
// package comment for the goroutine that it belongs to.
type Replica struct {
	options   Options
	transport Transport
	storage   Storage

	self       *meshpb.Member
	membership *meshpb.Membership
	// learner tells that this process is outside the membership.
	learner bool
	// bootstrap tells that it takes part in the first start and was never a member.
	bootstrap bool
	// leaving tells that the process is about to end.
	leaving bool
	// startedAt is when the process started, or last became a member.
	startedAt time.Duration

	shards []*shard

	// peers are the other members by id, voters the same in the order of the
	// membership, learners those that ask for a place in the order in which they came.
	peers    map[string]*peer
	voters   []*peer
	learners []*peer
	// preferredPeers get entries at once (see rankPeers).
	preferredPeers []*peer

	disk             diskState
	clock            tickState
	membershipChange membershipChange
	join             joinState

	// preVoted are the shards whose pre-vote has just been won.
	preVoted []*shard
	// lastHeartbeat is when heartbeats were last sent; heartbeatDue asks for more
	// with the next tick.
	lastHeartbeat time.Duration
	heartbeatDue  bool
	// lastWithoutQuorum is when this member last reached no majority.
	lastWithoutQuorum time.Duration

	published published
}

// published is what other goroutines may read.
type published struct {
	// masterLeaseUntil is until when this member serves the master shard, in
	// nanoseconds of Options.Now.
	masterLeaseUntil atomic.Int64
	masterEpoch      atomic.Uint64
	// contacts are the addresses of the members that were in contact at the last
	// heartbeat.
	contacts atomic.Pointer[map[string]bool]
}

// New starts a replica on the records that storage held, oldest first. It calls
// storage.Checkpoint, and nothing may be appended before.
func New(options Options, transport Transport, storage Storage, records [][]byte) (*Replica, error) {
	r := &Replica{
		options:   options,
		transport: transport,
		storage:   storage,
		self:      proto.Clone(options.Self).(*meshpb.Member),
		peers:     map[string]*peer{},
		bootstrap: options.Bootstrap,
		startedAt: options.Now(),
		clock:     tickState{lastLateTick: never},
	}
	r.membershipChange.replicatedUnder = make([]uint64, options.Shards)
	for id := range options.Shards {
		r.shards = append(r.shards, &shard{id: id, stateMachine: options.NewStateMachine(), catchUp: catchUpState{at: never}})
	}
	now := options.Now()
	for _, data := range records {
		if err := r.restoreRecord(data, now); err != nil {
			return nil, err
		}
	}
	r.setIdentity()
	r.assumeGrantedLeases(now)
	r.updatePeers()
	r.checkpoint()
	return r, nil
}

// setIdentity decides, with what the log said, who this process is: a member, a
// founder, or a learner.
func (r *Replica) setIdentity() {
	switch {
	case r.self.Id == "" && r.isFounder():
		r.self.Id = founderIDPrefix + r.self.Addr
		r.membership = r.firstMembership()
	case r.self.Id == "":
		r.self.Id = r.options.NewID()
		r.learner = true
	case r.membership == nil || !contains(r.membership, r.self.Id):
		r.learner = true
	}
	if r.membership == nil {
		r.membership = &meshpb.Membership{}
	}
	r.bootstrap = r.bootstrap && !r.isMember()
}

// isFounder tells that this process is one of the first membership.
func (r *Replica) isFounder() bool {
	if !r.options.Bootstrap {
		return false
	}
	for _, seed := range r.options.Seeds {
		if seed.Addr == r.options.Self.Addr {
			return true
		}
	}
	return false
}

func (r *Replica) firstMembership() *meshpb.Membership {
	membership := &meshpb.Membership{Version: 1, Size: uint32(len(r.options.Seeds))}
	for _, seed := range r.options.Seeds {
		m := proto.Clone(seed).(*meshpb.Member)
		m.Id = founderIDPrefix + seed.Addr
		membership.Members = append(membership.Members, m)
	}
	return membership
}

// assumeGrantedLeases takes it that leases were granted just before the process
// ended: they aren't durable.
func (r *Replica) assumeGrantedLeases(now time.Duration) {
	for _, s := range r.shards {
		if s.vote.candidate != "" && s.vote.candidate != r.self.Id {
			s.lease.grantedUntil = now + r.options.LeaseDuration
		}
	}
}

// contains tells whether the member of that id is in the membership.
func contains(membership *meshpb.Membership, id string) bool {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return true
		}
	}
	return false
}

// countIn is how many members of the membership are in the set of ids.
func countIn(membership *meshpb.Membership, ids map[string]bool) int {
	n := 0
	for _, m := range membership.Members {
		if ids[m.Id] {
			n++
		}
	}
	return n
}

// quorumOf is how many members are a majority of the membership.
func quorumOf(membership *meshpb.Membership) int { return len(membership.Members)/2 + 1 }

func (r *Replica) now() time.Duration { return r.options.Now() }

func (r *Replica) entryProgress(step string, s *shard, epoch, version uint64, change *meshpb.Change) {
	if r.options.OnEntryProgress != nil {
		r.options.OnEntryProgress(step, s.id, epoch, version, change)
	}
}

func (r *Replica) quorum() int { return quorumOf(r.membership) }

func (r *Replica) isMember() bool { return !r.learner && contains(r.membership, r.self.Id) }

// memberIndex is the place of a member in the membership, -1 if it has none.
func (r *Replica) memberIndex(id string) int {
	for i, m := range r.membership.Members {
		if m.Id == id {
			return i
		}
	}
	return -1
}
