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
	"corkcove/internal/nodeagent"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

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

func (n *recordingNode) PublishView(ctx context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	v := &meshpb.View{}
	if err := proto.Unmarshal(q.Packed, v); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.views = append(n.views, v)
	failing := n.failing
	n.mu.Unlock()
	if failing {
		return nil, errPartitioned
	}
	return n.Node.PublishView(ctx, q)
}

func (n *recordingNode) DeliverConfig(ctx context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	n.mu.Lock()
	if q.BaseVersion > 0 {
		n.patches += len(q.Patches)
		for _, p := range q.Patches {
			n.patchBytes += len(p)
		}
	} else {
		n.fullConfigs++
	}
	failing := n.failing
	n.mu.Unlock()
	if failing {
		return nil, errPartitioned
	}
	return n.Node.DeliverConfig(ctx, q)
}

// setFailing has all deliveries fail, or no longer; it returns how many views came
// until then.
func (n *recordingNode) setFailing(failing bool) (views int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failing = failing
	return len(n.views)
}

// updateScenario is a cluster of which one node is recorded and applies real
// configurations.
type updateScenario struct {
	*testCluster
	t        *testing.T
	recorded *recordingNode
	agent    *nodeagent.Agent
	config   routeconfig.Config
}

func newUpdateScenario(t *testing.T) *updateScenario {
	cluster := newTestCluster(12)
	s := &updateScenario{testCluster: cluster, t: t, recorded: &recordingNode{Node: cluster.nodes[0]}, agent: cluster.nodes[0].agent}
	s.agent.OnConfig = func(_ uint64, data []byte) (err error) {
		s.config, err = routeconfig.Parse(data)
		return err
	}
	s.agent.OnPatch = func(_ uint64, patches [][]byte) error {
		for _, data := range patches {
			p, err := routeconfig.ParsePatch(data)
			if err != nil {
				return err
			}
			if s.config, err = s.config.Apply(p); err != nil {
				return err
			}
		}
		return nil
	}
	cluster.master.clients.PutNode("a0", s.recorded)
	return s
}

// configDocument is a configuration of many routes, one of which has another
// timeout.
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

// nextConfig is a configuration with one change to the one before, and the patches
// that lead to it.
func (s *updateScenario) nextConfig(i int, patches []*meshpb.ConfigPatch) *meshpb.Config {
	before, err := routeconfig.Parse(configDocument(3+i, 400, 2+float64(i)))
	qt.Assert(s.t, err, qt.IsNil)
	after, err := routeconfig.Parse(configDocument(4+i, 400, 3+float64(i)))
	qt.Assert(s.t, err, qt.IsNil)
	patch := &meshpb.ConfigPatch{BaseVersion: before.Version, Version: after.Version, Patch: rpc.Pack(after.PatchFrom(before))}
	return &meshpb.Config{Version: after.Version, Packed: rpc.Pack(after.Marshal()), Patches: append(patches, patch)}
}

func (s *updateScenario) checkConfigsArriveAsPatches() {
	last := &meshpb.Config{Version: 3, Packed: rpc.Pack(configDocument(3, 400, 2))}
	s.becomeMaster(1, nil, last, &meshpb.Membership{Version: 1})
	s.registerAll()
	advance(3 * time.Second)
	qt.Assert(s.t, s.recorded.fullConfigs, qt.Equals, 1)
	full := len(s.master.config.packed)
	for i := range 5 {
		last = s.nextConfig(i, last.Patches)
		if i == 4 {
			// Another member, which has never been the master, has the patches from shard 0.
			s.run(s.master.StepDown)
			s.master.config = configState{}
			s.becomeMaster(2, s.store.view, last, &meshpb.Membership{Version: 1})
		} else {
			s.setConfig(last)
		}
		advance(200 * time.Millisecond)
	}
	qt.Assert(s.t, s.recorded.fullConfigs, qt.Equals, 1)
	qt.Assert(s.t, s.recorded.patches, qt.Equals, 5)
	qt.Assert(s.t, s.recorded.patchBytes < full/2, qt.IsTrue)
	qt.Assert(s.t, s.config.Version, qt.Equals, uint64(8))
	route := routeconfig.Compile(s.config).Match("a", "/p7/x")
	qt.Assert(s.t, route.Timeout, qt.Equals, 7*time.Second)
}

func (s *updateScenario) checkViewArrivesAsDelta() {
	advance(2 * time.Second)
	before := len(s.recorded.views)
	s.nodes[3].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.State = string(lifecycle.Draining) })
	advance(time.Second)
	qt.Assert(s.t, len(s.recorded.views), qt.Equals, before+1)
	qt.Assert(s.t, s.recorded.views[before].BaseVersion > 0 && len(s.recorded.views[before].Endpoints) == 1, qt.IsTrue)
	qt.Assert(s.t, s.endpointCount(0), qt.Equals, 12)
}

// An answer that got lost leaves the master with an older version; the node then
// says which one it holds, and gets the difference from that.
func (s *updateScenario) checkDeltaAfterLostAnswer() {
	s.recorded.setFailing(true)
	s.nodes[5].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
	advance(1600 * time.Millisecond)
	for older := false; !older; advance(time.Millisecond) {
		s.run(func() {
			if p := s.master.progressOf("n0"); !p.viewInFlight {
				p.viewVersion--
				older = true
			}
		})
	}
	before := s.recorded.setFailing(false)
	advance(time.Second)
	for _, v := range s.recorded.views[before:] {
		qt.Assert(s.t, v.BaseVersion > 0, qt.IsTrue, qt.Commentf("a complete view was sent"))
	}
	qt.Assert(s.t, s.agent.View().Version, qt.Equals, s.store.view.Version)
}

func (s *updateScenario) checkCompleteViewAfterGap() {
	s.recorded.setFailing(true)
	for i := range maxRecentViews + 4 {
		s.nodes[4+i%8].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
		advance(600 * time.Millisecond)
	}
	s.recorded.setFailing(false)
	advance(3 * time.Second)
	last := s.recorded.views[len(s.recorded.views)-1]
	qt.Assert(s.t, last.BaseVersion, qt.Equals, uint64(0), qt.Commentf("complete after a gap"))
	s.nodes[0].mu.Lock()
	defer s.nodes[0].mu.Unlock()
	qt.Assert(s.t, s.agent.View().Version, qt.Equals, s.store.view.Version)
}

func TestNodesReceiveOnlyPatchesAndViewDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUpdateScenario(t)
		defer s.stop()
		s.checkConfigsArriveAsPatches()
		s.checkViewArrivesAsDelta()
		s.checkDeltaAfterLostAnswer()
		s.checkCompleteViewAfterGap()
	})
}
