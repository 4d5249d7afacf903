package clustercontroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/nodeagent"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// The bounds of docs/hardening.md on the time from a commit until the last node in
// touch has the configuration: its relay is silent and one call to it is lost.
const (
	patchBound      = 1500 * time.Millisecond
	fullConfigBound = 2 * time.Second
)

// lossy is a node whose next calls with a configuration get no answer and do not
// reach it, as on a connection whose other end has lost power.
type lossyNode struct {
	meshpb.Node
	mu          sync.Mutex
	callsToLose int
}

func (l *lossyNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	l.mu.Lock()
	lost := l.callsToLose > 0
	l.callsToLose--
	l.mu.Unlock()
	if lost {
		<-c.Done()
		return nil, errPartitioned
	}
	return l.Node.DeliverConfig(c, q)
}

// stuckStore keeps no view: each try lasts as long as it may.
type stuckStore struct{}

func (stuckStore) SaveView(c context.Context, _ *meshpb.View) error {
	<-c.Done()
	return errPartitioned
}

// restart puts a new life, which holds nothing, in place of a node's agent.
func (s *testCluster) restart(i int, life string) {
	f := s.nodes[i]
	old := f.current()
	state := proto.Clone(old.State()).(*meshpb.NodeState)
	state.Incarnation = life
	a := &nodeagent.Agent{Name: old.Name, Incarnation: life, RegisterAfter: old.RegisterAfter, Now: old.Now, Log: old.Log, Clients: old.Clients,
		OnView: old.OnView, OnConfig: old.OnConfig, OnPatch: old.OnPatch}
	a.Start(state)
	f.mu.Lock()
	f.agent, f.partitioned = a, false
	f.mu.Unlock()
}

// behind counts the nodes whose configuration is older.
func (s *testCluster) nodesBehind(version uint64) int {
	n := 0
	for _, f := range s.nodes {
		if f.current().ConfigVersion() < version {
			n++
		}
	}
	return n
}

// patched is the last of these versions, with the patches that lead to it.
func patchedConfigOf(versions ...uint64) *meshpb.Config {
	c := packedConfigOf(versions[len(versions)-1], "d")
	c.Packed = rpc.Pack(make([]byte, 64<<10))
	for _, v := range versions {
		c.Patches = append(c.Patches, &meshpb.ConfigPatch{BaseVersion: v - 1, Version: v, Patch: rpc.Pack([]byte("p"))})
	}
	return c
}

// A relay is cut off and nobody knows yet, a view can't be kept, calls to some
// nodes are lost, one node has been restarted, and the configuration changes
// again before the first change has come: all have the newest within the bound.
func TestConfigurationReachesAllNodesInTouchWithinItsBound(t *testing.T) {
	t.Run("patches", func(t *testing.T) { checkConfigReachesAll(t, patchedConfigOf(6), patchedConfigOf(6, 7), patchBound) })
	t.Run("whole", func(t *testing.T) {
		checkConfigReachesAll(t, packedConfigOf(6, "d"), packedConfigOf(7, "d"), fullConfigBound)
	})
}

func checkConfigReachesAll(t *testing.T, first, second *meshpb.Config, bound time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s, rs, membership := newClusterWithRelays(t, 60, 3)
		defer s.master.Mailbox.Close()
		defer advance(3 * time.Second) // all calls under way have ended
		defer s.run(s.master.StepDown)
		var lossies []*lossyNode
		for _, i := range []int{3, 4, 17, 20, 33, 41, 59} {
			addr := s.nodes[i].agent.State().Addr
			l := &lossyNode{Node: s.nodes[i]}
			s.master.clients.PutNode(addr, l)
			rs[0].clients.PutNode(addr, l)
			lossies = append(lossies, l)
		}
		s.run(func() {
			s.master.BecomeMaster(2, storedViewOf(60), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		qt.Assert(t, s.nodesBehind(5), qt.Equals, 0)

		rs[0].mu.Lock()
		rs[0].down = true
		rs[0].mu.Unlock()
		for _, l := range lossies {
			l.mu.Lock()
			l.callsToLose = 1
			l.mu.Unlock()
		}
		s.master.store = stuckStore{}
		s.nodes[0].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = Draining })
		s.nodes[5].setPartitioned(true)
		advance(150 * time.Millisecond)
		s.run(func() { s.master.SetConfig(first) })
		advance(100 * time.Millisecond)
		s.restart(5, "l2")
		s.run(func() { s.master.RegisterNode(s.nodes[5].current().State()) })
		advance(100 * time.Millisecond)
		s.run(func() { s.master.SetConfig(second) })
		took := time.Duration(0)
		for ; s.nodesBehind(7) > 0 && took < 20*time.Second; took += 50 * time.Millisecond {
			advance(50 * time.Millisecond)
		}
		t.Logf("all have it after %v", took)
		for i, l := range lossies {
			l.mu.Lock()
			qt.Check(t, l.callsToLose < 1, qt.IsTrue, qt.Commentf("no call to lossy node %d was lost", i))
			l.mu.Unlock()
		}
		qt.Check(t, took <= bound, qt.IsTrue, qt.Commentf("%d nodes are behind after %v", s.nodesBehind(7), took))
	})
}

// A node that acknowledged before its first answer to a poll, and was restarted
// since, holds nothing of it; nor does one whose earlier life's acknowledgement
// comes after that answer, which the polls after it show.
func TestAcknowledgementOfEarlierIncarnationIsForgotten(t *testing.T) {
	for _, c := range []struct {
		name          string
		delay, within time.Duration
	}{
		{"before the answer", 0, 500 * time.Millisecond},
		{"after the answer", time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _, membership := newClusterWithRelays(t, 3, 0)
				defer s.master.Mailbox.Close()
				defer advance(3 * time.Second)
				defer s.run(s.master.StepDown)
				slow := &slowNode{fakeNode: s.nodes[1], delay: c.delay}
				s.master.clients.PutNode("a1", slow)
				s.run(func() { s.master.BecomeMaster(2, storedViewOf(3), map[string]string{}, patchedConfigOf(5), membership) })
				advance(600 * time.Millisecond)
				qt.Check(t, s.nodes[1].current().ConfigVersion(), qt.Equals, uint64(5))
				s.restart(1, "l2")
				slow.answerPolls()
				advance(c.within)
				qt.Check(t, slow.delayed(), qt.IsTrue, qt.Commentf("the acknowledgement came without delay"))
				qt.Check(t, s.nodes[1].current().ConfigVersion(), qt.Equals, uint64(5))
				qt.Check(t, s.nodes[1].current().View().GetEpoch(), qt.Equals, uint64(2))
			})
		})
	}
}

// slowNode is a node that answers no poll until it is told to, and acknowledges
// the first configuration late.
type slowNode struct {
	*fakeNode
	mu     sync.Mutex
	polled bool
	// acked tells that a configuration was acknowledged through it.
	acknowledged bool
	delay        time.Duration
}

func (n *slowNode) delayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acknowledged
}

func (n *slowNode) answerPolls() {
	n.mu.Lock()
	n.polled = true
	n.mu.Unlock()
}

func (n *slowNode) Poll(c context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	n.mu.Lock()
	polled := n.polled
	n.mu.Unlock()
	if !polled {
		return nil, errPartitioned
	}
	return n.fakeNode.Poll(c, q)
}

func (n *slowNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	r, err := n.fakeNode.DeliverConfig(c, q)
	n.mu.Lock()
	delay := n.delay
	if r.GetOk() {
		n.delay = 0
		n.acknowledged = true
	}
	n.mu.Unlock()
	if r.GetOk() {
		time.Sleep(delay)
	}
	return r, err
}
