package replication_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

var seedCount = flag.Int64("seeds", 60, "number of random event orders to test")

// TestHealthyClusterServes requires that clusters of several sizes serve calls, nearly
// all of them, while nothing fails.
func TestHealthyClusterServes(t *testing.T) {
	for _, members := range []int{1, 3, 5} {
		cluster := newSimCluster(t, 1, members)
		load := newWorkload(cluster)
		load.start(5 * time.Second)
		cluster.runUntil(6 * time.Second)
		requireServing(t, cluster, load, 200)
		qt.Assert(t, load.failed < 10, qt.IsTrue, qt.Commentf("%d members: %d calls failed", members, load.failed))
	}
}

// TestInvariantsHoldUnderFaults injects three random faults, one after the other, while a
// workload checks every result. Afterwards all shards must be owned and calls served.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for seed := int64(1); seed <= *seedCount; seed++ {
		cluster := newSimCluster(t, seed, 3)
		load := newWorkload(cluster)
		load.start(24 * time.Second)
		cluster.runUntil(2 * time.Second)
		for round := 0; round < 3; round++ {
			cluster.lossRate = []float64{0, 0.05, 0.2}[cluster.rng.Intn(3)]
			address := fmt.Sprintf("m%d", cluster.rng.Intn(3))
			target := cluster.nodes[address]
			switch cluster.rng.Intn(7) {
			case 0:
				cluster.logf("kill %s", address)
				target.kill()
				cluster.runUntil(cluster.now + time.Duration(cluster.rng.Intn(3000))*time.Millisecond)
				target.start()
			case 1:
				cluster.logf("isolate %s", address)
				cluster.setIsolated(address, true)
				cluster.runUntil(cluster.now + time.Duration(500+cluster.rng.Intn(3000))*time.Millisecond)
				cluster.setIsolated(address, false)
			case 2:
				cluster.logf("wipe %s", address)
				target.kill()
				target.records = nil
				cluster.runUntil(cluster.now + time.Duration(cluster.rng.Intn(2000))*time.Millisecond)
				target.start()
			case 3:
				cluster.logf("kill all")
				for _, node := range cluster.allNodes() {
					node.kill()
				}
				cluster.runUntil(cluster.now + time.Duration(cluster.rng.Intn(1000))*time.Millisecond)
				for i := 0; i < 3; i++ {
					cluster.nodes[fmt.Sprintf("m%d", i)].start()
				}
			case 4:
				cluster.logf("fill the disk of %s", address)
				target.diskFull = true
				cluster.runUntil(cluster.now + 2*time.Second)
				target.diskFull = false
			case 5:
				cluster.logf("lose messages from %s", address)
				for _, other := range cluster.addresses {
					if other != address {
						cluster.partitioned[[2]string{address, other}] = true
					}
				}
				cluster.runUntil(cluster.now + 2*time.Second)
				cluster.setIsolated(address, false)
			case 6:
				cluster.logf("stall the disk of %s", address)
				target.diskStalled = true
				cluster.runUntil(cluster.now + 3*time.Second)
				target.diskStalled = false
			}
			cluster.lossRate = 0
			cluster.runUntil(cluster.now + 4*time.Second)
		}
		servedBefore := load.served
		load.start(cluster.now + 4*time.Second)
		cluster.runUntil(cluster.now + 5*time.Second)
		requireServing(t, cluster, load, servedBefore+50)
	}
}

// TestMinorityNeverServes guards against a member that, cut off from the others, still
// serves a shard after its leases must have ended.
func TestMinorityNeverServes(t *testing.T) {
	cluster := newSimCluster(t, 3, 3)
	cluster.runUntil(2 * time.Second)
	cluster.setIsolated("m0", true)
	cluster.runUntil(cluster.now + 1500*time.Millisecond)
	for shard := 0; shard < simShards; shard++ {
		_, owned := cluster.nodes["m0"].replica.OwnedEpoch(shard)
		qt.Assert(t, owned, qt.IsFalse)
		var failure error
		cluster.nodes["m0"].replica.Execute(shard, func(replication.StateMachine, time.Duration) *meshpb.Change { return nil }, func(err error) { failure = err })
		qt.Assert(t, failure, qt.IsNotNil)
	}
}

