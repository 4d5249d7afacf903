package replication_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLeaveTransfersOwnership(t *testing.T) {
	cluster := newSimCluster(t, 4, 3)
	cluster.runUntil(4 * time.Second)
	cluster.nodes["m0"].replica.Leave()
	cluster.runUntil(cluster.now + 600*time.Millisecond)
	qt.Assert(t, cluster.nodes["m0"].replica.LeaveComplete(), qt.IsTrue)
	qt.Assert(t, cluster.ownedShards(), qt.Equals, simShards)
}

func TestStalledDiskTransfersOwnership(t *testing.T) {
	cluster := newSimCluster(t, 6, 3)
	load := newWorkload(cluster)
	load.start(20 * time.Second)
	cluster.runUntil(5 * time.Second)
	cluster.nodes["m0"].syncDelay = 8 * time.Second
	cluster.runUntil(cluster.now + 1500*time.Millisecond)
	qt.Assert(t, cluster.nodes["m0"].replica.LeaveComplete(), qt.IsTrue)
	qt.Assert(t, cluster.ownedShards(), qt.Equals, simShards)
	before := load.served
	cluster.runUntil(cluster.now + time.Second)
	requireServing(t, cluster, load, before+40)
}

// TestTransferIsQuickInAnyMessageOrder: a vote request may overtake the word that the
// owner has transferred the shard, and is then repeated; what the owner had sent
// before may come after it, and renews no lease.
func TestTransferIsQuickInAnyMessageOrder(t *testing.T) {
	late := 0
	for seed := int64(1); seed <= 60; seed++ {
		cluster := newSimCluster(t, seed, 3)
		load := newWorkload(cluster)
		load.start(20 * time.Second)
		cluster.runUntil(5 * time.Second)
		cluster.nodes["m0"].syncDelay = 8 * time.Second
		cluster.runUntil(cluster.now + 1500*time.Millisecond)
		if cluster.ownedShards() != simShards {
			late++
		}
		cluster.runUntil(cluster.now + time.Second)
		qt.Check(t, cluster.ownedShards(), qt.Equals, simShards, qt.Commentf("seed %d", seed))
	}
	qt.Assert(t, late, qt.Equals, 0, qt.Commentf("of 60"))
}

// TestStarvedOwnerKeepsItsShards: transferred, the load of a member without processor
// time would starve the next one, and then the one after it.
func TestStarvedOwnerKeepsItsShards(t *testing.T) {
	cluster := newSimCluster(t, 6, 5)
	load := newWorkload(cluster)
	load.start(20 * time.Second)
	cluster.runUntil(5 * time.Second)
	starving := cluster.nodes["m0"]
	_, owned := starving.replica.OwnedEpoch(0)
	qt.Assert(t, owned, qt.IsTrue)
	starving.tickDelay, starving.syncDelay = 300*time.Millisecond, 550*time.Millisecond
	epoch := starving.replica.Epoch(0)
	cluster.runUntil(cluster.now + 4*time.Second)
	qt.Assert(t, starving.replica.Epoch(0), qt.Equals, epoch)
	_, owned = starving.replica.OwnedEpoch(0)
	qt.Assert(t, owned, qt.IsTrue)
	starving.tickDelay, starving.syncDelay = 0, 2*time.Millisecond
	before := load.served
	cluster.runUntil(cluster.now + 2*time.Second)
	requireServing(t, cluster, load, before+40)
}
