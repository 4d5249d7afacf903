package clustercontroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// The bounds of docs/hardening.md on the time from a commit until the last node in
// touch has the configuration: its relay is silent and one call to it is lost.
const (
	patchBound      = 1500 * time.Millisecond
	fullConfigBound = 2 * time.Second
)

// lossyNode is a node whose next calls with a configuration get no answer and do not
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

// slowLink brings calls with a configuration to a node after their caller has given
// them up, as a link whose queue is full.
type slowLink struct {
	meshpb.Node
	delay time.Duration
}

func (l *slowLink) DeliverConfig(ctx context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	go func() {
		time.Sleep(l.delay)
		_, _ = l.Node.DeliverConfig(context.WithoutCancel(ctx), q)
	}()
	<-ctx.Done()
	return nil, ctx.Err()
}

// On the day of docs/incidents/bmato-large-trouble-1-config.md a node behind a full
// link took the first of three changes and refused all later sendings, whose base
// it had left by then.
func TestNodeBehindSlowLinkCatchesUpThoughNoAnswerArrives(t *testing.T) {
	const delay = 1800 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(60, 3)
		defer cluster.stopAfterCalls()
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(time.Second)
		qt.Assert(t, cluster.countNodesBehind(5), qt.Equals, 0)
		slow := &slowLink{Node: cluster.nodes[7], delay: delay}
		addr := cluster.nodes[7].agent.State().Addr
		cluster.master.clients.PutNode(addr, slow)
		for _, m := range members {
			m.clients.PutNode(addr, slow)
		}
		cluster.setConfig(patchedConfigOf(5, 6))
		advance(600 * time.Millisecond)
		cluster.setConfig(patchedConfigOf(5, 6, 7))
		advance(300 * time.Millisecond)
		cluster.setConfig(patchedConfigOf(5, 6, 7, 8))
		advance(delay + patchRetryAfter + 100*time.Millisecond)
		qt.Assert(t, cluster.nodes[7].currentAgent().ConfigVersion(), qt.Equals, uint64(8))
	})
}

// stuckStore saves no view: each attempt lasts as long as it may.
type stuckStore struct{}

func (stuckStore) SaveView(c context.Context, _ *meshpb.View) error {
	<-c.Done()
	return errPartitioned
}

// patchedConfigOf is the last of these versions, with the patches that lead to it.
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
		cluster, members, membership := newClusterWithRelays(60, 3)
		defer cluster.stopAfterCalls()
		var lossyNodes []*lossyNode
		for _, i := range []int{3, 4, 17, 20, 33, 41, 59} {
			addr := cluster.nodes[i].agent.State().Addr
			l := &lossyNode{Node: cluster.nodes[i]}
			cluster.master.clients.PutNode(addr, l)
			members[0].clients.PutNode(addr, l)
			lossyNodes = append(lossyNodes, l)
		}
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(time.Second)
		qt.Assert(t, cluster.countNodesBehind(5), qt.Equals, 0)

		members[0].mu.Lock()
		members[0].unresponsive = true
		members[0].mu.Unlock()
		for _, l := range lossyNodes {
			l.mu.Lock()
			l.callsToLose = 1
			l.mu.Unlock()
		}
		cluster.master.store = stuckStore{}
		cluster.nodes[0].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = string(lifecycle.Draining) })
		cluster.nodes[5].setPartitioned(true)
		advance(150 * time.Millisecond)
		cluster.setConfig(first)
		advance(100 * time.Millisecond)
		cluster.restart(5, "l2")
		cluster.run(func() { cluster.master.RegisterNode(cluster.nodes[5].currentAgent().State()) })
		advance(100 * time.Millisecond)
		cluster.setConfig(second)
		took := time.Duration(0)
		for ; cluster.countNodesBehind(7) > 0 && took < 20*time.Second; took += 50 * time.Millisecond {
			advance(50 * time.Millisecond)
		}
		t.Logf("all have it after %v", took)
		for i, l := range lossyNodes {
			l.mu.Lock()
			qt.Check(t, l.callsToLose < 1, qt.IsTrue, qt.Commentf("no call to lossy node %d was lost", i))
			l.mu.Unlock()
		}
		qt.Check(t, took <= bound, qt.IsTrue, qt.Commentf("%d nodes are behind after %v", cluster.countNodesBehind(7), took))
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
				cluster, _, membership := newClusterWithRelays(3, 0)
				defer cluster.stopAfterCalls()
				slow := &slowNode{fakeNode: cluster.nodes[1], delay: c.delay}
				cluster.master.clients.PutNode("a1", slow)
				cluster.becomeMaster(2, storedViewOf(3), patchedConfigOf(5), membership)
				advance(600 * time.Millisecond)
				qt.Check(t, cluster.nodes[1].currentAgent().ConfigVersion(), qt.Equals, uint64(5))
				cluster.restart(1, "l2")
				slow.answerPolls()
				advance(c.within)
				qt.Check(t, slow.delayed(), qt.IsTrue, qt.Commentf("the acknowledgement came without delay"))
				qt.Check(t, cluster.nodes[1].currentAgent().ConfigVersion(), qt.Equals, uint64(5))
				qt.Check(t, cluster.nodes[1].currentAgent().View().GetEpoch(), qt.Equals, uint64(2))
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
