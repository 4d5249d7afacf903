package replication_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

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
		nextLost := cluster.otherFounder(lost)
		cluster.nodes[nextLost].kill()
		before := load.served
		cluster.runUntil(cluster.now + 5*time.Second)
		requireServing(t, cluster, load, before+20)
	}
}

func (c *simCluster) otherFounder(a string) string {
	for i := 0; i < 3; i++ {
		if b := fmt.Sprintf("m%d", i); b != a {
			return b
		}
	}
	return ""
}

// TestLearnerJoinsThroughExtraSeeds: a learner's first seeds may all be gone.
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

// TestFounderThatRestartsEarlyBecomesMember: a process of the first start that ends
// before it is a member still belongs to the first start.
func TestFounderThatRestartsEarlyBecomesMember(t *testing.T) {
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

// TestEvictedFounderReturnsAsLearner: a founder that was evicted while it was
// partitioned is a learner like any other, also after a restart, and doesn't make
// the membership larger.
func TestEvictedFounderReturnsAsLearner(t *testing.T) {
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

// TestLeavingMemberStaysUntilSuccessorJoined: the next loss may come the moment a
// leaving member has ended; its successor counts by then.
func TestLeavingMemberStaysUntilSuccessorJoined(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		run := &scenarioRun{simCluster: newSimCluster(t, seed, 3), scenario: scenario{Members: 3}, faulty: map[string]bool{}}
		run.workload = newWorkload(run.simCluster)
		run.runUntil(5 * time.Second)
		run.workload.start(run.now + time.Minute)
		run.addSuccessor()
		run.runUntil(run.now + catchUpTime - 100*time.Millisecond)
		nodes, leaver := run.allNodes(), run.rng.Intn(3)
		terminated := false
		run.terminate(nodes[leaver], func() { terminated = true })
		for !terminated {
			run.runUntil(run.now + 10*time.Millisecond)
		}
		nodes[(leaver+1)%3].kill()
		before := run.workload.served
		run.runUntil(run.now + 3*time.Second)
		if run.ownedShards() != simShards || run.workload.served < before+20 {
			run.workload.fail("%d shards are owned after the next loss, %d calls served", run.ownedShards(), run.workload.served-before)
		}
	}
}