// TestClusterRecoversWithinCatchUpTime measures the time from the moment at which a lost
// member restarts, or is replaced, until the next member may be lost: all running nodes
// are members again and their replicas have caught up. At most three quarters of
// catchUpTime may pass.
func TestClusterRecoversWithinCatchUpTime(t *testing.T) {
	for _, size := range []struct{ members, losses int }{{3, 1}, {5, 1}, {11, 2}, {19, 2}} {
		for _, fault := range []fault{replace, wipe, crash, plannedReplacement} {
			var worst, sum time.Duration
			const seeds = 6
			for seed := int64(1); seed <= seeds; seed++ {
				run := &scenarioRun{simCluster: newSimCluster(t, seed, size.members), scenario: scenario{Members: size.members}, faulty: map[string]bool{}}
				run.workload = newWorkload(run.simCluster)
				run.runUntil(time.Duration(size.members)*500*time.Millisecond + 3*time.Second)
				run.requireRecovered("before the loss")
				run.workload.start(run.now + time.Minute)
				run.runUntil(run.now + time.Second)
				target := run.allNodes()[run.rng.Intn(size.members)]
				recoveryStart := run.now
				switch fault {
				case replace:
					target.kill()
					run.runUntil(run.now + time.Second)
					recoveryStart = run.now
					run.addSuccessor()
				case wipe:
					target.kill()
					target.records = nil
					run.runUntil(run.now + time.Second)
					recoveryStart = run.now
					target.start()
				case crash:
					target.kill()
					run.runUntil(run.now + time.Second)
					recoveryStart = run.now
					target.start()
				case plannedReplacement:
					run.addSuccessor()
					run.runUntil(run.now + time.Second)
					recoveryStart = run.now
					run.terminate(target, func() {})
				}
				for run.runUntil(run.now + 20*time.Millisecond); run.notRecovered() != "" && run.now < recoveryStart+10*time.Second; {
					run.runUntil(run.now + 20*time.Millisecond)
				}
				worst, sum = max(worst, run.now-recoveryStart), sum+run.now-recoveryStart
			}
			t.Logf("%2d members, %-8v mean %v, worst %v", size.members, fault, (sum / seeds).Round(10*time.Millisecond), worst)
			if worst > catchUpTime*3/4 {
				t.Errorf("%d members, %v: %v", size.members, fault, worst)
			}
		}
	}
}

// epochs returns the epoch of each shard at its owner, 0 if it has none.
func epochs(cluster *simCluster) (epochs [simShards]uint64) {
	for shard := range simShards {
		for _, node := range cluster.allNodes() {
			if !node.running {
				continue
			}
			if epoch, owned := node.replica.OwnedEpoch(shard); owned {
				epochs[shard] = epoch
			}
		}
	}
	return epochs
}

// TestProcessorQuotaChangesNoOwner guards against leases that expire, and members that are
// taken for failed, because a processor quota stops each process for 90 of every 100 ms.
// After a crash of an owner the others must take over as without a quota.
func TestProcessorQuotaChangesNoOwner(t *testing.T) {
	for _, members := range []int{3, 5} {
		for seed := range int64(20) {
			cluster := newSimCluster(t, seed, members)
			for _, node := range cluster.allNodes() {
				node.setQuota(quotaPeriod / 10)
			}
			cluster.runUntil(5 * time.Second)
			before := epochs(cluster)
			load := newWorkload(cluster)
			load.start(cluster.now + 40*time.Second)
			cluster.runUntil(cluster.now + 30*time.Second)
			requireServing(t, cluster, load, 1000)
			qt.Assert(t, epochs(cluster), qt.Equals, before, qt.Commentf("%d members, seed %d", members, seed))
			owner, _ := cluster.nodes["m1"].replica.Owner(0)
			cluster.nodes[owner.Addr].kill()
			cluster.runUntil(cluster.now + settleTime + time.Second)
			servedBefore := load.served
			cluster.runUntil(cluster.now + 3*time.Second)
			requireServing(t, cluster, load, servedBefore+50)
		}
	}
}

