// Package clustercontroller is the master of the mesh, and the relays that help it
// reach all nodes.
//
// The owner of shard 0 is the master (leadership.go). It polls every node for its
// state (polling.go), remembers how each node did over time (history.go), and
// merges the nodes' states, the platform's list, the operators' user states and
// what the nodes say of each other's endpoints (outliers.go) into the endpoints of
// the mesh (merge.go). From these it makes a view, saves it in shard 0 and then
// publishes it to all nodes (views.go), as it delivers each committed configuration
// (configs.go). What one node holds of both is its nodeProgress (progress.go).
// Requests of the same kind to many nodes go out together, through other core
// members as relays (batches.go, relay.go).
//
// All state belongs to a Master and to the goroutine of its mailbox; other
// goroutines only make calls and post what came of them. Nothing is kept on disk
// here: a new master begins with the view, the user states and the configuration
// of shard 0. A master whose lease on shard 0 is not certain sends nothing, and
// nodes refuse what comes under an epoch lower than the highest they have seen.
// Relays keep no state at all.
package clustercontroller
