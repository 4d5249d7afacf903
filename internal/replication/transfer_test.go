package replication_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeaveTransfersOwnership checks that the other members own all shards within 600 ms
// of Leave.
func TestLeaveTransfersOwnership(t *testing.T) {
	cluster := newSimCluster(t, 4, 3)
	cluster.runUntil(4 * time.Second)
	cluster.nodes["m0"].replica.Leave()
	cluster.runUntil(cluster.now + 600*time.Millisecond)
	qt.Assert(t, cluster.nodes["m0"].replica.LeaveComplete(), qt.IsTrue)
	qt.Assert(t, cluster.ownedShards(), qt.Equals, simShards)
}

// TestStalledDiskTransfersOwnership checks that an owner whose disk takes 8 s per sync
// transfers its shards within 1.5 s, and that the new owners serve calls.
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

// TestTransferIsQuickInAnyMessageOrder checks with 60 message orders that a transfer
// leaves no shard without an owner for long. The successor's vote request may overtake
// the owner's TransferOwnership message; it is then rejected, since the lease is still
// valid, and must soon be repeated. Heartbeats and Replicate requests that the owner
// sent earlier may arrive after that message, and must not renew the lease.
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
	qt.Assert(t, late, qt.Equals, 0, qt.Commentf("of 60 seeds"))
}

// TestStarvedOwnerKeepsItsShards checks that an owner which gets too little processor
// time does not mistake its late writes for a stalled disk and transfer its shards.
// Their load would starve the next owner, and then the one after it.
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
