// Package meshpb has the messages and services of the calls between corkcove
// processes, generated from mesh.proto by generate.sh, and the differences
// between views. A message belongs to whoever made or decoded it; a view is never
// changed once it was published. The package has no other state, goroutine or I/O:
// package rpc makes the calls.
package meshpb
