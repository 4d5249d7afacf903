// Package replication replicates the mesh's control state across the core members,
// so that it survives the loss of any minority of them.
//
// # Model
//
// The state is divided into shards. The content of a shard is a StateMachine, to
// which all changes are applied in a single order. Every member holds a replica of
// every shard. At most one member owns a shard at any time; only the owner orders
// the shard's changes and serves its reads. A change is acknowledged once it is
// committed, that is, once a majority of the members has it on disk.
//
// Each ownership has an epoch that is higher than all earlier epochs of the shard,
// like a term in Raft. A position in a shard's history is an epoch and a version;
// each entry increments the version by one. Unlike in Raft, a replica moves to a
// new epoch as a whole: either by an EpochChange, which contains the entries that
// the replica lacks up to the start of the epoch, or by a full state. Replicas at
// the same epoch therefore differ only in how far they have advanced.
//
// A candidate becomes the owner of a shard with the votes of a majority. Each vote
// reports the voter's position, and the new owner continues from the newest of
// these positions, which includes every committed change. Votes are durable: a
// member votes at most once in an epoch. A pre-vote precedes each election, so
// that a member that was partitioned does not depose an owner that the other
// members follow.
//
// The owner serves under a lease. A member that answers the owner's heartbeats, or
// accepts its entries, grants no other candidate a vote for LeaseDuration, counted
// from when it grants the lease. The owner relies on the lease for 9/10 of
// LeaseDuration, counted from when it sent the request. While the leases of a
// majority are valid, the owner serves reads without contacting other members.
//
// An owner that is leaving, whose disk has failed or stalls, or that is not the
// shard's preferred owner transfers the ownership: it stops accepting calls, lets
// the successor catch up, and announces the successor to all members, which ends
// the leases that they granted.
//
// The membership is itself decided by changes of shard 0, which add or remove one
// member at a time. A membership is in force once majorities of both the previous
// and the new membership have accepted it. A process outside the membership is a
// learner: it receives all entries, does not vote, and requests to join until it is
// admitted. Each call about shards carries the version of the sender's membership;
// if it differs from the receiver's, the call has no effect on the shards.
//
// # State and goroutines
//
// A Replica owns all of this state, in memory and, through its Storage, on disk. It
// is confined to one goroutine, that of the mailbox in which its program runs it:
// Tick, all Handle methods, Execute and the callbacks of Transport and Storage run
// there. Only HoldsMasterLease, MasterEpoch and InContact may be called from other
// goroutines. The Replica starts no goroutines and has no direct access to a clock,
// disk or network: Options.Now, Storage and Transport provide them, so that a test
// can run a whole cluster in virtual time. PeerClient, Handler and WALStorage
// connect it to remote calls and to package wal.
//
// A Replica answers a call only after everything that the answer promises is synced
// to disk. It never blocks, and it changes a state machine only by entries, epoch
// changes and full states that it also writes to its log.
package replication
