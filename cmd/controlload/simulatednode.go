package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/nodeagent"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// The values that a sidecar uses: see the constants of the same names in
	// cmd/corkcove.
	registerInterval    = 120 * time.Millisecond
	registerAfter       = 2400 * time.Millisecond
	internalIdleTimeout = 3 * time.Minute

	// nodeZoneCount is the number of zones among which the nodes are distributed.
	nodeZoneCount = 8
	// endpointSlots is the number of slots that each endpoint reports.
	endpointSlots = 8
)

// simulatedNode is a node with a real node agent but without traffic.
type simulatedNode struct {
	agent   *nodeagent.Agent
	address string
	server  *http.Server
	cancel  context.CancelFunc

	// The versions of the configuration and view that the agent received last, and
	// the epoch and number of endpoints of that view.
	configVersion atomic.Uint64
	viewVersion   atomic.Uint64
	viewEpoch     atomic.Uint64
	endpointCount atomic.Int64
	// config is the current configuration. Only the agent's callbacks use it, and the
	// agent applies one configuration at a time.
	config routeconfig.Config
}

// startNode starts node i and adds it to the mesh. It returns an error if the node
// cannot listen on its address.
func (m *loadMesh) startNode(i int) error {
	n := &simulatedNode{address: joinAddress(nodeIP(i), internalPort)}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	incarnation := strconv.FormatUint(rand.Uint64(), 16)
	n.agent = &nodeagent.Agent{Clients: m.clients, Seeds: m.seeds, Incarnation: incarnation, Name: fmt.Sprint("node-", i), RegisterAfter: registerAfter, Now: m.now,
		OnView: n.recordView, OnConfig: n.applyConfig, OnPatch: n.applyPatches}
	n.agent.Init(n.initialState(i, fmt.Sprint("service-", i%m.services)))
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(n.agent))
	n.server = &http.Server{Handler: mux, IdleTimeout: internalIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	// Serve returns an error when close closes the server.
	go func() { _ = n.server.Serve(countingListener{listener, &m.traffic}) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.agent.Run(ctx, registerInterval)
	m.nodes = append(m.nodes, n)
	return nil
}

// initialState returns the state that node i reports first, with a ready endpoint.
func (n *simulatedNode) initialState(i int, service string) *meshpb.NodeState {
	zone := fmt.Sprint("zone-", i%nodeZoneCount)
	incarnation := n.agent.Incarnation
	return &meshpb.NodeState{Name: n.agent.Name, Incarnation: incarnation, Addr: n.address, Inbound: n.address, Zone: zone, Service: service, State: string(lifecycle.Up),
		Endpoint: &meshpb.Endpoint{Id: "i-" + incarnation, Service: service, Addr: n.address, Zone: zone, Slots: endpointSlots, State: string(lifecycle.Ready), Healthy: true, SoftwareVersion: "v1"}}
}

// close stops the agent and closes the server and its connections immediately.
func (n *simulatedNode) close() {
	n.cancel()
	_ = n.server.Close()
}

// recordView records the view that the agent received. It sets the version last,
// because the scenario waits for it.
func (n *simulatedNode) recordView(view *meshpb.View) {
	n.viewEpoch.Store(view.Epoch)
	n.endpointCount.Store(int64(len(view.Endpoints)))
	n.viewVersion.Store(view.Version)
}

// applyConfig parses and installs a complete configuration.
func (n *simulatedNode) applyConfig(_ uint64, data []byte) error {
	config, err := routeconfig.Parse(data)
	if err != nil {
		return err
	}
	n.installConfig(config)
	return nil
}

// applyPatches applies patches to the current configuration and installs the result.
func (n *simulatedNode) applyPatches(version uint64, patches [][]byte) error {
	config, err := n.config.ApplyPatches(version, patches)
	if err != nil {
		return err
	}
	n.installConfig(config)
	return nil
}

// installConfig makes config the current configuration. It compiles config and discards
// the result, so that the measurement includes the cost that a sidecar has.
func (n *simulatedNode) installConfig(config routeconfig.Config) {
	routeconfig.Compile(config)
	n.config = config
	n.configVersion.Store(config.Version)
}

// setEndpointState changes the endpoint state that the node reports.
func (n *simulatedNode) setEndpointState(state lifecycle.State) {
	n.agent.UpdateState(func(s *meshpb.NodeState) { s.Endpoint.State = string(state) })
}

// restartEndpoint makes the node report an endpoint with a new ID, ready, and returns
// the ID.
func (n *simulatedNode) restartEndpoint() string {
	id := "j-" + strconv.FormatUint(rand.Uint64(), 16)
	n.agent.UpdateState(func(s *meshpb.NodeState) {
		s.Endpoint.Id = id
		s.Endpoint.State = string(lifecycle.Ready)
	})
	return id
}
