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

// recordingNode records the views and configurations that are sent to a node and
// forwards them, unless it is set to fail.
type recordingNode struct {
	meshpb.Node
	mu          sync.Mutex
	views       []*meshpb.View
	fullConfigs int
	patches     int
	patchBytes  int
	failing     bool
}

func (n *recordingNode) PublishView(ctx context.Context, request *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	view := &meshpb.View{}
	if err := proto.Unmarshal(request.Packed, view); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.views = append(n.views, view)
	failing := n.failing
	n.mu.Unlock()
	if failing {
		return nil, errPartitioned
	}
	return n.Node.PublishView(ctx, request)
}

func (n *recordingNode) DeliverConfig(ctx context.Context, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	n.mu.Lock()
	if request.BaseVersion > 0 {
		n.patches += len(request.Patches)
		for _, p := range request.Patches {
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
	return n.Node.DeliverConfig(ctx, request)
}

// setFailing sets whether views and configurations fail after they are recorded. It
// returns the number of views recorded so far.
func (n *recordingNode) setFailing(failing bool) (views int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failing = failing
	return len(n.views)
}

// updateScenario is a test cluster whose first node records what it is sent and applies
// real configurations and patches.
type updateScenario struct {
	*testCluster
	t        *testing.T
	recorded *recordingNode
	agent    *nodeagent.Agent
	// config is the configuration that the first node has applied.
	config routeconfig.Config
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

// configDocument returns a configuration with the given number of routes; timeout, in
// seconds, is that of route 7, the others have 2 s.
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

// nextConfig returns configuration 4+i, in which one timeout differs from configuration
// 3+i, and appends the patch between them to the given patches.
func (s *updateScenario) nextConfig(i int, patches []*meshpb.ConfigPatch) *meshpb.Config {
	before, err := routeconfig.Parse(configDocument(3+i, 400, 2+float64(i)))
	qt.Assert(s.t, err, qt.IsNil)
	after, err := routeconfig.Parse(configDocument(4+i, 400, 3+float64(i)))
	qt.Assert(s.t, err, qt.IsNil)
	patch := &meshpb.ConfigPatch{BaseVersion: before.Version, Version: after.Version, Patch: rpc.Compress(after.PatchFrom(before))}
	return &meshpb.Config{Version: after.Version, Packed: rpc.Compress(after.Marshal()), Patches: append(patches, patch)}
}

func (s *updateScenario) checkConfigsArriveAsPatches() {
	last := &meshpb.Config{Version: 3, Packed: rpc.Compress(configDocument(3, 400, 2))}
	s.becomeMaster(1, nil, last, &meshpb.Membership{Version: 1})
	s.registerAll()
	advance(3 * time.Second)
	qt.Assert(s.t, s.recorded.fullConfigs, qt.Equals, 1)
	fullSize := len(s.master.config.packed)
	for i := range 5 {
		last = s.nextConfig(i, last.Patches)
		if i == 4 {
			// A new master that has never led before takes the patches from shard 0.
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
	qt.Assert(s.t, s.recorded.patchBytes < fullSize/2, qt.IsTrue)
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

// checkDeltaAfterLostResponse checks that no complete view is sent when the response to
// a view was lost. The master then assumes an older version than the node holds. The
// node rejects the delta from that version and names its own, which is the base of the
// next delta.
func (s *updateScenario) checkDeltaAfterLostResponse() {
	s.recorded.setFailing(true)
	s.nodes[5].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
	advance(1600 * time.Millisecond)
	for decremented := false; !decremented; advance(time.Millisecond) {
		s.run(func() {
			if p := s.master.progressOf("n0"); !p.viewInFlight {
				p.viewVersion--
				decremented = true
			}
		})
	}
	before := s.recorded.setFailing(false)
	advance(time.Second)
	for _, v := range s.recorded.views[before:] {
		qt.Assert(s.t, v.BaseVersion > 0, qt.IsTrue, qt.Commentf("complete view sent instead of a delta"))
	}
	qt.Assert(s.t, s.agent.View().Version, qt.Equals, s.store.view.Version)
}

// checkCompleteViewAfterGap checks that a node whose view is no longer kept as a base
// receives a complete one.
func (s *updateScenario) checkCompleteViewAfterGap() {
	s.recorded.setFailing(true)
	for i := range maxRecentViews + 4 {
		s.nodes[4+i%8].agent.UpdateState(func(n *meshpb.NodeState) { n.Endpoint.Slots++ })
		advance(600 * time.Millisecond)
	}
	s.recorded.setFailing(false)
	advance(3 * time.Second)
	last := s.recorded.views[len(s.recorded.views)-1]
	qt.Assert(s.t, last.BaseVersion, qt.Equals, uint64(0), qt.Commentf("delta sent from a view that is no longer kept"))
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
		s.checkDeltaAfterLostResponse()
		s.checkCompleteViewAfterGap()
	})
}

// Guards against a configuration that is sent twice after a takeover, because the node's
// first report was made before the acknowledgement and handled after it, and against an
// acknowledgement of an earlier incarnation that hides that the node needs one.
func TestAcknowledgementBeforeTheFirstReportCountsForItsIncarnation(t *testing.T) {
	for acknowledged, want := range map[string]uint64{"i1": 8, "i0": 7, "": 7} {
		m := &Master{options: Options{Now: func() time.Duration { return time.Second }}, progress: map[string]*nodeProgress{}}
		progress := m.progressOf("n")
		response := &meshpb.DeliverConfigResponse{Ok: true, Version: 8, Incarnation: acknowledged}
		progress.recordConfigAck(&meshpb.DeliverConfigRequest{Version: 8, BaseVersion: 7}, response, true, time.Second)
		m.updateProgress("n", &meshpb.NodeState{Incarnation: "i1", ConfigVersion: 7})
		qt.Check(t, m.progress["n"].configVersion, qt.Equals, want, qt.Commentf("acknowledged by %q", acknowledged))
	}
}
