// Package hotkeys decides which keys are read so often that one endpoint can't
// serve them, and over how many endpoints their reads go.
//
// Each node counts the keys that it reads with a Meter and reports the most read
// ones (meshpb.KeyRate). The master sums the reports of all nodes with a Tracker;
// the hot keys and their widths travel in the view (meshpb.HotKey), and the nodes'
// load balancers spread the reads. A width rises at once as far as the demand asks
// for, and falls by steps once the demand has been lower for a while.
//
// A Tracker belongs to one goroutine, the master's. It reads no clock, sends
// nothing and keeps nothing on disk: a new master restores the widths from the
// last view. A Meter is safe for concurrent use.
package hotkeys
