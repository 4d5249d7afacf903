// Package wal implements a write-ahead log of opaque records on disk, in segments,
// with snapshots that replace the records before them.
//
// The files of a directory are numbered by generation. Generation n consists of
// snapshot-n, whose records replace everything before it, and segment-n, to which
// later records are appended. A file is a sequence of records, each preceded by a
// header with its length and checksum. A snapshot ends with a trailer record that
// marks it as complete. A checkpoint starts a new generation and removes the older
// ones only after the new snapshot has been synced under its final name, so that a
// crash at any point leaves a complete generation.
//
// Each Log has a writer goroutine that owns its files; Open starts it and Close
// stops it. The writer processes appends and checkpoints in call order, syncs
// consecutive appends as a group, and invokes the callbacks. The log never
// acknowledges a record before it has been synced, never writes after a record that
// may be torn, and does not interpret the records.
package wal
