package clustercontroller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/lifecycle"
	"corkcove/internal/mailbox"
	"corkcove/internal/nodeagent"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

var errPartitioned = errors.New("partitioned")

// unreachableTransport fails all calls to addresses that have no fake.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errPartitioned
}

// fakeNode is a node agent that can be partitioned from the core: polls then hang until
// their context ends, and other calls fail at once.
type fakeNode struct {
	mu             sync.Mutex
	agent          *nodeagent.Agent
	viewVersions   []uint64
	configVersions []uint64
	partitioned    bool
}

// currentAgent returns the agent of the incarnation that runs now.
func (n *fakeNode) currentAgent() *nodeagent.Agent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agent
}

func (n *fakeNode) isPartitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned
}

func (n *fakeNode) setPartitioned(partitioned bool) {
	n.mu.Lock()
	n.partitioned = partitioned
	n.mu.Unlock()
}

func (n *fakeNode) Poll(ctx context.Context, request *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	if n.isPartitioned() {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return n.currentAgent().Poll(ctx, request)
}

func (n *fakeNode) PublishView(ctx context.Context, request *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	if n.isPartitioned() {
		return nil, errPartitioned
	}
	return n.currentAgent().PublishView(ctx, request)
}

func (n *fakeNode) DeliverConfig(ctx context.Context, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if n.isPartitioned() {
		return nil, errPartitioned
	}
	return n.currentAgent().DeliverConfig(ctx, request)
}

// fakeViewStore is a ViewStore that keeps the last view in memory.
type fakeViewStore struct{ view *meshpb.View }

func (s *fakeViewStore) SaveView(_ context.Context, view *meshpb.View) error {
	s.view = view
	return nil
}

// testCluster is a master and its nodes. For node 0 the name is n0, the address a0, the
// inbound address i0 and the endpoint e0, and so on.
type testCluster struct {
	master *Master
	store  *fakeViewStore
	nodes  []*fakeNode
	// lastEndpoints holds the endpoints of the last view that each node applied.
	lastEndpoints [][]*meshpb.Endpoint
	// viewSizes holds the number of endpoints of each view that the first node applied.
	viewSizes []int
}

func newTestCluster(n int) *testCluster {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	c := &testCluster{store: &fakeViewStore{}, lastEndpoints: make([][]*meshpb.Endpoint, n)}
	clients := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
	c.master = NewMaster(Options{ViewInterval: 250 * time.Millisecond, SettleTime: 60 * time.Millisecond, TakeoverDelay: 150 * time.Millisecond,
		PollLinger: time.Second, PollGrace: 500 * time.Millisecond, UnreachableAfter: 700 * time.Millisecond, CrashWindow: time.Minute, CrashLimit: 6, PollFailureLimit: 2, SelfAddr: "m", Now: now}, mailbox.New(), clients, c.store)
	for i := range n {
		node := &fakeNode{}
		node.agent = c.newAgent(i, node, clients, now)
		clients.PutNode(fmt.Sprint("a", i), node)
		c.nodes = append(c.nodes, node)
	}
	go c.master.Mailbox.Run(50*time.Millisecond, c.master.Tick)
	return c
}

func (c *testCluster) newAgent(i int, node *fakeNode, clients *rpc.Clients, now func() time.Duration) *nodeagent.Agent {
	agent := &nodeagent.Agent{Name: fmt.Sprint("n", i), Incarnation: "l", RegisterAfter: time.Second, Now: now, Clients: clients}
	agent.OnView = func(view *meshpb.View) {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.viewVersions = append(node.viewVersions, view.Version)
		c.lastEndpoints[i] = view.Endpoints
		if i == 0 {
			c.viewSizes = append(c.viewSizes, len(view.Endpoints))
		}
	}
	agent.OnConfig = func(version uint64, _ []byte) error {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.configVersions = append(node.configVersions, version)
		return nil
	}
	agent.OnPatch = func(version uint64, _ [][]byte) error { return agent.OnConfig(version, nil) }
	agent.Init(&meshpb.NodeState{Name: agent.Name, Incarnation: "l", Addr: fmt.Sprint("a", i), Inbound: fmt.Sprint("i", i), State: string(lifecycle.Up),
		Endpoint: &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Ready), Healthy: true, Slots: 4}})
	return agent
}

// fakeCoreMember is a core member that relays requests and counts them.
type fakeCoreMember struct {
	meshpb.Control
	clients     *rpc.Clients
	mu          sync.Mutex
	relayCalls  int
	targetCount int
	// unresponsive makes each call last until its context ends, and then fail.
	unresponsive bool
	stored       StoredPayloads
}

func (m *fakeCoreMember) Relay(ctx context.Context, request *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	m.mu.Lock()
	m.relayCalls++
	m.targetCount += len(request.Targets)
	unresponsive := m.unresponsive
	m.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return Relay(ctx, m.clients, request, func() StoredPayloads { return m.stored }), nil
}

