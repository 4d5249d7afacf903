package replication_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// TestLearnerReplacesLostMember guards against a core that stops serving because a
// learner that took the place of a killed member does not count towards the majority
// when the next member is lost.
func TestLearnerReplacesLostMember(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		cluster := newSimCluster(t, seed, 3)
		load := newWorkload(cluster)
		load.start(30 * time.Second)
		cluster.runUntil(3 * time.Second)
		lost := fmt.Sprintf("m%d", cluster.rng.Intn(3))
		cluster.nodes[lost].kill()
		cluster.runUntil(cluster.now + time.Second)
		cluster.addNode("m7", false)
		cluster.runUntil(cluster.now + 6*time.Second)
		qt.Assert(t, cluster.nodes["m7"].replica.IsLearner(), qt.IsFalse)
		qt.Assert(t, len(cluster.nodes["m7"].replica.Membership().Members), qt.Equals, 3)
		nextLost := cluster.otherInitialMember(lost)
		cluster.nodes[nextLost].kill()
		before := load.served
		cluster.runUntil(cluster.now + 5*time.Second)
		requireServing(t, cluster, load, before+20)
	}
}

// otherInitialMember returns the address of one of the first three nodes other than
// address.
func (c *simCluster) otherInitialMember(address string) string {
	for i := 0; i < 3; i++ {
		if other := fmt.Sprintf("m%d", i); other != address {
			return other
		}
	}
	return ""
}

// TestLearnerJoinsThroughExtraSeeds guards against a learner that never joins because
// all seeds it was started with are gone.
func TestLearnerJoinsThroughExtraSeeds(t *testing.T) {
	cluster := newSimCluster(t, 4, 5)
	cluster.runUntil(6 * time.Second)
	cluster.nodes["m0"].kill()
	cluster.seedOverride = []string{"m0"}
	learner := cluster.addNode("n1", false)
	cluster.runUntil(cluster.now + 4*time.Second)
	qt.Assert(t, learner.replica.IsLearner(), qt.IsTrue)
	learner.replica.SetExtraSeeds([]*meshpb.Member{{Addr: "m3", Control: "m3"}})
	cluster.runUntil(cluster.now + 2*time.Second)
	qt.Assert(t, learner.replica.IsLearner(), qt.IsFalse)
	qt.Assert(t, len(learner.replica.Membership().Members), qt.Equals, 5)
}

// TestBootstrapLearnerRestartedEarlyBecomesMember guards against a membership that stays
// too small: a process that takes part in the first start, and restarts before it
// has become a member, must still count as part of the first start.
func TestBootstrapLearnerRestartedEarlyBecomesMember(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		cluster := newSimCluster(t, seed, 5)
		cluster.runUntil(time.Duration(100+20*seed) * time.Millisecond)
		cluster.nodes["m4"].kill()
		cluster.runUntil(cluster.now + 2*time.Second)
		cluster.nodes["m4"].start()
		cluster.runUntil(cluster.now + 4*time.Second)
		qt.Assert(t, len(cluster.nodes["m0"].replica.Membership().Members), qt.Equals, 5, qt.Commentf("seed %d", seed))
		qt.Assert(t, cluster.nodes["m4"].replica.IsLearner(), qt.IsFalse)
	}
}

// TestEvictedBootstrapMemberReturnsAsLearner guards against a membership that grows
// beyond its size: a member of the first start that was evicted while partitioned
// must stay an ordinary learner, also after a restart.
func TestEvictedBootstrapMemberReturnsAsLearner(t *testing.T) {
	cluster := newSimCluster(t, 6, 5)
	cluster.runUntil(6 * time.Second)
	cluster.setIsolated("m3", true)
	cluster.addNode("n1", false)
	cluster.runUntil(cluster.now + 5*time.Second)
	cluster.nodes["m3"].kill()
	cluster.setIsolated("m3", false)
	cluster.nodes["m3"].start()
	cluster.runUntil(cluster.now + 5*time.Second)
	qt.Assert(t, len(cluster.nodes["m0"].replica.Membership().Members), qt.Equals, 5)
	qt.Assert(t, cluster.nodes["m3"].replica.IsLearner(), qt.IsTrue)
}

// TestCallsUnderOtherMembershipHaveNoEffect guards against acks, votes and leases
// that are counted under one membership but were given under another one.
func TestCallsUnderOtherMembershipHaveNoEffect(t *testing.T) {
	cluster := newSimCluster(t, 6, 3)
	cluster.runUntil(5 * time.Second)
	follower, from := cluster.nodes["m1"].replica, cluster.nodes["m0"].replica.Self()
	status := follower.ShardStatuses()[0]
	for _, version := range []uint64{0, follower.Membership().Version - 1, follower.Membership().Version + 1} {
		header := &meshpb.SenderHeader{From: from, To: follower.Self().Id, Membership: version}
		acks, votes := 0, 0
		change := &meshpb.EpochChange{Epoch: status.Epoch + 640, FromEpoch: status.Epoch, FromVersion: status.Version}
		follower.HandleReplicate(&meshpb.ReplicateRequest{Header: header, EpochChanges: []*meshpb.EpochChange{change}}, func(response *meshpb.ReplicateResponse) {
			acks += len(response.GetAcks())
		})
		vote := &meshpb.VoteRequest{Epoch: status.Epoch + 640}
		follower.HandleRequestVotes(&meshpb.RequestVotesRequest{Header: header, Votes: []*meshpb.VoteRequest{vote}}, func(response *meshpb.RequestVotesResponse) {
			votes += len(response.GetReplies())
		})
		renewed := follower.HandleRenewLeases(&meshpb.RenewLeasesRequest{Header: header, Watermarks: []*meshpb.Watermark{{Epoch: status.Epoch, Version: status.Version}}})
		cluster.runUntil(cluster.now + 20*time.Millisecond)
		qt.Check(t, acks+votes+len(renewed.Granted), qt.Equals, 0, qt.Commentf("version %d", version))
	}
	qt.Assert(t, follower.ShardStatuses()[0].Epoch, qt.Equals, status.Epoch)
}

// TestLeavingMemberStaysUntilSuccessorJoined guards against a member that exits
// before its successor counts towards the majority: the core then cannot serve if
// another member is lost right after the exit.
func TestLeavingMemberStaysUntilSuccessorJoined(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		run := &scenarioRun{simCluster: newSimCluster(t, seed, 3), scenario: scenario{Members: 3}, faulty: map[string]bool{}}
		run.workload = newWorkload(run.simCluster)
		run.runUntil(5 * time.Second)
		run.workload.start(run.now + time.Minute)
		run.addSuccessor()
		run.runUntil(run.now + catchUpTime - 100*time.Millisecond)
		nodes, leaving := run.allNodes(), run.rng.Intn(3)
		terminated := false
		run.terminate(nodes[leaving], func() { terminated = true })
		for !terminated {
			run.runUntil(run.now + 10*time.Millisecond)
		}
		nodes[(leaving+1)%3].kill()
		before := run.workload.served
		run.runUntil(run.now + 3*time.Second)
		if run.ownedShards() != simShards || run.workload.served < before+20 {
			run.workload.fail("after the next loss, %d shards have an owner and %d calls were served", run.ownedShards(), run.workload.served-before)
		}
	}
}
