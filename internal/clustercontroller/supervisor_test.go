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
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

var ru = rules{window: time.Minute, limit: 3, fails: 2, silent: 700 * time.Millisecond}

func state(id, st string, cold uint64) *meshpb.NodeState {
	n := &meshpb.NodeState{Name: "n", Inbound: "in", State: "up"}
	if id != "" {
		n.Endpoint = &meshpb.Endpoint{Id: id, State: st, Healthy: true, WarmupMs: cold, Slots: 4}
	}
	return n
}

func TestHistoryAndUserStatesShapeTheOfficialState(t *testing.T) {
	h := &history{}
	h.report(state("a", "ready", 0), 0, ru)
	qt.Assert(t, h.official(""), qt.Equals, Up)
	for user, want := range map[string]string{Up: Up, Maintenance: Down, Down: Down, Retired: Draining} {
		qt.Assert(t, h.official(user), qt.Equals, want)
	}
	h.missed(100*time.Millisecond, ru)
	qt.Assert(t, h.official(""), qt.Equals, Up)
	h.missed(800*time.Millisecond, ru)
	qt.Assert(t, h.official(""), qt.Equals, Down)
	h.report(state("a", "draining", 0), time.Second, ru)
	qt.Assert(t, h.official(""), qt.Equals, Draining)
	qt.Assert(t, h.official(Down), qt.Equals, Down)
}

func TestEndpointThatDiedColdStaysDownUntilItIsWarm(t *testing.T) {
	h := &history{}
	h.report(state("a", "ready", 2000), 0, ru)
	qt.Assert(t, h.official(""), qt.Equals, Up)
	h.report(state("b", "ready", 3000), time.Second, ru)
	qt.Assert(t, h.official(""), qt.Equals, Down)
	h.report(state("b", "ready", 0), 4*time.Second, ru)
	qt.Assert(t, h.official(""), qt.Equals, Up)
}

func TestCrashLoopIsSetOutButOrderlyEndsAreNot(t *testing.T) {
	h := &history{}
	for i := 0; i < 8; i++ {
		h.report(state(fmt.Sprint("o", i), "ready", 0), 0, ru)
		h.report(state(fmt.Sprint("o", i), "draining", 0), 0, ru)
		h.report(state(fmt.Sprint("o", i), "gone", 0), 0, ru)
	}
	qt.Assert(t, h.setOut, qt.IsFalse)
	for i := 0; i < 4; i++ {
		h.report(state(fmt.Sprint("c", i), "ready", 0), time.Duration(i)*time.Second, ru)
	}
	qt.Assert(t, h.setOut, qt.IsTrue)
	qt.Assert(t, h.official(""), qt.Equals, Down)
}

type fakeNode struct {
	mu    sync.Mutex
	agent *Agent
	views []uint64
	confs []uint64
	cut   bool
}

// current is the agent of the life that runs now.
func (f *fakeNode) current() *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agent
}

func (f *fakeNode) off() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

func (f *fakeNode) set(cut bool) {
	f.mu.Lock()
	f.cut = cut
	f.mu.Unlock()
}

var errCut = fmt.Errorf("cut off")

func (f *fakeNode) Poll(c context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	if f.off() {
		<-c.Done()
		return nil, errCut
	}
	return f.current().Poll(c, q)
}

func (f *fakeNode) PublishView(c context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	if f.off() {
		return nil, errCut
	}
	return f.current().PublishView(c, q)
}

func (f *fakeNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if f.off() {
		return nil, errCut
	}
	return f.current().DeliverConfig(c, q)
}

type deadEnd struct{}

func (deadEnd) RoundTrip(*http.Request) (*http.Response, error) { return nil, errCut }

type saved struct{ v *meshpb.View }

func (s *saved) SaveView(_ context.Context, v *meshpb.View) error { s.v = v; return nil }

type stage struct {
	m    *Master
	st   *saved
	ns   []*fakeNode
	last [][]*meshpb.Endpoint
	// sizes counts the endpoints of each view that the first node took.
	sizes []int
}

