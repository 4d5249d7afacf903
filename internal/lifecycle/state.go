// Package lifecycle names the states that endpoints and nodes go through.
//
// An endpoint reports one of the first three in its heartbeats, or ends with
// Gone; a node adds Stopping while it shuts down; an operator sets a user state;
// and the master makes of these the official state that the view shows. The
// words are the ones on the wire, in the view and in the heartbeats' JSON, and
// never change. The package has no state of its own.
package lifecycle

// State is the state of an endpoint, or of the node beside it.
type State string

// States that an endpoint reports of itself, or that its agent notes.
const (
	// Ready endpoints take requests.
	Ready State = "ready"
	// Draining endpoints finish what they have and take nothing new. It is also
	// an official state.
	Draining State = "draining"
	// Gone endpoints have deregistered.
	Gone State = "gone"
)

// Stopping is the state of a node whose process shuts down.
const Stopping State = "stopping"

// Official states, which the view gives endpoints and nodes. Draining is the
// third.
const (
	// Up endpoints may be chosen for new requests; a node reports itself Up while
	// it runs.
	Up State = "up"
	// Down endpoints are left out of the view.
	Down State = "down"
)

// States that only an operator sets, beside Up and Down.
const (
	// Maintenance takes a node's endpoint out at once, as Down does.
	Maintenance State = "maintenance"
	// Retired lets a node's endpoint drain.
	Retired State = "retired"
)

// SettableByUser tells whether an operator may set s for a node.
func (s State) SettableByUser() bool {
	return s == Up || s == Maintenance || s == Retired || s == Down
}
