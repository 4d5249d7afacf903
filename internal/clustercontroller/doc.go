// Package clustercontroller implements the master of the mesh and the relays that
// fan its requests out to many nodes.
//
// The owner of shard 0 is the master (leadership.go). It polls every node for its
// state (polling.go) and keeps a history of each node's crashes and failed polls
// (history.go). From the nodes' states, the platform's endpoint list, the states
// set by operators and the failures that nodes report about each other's endpoints
// (outliers.go) it computes the endpoints of the mesh (merge.go). It builds a view
// from them, saves the view in shard 0 and then publishes it to all nodes
// (views.go). It also delivers each committed configuration (configs.go).
// nodeProgress records which view and configuration a node holds (progress.go).
// Requests of the same kind to many nodes are batched and sent through other core
// members acting as relays (batches.go, relay.go).
//
// All state belongs to a Master and is accessed only on the goroutine of its
// mailbox; other goroutines only make calls and post the results. The package
// writes nothing to disk itself: a new master starts from the view, user states and
// configuration stored in shard 0. A master that does not hold the lease on shard 0
// sends nothing, and nodes refuse requests under an epoch lower than the highest
// they have seen. Relays are stateless.
package clustercontroller
