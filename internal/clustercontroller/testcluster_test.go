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

// unreachableTransport takes calls to addresses without a fake.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errPartitioned
}

// fakeNode is a node that can be partitioned from the core.
type fakeNode struct {
	mu             sync.Mutex
	agent          *nodeagent.Agent
	viewVersions   []uint64
	configVersions []uint64
	partitioned    bool
}

// current is the agent of the incarnation that runs now.
func (n *fakeNode) current() *nodeagent.Agent {
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

func (n *fakeNode) Poll(ctx context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	if n.isPartitioned() {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return n.current().Poll(ctx, q)
}

func (n *fakeNode) PublishView(ctx context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	if n.isPartitioned() {
		return nil, errPartitioned
	}
	return n.current().PublishView(ctx, q)
}

func (n *fakeNode) DeliverConfig(ctx context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if n.isPartitioned() {
		return nil, errPartitioned
	}
	return n.current().DeliverConfig(ctx, q)
}

// storedView is shard 0, as far as a master writes it.
type storedView struct{ view *meshpb.View }

func (s *storedView) SaveView(_ context.Context, v *meshpb.View) error { s.view = v; return nil }

// testCluster is a master and its nodes: node i is named ni and has the address ai,
// the inbound address ii and the endpoint ei.
type testCluster struct {
	master        *Master
	store         *storedView
	nodes         []*fakeNode
	lastEndpoints [][]*meshpb.Endpoint
	// viewSizes counts the endpoints of each view that the first node took.
	viewSizes []int
}

func newTestCluster(n int) *testCluster {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	c := &testCluster{store: &storedView{}, lastEndpoints: make([][]*meshpb.Endpoint, n)}
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
	a := &nodeagent.Agent{Name: fmt.Sprint("n", i), Incarnation: "l", RegisterAfter: time.Second, Now: now, Clients: clients}
	a.OnView = func(v *meshpb.View) {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.viewVersions = append(node.viewVersions, v.Version)
		c.lastEndpoints[i] = v.Endpoints
		if i == 0 {
			c.viewSizes = append(c.viewSizes, len(v.Endpoints))
		}
	}
	a.OnConfig = func(version uint64, _ []byte) error {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.configVersions = append(node.configVersions, version)
		return nil
	}
	a.OnPatch = func(version uint64, _ [][]byte) error { return a.OnConfig(version, nil) }
	a.Init(&meshpb.NodeState{Name: a.Name, Incarnation: "l", Addr: fmt.Sprint("a", i), Inbound: fmt.Sprint("i", i), State: string(lifecycle.Up),
		Endpoint: &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Ready), Healthy: true, Slots: 4}})
	return a
}

// fakeCoreMember is a relay that counts what it was asked.
type fakeCoreMember struct {
	meshpb.Control
	clients     *rpc.Clients
	mu          sync.Mutex
	relayCalls  int
	targetCount int
	// unresponsive: calls end with their deadline.
	unresponsive bool
	stored       StoredPayloads
}

func (m *fakeCoreMember) Relay(ctx context.Context, q *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	m.mu.Lock()
	m.relayCalls++
	m.targetCount += len(q.Targets)
	unresponsive := m.unresponsive
	m.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return Relay(ctx, m.clients, q, func() StoredPayloads { return m.stored }), nil
}

// newClusterWithRelays is a test cluster with further core members.
func newClusterWithRelays(nodes, relays int) (*testCluster, []*fakeCoreMember, *meshpb.Membership) {
	c := newTestCluster(nodes)
	membership := &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "m", Addr: "m"}}}
	var members []*fakeCoreMember
	clients := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
	for i, n := range c.nodes {
		clients.PutNode(fmt.Sprint("a", i), n)
	}
	for i := range relays {
		m := &fakeCoreMember{clients: clients}
		addr := fmt.Sprint("core", i)
		c.master.clients.PutControl(addr, m)
		membership.Members = append(membership.Members, &meshpb.Member{Id: addr, Addr: addr})
		members = append(members, m)
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

// stopAfterCalls is stop, once all calls under way have ended.
func (c *testCluster) stopAfterCalls() {
	c.run(c.master.StepDown)
	advance(3 * time.Second)
	c.master.Mailbox.Close()
}

// restart puts a new incarnation, which holds nothing, in place of a node's agent.
func (c *testCluster) restart(i int, incarnation string) {
	n := c.nodes[i]
	old := n.current()
	state := proto.Clone(old.State()).(*meshpb.NodeState)
	state.Incarnation = incarnation
	a := &nodeagent.Agent{Name: old.Name, Incarnation: incarnation, RegisterAfter: old.RegisterAfter, Now: old.Now, Log: old.Log, Clients: old.Clients,
		OnView: old.OnView, OnConfig: old.OnConfig, OnPatch: old.OnPatch}
	a.Init(state)
	n.mu.Lock()
	n.agent, n.partitioned = a, false
	n.mu.Unlock()
}

func (c *testCluster) endpointCount(i int) int {
	c.nodes[i].mu.Lock()
	defer c.nodes[i].mu.Unlock()
	return len(c.lastEndpoints[i])
}

// nodesBehind counts the nodes whose configuration is older.
func (c *testCluster) nodesBehind(version uint64) int {
	count := 0
	for _, n := range c.nodes {
		if n.current().ConfigVersion() < version {
			count++
		}
	}
	return count
}

// checkAllNodes checks that all nodes have a configuration and all endpoints.
func (c *testCluster) checkAllNodes(t *testing.T, configVersion uint64) {
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

func advance(d time.Duration) { <-time.After(d); synctest.Wait() }

// storedViewOf is a view of an earlier master with n nodes and no endpoints.
func storedViewOf(n int) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: 9}
	for i := range n {
		v.NodeAddresses = append(v.NodeAddresses, fmt.Sprintf("n%d a%d", i, i))
	}
	return v
}

func packedConfigOf(version uint64, document string) *meshpb.Config {
	return &meshpb.Config{Version: version, Packed: rpc.Pack([]byte(document))}
}

// publish gives a view to a node as the master of an epoch does.
func publish(a *nodeagent.Agent, v *meshpb.View, masterEpoch uint64) bool {
	packed, err := proto.Marshal(v)
	if err != nil {
		return false
	}
	r, err := a.PublishView(context.Background(), &meshpb.PublishViewRequest{Packed: packed, Epoch: masterEpoch})
	return err == nil && r.Ok
}
