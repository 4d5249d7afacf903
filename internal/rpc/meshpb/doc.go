// Package meshpb has the messages and services of the calls between corkcove
// processes, generated from mesh.proto by generate.sh, and the differences
// between views.
package meshpb
