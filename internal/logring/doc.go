// Package logring keeps a process's last log entries in memory and writes them
// out through klog only when something goes wrong.
//
// An entry has a time, a level, the component that logged it, a message that
// never changes and key-value pairs. Nothing is formatted when an entry is
// logged: the pairs are kept as they are and become text when the ring is
// written out, or at once if the process runs with --verbose. Values must
// therefore be immutable: numbers, strings, booleans, durations, times and
// errors whose text doesn't change. A pointer, map or slice must not be passed,
// as it could have changed, or be written to by another goroutine, when the
// entry is formatted.
//
// Keys are the same in all packages: shard, epoch, version, node, endpoint,
// route, peer, error, duration, and so on; see the glossary.
//
// A Ring may be used by any goroutine; one mutex guards it. It starts no
// goroutine of its own, and logging never waits for the disk unless the ring
// is written out or has an observer that does.
package logring
