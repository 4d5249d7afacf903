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
	// The values of a sidecar: see cmd/corkcove.
	registerInterval    = 120 * time.Millisecond
	registerAfter       = 2400 * time.Millisecond
	internalIdleTimeout = 3 * time.Minute

	// nodeZones is over how many zones nodes are spread.
	nodeZones = 8
	nodeSlots = 8
)

// simulatedNode is a node agent without traffic.
type simulatedNode struct {
	agent   *nodeagent.Agent
	address string
	server  *http.Server
	cancel  context.CancelFunc

	// What the agent was sent last.
	configVersion atomic.Uint64
	viewVersion   atomic.Uint64
	viewEpoch     atomic.Uint64
	endpoints     atomic.Int64
	// config is the configuration in force. Owned by the agent, which applies one
	// at a time.
	config routeconfig.Config
}

// startNode starts the node of an index and adds it to the mesh.
func (m *loadMesh) startNode(i int) error {
	n := &simulatedNode{address: address(nodeIP(i), internalPort)}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	incarnation := strconv.FormatUint(rand.Uint64(), 16)
	n.agent = &nodeagent.Agent{Clients: m.clients, Seeds: m.seeds, Incarnation: incarnation, Name: fmt.Sprint("node-", i), RegisterAfter: registerAfter, Now: m.now,
		OnView: n.applyView, OnConfig: n.applyConfig, OnPatch: n.applyPatches}
	n.agent.Init(n.initialState(i, fmt.Sprint("service-", i%m.services)))
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(n.agent))
	n.server = &http.Server{Handler: mux, IdleTimeout: internalIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	// It ends with an error when close is called.
	go func() { _ = n.server.Serve(countingListener{listener, &m.traffic}) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.agent.Run(ctx, registerInterval)
	m.nodes = append(m.nodes, n)
	return nil
}

// initialState has an endpoint that is ready.
func (n *simulatedNode) initialState(i int, service string) *meshpb.NodeState {
	zone := fmt.Sprint("zone-", i%nodeZones)
	incarnation := n.agent.Incarnation
	return &meshpb.NodeState{Name: n.agent.Name, Incarnation: incarnation, Addr: n.address, Inbound: n.address, Zone: zone, Service: service, State: string(lifecycle.Up),
		Endpoint: &meshpb.Endpoint{Id: "i-" + incarnation, Service: service, Addr: n.address, Zone: zone, Slots: nodeSlots, State: string(lifecycle.Ready), Healthy: true, SoftwareVersion: "v1"}}
}

// close ends the node at once.
func (n *simulatedNode) close() {
	n.cancel()
	_ = n.server.Close()
}

// applyView sets the version last, which the scenario waits for.
func (n *simulatedNode) applyView(view *meshpb.View) {
	n.viewEpoch.Store(view.Epoch)
	n.endpoints.Store(int64(len(view.Endpoints)))
	n.viewVersion.Store(view.Version)
}

func (n *simulatedNode) applyConfig(_ uint64, data []byte) error {
	config, err := routeconfig.Parse(data)
	if err != nil {
		return err
	}
	n.putConfig(config)
	return nil
}

func (n *simulatedNode) applyPatches(version uint64, patches [][]byte) error {
	config, err := n.config.ApplyPatches(version, patches)
	if err != nil {
		return err
	}
	n.putConfig(config)
	return nil
}

// putConfig compiles the configuration, as a sidecar would, for what that costs.
func (n *simulatedNode) putConfig(config routeconfig.Config) {
	routeconfig.Compile(config)
	n.config = config
	n.configVersion.Store(config.Version)
}

// setEndpointState makes the node report a state of its endpoint.
func (n *simulatedNode) setEndpointState(state lifecycle.State) {
	n.agent.UpdateState(func(s *meshpb.NodeState) { s.Endpoint.State = string(state) })
}

// restartEndpoint makes the node report a new endpoint, and returns its id.
func (n *simulatedNode) restartEndpoint() string {
	id := "j-" + strconv.FormatUint(rand.Uint64(), 16)
	n.agent.UpdateState(func(s *meshpb.NodeState) {
		s.Endpoint.Id = id
		s.Endpoint.State = string(lifecycle.Ready)
	})
	return id
}
