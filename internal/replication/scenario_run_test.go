package replication_test

import (
	"fmt"
	"time"
)

// scenarioRun runs a scenario on a simulated cluster under load, and checks that the
// cluster survives it.
type scenarioRun struct {
	*simCluster
	scenario scenario
	workload *workload
	history  history
	// faulty contains the addresses of the nodes that count as lost.
	faulty map[string]bool
	// addedNodes is the number of successors added so far.
	addedNodes          int
	unfinishedSequences int
	// lastEventAt is the time at which a fault last started or ended, or a node was last
	// added or removed.
	lastEventAt time.Duration
	// killAllsInProgress is the number of kills of all processes within the last
	// second.
	killAllsInProgress int
	// allCaughtUpAt is the time at which the nodes count as caught up after the last
	// kill of all processes.
	allCaughtUpAt time.Duration
	// ownerlessSince is, for each shard, since when it has had no owner although no fault
	// explains that. It is 0 if the shard has an owner.
	ownerlessSince [simShards]time.Duration
}

// runScenario runs the scenario: it starts the cluster and the workload, runs all sequences
// and kills, then lets the cluster recover without message loss or long delays, and checks
// that it serves calls and that the results are correct.
func runScenario(t testingT, sc scenario) *scenarioRun {
	run := &scenarioRun{simCluster: newSimCluster(t, sc.Seed, sc.Members), scenario: sc, faulty: map[string]bool{}}
	if sc.SyncDelay > 0 {
		run.setSyncDelay(sc.SyncDelay)
	}
	run.lossRate, run.delayRate, run.duplicateRate = sc.LossRate, sc.DelayRate, sc.DuplicateRate
	run.workload = newWorkload(run.simCluster)
	run.workload.lowRate = true
	run.history.run = run
	run.runUntil(time.Duration(sc.Members)*500*time.Millisecond + 3*time.Second)
	run.requireRecovered("before the first fault")
	startedAt := run.now
	run.workload.start(startedAt + time.Hour)
	run.history.start()
	for _, steps := range sc.Sequences {
		if sc.Members == 1 {
			steps = survivableBySingleMember(steps)
		}
		run.unfinishedSequences++
		run.runSequence(steps)
	}
	for _, at := range sc.KillAllAt {
		run.schedule(at, func() {
			if !sc.KillAllAfterAck {
				run.killAll()
				return
			}
			run.workload.onAck = run.killAll
		})
	}
	run.checkOwners()
	for run.unfinishedSequences > 0 && run.now < startedAt+4*time.Minute {
		run.runUntil(run.now + 250*time.Millisecond)
	}
	if run.unfinishedSequences > 0 {
		run.workload.fail("%d sequences of the scenario did not finish within 4 minutes", run.unfinishedSequences)
	}
	// The kills of all processes are due at most 30 s after the sequences start.
	run.runUntil(max(run.now, startedAt+35*time.Second*time.Duration(min(1, len(sc.KillAllAt)))) + 2*catchUpTime)
	if sc.KillAllAtEnd {
		run.killAllAndWipe()
	}
	run.lossRate, run.delayRate = 0, 0
	run.runUntil(run.now + 2*catchUpTime)
	run.requireRecovered("at the end")
	servedBefore := run.workload.served
	run.history.readOnly = true
	run.runUntil(run.now + 3*time.Second)
	if run.workload.served < servedBefore+50 {
		run.workload.fail("only %d calls were served in the last 3 s", run.workload.served-servedBefore)
	}
	run.history.check()
	return run
}

// logEvent logs a change to the faults or nodes. It restarts the settleTime that the
// cluster has before checkOwners requires owners again.
func (r *scenarioRun) logEvent(format string, args ...any) {
	r.lastEventAt = r.now
	r.logf("== "+format, args...)
}

