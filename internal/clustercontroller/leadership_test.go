package clustercontroller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// A member that loses and regains shard 0 must poll its nodes again. It must not
// publish the empty endpoint list that it computed while it could not reach them, and
// must keep their addresses.
func TestReelectedMasterPollsAgainAndKeepsItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(3)
		defer cluster.stop()
		cluster.becomeMaster(1, nil, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		cluster.registerAll()
		advance(2 * time.Second)
		for _, node := range cluster.nodes {
			node.setPartitioned(true)
		}
		advance(6 * time.Second)
		cluster.run(cluster.master.StepDown)
		for _, node := range cluster.nodes {
			node.setPartitioned(false)
		}
		stored := cluster.store.view
		cluster.nodes[0].mu.Lock()
		cluster.viewSizes = nil
		cluster.nodes[0].mu.Unlock()
		cluster.becomeMaster(2, stored, packedConfigOf(5, "d"), &meshpb.Membership{Version: 1})
		cluster.registerAll()
		advance(1500 * time.Millisecond)
		for i, node := range cluster.nodes {
			qt.Check(t, node.configVersions[len(node.configVersions)-1], qt.Equals, uint64(5))
			qt.Check(t, cluster.endpointCount(i), qt.Equals, 3)
		}
		for _, n := range cluster.viewSizes {
			qt.Check(t, n, qt.Equals, 3, qt.Commentf("published a view with missing endpoints"))
		}
	})
}

// A new master polls the nodes whose addresses the stored view has, without waiting
// for them to register.
func TestNewMasterFindsNodesInStoredView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(3)
		defer cluster.stop()
		stored := &meshpb.View{Epoch: 1, Version: 9, NodeAddresses: []string{"n0 a0", "n1 a1", "n2 a2"}}
		cluster.becomeMaster(2, stored, packedConfigOf(5, "d"), &meshpb.Membership{Version: 1})
		advance(600 * time.Millisecond)
		qt.Assert(t, cluster.store.view.Version > 9, qt.IsTrue)
		qt.Assert(t, cluster.endpointCount(1), qt.Equals, 3)
		qt.Assert(t, cluster.nodes[2].configVersions, qt.DeepEquals, []uint64{5})
	})
}

// A member that regains shard 0 from another master still has the histories of nodes
// that have ended since. If it polled them, its relays would wait for their answers
// and delay the configuration for the running nodes.
func TestReelectedMasterForgetsNodesThatTheLastViewLacks(t *testing.T) {
	const nodes, ended = 60, 24
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(nodes, 2)
		defer cluster.stopAfterCalls()
		cluster.becomeMaster(1, nil, packedConfigOf(3, "c"), membership)
		cluster.registerAll()
		advance(2 * time.Second)
		cluster.run(cluster.master.StepDown)
		for _, n := range cluster.nodes[:ended] {
			n.setPartitioned(true)
		}
		for _, m := range members {
			m.targetCount = 0
		}
		stored := storedViewOf(nodes)
		stored.Epoch, stored.Version = 2, cluster.store.view.Version+1
		stored.NodeAddresses = stored.NodeAddresses[ended:]
		cluster.becomeMaster(3, stored, packedConfigOf(5, "d"), membership)
		advance(200 * time.Millisecond)
		for i, n := range cluster.nodes[ended:] {
			qt.Check(t, n.currentAgent().ConfigVersion(), qt.Equals, uint64(5), qt.Commentf("node %d", ended+i))
		}
		qt.Check(t, cluster.master.KnowsNode("n0"), qt.IsFalse)
	})
}

