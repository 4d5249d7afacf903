package clustercontroller

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
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
		for _, node := range cluster.nodes[1:] {
			node.agent.UpdateState(func(state *meshpb.NodeState) { state.Endpoint.State = "draining" })
		}
		advance(time.Second)
		qt.Assert(t, cluster.store.view.Version, qt.Equals, before+1)
		cluster.run(func() { cluster.master.SetUserStates(map[string]string{"n0": string(lifecycle.Down)}, "n0") })
		advance(time.Second)
		qt.Assert(t, cluster.endpointCount(0), qt.Equals, 3)
	})
}