func newStage(t *testing.T, n int) *stage {
	t0 := time.Now()
	now := func() time.Duration { return time.Since(t0) }
	s := &stage{st: &saved{}, last: make([][]*meshpb.Endpoint, n)}
	lines := rpc.NewClients(&http.Client{Transport: deadEnd{}})
	s.m = NewMaster(Options{ViewInterval: 250 * time.Millisecond, SettleTime: 60 * time.Millisecond, TakeoverDelay: 150 * time.Millisecond,
		PollLinger: time.Second, PollGrace: 500 * time.Millisecond, UnreachableAfter: 700 * time.Millisecond, CrashWindow: time.Minute, CrashLimit: 6, PollFailureLimit: 2, SelfAddr: "m", Now: now}, mailbox.New(), lines, s.st)
	for i := 0; i < n; i++ {
		f := &fakeNode{}
		a := &Agent{Name: fmt.Sprint("n", i), Incarnation: "l", RegisterAfter: time.Second, Now: now, Logf: func(string, ...any) {}, Clients: lines}
		a.OnView = func(v *meshpb.View) {
			f.mu.Lock()
			f.views = append(f.views, v.Version)
			s.last[i] = v.Endpoints
			if i == 0 {
				s.sizes = append(s.sizes, len(v.Endpoints))
			}
			f.mu.Unlock()
		}
		a.OnConfig = func(st uint64, _ []byte) error {
			f.mu.Lock()
			f.confs = append(f.confs, st)
			f.mu.Unlock()
			return nil
		}
		a.OnPatch = func(st uint64, _ [][]byte) error { return a.OnConfig(st, nil) }
		a.Start(&meshpb.NodeState{Name: a.Name, Incarnation: "l", Addr: fmt.Sprint("a", i), Inbound: fmt.Sprint("i", i), State: "up",
			Endpoint: &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: "ready", Healthy: true, Slots: 4}})
		f.agent = a
		lines.PutNode(fmt.Sprint("a", i), f)
		s.ns = append(s.ns, f)
	}
	go s.m.Mailbox.Run(50*time.Millisecond, s.m.Tick)
	return s
}

func conf(version uint64, doc string) *meshpb.Config {
	return &meshpb.Config{Version: version, Packed: rpc.Pack([]byte(doc))}
}

func (s *stage) do(f func()) {
	mailbox.Call(s.m.Mailbox, func() bool { f(); return true })
	synctest.Wait()
}

func (s *stage) hello() {
	for _, n := range s.ns {
		s.do(func() { s.m.RegisterNode(n.agent.node) })
	}
}

func pass(d time.Duration) { <-time.After(d); synctest.Wait() }

func (s *stage) count(i int) int {
	s.ns[i].mu.Lock()
	defer s.ns[i].mu.Unlock()
	return len(s.last[i])
}

func TestChangesWithinTheSettleTimeMakeOneView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, 4)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		s.do(func() { s.m.BecomeMaster(1, nil, map[string]string{}, conf(3, "c"), &meshpb.Membership{Version: 1}) })
		s.hello()
		pass(2 * time.Second)
		qt.Assert(t, s.count(0), qt.Equals, 4)
		qt.Assert(t, s.ns[0].confs, qt.DeepEquals, []uint64{3})
		before := s.st.v.Version
		for _, f := range s.ns[1:] {
			f.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = "draining" })
		}
		pass(time.Second)
		qt.Assert(t, s.st.v.Version, qt.Equals, before+1)
		s.do(func() { s.m.SetUserStates(map[string]string{"n0": Down}, "n0") })
		pass(time.Second)
		qt.Assert(t, s.count(0), qt.Equals, 3)
	})
}

func TestMasterBackInOfficePollsAfreshAndKeepsItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		s.do(func() { s.m.BecomeMaster(1, nil, map[string]string{}, conf(3, "c"), &meshpb.Membership{Version: 1}) })
		s.hello()
		pass(2 * time.Second)
		for _, f := range s.ns {
			f.set(true)
		}
		pass(6 * time.Second)
		s.do(s.m.StepDown)
		for _, f := range s.ns {
			f.set(false)
		}
		kept := s.st.v
		s.ns[0].mu.Lock()
		s.sizes = nil
		s.ns[0].mu.Unlock()
		s.do(func() { s.m.BecomeMaster(2, kept, map[string]string{}, conf(5, "d"), &meshpb.Membership{Version: 1}) })
		s.hello()
		pass(1500 * time.Millisecond)
		for i, f := range s.ns {
			qt.Check(t, f.confs[len(f.confs)-1], qt.Equals, uint64(5))
			qt.Check(t, s.count(i), qt.Equals, 3)
		}
		for _, n := range s.sizes {
			qt.Check(t, n, qt.Equals, 3, qt.Commentf("a view without its endpoints was published"))
		}
	})
}

