// Package logring keeps the most recent log entries of a process in memory and
// writes them to klog only when something goes wrong.
//
// An entry has a time, a level, the component that logged it, a constant message and
// key-value pairs. Nothing is formatted when an entry is logged: the pairs are stored
// as they are and formatted when the ring is flushed, or immediately if the process
// runs with --verbose. Values must therefore be immutable: numbers, strings,
// booleans, durations, times and errors whose text does not change. A pointer, map or
// slice must not be passed, as it could have changed, or be written to by another
// goroutine, when the entry is formatted.
//
// All packages use the same keys: shard, epoch, version, node, endpoint, route,
// peer, error, duration and others; docs/glossary.md lists them.
//
// A Ring is safe for concurrent use; one mutex guards it. It starts no goroutine
// of its own. Logging an entry never waits for the disk, unless the ring has an
// observer that does. Flush may wait for it, but not while it holds the mutex.
package logring
