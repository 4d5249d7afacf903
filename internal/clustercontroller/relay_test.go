package clustercontroller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

func TestTakeoverReachesAllNodesThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(120, 5)
		defer cluster.stop()
		cluster.becomeMaster(2, storedViewOf(120), packedConfigOf(5, "d"), membership)
		advance(600 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 5)
		total := 0
		for _, member := range members {
			total += member.targetCount
			qt.Check(t, member.relayCalls <= 6, qt.IsTrue, qt.Commentf("%d relay calls", member.relayCalls))
			qt.Check(t, member.targetCount >= 3*120/5*2/3, qt.IsTrue, qt.Commentf("%d targets", member.targetCount))
		}
		qt.Check(t, total >= 3*120, qt.IsTrue, qt.Commentf("%d targets relayed; want the polls, configurations and views of 120 nodes", total))
		// A changed configuration takes one call to each relay.
		before := members[0].relayCalls
		cluster.setConfig(&meshpb.Config{Version: 6, Packed: rpc.Compress([]byte("e")), Patches: []*meshpb.ConfigPatch{{BaseVersion: 5, Version: 6, Patch: rpc.Compress([]byte("p"))}}})
		advance(100 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 6)
		qt.Check(t, members[0].relayCalls-before, qt.Equals, 1)
	})
}

// A member from which this replica has not heard within a lease, as InContact reports,
// gets no relay calls.
func TestMemberNotInContactIsNotUsedAsRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(60, 3)
		defer cluster.stop()
		members[0].unresponsive = true
		cluster.master.options.InContact = func(a string) bool { return a != "core0" }
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(time.Second)
		cluster.checkAllNodesUpToDate(t, 5)
		cluster.setConfig(packedConfigOf(6, "e"))
		advance(400 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 6)
		qt.Check(t, members[0].relayCalls, qt.Equals, 0)
	})
}

func TestUnresponsiveOrPartitionedRelayIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(60, 3)
		defer cluster.stop()
		members[0].unresponsive = true
		members[1].clients = rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(4 * time.Second)
		cluster.checkAllNodesUpToDate(t, 5)
		before := members[0].relayCalls
		cluster.setConfig(packedConfigOf(6, "e"))
		advance(1800 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 6)
		qt.Check(t, members[0].relayCalls-before <= 2, qt.IsTrue)
	})
}

func TestMasterWithoutLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(40, 2)
		defer cluster.stop()
		holdsLease := true
		cluster.run(func() {
			cluster.master.options.HoldsLease = func() bool { return holdsLease }
			cluster.master.BecomeMaster(2, storedViewOf(40), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		cluster.checkAllNodesUpToDate(t, 5)
		before := members[0].relayCalls + members[1].relayCalls
		cluster.run(func() {
			cluster.master.SetConfig(packedConfigOf(6, "e"))
			holdsLease = false
		})
		advance(2 * time.Second)
		qt.Assert(t, members[0].relayCalls+members[1].relayCalls, qt.Equals, before)
		cluster.checkAllNodesUpToDate(t, 5)
		cluster.run(func() { holdsLease = true })
		advance(time.Second)
		cluster.checkAllNodesUpToDate(t, 6)
	})
}

func TestUnreachableNodesDoNotDelayOthersOfSameRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, membership := newClusterWithRelays(60, 2)
		defer cluster.stop()
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(time.Second)
		for i := range 12 {
			cluster.nodes[5*i].setPartitioned(true)
		}
		for version := uint64(6); version < 9; version++ {
			cluster.setConfig(packedConfigOf(version, "e"))
			advance(400 * time.Millisecond)
			behind := 0
			for i, node := range cluster.nodes {
				node.mu.Lock()
				if i%5 != 0 && node.configVersions[len(node.configVersions)-1] != version {
					behind++
				}
				node.mu.Unlock()
			}
			qt.Check(t, behind, qt.Equals, 0, qt.Commentf("nodes without configuration %d", version))
		}
	})
}