// newClusterWithRelays returns a test cluster, further core members that can relay, and
// the membership of the master and these.
func newClusterWithRelays(nodes, relays int) (*testCluster, []*fakeCoreMember, *meshpb.Membership) {
	c := newTestCluster(nodes)
	membership := &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "m", Addr: "m"}}}
	var members []*fakeCoreMember
	clients := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
	for i, n := range c.nodes {
		clients.PutNode(fmt.Sprint("a", i), n)
	}
	for i := range relays {
		member := &fakeCoreMember{clients: clients}
		addr := fmt.Sprint("core", i)
		c.master.clients.PutControl(addr, member)
		membership.Members = append(membership.Members, &meshpb.Member{Id: addr, Addr: addr})
		members = append(members, member)
	}
	return c, members, membership
}

// run calls f on the master's goroutine and waits until all goroutines are idle.
func (c *testCluster) run(f func()) {
	mailbox.Call(c.master.Mailbox, func() bool { f(); return true })
	synctest.Wait()
}

func (c *testCluster) becomeMaster(epoch uint64, stored *meshpb.View, config *meshpb.Config, membership *meshpb.Membership) {
	c.run(func() { c.master.BecomeMaster(epoch, stored, map[string]string{}, config, membership) })
}

func (c *testCluster) setConfig(config *meshpb.Config) {
	c.run(func() { c.master.SetConfig(config) })
}

func (c *testCluster) registerAll() {
	for _, n := range c.nodes {
		c.run(func() { c.master.RegisterNode(n.agent.State()) })
	}
}

func (c *testCluster) stop() {
	c.run(c.master.StepDown)
	c.master.Mailbox.Close()
}

// stopAfterCalls stops the cluster like stop, but leaves calls in flight 3 s to end
// before it closes the mailbox.
func (c *testCluster) stopAfterCalls() {
	c.run(c.master.StepDown)
	advance(3 * time.Second)
	c.master.Mailbox.Close()
}

// restart replaces a node's agent by one of a new incarnation without a view and
// configuration, and ends the node's partition.
func (c *testCluster) restart(i int, incarnation string) {
	n := c.nodes[i]
	old := n.currentAgent()
	state := proto.Clone(old.State()).(*meshpb.NodeState)
	state.Incarnation = incarnation
	agent := &nodeagent.Agent{Name: old.Name, Incarnation: incarnation, RegisterAfter: old.RegisterAfter, Now: old.Now, Log: old.Log, Clients: old.Clients,
		OnView: old.OnView, OnConfig: old.OnConfig, OnPatch: old.OnPatch}
	agent.Init(state)
	n.mu.Lock()
	n.agent, n.partitioned = agent, false
	n.mu.Unlock()
}

// endpointCount returns the number of endpoints in the last view that node i applied.
func (c *testCluster) endpointCount(i int) int {
	c.nodes[i].mu.Lock()
	defer c.nodes[i].mu.Unlock()
	return len(c.lastEndpoints[i])
}

// countNodesBehind counts the nodes whose configuration is older than version.
func (c *testCluster) countNodesBehind(version uint64) int {
	count := 0
	for _, n := range c.nodes {
		if n.currentAgent().ConfigVersion() < version {
			count++
		}
	}
	return count
}

// checkAllNodesUpToDate checks that all nodes have applied this configuration last and
// have a view with the endpoints of all nodes.
func (c *testCluster) checkAllNodesUpToDate(t *testing.T, configVersion uint64) {
	t.Helper()
	for i, n := range c.nodes {
		n.mu.Lock()
		last := uint64(0)
		if len(n.configVersions) > 0 {
			last = n.configVersions[len(n.configVersions)-1]
		}
		got := len(c.lastEndpoints[i])
		n.mu.Unlock()
		if last != configVersion || got != len(c.nodes) {
			t.Errorf("node %d has configuration %d and %d endpoints", i, last, got)
		}
	}
}

// advance lets d pass on the test's fake clock and waits until all goroutines are idle.
func advance(d time.Duration) { <-time.After(d); synctest.Wait() }

// storedViewOf returns a view of an earlier master with n nodes and no endpoints.
func storedViewOf(n int) *meshpb.View {
	view := &meshpb.View{Epoch: 1, Version: 9}
	for i := range n {
		view.NodeAddresses = append(view.NodeAddresses, fmt.Sprintf("n%d a%d", i, i))
	}
	return view
}

func packedConfigOf(version uint64, document string) *meshpb.Config {
	return &meshpb.Config{Version: version, Packed: rpc.Compress([]byte(document))}
}

// publish sends a view to a node as the master of that epoch. It reports
// whether the node accepted it.
func publish(agent *nodeagent.Agent, view *meshpb.View, masterEpoch uint64) bool {
	packed, err := proto.Marshal(view)
	if err != nil {
		return false
	}
	response, err := agent.PublishView(context.Background(), &meshpb.PublishViewRequest{Packed: packed, Epoch: masterEpoch})
	return err == nil && response.Ok
}