// requireRecovered fails the test unless the cluster has recovered, as notRecovered
// defines it. It allows time for an ownership transfer to finish, and more of it if
// messages are lost or delayed.
func (r *scenarioRun) requireRecovered(when string) {
	deadline := r.now + transferTime
	if r.lossRate > 0 || r.delayRate > 0 {
		deadline += 2 * time.Second
	}
	for {
		problem := r.notRecovered()
		if problem == "" {
			return
		}
		if r.now >= deadline {
			r.workload.fail("not recovered %s: %s", when, problem)
		}
		r.runUntil(r.now + 50*time.Millisecond)
	}
}

// notRecovered describes why the cluster has not recovered from all faults, or returns
// an empty string if it has: as many nodes as at the start are running, all of them are
// members of a membership of that size, all shards have an owner, and no replica lags.
func (r *scenarioRun) notRecovered() string {
	running := 0
	for _, node := range r.allNodes() {
		if !node.running {
			continue
		}
		running++
		if node.replica.IsLearner() {
			return node.address + " is not a member"
		}
		if n := len(node.replica.Membership().Members); n != r.scenario.Members {
			return fmt.Sprintf("%s has a membership of %d members", node.address, n)
		}
	}
	if running != r.scenario.Members {
		return fmt.Sprintf("%d nodes are running", running)
	}
	if n := r.ownedShards(); n != simShards {
		return fmt.Sprintf("%d of %d shards have an owner", n, simShards)
	}
	return r.laggingReplica()
}

// laggingReplica describes a replica that is not at its owner's epoch, or that is more
// than 40 versions behind the owner's commit. It returns an empty string if there is
// none.
func (r *scenarioRun) laggingReplica() string {
	var ownerEpochs, committedVersions [simShards]uint64
	for _, node := range r.allNodes() {
		if node.running {
			for i, status := range node.replica.ShardStatuses() {
				if status.Owned && status.LeaseMs > 0 {
					ownerEpochs[i], committedVersions[i] = status.Epoch, status.Committed
				}
			}
		}
	}
	for _, node := range r.allNodes() {
		if node.running {
			for i, status := range node.replica.ShardStatuses() {
				if status.Epoch != ownerEpochs[i] || status.Version+40 < committedVersions[i] {
					return fmt.Sprintf("%s has shard %d at epoch %d, version %d; its owner is at epoch %d, committed version %d", node.address, i, status.Epoch, status.Version, ownerEpochs[i], committedVersions[i])
				}
			}
		}
	}
	return ""
}

// checkOwners fails the test if a shard has no owner although the last event was more than
// settleTime ago. An ownership transfer may leave it without an owner for transferTime.
// While messages are lost or delayed, or the only member is faulty, nothing is checked.
// checkOwners runs every 100 ms.
func (r *scenarioRun) checkOwners() {
	settled := (r.scenario.Members > 1 || len(r.faulty) == 0) && r.lossRate == 0 && r.delayRate == 0 && r.killAllsInProgress == 0 && r.now-r.lastEventAt > settleTime
	for i := range r.ownerlessSince {
		owned := false
		for _, node := range r.allNodes() {
			if node.running && !node.frozen {
				_, owns := node.replica.OwnedEpoch(i)
				owned = owned || owns
			}
		}
		switch {
		case owned || !settled:
			r.ownerlessSince[i] = 0
		case r.ownerlessSince[i] == 0:
			r.ownerlessSince[i] = r.now
		case r.now-r.ownerlessSince[i] > transferTime:
			r.workload.fail("%v after the last event, shard %d has had no owner for %v", r.now-r.lastEventAt, i, r.now-r.ownerlessSince[i])
		}
	}
	r.schedule(100*time.Millisecond, r.checkOwners)
}

