// Package replication keeps the control state of the mesh on the members of the
// core, so that it survives the loss of a minority of them.
//
// # Model
//
// The state is cut into shards. A shard's content is a StateMachine to which
// changes are applied in one order. Every member holds a replica of every shard.
// At any time one member at most owns a shard; it alone decides the order of the
// shard's changes and answers reads. What a change did is acknowledged once a
// majority of the members has it on disk (it is committed).
//
// An ownership has an epoch, which is above all earlier ones of the shard, as a
// term of Raft. A position in a shard's history is an epoch and a version: each
// entry raises the version by one. Unlike in Raft, a replica is taken to a new
// epoch as a whole, by an EpochChange that holds the entries it lacks up to where
// the epoch began, or by a full state; so replicas of one epoch differ only in
// how far they have come.
//
// A candidate becomes owner of a shard with the votes of a majority. Each vote
// brings what the voter holds, and the new owner goes on from the newest of
// these positions, which contains all that is committed. A vote is durable: a
// member votes once in an epoch. A pre-vote comes first, so that a member that
// was cut off doesn't unseat an owner whom the others follow.
//
// The owner serves under a lease: each member that answers its heartbeats, or
// takes its entries, grants no other candidate a vote for LeaseDuration, counted
// from the arrival; the owner counts 9/10 of it from the sending. Leases of a
// majority let it answer reads without asking anybody.
//
// An owner that leaves, whose disk stalls, or that isn't the preferred owner of
// a shard transfers the ownership: it takes no more calls, lets the successor
// catch up, and names it to all, whose leases end thereby.
//
// The members themselves are decided upon as a change of shard 0, one member in
// or out at a time, and a membership is in force once majorities of the one
// before and of the new one have accepted it. A process outside the membership
// is a learner: it gets all entries, doesn't vote, and asks for a place until it
// has one. Each call names the membership that its sender goes by, and a call
// under another one has no effect.
//
// # State and goroutines
//
// A Replica owns all of this state, in memory and through its Storage on disk.
// It belongs to one goroutine, that of the mailbox that its program runs it in:
// Tick, all Handle methods, Execute and the callbacks of Transport and Storage
// run there. Only HoldsMasterLease, MasterEpoch and InContact may be called from
// any other. The Replica starts no goroutine and reads no clock, disk or network
// by itself: Options.Now, Storage and Transport bring them, so that a test runs
// a whole core in virtual time. PeerClient, Handler and WALStorage connect it to
// the calls between processes and to package wal.
//
// It never answers a call before what the answer promises is synced to disk,
// never blocks, and never changes a state machine but by an entry, an epoch
// change or a full state that it also writes to its log.
package replication
