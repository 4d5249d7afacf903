package replication_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// requestVote asks the node named voter, on behalf of the node named candidate, for its
// vote in the epoch, and returns whether the vote was granted.
func (c *simCluster) requestVote(voter, candidate string, shard uint32, epoch uint64) bool {
	replica, sender := c.nodes[voter].replica, c.nodes[candidate].replica.Self()
	granted := false
	request := &meshpb.RequestVotesRequest{
		Header: &meshpb.SenderHeader{From: sender, To: replica.Self().Id, Membership: replica.Membership().Version},
		Votes:  []*meshpb.VoteRequest{{Shard: shard, Epoch: epoch}},
	}
	replica.HandleRequestVotes(request, func(response *meshpb.RequestVotesResponse) {
		granted = response != nil && len(response.Replies) == 1 && response.Replies[0].Granted
	})
	c.runUntil(c.now + 10*time.Millisecond)
	return granted
}

// TestVoterHonorsLeasesAndEarlierVotes checks that a member refuses its vote while a
// lease that it granted or holds is in force, also right after a restart, and that it
// votes for one candidate only in each epoch.
func TestVoterHonorsLeasesAndEarlierVotes(t *testing.T) {
	cluster := newSimCluster(t, 8, 3)
	cluster.runUntil(4 * time.Second)
	_, owned := cluster.nodes["m0"].replica.OwnedEpoch(1)
	qt.Assert(t, owned, qt.IsTrue)
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 500), qt.IsFalse)
	qt.Assert(t, cluster.requestVote("m0", "m2", 1, 500), qt.IsFalse, qt.Commentf("the owner refuses while it holds the lease"))

	cluster.nodes["m1"].kill()
	cluster.nodes["m1"].start()
	cluster.runUntil(cluster.now + 5*time.Millisecond)
	cluster.setIsolated("m0", true)
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 600), qt.IsFalse, qt.Commentf("a restarted member may have granted a lease before the restart"))
	qt.Assert(t, cluster.requestVote("m1", "m0", 1, 700), qt.IsTrue, qt.Commentf("the lease holder itself need not wait"))
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 700), qt.IsFalse, qt.Commentf("one vote per epoch"))
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 710), qt.IsFalse)
	cluster.setIsolated("m1", true)
	cluster.runUntil(cluster.now + time.Second)
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 700), qt.IsFalse, qt.Commentf("one vote per epoch"))
	qt.Assert(t, cluster.requestVote("m1", "m2", 1, 5000), qt.IsTrue)
	cluster.runUntil(cluster.now + time.Second)
	qt.Assert(t, cluster.requestVote("m1", "m0", 1, 5000), qt.IsFalse, qt.Commentf("one vote per epoch"))
	qt.Assert(t, cluster.requestVote("m1", "m0", 1, 5010), qt.IsTrue)
}

// TestReconnectedMemberDoesNotDisruptOwners checks that a member that returns from a
// partition unseats no owner. While partitioned it wins no pre-vote, so it does not
// vote for itself in a higher epoch; afterwards the leases that the other members have
// granted make them refuse its pre-vote.
func TestReconnectedMemberDoesNotDisruptOwners(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		cluster := newSimCluster(t, seed, 3)
		cluster.runUntil(5 * time.Second)
		cluster.setIsolated("m0", true)
		cluster.runUntil(cluster.now + 8*time.Second)
		var epochs [simShards]uint64
		for shard := range epochs {
			epochs[shard] = cluster.nodes["m1"].replica.Epoch(shard)
		}
		cluster.setIsolated("m0", false)
		cluster.runUntil(cluster.now + 2*time.Second)
		for shard, epoch := range epochs {
			qt.Check(t, cluster.nodes["m1"].replica.Epoch(shard), qt.Equals, epoch, qt.Commentf("seed %d, shard %d", seed, shard))
		}
		qt.Assert(t, cluster.ownedShards(), qt.Equals, simShards)
	}
}