func TestColdMasterFindsItsNodesInTheKeptView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		kept := &meshpb.View{Epoch: 1, Version: 9, NodeAddresses: []string{"n0 a0", "n1 a1", "n2 a2"}}
		s.do(func() { s.m.BecomeMaster(2, kept, map[string]string{}, conf(5, "d"), &meshpb.Membership{Version: 1}) })
		pass(600 * time.Millisecond)
		qt.Assert(t, s.st.v.Version > 9, qt.IsTrue)
		qt.Assert(t, s.count(1), qt.Equals, 3)
		qt.Assert(t, s.ns[2].confs, qt.DeepEquals, []uint64{5})
	})
}

func TestNodesRefuseALowerEpochAndAnOlderVersion(t *testing.T) {
	got := 0
	a := &Agent{Name: "n", Incarnation: "l", Now: func() time.Duration { return 0 }, Logf: func(string, ...any) {},
		OnView: func(*meshpb.View) { got++ }, OnConfig: func(uint64, []byte) error { return nil }}
	a.Start(&meshpb.NodeState{Name: "n"})
	c := context.Background()
	pub := func(e, s uint64) bool {
		b, _ := proto.Marshal(&meshpb.View{Epoch: e, Version: s})
		r, _ := a.PublishView(c, &meshpb.PublishViewRequest{Packed: b})
		return r.Ok
	}
	qt.Assert(t, pub(2, 5), qt.IsTrue)
	qt.Assert(t, pub(1, 9), qt.IsFalse)
	qt.Assert(t, pub(2, 4), qt.IsFalse)
	qt.Assert(t, pub(2, 5), qt.IsTrue)
	qt.Assert(t, pub(3, 6), qt.IsTrue)
	qt.Assert(t, got, qt.Equals, 2)
	r, _ := a.Poll(c, &meshpb.PollRequest{Epoch: 2, Name: "n"})
	qt.Assert(t, r.Stale, qt.IsTrue)
	qt.Assert(t, r.Epoch, qt.Equals, uint64(3))
	a.DeliverConfig(c, &meshpb.DeliverConfigRequest{Epoch: 3, Version: 8, Data: rpc.Pack(nil)})
	d, _ := a.DeliverConfig(c, &meshpb.DeliverConfigRequest{Epoch: 3, Version: 7, Data: rpc.Pack(nil)})
	qt.Assert(t, d.Version, qt.Equals, uint64(8))
}

func TestMasterWithoutItsHoldLetsItsNodesGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t, 2)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		held := true
		s.do(func() {
			s.m.o.HoldsLease = func() bool { return held }
			s.m.BecomeMaster(1, nil, map[string]string{}, conf(3, "c"), &meshpb.Membership{Version: 1})
		})
		s.hello()
		pass(2 * time.Second)
		quiet := func(i int) bool {
			a := s.ns[i].agent
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.Now()-a.polled > a.RegisterAfter
		}
		qt.Assert(t, quiet(0), qt.IsFalse)
		s.do(func() { held = false })
		pass(100 * time.Millisecond)
		qt.Assert(t, quiet(0) && quiet(1), qt.IsTrue, qt.Commentf("nodes must look for another master at once"))
		s.do(func() {
			_, ok := s.m.RegisterNode(s.ns[0].agent.node)
			qt.Check(t, ok, qt.IsFalse)
			s.m.SetConfig(conf(9, "never"))
		})
		pass(time.Second)
		qt.Assert(t, s.ns[0].confs, qt.DeepEquals, []uint64{3})
		s.do(func() { held = true })
		pass(500 * time.Millisecond)
		qt.Assert(t, quiet(0) || quiet(1), qt.IsFalse)
	})
}
