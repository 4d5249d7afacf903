// Command corkcove is a service mesh and API gateway. A single binary contains
// all roles:
//
//   - core (core*.go): the control plane. Each core node holds a replica of every
//     shard of the control state. The node that owns shard 0 is the master of the
//     cluster.
//   - sidecar and edge (sidecar.go, edge.go, both based on trafficnode.go): the
//     data plane. A sidecar proxies the traffic of one endpoint, an edge that of
//     clients outside the mesh.
//   - tools (status, trace, estimate, replay and others): query the core and the
//     nodes, print text or JSON, and exit.
//
// Each command has its own file, which registers its flags and runs it. Shared
// command-line code is in commandline.go. Commands only create and connect the
// components of the packages under internal; the logic of the mesh belongs there.
package main
