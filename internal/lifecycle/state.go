// Package lifecycle defines the states of endpoints and nodes.
//
// An endpoint reports Ready or Draining in its heartbeats, and becomes Gone when
// it deregisters. A node additionally reports Stopping while it shuts down. An
// operator may set a user state for a node. From these the master derives the
// official state, which the view contains. The string values are part of the wire
// format, the view and the heartbeats' JSON, and must not change. The package
// itself holds no state.
package lifecycle

// State is the state of an endpoint or of the node next to it.
type State string

// States reported by an endpoint or recorded by its agent.
const (
	// Ready means that the endpoint accepts requests.
	Ready State = "ready"
	// Draining means that the endpoint finishes the requests in progress and
	// accepts no new ones. It is also an official state.
	Draining State = "draining"
	// Gone means that the endpoint has deregistered.
	Gone State = "gone"
)

// Stopping is the state of a node whose process is shutting down.
const Stopping State = "stopping"

// Official states of endpoints and nodes in the view. Draining is the third one.
const (
	// Up means that the endpoint may be selected for new requests. A running node
	// reports itself as Up.
	Up State = "up"
	// Down means that the endpoint is left out of the view.
	Down State = "down"
)

// States that only an operator can set, in addition to Up and Down.
const (
	// Maintenance removes a node's endpoint from the view immediately, as Down does.
	Maintenance State = "maintenance"
	// Retired makes a node's endpoint drain.
	Retired State = "retired"
)

// SettableByUser reports whether an operator may set s for a node.
func (s State) SettableByUser() bool {
	return s == Up || s == Maintenance || s == Retired || s == Down
}
