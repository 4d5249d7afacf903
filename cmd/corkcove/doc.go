// Command corkcove is a service mesh and API gateway. One program has all the
// roles:
//
//   - core (core*.go): keeps the control state. A core node has a replica of
//     each shard of the control state, and the one that owns shard 0 is the
//     master of the cluster.
//   - sidecar and edge (sidecar.go, edge.go, on top of trafficnode.go): carry
//     the traffic; a sidecar that of one endpoint, an edge that of clients.
//   - the tools (status, trace, estimate, replay and others): ask the core and
//     the nodes, print text or JSON, and end.
//
// Each command has a file of its own, which registers its flags and runs it;
// commandline.go is what they share. Commands start what the packages under
// internal offer and connect it; rules of the mesh don't belong here.
package main