// pickTarget returns the running node without a fault that the step applies to, or nil if
// there is no such node.
func (r *scenarioRun) pickTarget(step faultStep) *simNode {
	var candidates []*simNode
	for _, node := range r.allNodes() {
		if node.running && !r.faulty[node.address] {
			if _, owns := node.replica.OwnedEpoch(0); owns && step.TargetMaster {
				return node
			}
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[step.Target%len(candidates)]
}

// runSequence runs the steps one after another.
func (r *scenarioRun) runSequence(steps []faultStep) {
	if len(steps) == 0 {
		r.unfinishedSequences--
		return
	}
	step := steps[0]
	r.schedule(step.Wait, func() {
		if r.now < r.allCaughtUpAt {
			// All processes were killed. Each node counts as lost until it has caught up.
			r.schedule(r.allCaughtUpAt-r.now, func() { r.runSequence(steps) })
			return
		}
		continueAt := func(at time.Duration) {
			r.schedule(max(at-r.now, 0), func() { r.runSequence(steps[1:]) })
		}
		target := r.pickTarget(step)
		if target == nil {
			continueAt(r.now)
			return
		}
		r.faulty[target.address] = true
		r.logEvent("begin %v at %s, duration %v", step.Fault, target.address, step.Duration)
		f := &runningFault{scenarioRun: r, step: step, target: target, continueAt: continueAt}
		f.begin()
	})
}

// runningFault is a step in progress.
type runningFault struct {
	*scenarioRun
	step   faultStep
	target *simNode
	// continueAt continues the sequence with its next step at that time.
	continueAt func(at time.Duration)
}

// begin injects the fault and schedules its end.
func (f *runningFault) begin() {
	switch f.step.Fault {
	case crash, wipe, crashOrWipe:
		f.crash()
	case partition, receiveNothing, sendNothing, connectionResets:
		f.disconnect()
	case partialPartition:
		f.disconnectSome()
	case freeze:
		f.target.freeze()
		f.endAfter(f.step.Duration, f.target.unfreeze)
	case slowDisk, stalledDisk, fullDisk:
		f.breakDisk()
	case cpuStarvation:
		f.target.tickDelay = 200 * time.Millisecond
		f.endAfter(f.step.Duration, func() { f.target.tickDelay = 0 })
	case restart:
		f.terminate(f.target, func() { f.endAfter(200*time.Millisecond+f.step.Gap, f.restartIfDown) })
	case replace, plannedReplacement:
		f.replace()
	}
}

// endAfter calls repair after duration to end the fault. The sequence continues catchUpTime
// later, when the node no longer counts as lost.
func (f *runningFault) endAfter(duration time.Duration, repair func()) {
	f.schedule(duration, func() {
		f.logEvent("end %v at %s", f.step.Fault, f.target.address)
		repair()
		f.schedule(catchUpTime, func() { delete(f.faulty, f.target.address) })
		f.continueAt(f.now + catchUpTime)
	})
}

// restartIfDown starts the target unless something else has restarted it.
func (f *runningFault) restartIfDown() {
	if !f.target.running {
		f.target.start()
	}
}

// crash kills the target, with or without the loss of its disk.
func (f *runningFault) crash() {
	f.target.kill()
	if f.step.Fault == wipe || f.step.Fault == crashOrWipe && f.step.Target%2 == 0 {
		f.target.records = nil
	}
	f.endAfter(f.step.Duration, f.restartIfDown)
}

// disconnect makes the target lose all messages that it sends, receives, or both. A
// connection reset is a loss of 5 ms.
func (f *runningFault) disconnect() {
	address := f.target.address
	f.notSending[address], f.notReceiving[address] = f.step.Fault != receiveNothing, f.step.Fault != sendNothing
	duration := f.step.Duration + f.step.Gap*6
	if f.step.Fault == connectionResets {
		duration = 5 * time.Millisecond
	}
	f.endAfter(duration, func() { f.notSending[address], f.notReceiving[address] = false, false })
}

// disconnectSome partitions the target from every second node of the cluster.
func (f *runningFault) disconnectSome() {
	address := f.target.address
	var others []string
	for i, other := range f.addresses {
		if other != address && (i+f.step.Target)%2 == 0 {
			others = append(others, other)
		}
	}
	setPartitioned := func(partitioned bool) {
		for _, other := range others {
			f.partitioned[[2]string{address, other}], f.partitioned[[2]string{other, address}] = partitioned, partitioned
		}
	}
	setPartitioned(true)
	f.endAfter(f.step.Duration, func() { setPartitioned(false) })
}

// breakDisk makes the target's disk 30 times slower, stall or fail.
func (f *runningFault) breakDisk() {
	switch f.step.Fault {
	case slowDisk:
		f.target.syncDelay *= 30
		f.endAfter(f.step.Duration, func() { f.target.syncDelay = f.syncDelay })
	case stalledDisk:
		f.target.diskStalled = true
		f.endAfter(f.step.Duration, func() { f.target.diskStalled = false })
	case fullDisk:
		f.target.diskFull = true
		f.endAfter(f.step.Duration, func() { f.target.diskFull = false })
	}
}

// replace replaces the target by a new node. For the fault replace, the target is killed
// first and never returns; for plannedReplacement, it terminates gracefully after the new
// node has started.
func (f *runningFault) replace() {
	if f.step.Fault == replace {
		f.target.kill()
		f.schedule(f.step.Gap, func() {
			f.addSuccessor()
			f.continueAt(f.now + catchUpTime)
		})
		return
	}
	f.addSuccessor()
	successorCaughtUpAt := f.now + catchUpTime
	f.schedule(2*f.step.Gap, func() {
		f.terminate(f.target, func() { f.continueAt(max(successorCaughtUpAt, f.now)) })
	})
}

// addSuccessor adds a node that replaces one that is lost or leaving. It counts as lost
// itself until it has had catchUpTime.
func (r *scenarioRun) addSuccessor() *simNode {
	r.addedNodes++
	node := r.addNode(fmt.Sprintf("n%d", r.addedNodes), false)
	r.logEvent("add %s", node.address)
	r.faulty[node.address] = true
	r.schedule(catchUpTime, func() { delete(r.faulty, node.address) })
	return node
}

// terminate simulates SIGTERM: the process begins to leave, and exits when LeaveComplete
// reports true or when gracePeriod is over. Then terminate calls onTerminated. A node
// that is not running is terminated as soon as it runs again.
func (r *scenarioRun) terminate(node *simNode, onTerminated func()) {
	if !node.running {
		r.schedule(100*time.Millisecond, func() { r.terminate(node, onTerminated) })
		return
	}
	incarnation, deadline := node.incarnation, r.now+gracePeriod
	node.leaving = true
	r.logEvent("%s begins to leave", node.address)
	node.deliver(incarnation, node.replica.Leave)
	var poll func()
	poll = func() {
		if node.incarnation == incarnation && r.now < deadline && !node.replica.LeaveComplete() {
			r.schedule(50*time.Millisecond, poll)
			return
		}
		r.logEvent("%s exits", node.address)
		if node.incarnation == incarnation {
			node.kill()
		}
		node.leaving = false
		onTerminated()
	}
	r.schedule(50*time.Millisecond, poll)
}

// killAll kills all processes at the same moment. Those that were running restart within
// a second, unless they were leaving.
func (r *scenarioRun) killAll() {
	r.workload.onAck = nil
	r.killAllsInProgress++
	r.logEvent("kill all")
	for _, node := range r.allNodes() {
		if node.running {
			node.kill()
			incarnation := node.incarnation
			if node.leaving {
				continue
			}
			r.schedule(time.Duration(200+r.rng.Intn(800))*time.Millisecond, func() {
				if node.incarnation == incarnation {
					node.start()
				}
			})
		}
	}
	r.allCaughtUpAt = r.now + time.Second + catchUpTime
	r.schedule(time.Second, func() {
		r.logEvent("restarted all")
		r.killAllsInProgress--
	})
}

// killAllAndWipe kills all processes and restarts them, with empty disks on as many nodes
// as may be lost at once. A single member may not lose its disk.
func (r *scenarioRun) killAllAndWipe() {
	r.logEvent("kill all and wipe")
	toWipe := len(r.scenario.Sequences)
	if r.scenario.Members == 1 {
		toWipe = 0
	}
	for _, i := range r.rng.Perm(len(r.addresses)) {
		node := r.nodes[r.addresses[i]]
		if !node.running {
			continue
		}
		node.kill()
		if toWipe > 0 {
			toWipe--
			node.records = nil
		}
		r.schedule(time.Duration(200+r.rng.Intn(1500))*time.Millisecond, node.start)
	}
}