// TestOwnerReceivingNothingIsReplacedWithinTwoLeases checks that the heartbeats of an
// owner that receives nothing do not renew its leases: they would keep its shards
// from all other members, although it cannot serve them.
func TestOwnerReceivingNothingIsReplacedWithinTwoLeases(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		cluster := newSimCluster(t, seed, 5)
		cluster.runUntil(7 * time.Second)
		cluster.notReceiving["m0"] = true
		cluster.runUntil(cluster.now + 1800*time.Millisecond)
		owned := false
		for _, node := range cluster.allNodes()[1:] {
			_, owns := node.replica.OwnedEpoch(0)
			owned = owned || owns
		}
		qt.Check(t, owned, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestGrantedLeaseExpires checks that LeaseGranted reports a lease for the owner's epoch
// only, and only until the lease expires. A relay may speak for a master no longer than
// that.
func TestGrantedLeaseExpires(t *testing.T) {
	cluster := newSimCluster(t, 3, 3)
	cluster.runUntil(4 * time.Second)
	_, own := cluster.nodes["m0"].replica.OwnedEpoch(0)
	qt.Assert(t, own, qt.IsTrue)
	epoch, follower := cluster.nodes["m0"].replica.Epoch(0), cluster.nodes["m1"].replica
	qt.Assert(t, follower.LeaseGranted(0, epoch), qt.IsTrue)
	qt.Assert(t, follower.LeaseGranted(0, epoch-1) || follower.LeaseGranted(0, epoch+1), qt.IsFalse)
	cluster.setIsolated("m0", true)
	cluster.runUntil(cluster.now + time.Second)
	qt.Assert(t, follower.LeaseGranted(0, epoch), qt.IsFalse)
}

// TestConcurrentCandidatesConvergeOnOneEpoch checks that two concurrent candidates, both
// named as successor, propose different epochs, so that the one that loses, and its
// replica, follows the other.
func TestConcurrentCandidatesConvergeOnOneEpoch(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		run := &scenarioRun{simCluster: newSimCluster(t, seed, 3), scenario: scenario{Members: 3}}
		run.workload = newWorkload(run.simCluster)
		run.runUntil(5 * time.Second)
		run.workload.start(run.now + 10*time.Second)
		epoch := run.nodes["m0"].replica.Epoch(0)
		run.nodes["m0"].kill()
		for _, address := range []string{"m1", "m2"} {
			replica := run.nodes[address].replica
			replica.HandleTransferOwnership(&meshpb.TransferOwnershipRequest{
				Header:     &meshpb.SenderHeader{From: &meshpb.Member{Id: "founder-m0", Addr: "m0"}, To: replica.Self().Id, Membership: 1},
				Watermarks: []*meshpb.Watermark{{Epoch: epoch}},
				Successor:  replica.Self().Id,
			})
		}
		run.runUntil(run.now + 4*time.Second)
		var epochs []uint64
		for _, address := range []string{"m1", "m2"} {
			epochs = append(epochs, run.nodes[address].replica.Epoch(0))
		}
		qt.Check(t, epochs[0], qt.Equals, epochs[1], qt.Commentf("seed %d", seed))
	}
}

// Guards against two owners that both hold a lease: a member won a pre-vote, and voted for
// itself although it had granted the previous owner a lease since the pre-vote began. The
// owner's heartbeat arrives at each moment around the election, in steps of half a
// millisecond.
func TestLeaseGrantedDuringPreVoteIsHonored(t *testing.T) {
	const shard, step, window, lease = 1, 500 * time.Microsecond, 60 * time.Millisecond, 900 * time.Millisecond
	isolated := func(seed int64) *simCluster {
		cluster := newSimCluster(t, seed, 3)
		cluster.runUntil(4 * time.Second)
		cluster.setIsolated("m0", true)
		return cluster
	}
	successor := func(cluster *simCluster) string {
		for _, address := range []string{"m1", "m2"} {
			if _, owns := cluster.nodes[address].replica.OwnedEpoch(shard); owns {
				return address
			}
		}
		return ""
	}
	for seed := int64(1); seed <= 5; seed++ {
		cluster := isolated(seed)
		epoch, owned := cluster.nodes["m0"].replica.OwnedEpoch(shard)
		qt.Assert(t, owned, qt.IsTrue)
		for successor(cluster) == "" {
			cluster.runUntil(cluster.now + step)
		}
		elected, address := cluster.now, successor(cluster)
		granted := 0
		for at := elected - window; at < elected; at += step {
			cluster := isolated(seed)
			cluster.runUntil(at)
			replica, owner := cluster.nodes[address].replica, cluster.nodes["m0"].replica
			response := replica.HandleRenewLeases(&meshpb.RenewLeasesRequest{
				Header:     &meshpb.SenderHeader{From: owner.Self(), To: replica.Self().Id, Membership: replica.Membership().Version},
				Watermarks: []*meshpb.Watermark{{Shard: shard, Epoch: epoch}},
			})
			if len(response.Granted) == 0 {
				continue
			}
			granted++
			cluster.runUntil(at + lease*9/10)
			qt.Check(t, successor(cluster), qt.Equals, "", qt.Commentf("seed %d: a lease granted %v before the election is in force", seed, elected-at))
		}
		qt.Check(t, granted > 0, qt.IsTrue)
	}
}
