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
type fakeCoreMember struct {
	meshpb.Control
	clients     *rpc.Clients
	mu          sync.Mutex
	relayCalls  int
	targetCount int
	down        bool
	stored      StoredPayloads
}

func (r *fakeCoreMember) Relay(ctx context.Context, q *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	r.mu.Lock()
	r.relayCalls++
	r.targetCount += len(q.Targets)
	down := r.down
	r.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return Relay(ctx, r.clients, q, func() StoredPayloads { return r.stored }), nil
}

// crowd is a stage with relays; far makes nodes out of the relays' reach.
func newClusterWithRelays(t *testing.T, nodes, relays int) (*testCluster, []*fakeCoreMember, *meshpb.Membership) {
	s := newTestCluster(t, nodes)
	membership := &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "m", Addr: "m"}}}
	var rs []*fakeCoreMember
	lines := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
	for i, n := range s.nodes {
		lines.PutNode(fmt.Sprint("a", i), n)
	}
	for i := range relays {
		r := &fakeCoreMember{clients: lines}
		a := fmt.Sprint("core", i)
		s.master.clients.PutControl(a, r)
		membership.Members = append(membership.Members, &meshpb.Member{Id: a, Addr: a})
		rs = append(rs, r)
	}
	return s, rs, membership
}

func storedViewOf(n int) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: 9}
	for i := range n {
		v.NodeAddresses = append(v.NodeAddresses, fmt.Sprintf("n%d a%d", i, i))
	}
	return v
}

func (s *testCluster) checkAllNodes(t *testing.T, conf uint64) {
	t.Helper()
	for i, f := range s.nodes {
		f.mu.Lock()
		last := uint64(0)
		if len(f.configVersions) > 0 {
			last = f.configVersions[len(f.configVersions)-1]
		}
		got := len(s.lastEndpoints[i])
		f.mu.Unlock()
		if last != conf || got != len(s.nodes) {
			t.Errorf("node %d has configuration %d and %d endpoints", i, last, got)
		}
	}
}

func TestTakeoverReachesAllNodesThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := newClusterWithRelays(t, 120, 5)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		s.run(func() {
			s.master.BecomeMaster(2, storedViewOf(120), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(600 * time.Millisecond)
		s.checkAllNodes(t, 5)
		total := 0
		for _, r := range rs {
			total += r.targetCount
			qt.Check(t, r.relayCalls <= 6, qt.IsTrue, qt.Commentf("%d calls", r.relayCalls))
			qt.Check(t, r.targetCount >= 3*120/5*2/3, qt.IsTrue, qt.Commentf("%d nodes", r.targetCount))
		}
		qt.Check(t, total >= 3*120, qt.IsTrue, qt.Commentf("polls, configurations and the view go through relays: %d", total))
		// A changed configuration is one call for each relay.
		was := rs[0].relayCalls
		s.run(func() {
			s.master.SetConfig(&meshpb.Config{Version: 6, Packed: rpc.Pack([]byte("e")), Patches: []*meshpb.ConfigPatch{{BaseVersion: 5, Version: 6, Patch: rpc.Pack([]byte("p"))}}})
		})
		advance(100 * time.Millisecond)
		s.checkAllNodes(t, 6)
		qt.Check(t, rs[0].relayCalls-was, qt.Equals, 1)
	})
}

