package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// StateMachine is the content of a shard. Equal changes in equal order must make
// equal contents. It is used on the replica's goroutine only.
type StateMachine interface {
	// Apply makes a change, which may not be committed yet.
	Apply(change *meshpb.Change, now time.Duration)

	// Snapshot is the whole content, but for the shard, epoch and version.
	Snapshot(now time.Duration) *meshpb.ShardState

	// Restore replaces the content. fromDisk tells that nothing is known of how much
	// time has passed since the snapshot was taken.
	Restore(state *meshpb.ShardState, now time.Duration, fromDisk bool)

	// BecomeOwner is called when this member has been elected owner of the shard.
	BecomeOwner()

	// Blob is the named blob, nil if there is none.
	Blob(name string) *meshpb.Blob
}

// Transport carries calls to other members. No method waits. Each callback runs
// once on the replica's goroutine; a nil response means that none came, and that
// the request may or may not have had its effect.
type Transport interface {
	RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse))
	Replicate(to *meshpb.Member, request *meshpb.ReplicateRequest, callback func(*meshpb.ReplicateResponse))
	RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse))
	TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse))
	AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse))
	// Join goes to an address (host:port), since a learner may know no ids.
	Join(address string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse))
}

// Storage keeps records durably. No method waits. Each callback runs on the
// replica's goroutine, in the order of the calls, once the records are synced or
// have failed. After a failure all Appends fail until a Checkpoint succeeds.
type Storage interface {
	// Append writes a record behind all others. An empty record writes nothing: its
	// callback tells that all before it is synced.
	Append(record []byte, done func(error))

	// Checkpoint puts snapshot in the place of all records so far.
	Checkpoint(snapshot [][]byte, done func(error))
}
