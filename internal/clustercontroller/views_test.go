package clustercontroller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/lifecycle"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

func TestChangesWithinSettleTimeMakeOneView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(4)
		defer cluster.stop()
		cluster.becomeMaster(1, nil, packedConfigOf(3, "c"), &meshpb.Membership{Version: 1})
		cluster.registerAll()
		advance(2 * time.Second)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 4)
		qt.Assert(t, cluster.nodes[0].configVersions, qt.DeepEquals, []uint64{3})
		before := cluster.store.view.Version
		for _, f := range cluster.nodes[1:] {
			f.agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = "draining" })
		}
		advance(time.Second)
		qt.Assert(t, cluster.store.view.Version, qt.Equals, before+1)
		cluster.run(func() { cluster.master.SetUserStates(map[string]string{"n0": string(lifecycle.Down)}, "n0") })
		advance(time.Second)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 3)
	})
}

// recordingNode counts what goes to one node.
type recordingNode struct {
	meshpb.Node
	mu          sync.Mutex
	views       []*meshpb.View
	fullConfigs int
	patches     int
	patchBytes  int
	failing     bool
}

func (e *recordingNode) PublishView(c context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	v := &meshpb.View{}
	if err := proto.Unmarshal(q.Packed, v); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.views = append(e.views, v)
	d := e.failing
	e.mu.Unlock()
	if d {
		return nil, errPartitioned
	}
	return e.Node.PublishView(c, q)
}

func (e *recordingNode) DeliverConfig(c context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	e.mu.Lock()
	if q.BaseVersion > 0 {
		e.patches += len(q.Patches)
		for _, p := range q.Patches {
			e.patchBytes += len(p)
		}
	} else {
		e.fullConfigs++
	}
	d := e.failing
	e.mu.Unlock()
	if d {
		return nil, errPartitioned
	}
	return e.Node.DeliverConfig(c, q)
}

func configDocument(version, routes int, timeout float64) []byte {
	b := fmt.Appendf(nil, `{"stamp":"r%d","resourceList":[{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}`, version)
	for i := range routes {
		t := 2.0
		if i == 7 {
			t = timeout
		}
		b = fmt.Appendf(b, `,{"variant":"bindingList","metadata":{"name":"b%d"},"specification":{"hostname":"a","pathPrefix":"/p%d/","bindingKind":"pure","timeoutS":%v,"serviceName":"s"}}`, i, i, t)
	}
	return append(b, "]}"...)
}

func TestNodesReceiveOnlyPatchesAndViewDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(12)
		defer cluster.stop()
		e := &recordingNode{Node: cluster.nodes[0]}
		a := cluster.nodes[0].agent
		var doc routeconfig.Config
		a.OnConfig = func(_ uint64, b []byte) (err error) { doc, err = routeconfig.Parse(b); return err }
		a.OnPatch = func(_ uint64, ps [][]byte) error {
			for _, b := range ps {
				p, err := routeconfig.ParsePatch(b)
				if err != nil {
					return err
				}
				if doc, err = doc.Apply(p); err != nil {
					return err
				}
			}
			return nil
		}
		cluster.master.clients.PutNode("a0", e)
		last := &meshpb.Config{Version: 3, Packed: rpc.Pack(configDocument(3, 400, 2))}
		cluster.becomeMaster(1, nil, last, &meshpb.Membership{Version: 1})
		cluster.registerAll()
		advance(3 * time.Second)
		qt.Assert(t, e.fullConfigs, qt.Equals, 1)
		full := len(cluster.master.config.packed)
		for i := range 5 {
			old, err := routeconfig.Parse(configDocument(3+i, 400, 2+float64(i)))
			qt.Assert(t, err, qt.IsNil)
			now, err := routeconfig.Parse(configDocument(4+i, 400, 3+float64(i)))
			qt.Assert(t, err, qt.IsNil)
			last = &meshpb.Config{Version: now.Version, Packed: rpc.Pack(now.Marshal()), Patches: append(last.Patches, &meshpb.ConfigPatch{BaseVersion: old.Version, Version: now.Version, Patch: rpc.Pack(now.PatchFrom(old))})}
			if i == 4 {
				// Another member, which has never been the master, has the patches from shard 0.
				cluster.run(cluster.master.StepDown)
				cluster.master.config = configState{}
				cluster.becomeMaster(2, cluster.store.view, last, &meshpb.Membership{Version: 1})
			} else {
				cluster.setConfig(last)
			}
			advance(200 * time.Millisecond)
		}
		qt.Assert(t, e.fullConfigs, qt.Equals, 1)
		qt.Assert(t, e.patches, qt.Equals, 5)
		qt.Assert(t, e.patchBytes < full/2, qt.IsTrue)
		qt.Assert(t, doc.Version, qt.Equals, uint64(8))
		got := routeconfig.Compile(doc).Match("a", "/p7/x")
		qt.Assert(t, got.Timeout, qt.Equals, 7*time.Second)

		advance(2 * time.Second)
		n := len(e.views)
		cluster.nodes[3].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = "draining" })
		advance(time.Second)
		qt.Assert(t, len(e.views), qt.Equals, n+1)
		qt.Assert(t, e.views[n].BaseVersion > 0 && len(e.views[n].Endpoints) == 1, qt.IsTrue)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 12)

		e.mu.Lock()
		e.failing = true
		e.mu.Unlock()
		// An answer that got lost leaves the master with an older version; the node
		// then says which one it holds, and gets the difference from that.
		cluster.nodes[5].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
		advance(1600 * time.Millisecond)
		for older := false; !older; advance(time.Millisecond) {
			cluster.run(func() {
				if c := cluster.master.progressOf("n0"); !c.viewInFlight {
					c.viewVersion--
					older = true
				}
			})
		}
		e.mu.Lock()
		n = len(e.views)
		e.failing = false
		e.mu.Unlock()
		advance(time.Second)
		for _, v := range e.views[n:] {
			qt.Assert(t, v.BaseVersion > 0, qt.IsTrue, qt.Commentf("a complete view was sent"))
		}
		qt.Assert(t, a.View().Version, qt.Equals, cluster.store.view.Version)
		e.mu.Lock()
		e.failing = true
		e.mu.Unlock()
		for i := range maxRecentViews + 4 {
			cluster.nodes[4+i%8].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
			advance(600 * time.Millisecond)
		}
		e.mu.Lock()
		e.failing = false
		e.mu.Unlock()
		advance(3 * time.Second)
		qt.Assert(t, e.views[len(e.views)-1].BaseVersion, qt.Equals, uint64(0), qt.Commentf("complete after a gap"))
		cluster.nodes[0].mu.Lock()
		defer cluster.nodes[0].mu.Unlock()
		qt.Assert(t, a.View().Version, qt.Equals, cluster.store.view.Version)
	})
}
