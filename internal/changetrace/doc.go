// Package changetrace keeps what a process did to each change of the control
// state, and gathers it from all processes.
//
// A change is a configuration, a view, a cell or a session's pin. Each process
// adds an Event to its Ring whenever it has proposed, committed, published or
// applied one; `corkcove trace` asks all processes for the events of one change
// and prints them in order of nodes. Commits cover several changes at once:
// Ring.Find takes the first commit of a shard that covers the version that a
// change was proposed with.
//
// A Ring belongs to its process, may be used from any goroutine and holds the
// last events only; nothing of it is stored.
package changetrace
