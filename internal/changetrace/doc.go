// Package changetrace records how each process handles changes to the control state,
// and collects these events from all processes.
//
// A change is a new version of the configuration or the view, a put to a cell, or a
// session's pin. A process adds an Event to its Ring when it proposes, commits,
// publishes or applies a change. `corkcove trace` queries all processes for the events
// of one change and prints them by node. A commit covers all earlier proposals of its
// shard, so Ring.Find returns the first commit that covers the version at which the
// change was proposed.
//
// Each process has one Ring. It is safe for concurrent use, keeps only the most recent
// events, and is not persisted.
package changetrace
