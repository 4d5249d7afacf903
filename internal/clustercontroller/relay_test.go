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
		for _, r := range members {
			total += r.targetCount
			qt.Check(t, r.relayCalls <= 6, qt.IsTrue, qt.Commentf("%d calls", r.relayCalls))
			qt.Check(t, r.targetCount >= 3*120/5*2/3, qt.IsTrue, qt.Commentf("%d nodes", r.targetCount))
		}
		qt.Check(t, total >= 3*120, qt.IsTrue, qt.Commentf("polls, configurations and the view go through relays: %d", total))
		// A changed configuration is one call for each relay.
		was := members[0].relayCalls
		cluster.setConfig(&meshpb.Config{Version: 6, Packed: rpc.Pack([]byte("e")), Patches: []*meshpb.ConfigPatch{{BaseVersion: 5, Version: 6, Patch: rpc.Pack([]byte("p"))}}})
		advance(100 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 6)
		qt.Check(t, members[0].relayCalls-was, qt.Equals, 1)
	})
}

// A member that the replica has not heard of within a lease is asked for nothing.
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
		was := members[0].relayCalls
		cluster.setConfig(packedConfigOf(6, "e"))
		advance(1800 * time.Millisecond)
		cluster.checkAllNodesUpToDate(t, 6)
		qt.Check(t, members[0].relayCalls-was <= 2, qt.IsTrue)
	})
}

func TestNothingIsSentOrRelayedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, members, membership := newClusterWithRelays(40, 2)
		defer cluster.stop()
		leased := true
		cluster.run(func() {
			cluster.master.options.HoldsLease = func() bool { return leased }
			cluster.master.BecomeMaster(2, storedViewOf(40), map[string]string{}, packedConfigOf(5, "d"), membership)
		})
		advance(time.Second)
		cluster.checkAllNodesUpToDate(t, 5)
		was := members[0].relayCalls + members[1].relayCalls
		cluster.run(func() {
			cluster.master.SetConfig(packedConfigOf(6, "e"))
			leased = false
		})
		advance(2 * time.Second)
		qt.Assert(t, members[0].relayCalls+members[1].relayCalls, qt.Equals, was)
		cluster.checkAllNodesUpToDate(t, 5)
		cluster.run(func() { leased = true })
		advance(time.Second)
		cluster.checkAllNodesUpToDate(t, 6)
	})
}

func TestDeadNodesDoNotDelayOthersOfTheirRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, _, membership := newClusterWithRelays(60, 2)
		defer cluster.stop()
		cluster.becomeMaster(2, storedViewOf(60), packedConfigOf(5, "d"), membership)
		advance(time.Second)
		for i := range 12 {
			cluster.nodes[5*i].setPartitioned(true)
		}
		for c := uint64(6); c < 9; c++ {
			cluster.setConfig(packedConfigOf(c, "e"))
			advance(400 * time.Millisecond)
			late := 0
			for i, f := range cluster.nodes {
				f.mu.Lock()
				if i%5 != 0 && f.configVersions[len(f.configVersions)-1] != c {
					late++
				}
				f.mu.Unlock()
			}
			qt.Check(t, late, qt.Equals, 0, qt.Commentf("configuration %d", c))
		}
	})
}