// If a master without the lease kept polling, nodes would not look for the new master
// and would keep an old configuration.
func TestMasterWithoutLeaseStopsPollingAndSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(2)
		defer cluster.stop()
		holdsLease := true
		cluster.run(func() {
			cluster.master.options.HoldsLease = func() bool { return holdsLease }
			cluster.master.BecomeMaster(1, nil, map[string]string{}, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		})
		cluster.registerAll()
		advance(2 * time.Second)
		overdue := func(i int) bool {
			return cluster.nodes[i].agent.PollOverdue()
		}
		qt.Assert(t, overdue(0), qt.IsFalse)
		cluster.run(func() { holdsLease = false })
		advance(100 * time.Millisecond)
		qt.Assert(t, overdue(0) && overdue(1), qt.IsTrue, qt.Commentf("nodes must look for another master at once"))
		cluster.run(func() {
			_, ok := cluster.master.RegisterNode(cluster.nodes[0].agent.State())
			qt.Check(t, ok, qt.IsFalse)
			cluster.master.SetConfig(packedConfigOf(9, "never"))
		})
		advance(time.Second)
		qt.Assert(t, cluster.nodes[0].configVersions, qt.DeepEquals, []uint64{3})
		cluster.run(func() { holdsLease = true })
		advance(500 * time.Millisecond)
		qt.Assert(t, overdue(0) || overdue(1), qt.IsFalse)
	})
}

// After all processes have been killed and restarted, no node has a view. The new
// master sends each of them the stored view as soon as it answers, before it makes a
// view of its own. A node that does have a view keeps it until then.
func TestNodesWithoutViewReceiveStoredViewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, membership := newClusterWithRelays(60, 3)
		defer cluster.stop()
		v := storedViewOf(60)
		v.Endpoints = []*meshpb.Endpoint{{Id: "e0", Service: "s", State: string(lifecycle.Up), Node: "n0", Inbound: "i0"}}
		agentWithView := cluster.nodes[7].agent
		qt.Assert(t, publish(agentWithView, &meshpb.View{Epoch: 1, Version: 8}, 1), qt.IsTrue)
		cluster.master.options.TakeoverDelay = 5 * time.Second
		cluster.becomeMaster(2, v, packedConfigOf(5, "d"), membership)
		advance(400 * time.Millisecond)
		for i, node := range cluster.nodes {
			want := uint64(9)
			if i == 7 {
				want = 8
			}
			qt.Check(t, node.agent.View().GetVersion(), qt.Equals, want, qt.Commentf("node %d", i))
			qt.Check(t, node.agent.ConfigVersion(), qt.Equals, uint64(5), qt.Commentf("node %d", i))
		}
		advance(6 * time.Second)
		for _, node := range cluster.nodes {
			qt.Check(t, node.agent.View().GetEpoch(), qt.Equals, uint64(2))
		}
		agent := cluster.nodes[3].agent
		qt.Assert(t, publish(agent, &meshpb.View{Epoch: 1, Version: 99}, 1), qt.IsFalse, qt.Commentf("sent by a previous master"))
		qt.Assert(t, publish(agent, &meshpb.View{Epoch: 1, Version: 99}, 2), qt.IsFalse, qt.Commentf("view of an older epoch"))
	})
}

// After all processes have been killed and restarted, nodes first report that they
// know no endpoint. The endpoints must stay in the view until the nodes have had time
// to find them.
func TestEndpointsStayInViewWhileTheirNodesRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, membership := newClusterWithRelays(30, 3)
		defer cluster.stop()
		v := storedViewOf(30)
		for i, node := range cluster.nodes {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Up), Node: fmt.Sprint("n", i), Inbound: fmt.Sprint("i", i)})
			node.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint = nil })
		}
		cluster.becomeMaster(2, v, packedConfigOf(5, "d"), membership)
		advance(time.Second)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 30)
		for i, node := range cluster.nodes[:20] {
			node.agent.UpdateState(func(n *meshpb.NodeState) {
				n.Endpoint = &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: "ready", Healthy: true, Slots: 4}
			})
		}
		cluster.nodes[20].agent.UpdateState(func(n *meshpb.NodeState) {
			n.Endpoint = &meshpb.Endpoint{Id: "e20", Service: "s", State: "gone", Healthy: true, Slots: 4}
		})
		advance(500 * time.Millisecond)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 29)
		advance(3 * time.Second)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 20)
		for _, n := range cluster.viewSizes {
			qt.Assert(t, n >= 20, qt.IsTrue, qt.Commentf("%v", cluster.viewSizes))
		}
	})
}
