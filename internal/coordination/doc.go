// Package coordination holds the state that the core members replicate for
// applications and nodes: locks with fencing tokens, counters, small keys
// ("cells") with their recent history, pinned sessions, and the record of
// accepted configuration changes.
//
// Keys are spread over shards by name. Each shard's state is one Table, a state
// machine without I/O, clock or goroutine of its own: time is an argument, and
// only the goroutine of the replica (mailbox.Mailbox) that the shard belongs
// to calls it. Every member applies the same changes in the same order; a
// member that missed too many of them restores a snapshot.
//
// A request is answered by the shard's owner in two steps. First a method of
// the Table decides it: it returns a Decision with the result and the change
// that leads to it, without changing replicated state. Then the replica appends
// the change to the shard's log, applies it, and lets the result out only when
// a quorum has it. A decision without a change is a read; its result too is let
// out only when what it was read from is committed and the owner's lease holds.
//
// Service is the concurrent front: it finds the shard, runs the decision on the
// replica's goroutine and waits. It never retries: an error of the replication
// package says whether nothing was done (ErrNotOwner, ErrUnavailable) or the
// outcome is unknown (ErrOutcomeUnknown); the sentinels of this package are
// results of their own.
package coordination
