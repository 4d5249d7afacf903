// Package meshtest is a mesh in memory, for tests: nodes with the real filter
// chains of package proxy, connected by package memnet, and endpoints that log
// what they ran.
//
// A Mesh stands in for the control plane: it assigns sessions from one table, as
// an owner does, and tests publish views and configurations by hand. It reads
// the clock of package time, and is meant to run in a testing/synctest bubble,
// where time is virtual; there Close must be called, or the bubble never ends.
//
// Each node has its goroutines: one per listener and per connection. Mesh.Nodes
// must not be read while AddNode runs in another goroutine; PickNode may.
package meshtest
