// Package wal keeps records on disk: a write-ahead log in segments, and snapshots
// that take the place of what is behind them.
//
// A directory holds generations. Generation n has the file snapshot-n, with the
// records that stand for all before it, and segment-n, with the records after it.
// A file is a row of records, each behind a header of its length and checksum; a
// snapshot ends with a record that tells that it is whole. A checkpoint begins a
// new generation and removes the older ones once the new snapshot is synced under
// its name, so that a crash at any moment leaves a whole generation.
//
// A Log's files belong to one goroutine of its own, which Open starts and Close
// ends. It takes all appends and checkpoints in the order of the calls, syncs
// appends in groups, and calls back on that goroutine. The log never
// acknowledges a record before it is synced, never writes behind a record that
// may be torn, and doesn't know what the records mean.
package wal
