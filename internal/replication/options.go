package replication

import (
	"time"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// Options configures a Replica. There are no defaults: every field that is not
// marked optional must be set. The values in parentheses are those of corkcove.
type Options struct {
	// Self is this process as other members reach it. Its Id is ignored: the id is
	// read from the log or made by NewID.
	Self *meshpb.Member

	// Seeds are the members of the initial membership or, for a learner, the members
	// that it asks for admission. If none of them runs, a learner is never admitted
	// (see SetExtraSeeds).
	Seeds []*meshpb.Member

	// Bootstrap marks the first start of a whole cluster: a process without a log then
	// takes Seeds as the initial membership. It must not be set again once a cluster
	// exists: a majority with empty disks would form a second cluster, and the state
	// would be lost.
	Bootstrap bool

	// Shards is the number of shards (13). It must be the same for all members and
	// across all restarts.
	Shards int

	// LeaseDuration is the time after its answer to an owner for which a member votes
	// for no other candidate (900 ms). A shard whose owner fails has no owner for at least
	// this long. If it is too short for heartbeats to return in time, shards change
	// owners needlessly. It must be the same for all members: one with a shorter lease
	// would vote for a second owner while the first still serves reads.
	LeaseDuration time.Duration

	// HeartbeatInterval is the interval at which an owner renews its leases (250 ms).
	// It must be well below half of LeaseDuration, so that the loss of one heartbeat does not
	// cost the lease.
	HeartbeatInterval time.Duration

	// RequestTimeout is the time after which Execute fails if it has no commit or no
	// lease (900 ms). If it exceeds the caller's own timeout, the errors arrive too
	// late.
	RequestTimeout time.Duration

	// EvictionTimeout is the time for which a member must have been unreachable before
	// a learner may replace it (2 s). If it is shorter than a restart takes, members can be
	// evicted during any restart.
	EvictionTimeout time.Duration

	// CheckpointBytes is the size of the records in the log, in bytes, above which a
	// snapshot replaces them (4 MiB). A small value keeps the disk busy with snapshots;
	// a large one makes startup slow.
	CheckpointBytes int

	// NewStateMachine returns the empty content of a shard.
	NewStateMachine func() StateMachine

	// NewID returns an id that no member has ever had. A process without a log takes a
	// new one, since the votes that it gave under its earlier id are lost.
	NewID func() string

	// Now returns the time since a fixed moment. It must never go backwards.
	Now func() time.Duration

	// Rand returns a random number in [0, n). It adds jitter to elections.
	Rand func(n int) int

	// Log is the logger of the process. Optional.
	Log logring.Logger

	// OnOwnershipChange is called when this member starts or stops serving a shard as
	// its owner. Optional.
	OnOwnershipChange func(shard int, owned bool, epoch uint64)

	// OnCommit is called when entries of an owned shard have been committed.
	// Optional.
	OnCommit func(shard int)

	// OnMembershipChange is called with each new membership. Optional.
	OnMembershipChange func(*meshpb.Membership)

	// OnEntryProgress is called for each step of an entry at this member; step is one
	// of the Progress constants. change is nil for ProgressCommitted, which covers all
	// entries up to version. Optional.
	OnEntryProgress func(step string, shard int, epoch, version uint64, change *meshpb.Change)
}

// The steps of an entry, in order. `corkcove trace` prints these values.
const (
	// ProgressProposed means that the owner has created the entry.
	ProgressProposed = "proposed"
	// ProgressReceived means that a member other than the owner, or a learner, has
	// received the entry.
	ProgressReceived = "received"
	// ProgressSynced means that the entry is synced to disk at this member.
	ProgressSynced = "synced"
	// ProgressCommitted means that the owner has found the entry to be committed.
	ProgressCommitted = "committed"
)
