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

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// relayer is a core member that relays, and counts what it was asked.
type relayer struct {
	meshpb.Control
	lines  *rpc.Clients
	mu     sync.Mutex
	asked  int
	nodes  int
	down   bool
	hellos int
	master string
	bundle StoredPayloads
}

func (r *relayer) Relay(ctx context.Context, q *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	r.mu.Lock()
	r.asked++
	r.nodes += len(q.Targets)
	down := r.down
	r.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, errCut
	}
	return Relay(ctx, r.lines, q, func() StoredPayloads { return r.bundle }), nil
}

func (r *relayer) RegisterNode(context.Context, *meshpb.RegisterNodeRequest) (*meshpb.RegisterNodeResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hellos++
	return &meshpb.RegisterNodeResponse{MasterAddr: r.master, Master: r.master == "self"}, nil
}

// crowd is a stage with relays; far makes nodes out of the relays' reach.
func crowd(t *testing.T, nodes, relays int) (*stage, []*relayer, *meshpb.Membership) {
	s := newStage(t, nodes)
	membership := &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "m", Addr: "m"}}}
	var rs []*relayer
	lines := rpc.NewClients(&http.Client{Transport: deadEnd{}})
	for i, n := range s.ns {
		lines.PutNode(fmt.Sprint("a", i), n)
	}
	for i := range relays {
		r := &relayer{lines: lines}
		a := fmt.Sprint("core", i)
		s.m.lines.PutControl(a, r)
		membership.Members = append(membership.Members, &meshpb.Member{Id: a, Addr: a})
		rs = append(rs, r)
	}
	return s, rs, membership
}

func keptOf(n int) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: 9}
	for i := range n {
		v.NodeAddresses = append(v.NodeAddresses, fmt.Sprintf("n%d a%d", i, i))
	}
	return v
}

func (s *stage) all(t *testing.T, conf uint64) {
	t.Helper()
	for i, f := range s.ns {
		f.mu.Lock()
		last := uint64(0)
		if len(f.confs) > 0 {
			last = f.confs[len(f.confs)-1]
		}
		got := len(s.last[i])
		f.mu.Unlock()
		if last != conf || got != len(s.ns) {
			t.Errorf("node %d has configuration %d and %d endpoints", i, last, got)
		}
	}
}

func TestTakeoverReachesAllNodesThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := crowd(t, 120, 5)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		s.do(func() { s.m.BecomeMaster(2, keptOf(120), map[string]string{}, conf(5, "d"), membership) })
		pass(600 * time.Millisecond)
		s.all(t, 5)
		total := 0
		for _, r := range rs {
			total += r.nodes
			qt.Check(t, r.asked <= 6, qt.IsTrue, qt.Commentf("%d calls", r.asked))
			qt.Check(t, r.nodes >= 3*120/5*2/3, qt.IsTrue, qt.Commentf("%d nodes", r.nodes))
		}
		qt.Check(t, total >= 3*120, qt.IsTrue, qt.Commentf("polls, configurations and the view go through relays: %d", total))
		// A changed configuration is one call for each relay.
		was := rs[0].asked
		s.do(func() {
			s.m.SetConfig(&meshpb.Config{Version: 6, Packed: rpc.Pack([]byte("e")), Patches: []*meshpb.ConfigPatch{{BaseVersion: 5, Version: 6, Patch: rpc.Pack([]byte("p"))}}})
		})
		pass(100 * time.Millisecond)
		s.all(t, 6)
		qt.Check(t, rs[0].asked-was, qt.Equals, 1)
	})
}

// What the board has not heard of within a lease is asked to bring nothing.
func TestMemberOutOfTouchIsNoRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := crowd(t, 60, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		rs[0].down = true
		s.m.o.InContact = func(a string) bool { return a != "core0" }
		s.do(func() { s.m.BecomeMaster(2, keptOf(60), map[string]string{}, conf(5, "d"), membership) })
		pass(time.Second)
		s.all(t, 5)
		s.do(func() { s.m.SetConfig(conf(6, "e")) })
		pass(400 * time.Millisecond)
		s.all(t, 6)
		qt.Check(t, rs[0].asked, qt.Equals, 0)
	})
}

func TestRelayThatIsSilentOrCutOffIsGoneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := crowd(t, 60, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		rs[0].down = true
		rs[1].lines = rpc.NewClients(&http.Client{Transport: deadEnd{}})
		s.do(func() { s.m.BecomeMaster(2, keptOf(60), map[string]string{}, conf(5, "d"), membership) })
		pass(4 * time.Second)
		s.all(t, 5)
		was := rs[0].asked
		s.do(func() { s.m.SetConfig(conf(6, "e")) })
		pass(1800 * time.Millisecond)
		s.all(t, 6)
		qt.Check(t, rs[0].asked-was <= 2, qt.IsTrue)
	})
}

func TestNothingIsSentOrRelayedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := crowd(t, 40, 2)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		held := true
		s.do(func() {
			s.m.o.HoldsLease = func() bool { return held }
			s.m.BecomeMaster(2, keptOf(40), map[string]string{}, conf(5, "d"), membership)
		})
		pass(time.Second)
		s.all(t, 5)
		was := rs[0].asked + rs[1].asked
		s.do(func() {
			s.m.SetConfig(conf(6, "e"))
			held = false
		})
		pass(2 * time.Second)
		qt.Assert(t, rs[0].asked+rs[1].asked, qt.Equals, was)
		s.all(t, 5)
		s.do(func() { held = true })
		pass(time.Second)
		s.all(t, 6)
	})
}

