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
	// viewEpoch is the epoch of all views.
	viewEpoch = 1
	// pinHistory is how long the table of pins remembers applied changes.
	pinHistory = time.Minute
)

// errCoreUnreachable is what nodes get that ask about a session while
// Mesh.CoreUnreachable is set.
var errCoreUnreachable = errors.New("no core answers")

// Mesh is a complete mesh. Its pins are in one table, as under one owner.
type Mesh struct {
	Network *memnet.Network
	Nodes   []*Node
	// CoreUnreachable makes the core answer no question about sessions.
	CoreUnreachable atomic.Bool

	started     time.Time
	lastRequest atomic.Int64

	// mu guards what follows, and changes of Nodes.
	mu     sync.Mutex
	pins   *coordination.Table
	view   *meshpb.View
	states map[string]lifecycle.State
	// hotKeys go with each view; the tracker is nil until TrackHotKeys runs.
	hotKeys       []*meshpb.HotKey
	hotKeyTracker *hotkeys.Tracker
	hotKeyOptions hotkeys.Options
}

// New makes a mesh with a node beside each endpoint, and publishes its first
// view.
func New(endpoints ...*Endpoint) *Mesh {
	m := &Mesh{Network: &memnet.Network{}, pins: coordination.NewTable(pinHistory), started: time.Now(), view: &meshpb.View{Epoch: viewEpoch}}
	for _, e := range endpoints {
		m.AddNode(e)
	}
	m.PublishView(nil)
	return m
}

// Close ends all listeners and connections.
func (m *Mesh) Close() { m.Network.Close() }

func (m *Mesh) elapsed() time.Duration { return time.Since(m.started) }

// AddNode starts a node beside the endpoint; others send to it from the next
// view on.
func (m *Mesh) AddNode(e *Endpoint) *Node {
	n := m.newNode(e)
	m.mu.Lock()
	m.Nodes = append(m.Nodes, n)
	m.mu.Unlock()
	return n
}

// PickNode returns the node that draw, given the number of nodes, names.
func (m *Mesh) PickNode(draw func(int) int) *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Nodes[draw(len(m.Nodes))]
}

// PinSession answers a node's question about a session.
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

// PublishView brings a new view to all nodes. The states are those of endpoints
// that are not up, by ID; one that is gone is not in the view.
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

// publishedStates are those of the last view.
func (m *Mesh) publishedStates() map[string]lifecycle.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states
}

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

// Retire takes one endpoint out of the view, and brings all others up.
func (m *Mesh) Retire(id string) {
	m.PublishView(map[string]lifecycle.State{id: lifecycle.Gone})
}

// ApplyConfig brings a configuration to all nodes.
func (m *Mesh) ApplyConfig(config routeconfig.Config) {
	for _, n := range m.Nodes {
		n.Routes.Store(routeconfig.Compile(config))
		n.Records.RecordConfig(config.Version, config.Marshal)
	}
}

// Executions returns what all endpoints ran, by request ID.
func (m *Mesh) Executions() map[string][]Execution {
	out := map[string][]Execution{}
	for _, n := range m.Nodes {
		for _, execution := range n.Endpoint.Executions() {
			out[execution.RequestID] = append(out[execution.RequestID], execution)
		}
	}
	return out
}
