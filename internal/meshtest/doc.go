// Package meshtest provides an in-memory mesh for tests. Its nodes run the real
// filter chains of package proxy over the network of package memnet, and its
// endpoints record the requests that they run.
//
// A Mesh takes the place of the control plane. It pins sessions in a single
// coordination.Table, as the owner of a shard does; tests publish views and
// configurations explicitly. All times come from package time, so a Mesh can run
// in a testing/synctest bubble with virtual time. Close must then be called,
// because the goroutines of open listeners and connections keep the bubble from
// ending.
//
// Each node has one goroutine per listener and per connection. Mesh.Nodes must
// not be read while another goroutine calls AddNode; Mesh.RandomNode may be called
// at any time.
package meshtest
