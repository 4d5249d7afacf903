package clustercontroller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// lateHeartbeat is a heartbeat of a node's endpoint from before it began to leave.
func lateHeartbeat(node int) endpointagent.Heartbeat {
	return endpointagent.Heartbeat{ID: fmt.Sprint("e", node), Service: "s", Slots: 4, State: lifecycle.Ready, Seq: 7}
}

// restartSidecar restarts a node like restart, but with the agent of an endpoint, which
// knows none yet, as the source of its state.
func (c *testCluster) restartSidecar(i int, incarnation string) *endpointagent.Agent {
	c.restart(i, incarnation)
	node := c.nodes[i].currentAgent()
	node.UpdateState(func(state *meshpb.NodeState) { state.Endpoint = nil })
	endpoint := endpointagent.New(endpointagent.Options{Service: "s", HeartbeatInterval: time.Hour, MissedHeartbeats: 3, QueuePerSlot: 1,
		OnChange: func(status endpointagent.Status) {
			node.UpdateState(func(state *meshpb.NodeState) {
				state.Endpoint = &meshpb.Endpoint{Id: status.ID, Service: "s", State: string(status.State), Healthy: status.Healthy, Slots: uint32(status.Slots)}
			})
		}})
	node.OnLastEndpoint = func(last *meshpb.Endpoint) {
		if last.AnnouncedShutdown {
			endpoint.RestoreLeaving(endpointagent.Heartbeat{ID: last.Id, Service: "s", Slots: int(last.Slots), State: lifecycle.State(last.State)})
		}
	}
	return endpoint
}

// readyEndpoints returns the number of endpoints that get requests, in the last view that
// node i applied.
func (c *testCluster) readyEndpoints(i int) (count int) {
	c.nodes[i].mu.Lock()
	defer c.nodes[i].mu.Unlock()
	for _, e := range c.lastEndpoints[i] {
		if e.State == string(lifecycle.Up) {
			count++
		}
	}
	return count
}

// Guards against an endpoint that gets requests again after it began to leave, because its
// node was restarted and a heartbeat from before came late (review/5).
func TestEndpointThatLeavesStaysOutAcrossARestartOfItsNode(t *testing.T) {
	for _, leaving := range []lifecycle.State{lifecycle.Draining, lifecycle.Gone} {
		for _, late := range []time.Duration{-1, 0, time.Millisecond, time.Second} {
			for _, registers := range []bool{true, false} {
				name := fmt.Sprintf("%s, heartbeat after %v, registers %v", leaving, late, registers)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testReturningEndpoint(t, leaving, late, registers) })
				})
			}
		}
	}
}

// testReturningEndpoint lets the endpoint of node 1 leave and restarts the node. A late
// heartbeat comes the given time after the start, or just before the first report if that
// is negative. The node registers, or is polled because the master still has its address.
func testReturningEndpoint(t *testing.T, leaving lifecycle.State, late time.Duration, registers bool) {
	cluster := newTestCluster(2)
	defer cluster.stopAfterCalls()
	cluster.becomeMaster(1, &meshpb.View{}, nil, nil)
	cluster.registerAll()
	advance(time.Second)
	qt.Assert(t, cluster.readyEndpoints(0), qt.Equals, 2)
	cluster.nodes[1].agent.UpdateState(func(state *meshpb.NodeState) { state.Endpoint.State = string(leaving) })
	advance(time.Second)
	qt.Assert(t, cluster.readyEndpoints(0), qt.Equals, 1)

	endpoint := cluster.restartSidecar(1, "restarted")
	if late < 0 {
		endpoint.RecordHeartbeat(lateHeartbeat(1))
	}
	if registers {
		node := cluster.nodes[1].currentAgent()
		var last *meshpb.Endpoint
		cluster.run(func() { last, _ = cluster.master.RegisterNode(node.State()) })
		node.OnLastEndpoint(last)
	}
	time.AfterFunc(max(late, 0), func() { endpoint.RecordHeartbeat(lateHeartbeat(1)) })
	for range 50 {
		advance(100 * time.Millisecond)
		qt.Assert(t, cluster.readyEndpoints(0), qt.Equals, 1)
	}
	// The node itself knows it, and tells the next master.
	qt.Assert(t, endpoint.Status().State, qt.Equals, leaving)
	qt.Assert(t, cluster.nodes[1].currentAgent().State().Endpoint.State, qt.Equals, string(leaving))

	successor := lateHeartbeat(1)
	successor.ID = "successor"
	qt.Assert(t, endpoint.RecordHeartbeat(successor), qt.IsTrue)
	advance(time.Second)
	qt.Assert(t, cluster.readyEndpoints(0), qt.Equals, 2)
}

// Guards against an endpoint that is kept out because its node was stopping, or the operator
// had retired it, when the view was stored from which a new master restores its state. The
// endpoint itself did not leave.
func TestEndpointOfANodeThatWasStoppingReturnsAfterATakeover(t *testing.T) {
	for _, registers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(2)
			defer cluster.stopAfterCalls()
			v := storedViewOf(2)
			for i, state := range []lifecycle.State{lifecycle.Up, lifecycle.Draining} {
				v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(state), Node: fmt.Sprint("n", i), Inbound: fmt.Sprint("i", i)})
			}
			endpoint := cluster.restartSidecar(1, "restarted")
			cluster.becomeMaster(2, v, nil, nil)
			if registers {
				node := cluster.nodes[1].currentAgent()
				var last *meshpb.Endpoint
				cluster.run(func() { last, _ = cluster.master.RegisterNode(node.State()) })
				node.OnLastEndpoint(last)
			}
			advance(100 * time.Millisecond)
			endpoint.RecordHeartbeat(lateHeartbeat(1))
			advance(5 * time.Second)
			qt.Assert(t, endpoint.Status().State, qt.Equals, lifecycle.Ready)
			qt.Assert(t, cluster.readyEndpoints(0), qt.Equals, 2)
		})
	}
}
