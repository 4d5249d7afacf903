package replication_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// TestReplicaRefusesEpochChangeFromOtherPosition checks that a replica applies an epoch
// change only if it is at exactly the epoch and version that the change starts from. At
// the same version in another epoch its content may differ.
func TestReplicaRefusesEpochChangeFromOtherPosition(t *testing.T) {
	cluster := newSimCluster(t, 5, 3)
	load := newWorkload(cluster)
	load.start(5 * time.Second)
	cluster.runUntil(5 * time.Second)
	follower := cluster.nodes["m1"].replica
	status := follower.ShardStatuses()[0]
	sendEpochChange := func(change *meshpb.EpochChange) *meshpb.ReplicateAck {
		var ack *meshpb.ReplicateAck
		request := &meshpb.ReplicateRequest{
			Header:       &meshpb.SenderHeader{From: cluster.nodes["m0"].replica.Self(), To: follower.Self().Id, Membership: follower.Membership().Version},
			EpochChanges: []*meshpb.EpochChange{change},
		}
		follower.HandleReplicate(request, func(response *meshpb.ReplicateResponse) {
			if len(response.Acks) == 1 {
				ack = response.Acks[0]
			}
		})
		cluster.runUntil(cluster.now + 20*time.Millisecond)
		return ack
	}
	ack := sendEpochChange(&meshpb.EpochChange{Epoch: status.Epoch + 640, FromEpoch: status.Epoch - 1, FromVersion: status.Version})
	qt.Assert(t, ack.Gap && ack.HaveEpoch == status.Epoch && ack.HaveVersion == status.Version, qt.IsTrue)
	ack = sendEpochChange(&meshpb.EpochChange{Epoch: status.Epoch + 640, FromEpoch: status.Epoch, FromVersion: status.Version + 1})
	qt.Assert(t, ack.Gap, qt.IsTrue)
	qt.Assert(t, follower.ShardStatuses()[0].Epoch, qt.Equals, status.Epoch)
	ack = sendEpochChange(&meshpb.EpochChange{Epoch: status.Epoch + 640, FromEpoch: status.Epoch, FromVersion: status.Version})
	qt.Assert(t, ack.Gap, qt.IsFalse)
	qt.Assert(t, follower.ShardStatuses()[0].Epoch, qt.Equals, status.Epoch+640)
	ack = sendEpochChange(&meshpb.EpochChange{Epoch: status.Epoch + 64, FromEpoch: status.Epoch + 640, FromVersion: status.Version})
	qt.Assert(t, ack.Gap && ack.Promised == status.Epoch+640, qt.IsTrue)
}

// TestPeerWithoutEpochChangeSupportGetsFullStates checks that a member of an earlier
// release, which processes states and entries but ignores epoch changes, still reaches
// the epoch of a new owner. It also guards against an owner that repeats ignored epoch
// changes in a loop: fewer than 600 Replicate calls are allowed, including the calls that
// replicate the workload's changes.
func TestPeerWithoutEpochChangeSupportGetsFullStates(t *testing.T) {
	cluster := newSimCluster(t, 2, 3)
	load := newWorkload(cluster)
	load.start(20 * time.Second)
	cluster.runUntil(4 * time.Second)
	cluster.withoutEpochChanges = "m2"
	callsBefore := cluster.replicateCalls
	cluster.nodes["m0"].kill()
	cluster.runUntil(cluster.now + 3*time.Second)
	qt.Assert(t, cluster.ownedShards(), qt.Equals, simShards)
	for i, status := range cluster.nodes["m1"].replica.ShardStatuses() {
		if status.Owned {
			qt.Check(t, cluster.nodes["m2"].replica.Epoch(i), qt.Equals, status.Epoch)
		}
	}
	qt.Assert(t, cluster.replicateCalls-callsBefore < 600, qt.IsTrue, qt.Commentf("%d Replicate calls", cluster.replicateCalls-callsBefore))
}
