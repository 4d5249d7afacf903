package clustercontroller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/mailbox"
	"corkcove/internal/nodeagent"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

var testRules = historyRules{crashWindow: time.Minute, crashLimit: 3, pollFailureLimit: 2, unreachableAfter: 700 * time.Millisecond}

func nodeStateOf(id, st string, cold uint64) *meshpb.NodeState {
	n := &meshpb.NodeState{Name: "n", Inbound: "in", State: "up"}
	if id != "" {
		n.Endpoint = &meshpb.Endpoint{Id: id, State: st, Healthy: true, WarmupMs: cold, Slots: 4}
	}
	return n
}

func TestOfficialStateFollowsHistoryAndUserState(t *testing.T) {
	h := &nodeHistory{}
	h.recordReport(nodeStateOf("a", "ready", 0), 0, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Up)
	for user, want := range map[string]string{Up: Up, Maintenance: Down, Down: Down, Retired: Draining} {
		qt.Assert(t, h.officialState(user), qt.Equals, want)
	}
	h.recordPollFailure(100*time.Millisecond, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Up)
	h.recordPollFailure(800*time.Millisecond, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Down)
	h.recordReport(nodeStateOf("a", "draining", 0), time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Draining)
	qt.Assert(t, h.officialState(Down), qt.Equals, Down)
}

func TestEndpointThatCrashedDuringWarmupStaysDownUntilWarm(t *testing.T) {
	h := &nodeHistory{}
	h.recordReport(nodeStateOf("a", "ready", 2000), 0, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Up)
	h.recordReport(nodeStateOf("b", "ready", 3000), time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Down)
	h.recordReport(nodeStateOf("b", "ready", 0), 4*time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, Up)
}

func TestCrashLoopingEndpointIsDownButOrderlyShutdownsAreNotCounted(t *testing.T) {
	h := &nodeHistory{}
	for i := 0; i < 8; i++ {
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "ready", 0), 0, testRules)
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "draining", 0), 0, testRules)
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "gone", 0), 0, testRules)
	}
	qt.Assert(t, h.crashLooping, qt.IsFalse)
	for i := 0; i < 4; i++ {
		h.recordReport(nodeStateOf(fmt.Sprint("c", i), "ready", 0), time.Duration(i)*time.Second, testRules)
	}
	qt.Assert(t, h.crashLooping, qt.IsTrue)
	qt.Assert(t, h.officialState(""), qt.Equals, Down)
}

type fakeNode struct {
	mu             sync.Mutex
	agent          *nodeagent.Agent
	viewVersions   []uint64
	configVersions []uint64
	partitioned    bool
}

// current is the agent of the life that runs now.
func (f *fakeNode) current() *nodeagent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agent
}

func (f *fakeNode) isPartitioned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned
}

func (f *fakeNode) setPartitioned(cut bool) {
	f.mu.Lock()
	f.partitioned = cut
	f.mu.Unlock()
}

var errPartitioned = fmt.Errorf("cut off")

func (f *fakeNode) Poll(c context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	if f.isPartitioned() {
		<-c.Done()
		return nil, errPartitioned
	}
	return f.current().Poll(c, q)
}

func (f *fakeNode) PublishView(c context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	if f.isPartitioned() {
		return nil, errPartitioned
	}
	return f.current().PublishView(c, q)
}

func (f *fakeNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if f.isPartitioned() {
		return nil, errPartitioned
	}
	return f.current().DeliverConfig(c, q)
}

type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errPartitioned
}

type storedView struct{ view *meshpb.View }

func (s *storedView) SaveView(_ context.Context, v *meshpb.View) error { s.view = v; return nil }

type testCluster struct {
	master        *Master
	store         *storedView
	nodes         []*fakeNode
	lastEndpoints [][]*meshpb.Endpoint
	// sizes counts the endpoints of each view that the first node took.
	viewSizes []int
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t0 := time.Now()
	now := func() time.Duration { return time.Since(t0) }
	s := &testCluster{store: &storedView{}, lastEndpoints: make([][]*meshpb.Endpoint, n)}
	lines := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
	s.master = NewMaster(Options{ViewInterval: 250 * time.Millisecond, SettleTime: 60 * time.Millisecond, TakeoverDelay: 150 * time.Millisecond,
		PollLinger: time.Second, PollGrace: 500 * time.Millisecond, UnreachableAfter: 700 * time.Millisecond, CrashWindow: time.Minute, CrashLimit: 6, PollFailureLimit: 2, SelfAddr: "m", Now: now}, mailbox.New(), lines, s.store)
	for i := 0; i < n; i++ {
		f := &fakeNode{}
		a := &nodeagent.Agent{Name: fmt.Sprint("n", i), Incarnation: "l", RegisterAfter: time.Second, Now: now, Clients: lines}
		a.OnView = func(v *meshpb.View) {
			f.mu.Lock()
			f.viewVersions = append(f.viewVersions, v.Version)
			s.lastEndpoints[i] = v.Endpoints
			if i == 0 {
				s.viewSizes = append(s.viewSizes, len(v.Endpoints))
			}
			f.mu.Unlock()
		}
		a.OnConfig = func(st uint64, _ []byte) error {
			f.mu.Lock()
			f.configVersions = append(f.configVersions, st)
			f.mu.Unlock()
			return nil
		}
		a.OnPatch = func(st uint64, _ [][]byte) error { return a.OnConfig(st, nil) }
		a.Start(&meshpb.NodeState{Name: a.Name, Incarnation: "l", Addr: fmt.Sprint("a", i), Inbound: fmt.Sprint("i", i), State: "up",
			Endpoint: &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: "ready", Healthy: true, Slots: 4}})
		f.agent = a
		lines.PutNode(fmt.Sprint("a", i), f)
		s.nodes = append(s.nodes, f)
	}
	go s.master.Mailbox.Run(50*time.Millisecond, s.master.Tick)
	return s
}

