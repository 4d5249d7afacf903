package replication

import (
	"time"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// Options configure a Replica. There are no defaults: each field without the
// word optional must be set. The values named are those of corkcove.
type Options struct {
	// Self is how other members reach this one; its Id is ignored, since the id is
	// read from the log or made by NewID.
	Self *meshpb.Member

	// Seeds are the members of the first start, or for a learner the members to ask
	// for a place. If none of them runs, a learner never gets one (see
	// SetExtraSeeds).
	Seeds []*meshpb.Member

	// Bootstrap marks the first start of a whole core: without a log, the Seeds are
	// the first membership. If it is set again once a core exists, an emptied
	// majority would start a second one and lose the state.
	Bootstrap bool

	// Shards is the number of shards (13). All members, and all starts, must agree.
	Shards int

	// LeaseDuration is for how long a member that answered an owner grants no other
	// candidate its vote (900 ms). A shard whose owner is lost has none for this
	// long at least. If it is too short for heartbeats to come back in time, shards
	// change their owners for nothing. All members must agree: one with a shorter
	// lease would let a second owner in while the first one still serves reads.
	LeaseDuration time.Duration

	// HeartbeatInterval is how often an owner renews its leases (250 ms). It must be
	// well below half of LeaseDuration, so that one lost heartbeat costs nothing.
	HeartbeatInterval time.Duration

	// RequestTimeout is how long Execute waits for a commit or a lease before it
	// fails (900 ms). Above what the caller waits for, its errors come too late.
	RequestTimeout time.Duration

	// EvictionTimeout is for how long a member must have been unreachable before a
	// learner may take its place (2 s). If it is below the length of a restart,
	// members lose their places to each restart.
	EvictionTimeout time.Duration

	// CheckpointBytes is the size of the log's records after which a snapshot takes
	// their place (4 MiB). If it is small, the disk is busy with snapshots; if it is
	// large, a start reads for long.
	CheckpointBytes int

	// NewStateMachine makes the empty content of a shard.
	NewStateMachine func() StateMachine

	// NewID makes an id that no member has ever had. A process without a log takes a
	// new one, since votes that it gave under the old one are forgotten.
	NewID func() string

	// Now is the time since a fixed moment. It must never go back.
	Now func() time.Duration

	// Rand gives a number from 0 up to n, n excluded. It spreads elections.
	Rand func(n int) int

	// Log is the logger of the process. Optional.
	Log logring.Logger

	// OnOwnershipChange is called when this member has begun, or ceased, to serve a
	// shard as its owner. Optional.
	OnOwnershipChange func(shard int, owned bool, epoch uint64)

	// OnCommit is called when entries of an owned shard have been committed.
	// Optional.
	OnCommit func(shard int)

	// OnMembershipChange is called with each new membership. Optional.
	OnMembershipChange func(*meshpb.Membership)

	// OnEntryProgress is called for each step of an entry at this member, which is
	// one of the Progress constants; change is nil for ProgressCommitted, which
	// stands for all entries up to version. Optional.
	OnEntryProgress func(step string, shard int, epoch, version uint64, change *meshpb.Change)
}

// The steps of an entry, in their order. They are the words of `corkcove trace`.
const (
	ProgressProposed  = "proposed"
	ProgressReceived  = "received"
	ProgressSynced    = "synced"
	ProgressCommitted = "committed"
)
