package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// role is the role of this member in one shard.
type role int

const (
	// follower keeps a replica and grants leases and votes.
	follower role = iota
	// candidate requests the votes of a majority.
	candidate
	// owner orders the changes, and serves while it has a lease.
	owner
	// transferring is an owner that accepts no calls while its successor catches up.
	transferring
)

// position is a point in a shard's history: the content after all entries up to
// version, in a replica at epoch.
type position struct{ epoch, version uint64 }

// newerThan reports whether p is later than q.
func (p position) newerThan(q position) bool {
	return p.epoch > q.epoch || p.epoch == q.epoch && p.version > q.version
}

// shard is this member's replica of one shard, and its role in the shard.
type shard struct {
	id           int
	stateMachine StateMachine
	// log is the position of the replica, with the most recent entries.
	log replicaLog

	role role
	// roleSince is the time at which the role began. For a candidate it is when the
	// current pre-vote or election began, for an owner also when a transfer last failed.
	roleSince time.Duration

	vote      vote
	lease     lease
	election  election
	ownership ownership
	catchUp   catchUpState
}

// vote is the last vote that this member gave, possibly to itself. It is durable.
type vote struct {
	epoch uint64
	// candidate is the id of the member that got the vote.
	candidate string
}

// lease is the lease that this member has granted to the owner of a shard, and the
// last claim of another member to own it.
type lease struct {
	// grantedUntil is the end of the lease, or of the grace period after a vote. Until
	// then only the candidate that got the last vote can get another.
	grantedUntil time.Duration
	// endedEpoch is the last epoch whose owner has given up the shard. Requests of that
	// owner that arrive afterwards renew no lease.
	endedEpoch uint64
	// ownerHint is the id of a member that claims to own the shard and did not get this
	// member's vote. The claim expires at ownerHintUntil.
	ownerHint      string
	ownerHintUntil time.Duration
}

// election is this member's candidacy for a shard, and the last pre-vote that it
// gave.
type election struct {
	// preVote is set while the candidate is in a pre-vote, and not yet in an election.
	preVote bool
	// epoch is the highest epoch that this member has requested votes for or received.
	epoch uint64
	// votes are the ids of the members that have granted their vote.
	votes map[string]bool
	// newestState is the newest content that came with a vote, nil if none is newer
	// than this member's own. newestPosition is its position, or this member's own.
	newestState    *meshpb.ShardState
	newestPosition position
	// notBefore is the earliest time at which this member may become a candidate
	// again.
	notBefore time.Duration
	// preVotedFor is the id of the candidate that got the last pre-vote. Until
	// preVotedUntil no other candidate gets one.
	preVotedFor   string
	preVotedUntil time.Duration
}

// ownership is the state of an owner. It is reset, except for the pending calls,
// when this member wins an election. When the owner steps down, only serving and
// the lease are cleared.
type ownership struct {
	// startedAt is the time at which the election was won.
	startedAt time.Duration
	// leaseUntil is the time at which the leases of a majority end.
	leaseUntil time.Duration
	// serving is set once a majority holds the content at the start of the epoch.
	serving bool
	// startVersion is the version at the start of the epoch.
	startVersion uint64
	// minimumCommit is the version that a majority must hold before any version
	// counts as committed: startVersion, or the version at the last change of the
	// membership.
	minimumCommit uint64
	// commit is the version up to which all entries are committed.
	commit uint64
	// uncommittedSince is the time at which an entry was last proposed while all earlier
	// ones were committed.
	uncommittedSince time.Duration
	// replicatedMembership is the version of the membership whose majority holds
	// minimumCommit, 0 while no majority is known to.
	replicatedMembership uint64
	// pending are the calls whose outcome is not known yet, oldest first.
	pending []pendingCall
	// successor is the id of the member that the shard is being transferred to.
	successor string
}

// catchUpState records how far a replica has caught up with the shard's owner.
type catchUpState struct {
	// watermark is the version that the owner last reported as committed.
	watermark uint64
	// caughtUpAt is the time at which this replica was last found to have synced the
	// watermark of the previous heartbeat.
	caughtUpAt time.Duration
}

// isOwned reports whether this member is the shard's owner, including one that is
// transferring it.
func (s *shard) isOwned() bool { return s.role == owner || s.role == transferring }

// position returns the position of the replica.
func (s *shard) position() position { return s.log.position }

// append applies the next entry to the replica, in memory only.
func (s *shard) append(entry *meshpb.Entry, now time.Duration) {
	s.stateMachine.Apply(entry.Change, now)
	s.log.append(entry)
}

// changeEpoch moves the replica to the epoch of change, in memory only. The entries
// of change bring its content up to the start of that epoch.
func (s *shard) changeEpoch(change *meshpb.EpochChange, now time.Duration) {
	s.log.beginEpoch(change.Epoch)
	for _, entry := range change.Entries {
		s.append(entry, now)
	}
}

// epochChangeFrom returns the epoch change that moves a replica at from to this
// owner's epoch. It contains all entries up to the start of the epoch, since a
// replica at an epoch must hold everything that came before it. It returns nil if
// the log does not reach back to from.
func (s *shard) epochChangeFrom(from position) *meshpb.EpochChange {
	entries, ok := s.log.entriesAfter(from)
	if !ok {
		return nil
	}
	change := &meshpb.EpochChange{Shard: uint32(s.id), Epoch: s.log.epoch, FromEpoch: from.epoch, FromVersion: from.version}
	for _, e := range entries {
		if e.Version > s.ownership.startVersion {
			break
		}
		change.Entries = append(change.Entries, &meshpb.Entry{Shard: e.Shard, Epoch: s.log.epoch, Version: e.Version, Change: e.Change})
	}
	return change
}
