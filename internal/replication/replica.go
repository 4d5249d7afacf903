package replication

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// masterShard is the shard whose owner is the master of the cluster and decides the
// membership.
const masterShard = 0

// initialMemberIDPrefix, followed by its address, is the id of an initial member, so
// that each initial member knows the ids of the others. The ids are stored.
const initialMemberIDPrefix = "founder-"

// Replica holds one process's replicas of all shards and its roles in them. It is
// confined to one goroutine (see the package comment).
type Replica struct {
	options   Options
	transport Transport
	storage   Storage

	self       *meshpb.Member
	membership *meshpb.Membership
	// learner is set while this process is outside the membership.
	learner bool
	// bootstrap is set while this process takes part in the first start of the cluster
	// and has never been a member.
	bootstrap bool
	// leaving is set once the process is about to end.
	leaving bool
	// startedAt is the time at which the process started, or last became a member.
	startedAt time.Duration

	shards []*shard

	// peers are the other members by id, voters the same in the order of the
	// membership. learners are the processes that request to join, in the order of
	// their first requests.
	peers    map[string]*peer
	voters   []*peer
	learners []*peer
	// preferredPeers are the peers that get new entries at once (see rankPeers).
	preferredPeers []*peer

	disk             diskState
	tickState        tickState
	membershipChange membershipChange
	join             joinState

	// wonPreVotes are the shards whose pre-vote this member has just won.
	wonPreVotes []*shard
	// lastHeartbeat is the time at which heartbeats were last sent. heartbeatDue
	// requests more at the next tick.
	lastHeartbeat time.Duration
	heartbeatDue  bool
	// lastWithoutQuorum is the time at which this member last could not reach a
	// majority.
	lastWithoutQuorum time.Duration

	published published
}

// published is the state that other goroutines may read.
type published struct {
	// masterLeaseUntil is the time at which this member's lease of the master shard
	// ends, in nanoseconds of Options.Now.
	masterLeaseUntil atomic.Int64
	// masterEpoch is the epoch at which this member last served the master shard.
	masterEpoch atomic.Uint64
	// contacts are the addresses of the members that were in contact when heartbeats
	// were last sent.
	contacts atomic.Pointer[map[string]bool]
}

// New returns a replica restored from the records that storage held, oldest first. It
// fails if a record cannot be decoded. It calls storage.Checkpoint, before which
// nothing may be appended to storage.
func New(options Options, transport Transport, storage Storage, records [][]byte) (*Replica, error) {
	r := &Replica{
		options:   options,
		transport: transport,
		storage:   storage,
		self:      proto.Clone(options.Self).(*meshpb.Member),
		peers:     map[string]*peer{},
		bootstrap: options.Bootstrap,
		startedAt: options.Now(),
		tickState: tickState{lastLateTick: never},
	}
	r.membershipChange.replicatedVersions = make([]uint64, options.Shards)
	for id := range options.Shards {
		r.shards = append(r.shards, &shard{id: id, stateMachine: options.NewStateMachine(), catchUp: catchUpState{caughtUpAt: never}})
	}
	now := options.Now()
	for _, data := range records {
		if err := r.restoreRecord(data, now); err != nil {
			return nil, err
		}
	}
	r.resolveIdentity()
	r.assumeGrantedLeases(now)
	r.updatePeers()
	r.checkpoint()
	return r, nil
}

// resolveIdentity determines, from the id and the membership that the log held, whether
// this process is a member, an initial member of a new cluster, or a learner.
func (r *Replica) resolveIdentity() {
	switch {
	case r.self.Id == "" && r.isInitialMember():
		r.self.Id = initialMemberIDPrefix + r.self.Addr
		r.membership = r.initialMembership()
	case r.self.Id == "":
		r.self.Id = r.options.NewID()
		r.learner = true
	case r.membership == nil || !containsMember(r.membership, r.self.Id):
		r.learner = true
	}
	if r.membership == nil {
		r.membership = &meshpb.Membership{}
	}
	r.bootstrap = r.bootstrap && !r.isMember()
}

// isInitialMember reports whether this process is one of the seeds in the first start
// of a cluster (see Options.Bootstrap).
func (r *Replica) isInitialMember() bool {
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

// initialMembership returns the membership of all seeds.
func (r *Replica) initialMembership() *meshpb.Membership {
	membership := &meshpb.Membership{Version: 1, Size: uint32(len(r.options.Seeds))}
	for _, seed := range r.options.Seeds {
		m := proto.Clone(seed).(*meshpb.Member)
		m.Id = initialMemberIDPrefix + seed.Addr
		membership.Members = append(membership.Members, m)
	}
	return membership
}

// assumeGrantedLeases assumes that this member renewed the leases of the owners that
// it voted for just before its process ended, since granted leases are not durable.
func (r *Replica) assumeGrantedLeases(now time.Duration) {
	for _, s := range r.shards {
		if s.vote.candidate != "" && s.vote.candidate != r.self.Id {
			s.lease.grantedUntil = now + r.options.LeaseDuration
		}
	}
}

// containsMember reports whether the membership contains the member with that id.
func containsMember(membership *meshpb.Membership, id string) bool {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return true
		}
	}
	return false
}

// countMembers returns how many members of the membership are in the set of ids.
func countMembers(membership *meshpb.Membership, ids map[string]bool) int {
	n := 0
	for _, m := range membership.Members {
		if ids[m.Id] {
			n++
		}
	}
	return n
}

// quorumOf returns how many members are a majority of the membership.
func quorumOf(membership *meshpb.Membership) int { return len(membership.Members)/2 + 1 }

func (r *Replica) now() time.Duration { return r.options.Now() }

// reportEntryProgress calls OnEntryProgress, if it is set.
func (r *Replica) reportEntryProgress(step string, s *shard, epoch, version uint64, change *meshpb.Change) {
	if r.options.OnEntryProgress != nil {
		r.options.OnEntryProgress(step, s.id, epoch, version, change)
	}
}

func (r *Replica) quorum() int { return quorumOf(r.membership) }

func (r *Replica) isMember() bool { return !r.learner && containsMember(r.membership, r.self.Id) }

// memberIndex returns the index of the member with that id in the membership, or -1 if
// there is none.
func (r *Replica) memberIndex(id string) int {
	for i, m := range r.membership.Members {
		if m.Id == id {
			return i
		}
	}
	return -1
}
