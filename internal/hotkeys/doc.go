// Package hotkeys detects keys that are read more often than one endpoint can
// serve, and decides how many endpoints share the reads of each.
//
// Each node counts its reads per key with a Meter and reports the most frequent
// keys (meshpb.KeyRate). The master sums up the reports of all nodes with a
// Tracker, which gives each hot key a width: the number of endpoints that its reads
// are spread over. Hot keys and widths are part of the view (meshpb.HotKey), and
// the load balancers of the nodes spread the reads accordingly. A width rises to
// what the demand requires at once. It falls in steps, and only after the demand
// has been lower for some time.
//
// A Tracker belongs to a single goroutine, that of the master. It reads no clock,
// sends nothing and stores nothing on disk: a new master restores the widths from
// the last view. A Meter is safe for concurrent use.
package hotkeys