// What the board has not heard of within a lease is asked to bring nothing.
func TestMemberNotInContactIsNotUsedAsRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := newClusterWithRelays(t, 60, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		rs[0].down = true
		s.master.options.InContact = func(a string) bool { return a != "core0" }
		s.run(func() {
			s.master.BecomeMaster(2, storedViewOf(60), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		s.checkAllNodes(t, 5)
		s.run(func() { s.master.SetConfig(packedConfigOf(6, "e")) })
		advance(400 * time.Millisecond)
		s.checkAllNodes(t, 6)
		qt.Check(t, rs[0].relayCalls, qt.Equals, 0)
	})
}

func TestUnresponsiveOrPartitionedRelayIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := newClusterWithRelays(t, 60, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		rs[0].down = true
		rs[1].clients = rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
		s.run(func() {
			s.master.BecomeMaster(2, storedViewOf(60), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(4 * time.Second)
		s.checkAllNodes(t, 5)
		was := rs[0].relayCalls
		s.run(func() { s.master.SetConfig(packedConfigOf(6, "e")) })
		advance(1800 * time.Millisecond)
		s.checkAllNodes(t, 6)
		qt.Check(t, rs[0].relayCalls-was <= 2, qt.IsTrue)
	})
}

func TestNothingIsSentOrRelayedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := newClusterWithRelays(t, 40, 2)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		held := true
		s.run(func() {
			s.master.options.HoldsLease = func() bool { return held }
			s.master.BecomeMaster(2, storedViewOf(40), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		s.checkAllNodes(t, 5)
		was := rs[0].relayCalls + rs[1].relayCalls
		s.run(func() {
			s.master.SetConfig(packedConfigOf(6, "e"))
			held = false
		})
		advance(2 * time.Second)
		qt.Assert(t, rs[0].relayCalls+rs[1].relayCalls, qt.Equals, was)
		s.checkAllNodes(t, 5)
		s.run(func() { held = true })
		advance(time.Second)
		s.checkAllNodes(t, 6)
	})
}

func TestDeadNodesDoNotDelayOthersOfTheirRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, membership := newClusterWithRelays(t, 60, 2)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		s.run(func() {
			s.master.BecomeMaster(2, storedViewOf(60), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		for i := range 12 {
			s.nodes[5*i].setPartitioned(true)
		}
		for c := uint64(6); c < 9; c++ {
			s.run(func() { s.master.SetConfig(packedConfigOf(c, "e")) })
			advance(400 * time.Millisecond)
			late := 0
			for i, f := range s.nodes {
				f.mu.Lock()
				if i%5 != 0 && f.configVersions[len(f.configVersions)-1] != c {
					late++
				}
				f.mu.Unlock()
			}
			qt.Check(t, late, qt.Equals, 0, qt.Commentf("configuration %d", c))
		}
	})
}

// After all processes were killed nobody has a view: each node gets the last one
// that was published as soon as it is heard, before the new master may make one.
// A node that has a view keeps it till then.
func TestNodesWithoutViewReceiveStoredViewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, membership := newClusterWithRelays(t, 60, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		v := storedViewOf(60)
		v.Endpoints = []*meshpb.Endpoint{{Id: "e0", Service: "s", State: Up, Node: "n0", Inbound: "i0"}}
		has := s.nodes[7].agent
		qt.Assert(t, publish(has, &meshpb.View{Epoch: 1, Version: 8}, 1), qt.IsTrue)
		s.master.options.TakeoverDelay = 5 * time.Second
		s.run(func() { s.master.BecomeMaster(2, v, map[string]string{}, packedConfigOf(5, "d"), membership) })
		advance(400 * time.Millisecond)
		for i, f := range s.nodes {
			want := uint64(9)
			if i == 7 {
				want = 8
			}
			qt.Check(t, f.agent.View().GetVersion(), qt.Equals, want, qt.Commentf("node %d", i))
			qt.Check(t, f.agent.ConfigVersion(), qt.Equals, uint64(5), qt.Commentf("node %d", i))
		}
		advance(6 * time.Second)
		for _, f := range s.nodes {
			qt.Check(t, f.agent.View().GetEpoch(), qt.Equals, uint64(2))
		}
		late := s.nodes[3].agent
		qt.Assert(t, publish(late, &meshpb.View{Epoch: 1, Version: 99}, 1), qt.IsFalse, qt.Commentf("from a master before"))
		qt.Assert(t, publish(late, &meshpb.View{Epoch: 1, Version: 99}, 2), qt.IsFalse, qt.Commentf("older than what it has"))
	})
}

// A node that was killed with all others says at first that it knows no endpoint:
// that takes no endpoint out of the view, until it has had time to find it.
func TestEndpointsStayInViewWhileTheirNodesRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, roll := newClusterWithRelays(t, 30, 3)
		defer s.master.Mailbox.Close()
		defer s.run(s.master.StepDown)
		v := storedViewOf(30)
		for i, f := range s.nodes {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: Up, Node: fmt.Sprint("n", i), Inbound: fmt.Sprint("i", i)})
			f.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint = nil })
		}
		s.run(func() { s.master.BecomeMaster(2, v, map[string]string{}, packedConfigOf(5, "d"), roll) })
		advance(time.Second)
		qt.Assert(t, s.endpointCount(0), qt.Equals, 30)
		for i, f := range s.nodes[:20] {
			f.agent.UpdateState(func(n *meshpb.NodeState) {
				n.Endpoint = &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: "ready", Healthy: true, Slots: 4}
			})
		}
		s.nodes[20].agent.UpdateState(func(n *meshpb.NodeState) {
			n.Endpoint = &meshpb.Endpoint{Id: "e20", Service: "s", State: "gone", Healthy: true, Slots: 4}
		})
		advance(500 * time.Millisecond)
		qt.Assert(t, s.endpointCount(0), qt.Equals, 29)
		advance(3 * time.Second)
		qt.Assert(t, s.endpointCount(0), qt.Equals, 20)
		for _, n := range s.viewSizes {
			qt.Assert(t, n >= 20, qt.IsTrue, qt.Commentf("%v", s.viewSizes))
		}
	})
}
