package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// role is what this member is to one shard.
type role int

const (
	// follower keeps a replica and grants leases and votes.
	follower role = iota
	// candidate asks for the votes of a majority.
	candidate
	// owner decides the order of changes, and serves while it has a lease.
	owner
	// transferring is an owner that takes no calls while its successor catches up.
	transferring
)

// position is a point in a shard's history: the content after all entries up to
// version, the last of which came under epoch.
type position struct{ epoch, version uint64 }

// newerThan tells that a replica at p holds more than one at q.
func (p position) newerThan(q position) bool {
	return p.epoch > q.epoch || p.epoch == q.epoch && p.version > q.version
}

// shard is this member's replica of one shard and its role in it.
type shard struct {
	id           int
	stateMachine StateMachine
	log          replicaLog

	role role
	// roleSince is when the role began; for a candidate, when its pre-vote or
	// election did; for an owner, also when a transfer failed.
	roleSince time.Duration

	vote      vote
	lease     lease
	election  election
	ownership ownership
	catchUp   catchUpState
}

// vote is the last vote of this member, for itself too. It is durable.
type vote struct {
	epoch     uint64
	candidate string
}

// lease is what this member has granted to the owner of a shard, and what it
// knows of other owners.
type lease struct {
	// grantedUntil is until when no candidate gets a vote but the one that got the
	// last.
	grantedUntil time.Duration
	// endedEpoch is the last epoch whose owner has given it up: what it sent before,
	// and comes later, renews nothing.
	endedEpoch uint64
	// hint is the member that said, without having this one's vote, that it owns the
	// shard; believed until hintUntil.
	hint      string
	hintUntil time.Duration
}

// election is this member's candidacy for a shard, and the pre-vote that it gave.
type election struct {
	// preVote tells that a candidate still asks whether it would get the votes.
	preVote bool
	// epoch is the highest that was asked for, or heard to be.
	epoch uint64
	// votes are the members that have granted theirs.
	votes map[string]bool
	// best is the newest state that came with a vote, nil if none is newer than
	// this member's; bestPosition is what it, or this member, holds.
	best         *meshpb.ShardState
	bestPosition position
	// notBefore is when this member may be a candidate again.
	notBefore time.Duration
	// preVotedFor was told, until preVotedUntil, that it would get the vote.
	preVotedFor   string
	preVotedUntil time.Duration
}

// ownership is the state of an owner, set anew with each election that is won. It
// stays as it was when the owner steps down, but for serving and the lease.
type ownership struct {
	began time.Duration
	// leaseUntil is until when the leases of a majority last.
	leaseUntil time.Duration
	// serving tells that a majority holds what this epoch began with.
	serving bool
	// startVersion is the version that the epoch began with.
	startVersion uint64
	// minimumCommit is the version that a majority must hold before anything counts
	// as committed: startVersion, or the version at a change of the membership.
	minimumCommit uint64
	// commit is the version up to which all is committed.
	commit uint64
	// uncommittedSince is when the first entry that isn't committed was proposed.
	uncommittedSince time.Duration
	// replicatedMembership is the membership whose majority holds all that the epoch
	// began with, 0 while that isn't known.
	replicatedMembership uint64
	// pending are the calls whose outcome isn't known yet, in their order.
	pending []pendingCall
	// successor is the member that the shard is being transferred to.
	successor string
}

// catchUpState tells how far a follower is behind its owner.
type catchUpState struct {
	// watermark is the version that the owner last said to be committed.
	watermark uint64
	// at is when the watermark before the last was found to be on disk here.
	at time.Duration
}

// isOwned tells that this member is the shard's owner, maybe one that is
// transferring it.
func (s *shard) isOwned() bool { return s.role == owner || s.role == transferring }

// position is what the replica holds.
func (s *shard) position() position { return s.log.position }

// append takes the next entry into the replica, in memory.
func (s *shard) append(entry *meshpb.Entry, now time.Duration) {
	s.stateMachine.Apply(entry.Change, now)
	s.log.append(entry)
}

// changeEpoch takes the replica on to the epoch of change, whose entries bring it
// to what that epoch began with.
func (s *shard) changeEpoch(change *meshpb.EpochChange, now time.Duration) {
	s.log.beginEpoch(change.Epoch)
	for _, entry := range change.Entries {
		s.append(entry, now)
	}
}

// epochChangeFrom makes what takes a replica at from on to this owner's epoch. It
// holds all entries up to the epoch's beginning, since a replica of a new epoch
// must hold all that came before it. It is nil if the log doesn't reach back.
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