func TestDeadNodesDoNotHoldUpTheOthersOfTheirRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, membership := crowd(t, 60, 2)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		s.do(func() { s.m.BecomeMaster(2, keptOf(60), map[string]string{}, conf(5, "d"), membership) })
		pass(time.Second)
		for i := range 12 {
			s.ns[5*i].set(true)
		}
		for c := uint64(6); c < 9; c++ {
			s.do(func() { s.m.SetConfig(conf(c, "e")) })
			pass(400 * time.Millisecond)
			late := 0
			for i, f := range s.ns {
				f.mu.Lock()
				if i%5 != 0 && f.confs[len(f.confs)-1] != c {
					late++
				}
				f.mu.Unlock()
			}
			qt.Check(t, late, qt.Equals, 0, qt.Commentf("configuration %d", c))
		}
	})
}

func TestHelloAsksFewAndALingeringPollKeepsItQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t0 := time.Now()
		lines := rpc.NewClients(&http.Client{Transport: deadEnd{}})
		var rs []*relayer
		a := &Agent{Name: "n", Incarnation: "l", RegisterAfter: time.Second, Now: func() time.Duration { return time.Since(t0) }, Logf: func(string, ...any) {}, Clients: lines}
		for i := range 9 {
			r := &relayer{master: "c7"}
			if i == 7 {
				r.master = "self"
			}
			lines.PutControl(fmt.Sprint("c", i), r)
			a.Seeds = append(a.Seeds, fmt.Sprint("c", i))
			rs = append(rs, r)
		}
		a.Start(&meshpb.NodeState{Name: "n", Incarnation: "l"})
		qt.Assert(t, a.hello(t.Context()), qt.IsTrue)
		n := 0
		for _, r := range rs {
			n += r.hellos
		}
		qt.Assert(t, n <= 2 && rs[7].hellos == 1, qt.IsTrue, qt.Commentf("%d core nodes were asked", n))
		quiet := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.Now()-a.polled > a.RegisterAfter
		}
		ctx, stop := context.WithCancel(t.Context())
		go a.Poll(ctx, &meshpb.PollRequest{Epoch: 1, Name: "n", Incarnation: "l", Seq: 1, LingerMs: 10000})
		pass(5 * time.Second)
		qt.Assert(t, quiet(), qt.IsFalse)
		stop()
		pass(time.Millisecond)
		qt.Assert(t, quiet(), qt.IsTrue, qt.Commentf("the master's side broke off"))
		a.Poll(t.Context(), &meshpb.PollRequest{Epoch: 1, Name: "n", NextPollMs: 3000})
		pass(3500 * time.Millisecond)
		qt.Assert(t, quiet(), qt.IsFalse)
		pass(time.Second)
		qt.Assert(t, quiet(), qt.IsTrue)
	})
}

// After all processes were killed nobody has a view: each node gets the last one
// that was published as soon as it is heard, before the new master may make one.
// A node that has a view keeps it till then.
func TestNodesWithoutAViewGetTheLastOneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, membership := crowd(t, 60, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		v := keptOf(60)
		v.Endpoints = []*meshpb.Endpoint{{Id: "e0", Service: "s", State: Up, Node: "n0", Inbound: "i0"}}
		has := s.ns[7].agent
		qt.Assert(t, has.take(&meshpb.View{Epoch: 1, Version: 8}, 1, ""), qt.IsTrue)
		s.m.o.TakeoverDelay = 5 * time.Second
		s.do(func() { s.m.BecomeMaster(2, v, map[string]string{}, conf(5, "d"), membership) })
		pass(400 * time.Millisecond)
		for i, f := range s.ns {
			want := uint64(9)
			if i == 7 {
				want = 8
			}
			qt.Check(t, f.agent.View().GetVersion(), qt.Equals, want, qt.Commentf("node %d", i))
			qt.Check(t, f.agent.ConfigVersion(), qt.Equals, uint64(5), qt.Commentf("node %d", i))
		}
		pass(6 * time.Second)
		for _, f := range s.ns {
			qt.Check(t, f.agent.View().GetEpoch(), qt.Equals, uint64(2))
		}
		late := s.ns[3].agent
		qt.Assert(t, late.take(&meshpb.View{Epoch: 1, Version: 99}, 1, ""), qt.IsFalse, qt.Commentf("from a master before"))
		qt.Assert(t, late.take(&meshpb.View{Epoch: 1, Version: 99}, 2, ""), qt.IsFalse, qt.Commentf("older than what it has"))
	})
}

// A node that was killed with all others says at first that it knows no endpoint:
// that takes no endpoint out of the view, until it has had time to find it.
func TestEndpointsStayWhileTheirNodesFindThemAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, roll := crowd(t, 30, 3)
		defer s.m.Mailbox.Close()
		defer s.do(s.m.StepDown)
		v := keptOf(30)
		for i, f := range s.ns {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: Up, Node: fmt.Sprint("n", i), Inbound: fmt.Sprint("i", i)})
			f.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint = nil })
		}
		s.do(func() { s.m.BecomeMaster(2, v, map[string]string{}, conf(5, "d"), roll) })
		pass(time.Second)
		qt.Assert(t, s.count(0), qt.Equals, 30)
		for i, f := range s.ns[:20] {
			f.agent.UpdateState(func(n *meshpb.NodeState) {
				n.Endpoint = &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: "ready", Healthy: true, Slots: 4}
			})
		}
		s.ns[20].agent.UpdateState(func(n *meshpb.NodeState) {
			n.Endpoint = &meshpb.Endpoint{Id: "e20", Service: "s", State: "gone", Healthy: true, Slots: 4}
		})
		pass(500 * time.Millisecond)
		qt.Assert(t, s.count(0), qt.Equals, 29)
		pass(3 * time.Second)
		qt.Assert(t, s.count(0), qt.Equals, 20)
		for _, n := range s.sizes {
			qt.Assert(t, n >= 20, qt.IsTrue, qt.Commentf("%v", s.sizes))
		}
	})
}
