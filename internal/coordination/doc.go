// Package coordination implements the state that the core members replicate for
// applications and nodes: locks with fencing tokens, counters, small versioned
// key-value pairs ("cells") with their recent history, pinned sessions, and the
// record of accepted configuration changes.
//
// Keys are distributed over shards by a hash of their names. The state of a shard
// is a Table, a state machine that does no I/O, reads no clock and starts no
// goroutine: time is passed as an argument, and only the goroutine of the replica
// that the shard belongs to (see mailbox.Mailbox) calls its methods. Every member
// applies the same changes in the same order; a member that has missed too many of
// them restores a snapshot.
//
// The shard's owner answers a request in two steps. First a method of Table decides
// the request: without modifying replicated state, it returns a Decision with the
// result and the change that produces it. Then the replica appends the change to
// the shard's log, applies it, and releases the result only once a majority of the
// members has synced the change to disk (it is committed). A decision without a
// change is a read; its result is released only once everything that it was read
// from is committed, and only while the owner's lease is valid.
//
// Service is the front end for concurrent callers: it finds the shard, runs the
// decision on the replica's goroutine and waits for the outcome. It never retries.
// An error of package replication tells whether no change was made (ErrNotOwner,
// ErrUnavailable) or the outcome is unknown (ErrOutcomeUnknown). The error values
// of this package are definite results of a request.
package coordination