func packedConfigOf(version uint64, doc string) *meshpb.Config {
	return &meshpb.Config{Version: version, Packed: rpc.Pack([]byte(doc))}
}

func (s *testCluster) run(f func()) {
	mailbox.Call(s.master.Mailbox, func() bool { f(); return true })
	synctest.Wait()
}

func (s *testCluster) registerAll() {
	for _, n := range s.nodes {
		s.run(func() { s.master.RegisterNode(n.agent.State()) })
	}
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

func advance(d time.Duration) { <-time.After(d); synctest.Wait() }

func (s *testCluster) endpointCount(i int) int {
	s.nodes[i].mu.Lock()
	defer s.nodes[i].mu.Unlock()
	return len(s.lastEndpoints[i])
}

func TestChangesWithinSettleTimeMakeOneView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 4)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		s.run(func() {
			s.master.BecomeMaster(1, nil, map[string]string{}, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		})
		s.registerAll()
		advance(2 * time.Second)
		qt.Assert(t, s.endpointCount(0), qt.Equals, 4)
		qt.Assert(t, s.nodes[0].configVersions, qt.DeepEquals, []uint64{3})
		before := s.store.view.Version
		for _, f := range s.nodes[1:] {
			f.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = "draining" })
		}
		advance(time.Second)
		qt.Assert(t, s.store.view.Version, qt.Equals, before+1)
		s.run(func() { s.master.SetUserStates(map[string]string{"n0": Down}, "n0") })
		advance(time.Second)
		qt.Assert(t, s.endpointCount(0), qt.Equals, 3)
	})
}

func TestReelectedMasterPollsAfreshAndKeepsItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		s.run(func() {
			s.master.BecomeMaster(1, nil, map[string]string{}, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		})
		s.registerAll()
		advance(2 * time.Second)
		for _, f := range s.nodes {
			f.setPartitioned(true)
		}
		advance(6 * time.Second)
		s.run(s.master.StepDown)
		for _, f := range s.nodes {
			f.setPartitioned(false)
		}
		kept := s.store.view
		s.nodes[0].mu.Lock()
		s.viewSizes = nil
		s.nodes[0].mu.Unlock()
		s.run(func() {
			s.master.BecomeMaster(2, kept, map[string]string{}, packedConfigOf(5, "d"), &meshpb.Membership{Version: 1})
		})
		s.registerAll()
		advance(1500 * time.Millisecond)
		for i, f := range s.nodes {
			qt.Check(t, f.configVersions[len(f.configVersions)-1], qt.Equals, uint64(5))
			qt.Check(t, s.endpointCount(i), qt.Equals, 3)
		}
		for _, n := range s.viewSizes {
			qt.Check(t, n, qt.Equals, 3, qt.Commentf("a view without its endpoints was published"))
		}
	})
}

func TestNewMasterFindsNodesInStoredView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		kept := &meshpb.View{Epoch: 1, Version: 9, NodeAddresses: []string{"n0 a0", "n1 a1", "n2 a2"}}
		s.run(func() {
			s.master.BecomeMaster(2, kept, map[string]string{}, packedConfigOf(5, "d"), &meshpb.Membership{Version: 1})
		})
		advance(600 * time.Millisecond)
		qt.Assert(t, s.store.view.Version > 9, qt.IsTrue)
		qt.Assert(t, s.endpointCount(1), qt.Equals, 3)
		qt.Assert(t, s.nodes[2].configVersions, qt.DeepEquals, []uint64{5})
	})
}

func TestMasterWithoutLeaseReleasesItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 2)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		held := true
		s.run(func() {
			s.master.options.HoldsLease = func() bool { return held }
			s.master.BecomeMaster(1, nil, map[string]string{}, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		})
		s.registerAll()
		advance(2 * time.Second)
		quiet := func(i int) bool {
			return s.nodes[i].agent.PollOverdue()
		}
		qt.Assert(t, quiet(0), qt.IsFalse)
		s.run(func() { held = false })
		advance(100 * time.Millisecond)
		qt.Assert(t, quiet(0) && quiet(1), qt.IsTrue, qt.Commentf("nodes must look for another master at once"))
		s.run(func() {
			_, ok := s.master.RegisterNode(s.nodes[0].agent.State())
			qt.Check(t, ok, qt.IsFalse)
			s.master.SetConfig(packedConfigOf(9, "never"))
		})
		advance(time.Second)
		qt.Assert(t, s.nodes[0].configVersions, qt.DeepEquals, []uint64{3})
		s.run(func() { held = true })
		advance(500 * time.Millisecond)
		qt.Assert(t, quiet(0) || quiet(1), qt.IsFalse)
	})
}
