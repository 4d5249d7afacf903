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

// Bounds from docs/hardening.md on the time from a commit until the last reachable
// node has the configuration, if its relay does not respond and one call to it is lost.
const (
	patchBound      = 1500 * time.Millisecond
	fullConfigBound = 2 * time.Second
)

// lossyNode loses the next callsToLose calls with a configuration: they neither reach
// the node nor return before their deadline, as on a connection whose other end has
// lost power.
type lossyNode struct {
	meshpb.Node
	mu          sync.Mutex
	callsToLose int
}

func (l *lossyNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	l.mu.Lock()
	lose := l.callsToLose > 0
	l.callsToLose--
	l.mu.Unlock()
	if lose {
		<-c.Done()
		return nil, errPartitioned
	}
	return l.Node.DeliverConfig(c, q)
}

// slowLink delivers calls with a configuration to a node after delay, like a link with
// a full queue. It never returns the response: each call ends with its deadline.
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

// Regression test for docs/incidents/bmato-large-trouble-1-config.md: a node behind a
// saturated link applied the first of three changes, but the master got no
// acknowledgement of it. The node refused all later patches, since their base version
// was older than its own.
func TestNodeBehindSlowLinkCatchesUpWithoutAcks(t *testing.T) {
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
		cluster.setConfig(configWithPatches(5, 6))
		advance(600 * time.Millisecond)
		cluster.setConfig(configWithPatches(5, 6, 7))
		advance(300 * time.Millisecond)
		cluster.setConfig(configWithPatches(5, 6, 7, 8))
		advance(delay + patchRetryAfter + 100*time.Millisecond)
		qt.Assert(t, cluster.nodes[7].currentAgent().ConfigVersion(), qt.Equals, uint64(8))
	})
}

// blockingStore saves no view: each attempt blocks until its context ends.
type blockingStore struct{}

func (blockingStore) SaveView(c context.Context, _ *meshpb.View) error {
	<-c.Done()
	return errPartitioned
}

// configWithPatches returns a configuration of the last of these versions, with one
// patch to each of them.
func configWithPatches(versions ...uint64) *meshpb.Config {
	c := packedConfigOf(versions[len(versions)-1], "d")
	c.Packed = rpc.Compress(make([]byte, 64<<10))
	for _, v := range versions {
		c.Patches = append(c.Patches, &meshpb.ConfigPatch{BaseVersion: v - 1, Version: v, Patch: rpc.Compress([]byte("p"))})
	}
	return c
}

// All reachable nodes must have the latest configuration within the bound, even if at
// the same time a relay stops responding unnoticed, no view can be saved, calls to some
// nodes are lost, one node restarts, and the configuration changes again before the
// first change has arrived.
func TestConfigReachesAllReachableNodesWithinBound(t *testing.T) {
	t.Run("patches", func(t *testing.T) {
		checkConfigReachesAll(t, configWithPatches(6), configWithPatches(6, 7), patchBound)
	})
	t.Run("full configuration", func(t *testing.T) {
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
		cluster.master.store = blockingStore{}
		cluster.nodes[0].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = string(lifecycle.Draining) })
		cluster.nodes[5].setPartitioned(true)
		advance(150 * time.Millisecond)
		cluster.setConfig(first)
		advance(100 * time.Millisecond)
		cluster.restart(5, "l2")
		cluster.run(func() { cluster.master.RegisterNode(cluster.nodes[5].currentAgent().State()) })
		advance(100 * time.Millisecond)
		cluster.setConfig(second)
		elapsed := time.Duration(0)
		for ; cluster.countNodesBehind(7) > 0 && elapsed < 20*time.Second; elapsed += 50 * time.Millisecond {
			advance(50 * time.Millisecond)
		}
		t.Logf("all nodes have the configuration after %v", elapsed)
		for i, l := range lossyNodes {
			l.mu.Lock()
			qt.Check(t, l.callsToLose < 1, qt.IsTrue, qt.Commentf("no call to lossy node %d was lost", i))
			l.mu.Unlock()
		}
		qt.Check(t, elapsed <= bound, qt.IsTrue, qt.Commentf("%d nodes have an older configuration after %v", cluster.countNodesBehind(7), elapsed))
	})
}

// A restarted node holds no configuration, whatever its earlier incarnation
// acknowledged. The master must discard such an acknowledgement whether it arrives
// before the new incarnation's first answer to a poll or, delayed, after it. In the
// second case the following polls show that the node has no configuration.
func TestAckOfEarlierIncarnationIsDiscarded(t *testing.T) {
	for _, c := range []struct {
		name          string
		delay, within time.Duration
	}{
		{"before the first poll answer", 0, 500 * time.Millisecond},
		{"after the first poll answer", time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster, _, membership := newClusterWithRelays(3, 0)
				defer cluster.stopAfterCalls()
				slow := &slowNode{fakeNode: cluster.nodes[1], delay: c.delay}
				cluster.master.clients.PutNode("a1", slow)
				cluster.becomeMaster(2, storedViewOf(3), configWithPatches(5), membership)
				advance(600 * time.Millisecond)
				qt.Check(t, cluster.nodes[1].currentAgent().ConfigVersion(), qt.Equals, uint64(5))
				cluster.restart(1, "l2")
				slow.answerPolls()
				advance(c.within)
				qt.Check(t, slow.hasApplied(), qt.IsTrue, qt.Commentf("no configuration was applied through the slow node"))
				qt.Check(t, cluster.nodes[1].currentAgent().ConfigVersion(), qt.Equals, uint64(5))
				qt.Check(t, cluster.nodes[1].currentAgent().View().GetEpoch(), qt.Equals, uint64(2))
			})
		})
	}
}

// slowNode answers no polls until answerPolls is called, and delays its first
// successful acknowledgement of a configuration.
type slowNode struct {
	*fakeNode
	mu           sync.Mutex
	answersPolls bool
	// applied is true once the node has applied a configuration sent through this
	// wrapper, even if the response is still delayed.
	applied bool
	delay   time.Duration
}

func (n *slowNode) hasApplied() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied
}

func (n *slowNode) answerPolls() {
	n.mu.Lock()
	n.answersPolls = true
	n.mu.Unlock()
}

func (n *slowNode) Poll(c context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	n.mu.Lock()
	answers := n.answersPolls
	n.mu.Unlock()
	if !answers {
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
		n.applied = true
	}
	n.mu.Unlock()
	if r.GetOk() {
		time.Sleep(delay)
	}
	return r, err
}
