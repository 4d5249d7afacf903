package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// StateMachine is the content of one shard. It must be deterministic: the same
// changes in the same order produce the same content. Its methods are called on the
// replica's goroutine only.
type StateMachine interface {
	// Apply applies a change, which may not be committed yet.
	Apply(change *meshpb.Change, now time.Duration)

	// Snapshot returns the whole content. The replica sets the shard, epoch and
	// version of the result.
	Snapshot(now time.Duration) *meshpb.ShardState

	// Restore replaces the content with state. If fromDisk is set, the state was read
	// at startup and the time since its snapshot was taken is unknown.
	Restore(state *meshpb.ShardState, now time.Duration, fromDisk bool)

	// BecomeOwner is called when this member has been elected owner of the shard.
	BecomeOwner()

	// Blob returns the blob with that name, or nil if there is none.
	Blob(name string) *meshpb.Blob
}

// Transport sends requests to other members. Its methods do not block. Each callback
// runs once, on the replica's goroutine; a nil response means that none arrived, and
// that the request may or may not have taken effect.
type Transport interface {
	// RenewLeases sends a heartbeat, by which an owner renews its leases.
	RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse))
	// Replicate sends entries, epoch changes and full states of owned shards.
	Replicate(to *meshpb.Member, request *meshpb.ReplicateRequest, callback func(*meshpb.ReplicateResponse))
	// RequestVotes requests votes or pre-votes for a candidate.
	RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse))
	// TransferOwnership announces that the sender has given up shards, and to whom.
	TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse))
	// AcceptMembership asks a member to adopt a newer membership.
	AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse))
	// Join asks for admission to the membership. It is sent to an address (host:port),
	// since a learner may not know any member ids.
	Join(address string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse))
}

// Storage writes records durably. Its methods do not block. Callbacks run on the
// replica's goroutine, in the order of the calls, once the records are synced or
// have failed. After a failure, every Append fails until a Checkpoint succeeds.
type Storage interface {
	// Append writes a record after all earlier ones. An empty record writes nothing;
	// its callback reports that all earlier records are synced.
	Append(record []byte, done func(error))

	// Checkpoint replaces all earlier records with snapshot.
	Checkpoint(snapshot [][]byte, done func(error))
}
