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

// longOverdue is the value of Agent.nextPollDue before the first poll and after a
// master has dropped a call. At about 18 minutes before the zero of Agent.Now it is
// earlier by more than any Agent.RegisterAfter, so PollOverdue is true at once.
const longOverdue time.Duration = -1 << 40

// Agent is the node side of the cluster controller protocol and implements
// meshpb.Node. The exported fields are set before Run and before the first request
// arrives; after that only SetSeeds changes one of them.
type Agent struct {
	// Name is the node's name. Calls addressed to another node are rejected.
	Name string
	// Incarnation identifies this process among all runs of the node.
	Incarnation string
	// Seeds are the addresses of core members from the settings. SetSeeds replaces
	// them later.
	Seeds []string
	// Clients provides the RPC clients for the core members.
	Clients *rpc.Clients
	// RegisterAfter is how long the master's next poll may be overdue before the
	// node registers again.
	RegisterAfter time.Duration
	// Now returns the time elapsed since a fixed moment.
	Now func() time.Duration
	// Log receives a warning for each configuration that could not be applied.
	Log logring.Logger
	// Trace, if not nil, is called for each view and configuration that is applied,
	// with a kind of package changetrace.
	Trace func(kind, action string, epoch, version uint64)
	// OnView is called with each complete view that replaces the current one, outside
	// the agent's lock.
	OnView func(*meshpb.View)
	// OnConfig applies a complete configuration. If it returns an error, the previous
	// configuration remains active. Calls to OnConfig and OnPatch never overlap.
	OnConfig func(version uint64, data []byte) error
	// OnPatch applies patches to the active configuration. If it returns an error,
	// that configuration remains active, unchanged.
	OnPatch func(version uint64, patches [][]byte) error
	// OnLastEndpoint, if not nil, is called once, outside the agent's lock, with the
	// endpoint that the master knew at this node before this process started.
	OnLastEndpoint func(*meshpb.Endpoint)

	mu sync.Mutex
	// state is replaced, never modified in place: callers of State and poll responses
	// may still refer to it.
	state *meshpb.NodeState
	// stateChanged is closed when state is replaced by one with a higher Seq.
	stateChanged chan struct{}
	// newestPoll is the poll received last, or nil once it has been answered.
	newestPoll *pendingPoll
	// nextPollDue is the time at which the next poll is due according to the master's
	// latest one.
	nextPollDue time.Duration
	// masterEpoch is the highest master epoch seen so far.
	masterEpoch uint64
	// view is the current view, nil before the first one.
	view *meshpb.View
	// configVersion is the version of the active configuration, 0 before the first
	// one. It is written with configMu and mu held.
	configVersion uint64
	// lastEndpoint is the endpoint that the master knew at this node before this
	// process started.
	lastEndpoint *meshpb.Endpoint

	// configMu serializes the application of configurations. It is locked before mu;
	// mu is not held while OnConfig or OnPatch runs.
	configMu sync.Mutex
	// patchHistory records the patches applied since the last complete configuration.
	// It is guarded by configMu.
	patchHistory patchHistory
}

// Init sets the state that the node reports first and takes ownership of it. It must
// be called once, before any other method.
func (a *Agent) Init(state *meshpb.NodeState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = state
	a.state.Seq = 1
	a.stateChanged = make(chan struct{})
	a.nextPollDue = longOverdue
}

// UpdateState passes a copy of the node's state to change and makes the result the
// new state. If it differs from the old one, a lingering poll is answered with it.
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

// UpdateStateWithoutWake changes the node's state as UpdateState does, but does not
// wake a lingering poll: the change goes out with the next poll response.
func (a *Agent) UpdateStateWithoutWake(change func(*meshpb.NodeState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := proto.Clone(a.state).(*meshpb.NodeState)
	change(state)
	a.state = state
}

// State returns the state that the node reports. The caller must not modify it.
func (a *Agent) State() *meshpb.NodeState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Ready reports whether the node has a view and a configuration.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view != nil && a.configVersion > 0
}

// LastEndpoint returns the endpoint that the master knew at this node before this
// process started, or nil if the master has named none.
func (a *Agent) LastEndpoint() *meshpb.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastEndpoint
}

// ConfigVersion returns the version of the node's active configuration, or 0 if it
// has none.
func (a *Agent) ConfigVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configVersion
}

// View returns the node's current view, or nil if it has none. The caller must not
// modify it.
func (a *Agent) View() *meshpb.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// acceptEpoch returns false if a master's epoch is lower than the highest one seen,
// and otherwise records it. The caller holds a.mu.
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
