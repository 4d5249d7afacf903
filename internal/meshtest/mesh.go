package meshtest

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/memnet"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// viewEpoch is the epoch of every published view.
	viewEpoch = 1
	// minPinHistory is the minimum time for which the coordination table retains
	// applied changes.
	minPinHistory = time.Minute
)

// errCoreUnreachable is returned by PinSession while Mesh.CoreUnreachable is set.
var errCoreUnreachable = errors.New("core unreachable")

// Mesh is a set of nodes with their endpoints and a simulated control plane. A
// single table has the pins of all sessions. Make one with New.
type Mesh struct {
	// Network connects the nodes, the endpoints and the clients.
	Network *memnet.Network
	// Nodes has the nodes in the order in which they were added.
	Nodes []*Node
	// CoreUnreachable makes PinSession fail, as if no core node were reachable.
	CoreUnreachable atomic.Bool

	started     time.Time
	lastRequest atomic.Int64

	// mu guards the fields below and writes to Nodes.
	mu   sync.Mutex
	pins *coordination.Table
	view *meshpb.View
	// states are the states passed to the last PublishView.
	states map[string]lifecycle.State
	// hotKeys are included in the next view. hotKeyTracker is nil until TrackHotKeys
	// is called.
	hotKeys       []*meshpb.HotKey
	hotKeyTracker *hotkeys.Tracker
	hotKeyOptions hotkeys.Options
}

// New returns a mesh with one node per endpoint, after publishing its first view.
func New(endpoints ...*Endpoint) *Mesh {
	m := &Mesh{Network: &memnet.Network{}, pins: coordination.NewTable(minPinHistory), started: time.Now(), view: &meshpb.View{Epoch: viewEpoch}}
	for _, e := range endpoints {
		m.AddNode(e)
	}
	m.PublishView(nil)
	return m
}

// Close closes all listeners and connections.
func (m *Mesh) Close() { m.Network.Close() }

// elapsed returns the time since the mesh was made.
func (m *Mesh) elapsed() time.Duration { return time.Since(m.started) }

// AddNode starts the endpoint and a node for it. Other nodes send requests to it
// once the next view has been published. The node has no configuration yet.
func (m *Mesh) AddNode(e *Endpoint) *Node {
	n := m.newNode(e)
	m.mu.Lock()
	m.Nodes = append(m.Nodes, n)
	m.mu.Unlock()
	return n
}

// RandomNode returns a node that is selected by intN, which returns a number in
// [0, n) as rand.IntN does.
func (m *Mesh) RandomNode(intN func(n int) int) *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Nodes[intN(len(m.Nodes))]
}

// PinSession pins or moves a session on behalf of a node and returns the pin that
// is in force. It fails only while CoreUnreachable is set.
func (m *Mesh) PinSession(_ context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	if m.CoreUnreachable.Load() {
		return nil, errCoreUnreachable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	decision := m.pins.PinSession(request, m.elapsed())
	if decision.Change != nil {
		m.pins.Apply(decision.Change, m.elapsed())
	}
	return decision.Result.Response(), nil
}

// PublishView applies a new view on all nodes. states has the states of endpoints by
// their ID; an endpoint without an entry is up. The view does not contain endpoints
// whose state is lifecycle.Gone.
func (m *Mesh) PublishView(states map[string]lifecycle.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states = states
	m.view = m.nextView()
	for _, n := range m.Nodes {
		n.Balancer.ApplyView(m.view)
		n.Records.RecordView(m.view)
	}
}

// lastStates returns the endpoint states of the last view.
func (m *Mesh) lastStates() map[string]lifecycle.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states
}

// nextView returns the view that follows the last one. The caller must hold m.mu.
func (m *Mesh) nextView() *meshpb.View {
	view := &meshpb.View{Epoch: viewEpoch, Version: m.view.Version + 1, Nodes: uint32(len(m.Nodes)), HotKeys: m.hotKeys}
	for _, n := range m.Nodes {
		state, ok := m.states[n.Endpoint.ID]
		if !ok {
			state = lifecycle.Up
		}
		if state != lifecycle.Gone {
			view.Endpoints = append(view.Endpoints, n.viewEndpoint(state))
		}
	}
	return view
}

// viewEndpoint returns the entry of the node's endpoint in a view.
func (n *Node) viewEndpoint(state lifecycle.State) *meshpb.Endpoint {
	e := n.Endpoint
	return &meshpb.Endpoint{
		Id:      e.ID,
		Service: e.Service,
		Addr:    appAddress(e.ID),
		Inbound: inboundAddress(e.ID),
		Node:    n.Name,
		Zone:    e.Zone,
		Slots:   uint32(e.Slots),
		State:   string(state),
		Healthy: true,
	}
}

// Retire publishes a view without the given endpoint, in which all other endpoints
// are up.
func (m *Mesh) Retire(id string) {
	m.PublishView(map[string]lifecycle.State{id: lifecycle.Gone})
}

// ApplyConfig compiles a configuration and applies it on all nodes.
func (m *Mesh) ApplyConfig(config routeconfig.Config) {
	for _, n := range m.Nodes {
		n.Routes.Store(routeconfig.Compile(config))
		n.Records.RecordConfig(config.Version, config.Marshal)
	}
}

// Executions returns the requests that all endpoints have run, by request ID.
func (m *Mesh) Executions() map[string][]Execution {
	out := map[string][]Execution{}
	for _, n := range m.Nodes {
		for _, execution := range n.Endpoint.Executions() {
			out[execution.RequestID] = append(out[execution.RequestID], execution)
		}
	}
	return out
}