// executeNow executes a change of the shard's table at the shard's owner, and returns the
// error once the outcome is known.
func executeNow(t *testing.T, cluster *simCluster, shard int, decide func(*coordination.Table) *meshpb.Change) error {
	t.Helper()
	for _, node := range cluster.allNodes() {
		if _, owned := node.replica.OwnedEpoch(shard); !owned {
			continue
		}
		outcome := errors.New("no outcome")
		node.replica.Execute(shard, func(content replication.StateMachine, _ time.Duration) *meshpb.Change {
			return decide(content.(*coordination.Table))
		}, func(err error) { outcome = err })
		cluster.runUntil(cluster.now + time.Second)
		return outcome
	}
	t.Fatal("the shard has no owner")
	return nil
}

// TestChangeThatCannotBeEncodedChangesNothing guards against a change that is applied in
// memory before it is found that it cannot be stored, which ended the owner's process
// and, as callers repeat their requests, all members' (review/1).
func TestChangeThatCannotBeEncodedChangesNothing(t *testing.T) {
	const shard, invalid = 1, "g.caf\xe9"
	cluster := newSimCluster(t, 5, 3)
	cluster.runUntil(2 * time.Second)
	for name, decide := range map[string]func(*coordination.Table) *meshpb.Change{
		"key":   func(table *coordination.Table) *meshpb.Change { return table.Put(invalid, "v", nil, 0).Change },
		"group": func(table *coordination.Table) *meshpb.Change { return table.Put("\xe9.a", "v", nil, 0).Change },
		"value": func(table *coordination.Table) *meshpb.Change { return table.Put("g.a", invalid, nil, 0).Change },
		"lock": func(table *coordination.Table) *meshpb.Change {
			return table.AcquireLock(invalid, "o", time.Second, 0).Change
		},
		"owner": func(table *coordination.Table) *meshpb.Change {
			return table.AcquireLock("l", invalid, time.Second, 0).Change
		},
		"counter": func(table *coordination.Table) *meshpb.Change { return table.NextNumber(invalid).Change },
		"session": func(table *coordination.Table) *meshpb.Change {
			return table.PinSession(&meshpb.PinRequest{Key: invalid, Service: "s", Want: "e", Allowed: []string{"s"}}, 0).Change
		},
		"blob": func(*coordination.Table) *meshpb.Change { return &meshpb.Change{Blob: &meshpb.Blob{Name: invalid}} },
	} {
		qt.Check(t, executeNow(t, cluster, shard, decide), qt.ErrorIs, replication.ErrInvalidChange, qt.Commentf("%s", name))
	}
	qt.Assert(t, executeNow(t, cluster, shard, func(table *coordination.Table) *meshpb.Change {
		_, err := proto.Marshal(table.Snapshot(0))
		qt.Check(t, err, qt.IsNil)
		return table.Put("g.a", "valid", nil, 0).Change
	}), qt.IsNil)
	for _, node := range cluster.allNodes() {
		node.kill()
		node.start()
	}
	cluster.runUntil(cluster.now + 5*time.Second)
	var value coordination.Cell
	qt.Assert(t, executeNow(t, cluster, shard, func(table *coordination.Table) *meshpb.Change {
		value = table.Get("g.a").Result
		return nil
	}), qt.IsNil)
	qt.Assert(t, value, qt.Equals, coordination.Cell{Payload: "valid", Revision: 1})
}
