package nodeagent

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/logring"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Error is the class of this package's errors.
var Error = errs.Class("nodeagent")

// neverPolled is a time longer ago than any Agent.RegisterAfter.
const neverPolled time.Duration = -1 << 40

// Agent is a node's side of the cluster controller. It implements meshpb.Node. The
// exported fields are set before the first call and not changed after it.
type Agent struct {
	// Name is the node's name; calls meant for another node are refused.
	Name string
	// Incarnation tells this process from earlier ones of the node.
	Incarnation string
	// Seeds are the addresses of core members from the settings; see SetSeeds.
	Seeds   []string
	Clients *rpc.Clients
	// RegisterAfter is how long no master may have polled the node before it
	// registers anew.
	RegisterAfter time.Duration
	// Now is the time since some fixed moment.
	Now func() time.Duration
	Log logring.Logger
	// Trace, unless nil, notes a view or configuration that was applied.
	Trace func(kind, what string, epoch, version uint64)
	// OnView gets each view that is applied, without the agent's lock.
	OnView func(*meshpb.View)
	// OnConfig applies a complete configuration; after an error the old one stays
	// in force.
	OnConfig func(version uint64, data []byte) error
	// OnPatch applies changes to the configuration in force; after an error that
	// stays as it was.
	OnPatch func(version uint64, patches [][]byte) error

	mu sync.Mutex
	// state is replaced, never changed: answers to polls may still hold it.
	state *meshpb.NodeState
	// stateChanged is closed when state is replaced by one with a higher Seq.
	stateChanged chan struct{}
	// newestPoll is the last poll that came, while it is not answered.
	newestPoll *pendingPoll
	// polledUntil is until when the master has promised to know of this node.
	polledUntil time.Duration
	// masterEpoch is the highest epoch of a master that was seen.
	masterEpoch   uint64
	view          *meshpb.View
	configVersion uint64
	// lastEndpoint is the endpoint that the master knew beside this node before it
	// started.
	lastEndpoint *meshpb.Endpoint

	// configMu is held while a configuration is applied, mu is not.
	configMu sync.Mutex
	// patches led to the configuration in force; guarded by configMu.
	patches patchHistory
}

// Start sets the first state that the node reports. It is called once, before
// everything else.
func (a *Agent) Start(state *meshpb.NodeState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = state
	a.state.Seq = 1
	a.stateChanged = make(chan struct{})
	a.polledUntil = neverPolled
}

// UpdateState changes the node's state and answers the lingering poll with it.
func (a *Agent) UpdateState(change func(*meshpb.NodeState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := proto.Clone(a.state).(*meshpb.NodeState)
	change(state)
	if proto.Equal(state, a.state) {
		return
	}
	state.Seq++
	a.state = state
	close(a.stateChanged)
	a.stateChanged = make(chan struct{})
}

// UpdateStateWithoutWake changes what the node's next answer to a poll says,
// without answering the lingering one.
func (a *Agent) UpdateStateWithoutWake(change func(*meshpb.NodeState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := proto.Clone(a.state).(*meshpb.NodeState)
	change(state)
	a.state = state
}

// State returns the state that the node reports; it must not be changed.
func (a *Agent) State() *meshpb.NodeState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Ready tells whether the node has a view and a configuration.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view != nil && a.configVersion > 0
}

// LastEndpoint returns the endpoint that the master knew beside this node before
// it started, or nil.
func (a *Agent) LastEndpoint() *meshpb.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastEndpoint
}

// ConfigVersion returns the version of the configuration in force here, 0 for
// none.
func (a *Agent) ConfigVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configVersion
}

// View returns the view in force here, nil for none; it must not be changed.
func (a *Agent) View() *meshpb.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// acceptEpoch refuses a master under a lower epoch than the highest seen.
func (a *Agent) acceptEpoch(epoch uint64) bool {
	if epoch < a.masterEpoch {
		return false
	}
	a.masterEpoch = epoch
	return true
}

func (a *Agent) trace(kind string, epoch, version uint64) {
	if a.Trace != nil {
		a.Trace(kind, "applied", epoch, version)
	}
}
