package replication_test

import (
	"fmt"
	"time"
)

// scenarioRun is a scenario that is being run.
type scenarioRun struct {
	*simCluster
	scenario scenario
	workload *workload
	history  history
	// faulty are the nodes that count as lost.
	faulty           map[string]bool
	addedNodes       int
	unfinishedTracks int
	lastEvent        time.Duration
	// killedAll is how many kills of all processes aren't over.
	killedAll int
	// caughtUpAt is when all that were killed at once count as caught up.
	caughtUpAt time.Duration
	// ownerlessSince is since when a shard has had no owner without a fault.
	ownerlessSince [simShards]time.Duration
}

func runScenario(t testingT, played scenario) *scenarioRun {
	run := &scenarioRun{simCluster: newSimCluster(t, played.Seed, played.Members), scenario: played, faulty: map[string]bool{}}
	if played.SyncDelay > 0 {
		run.setSyncDelay(played.SyncDelay)
	}
	run.lossRate, run.delayRate, run.duplicateRate = played.LossRate, played.DelayRate, played.DuplicateRate
	run.workload = newWorkload(run.simCluster)
	run.workload.lowRate = true
	run.history.run = run
	run.runUntil(time.Duration(played.Members)*500*time.Millisecond + 3*time.Second)
	run.requireRecovered("before the first fault")
	begin := run.now
	run.workload.start(begin + time.Hour)
	run.history.start()
	for _, steps := range played.Tracks {
		if played.Members == 1 {
			steps = survivableAlone(steps)
		}
		run.unfinishedTracks++
		run.runTrack(steps)
	}
	for _, at := range played.KillAllAt {
		run.schedule(at, func() {
			if !played.KillAllAfterAck {
				run.killAll()
				return
			}
			run.workload.onAck = run.killAll
		})
	}
	run.checkOwners()
	for run.unfinishedTracks > 0 && run.now < begin+4*time.Minute {
		run.runUntil(run.now + 250*time.Millisecond)
	}
	if run.unfinishedTracks > 0 {
		run.workload.fail("the scenario does not come to its end")
	}
	run.runUntil(max(run.now, begin+35*time.Second*time.Duration(min(1, len(played.KillAllAt)))) + 2*catchUpTime)
	if played.KillAllAtEnd {
		run.killAllAndWipe()
	}
	run.lossRate, run.delayRate = 0, 0
	run.runUntil(run.now + 2*catchUpTime)
	run.requireRecovered("at the end")
	before := run.workload.served
	run.history.readOnly = true
	run.runUntil(run.now + 3*time.Second)
	if run.workload.served < before+50 {
		run.workload.fail("only %d calls served at the end", run.workload.served-before)
	}
	run.history.check()
	return run
}

func (r *scenarioRun) event(f string, a ...any) {
	r.lastEvent = r.now
	r.logf("== "+f, a...)
}

// requireRecovered checks that all running nodes are members and all members run. A
// transfer may be under way, and where messages are lost it takes longer.
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
			r.workload.fail("%s %s", when, problem)
		}
		r.runUntil(r.now + 50*time.Millisecond)
	}
}

func (r *scenarioRun) notRecovered() string {
	up := 0
	for _, m := range r.allNodes() {
		if !m.running {
			continue
		}
		up++
		if m.replica.IsLearner() {
			return m.address + " is no member"
		}
		if n := len(m.replica.Membership().Members); n != r.scenario.Members {
			return fmt.Sprintf("%s knows %d members", m.address, n)
		}
	}
	if up != r.scenario.Members {
		return fmt.Sprintf("%d machines run", up)
	}
	if n := r.ownedShards(); n != simShards {
		return fmt.Sprintf("%d of %d shards are owned", n, simShards)
	}
	return r.laggingReplica()
}

// laggingReplica describes a replica that isn't at its owner's epoch, or lags.
func (r *scenarioRun) laggingReplica() string {
	var epoch, committed [simShards]uint64
	for _, replica := range r.allNodes() {
		if replica.running {
			for i, status := range replica.replica.ShardStatuses() {
				if status.Owned && status.LeaseMs > 0 {
					epoch[i], committed[i] = status.Epoch, status.Committed
				}
			}
		}
	}
	for _, replica := range r.allNodes() {
		if replica.running {
			for i, status := range replica.replica.ShardStatuses() {
				if status.Epoch != epoch[i] || status.Version+40 < committed[i] {
					return fmt.Sprintf("%s has shard %d at epoch %d, version %d, its owner at %d, %d", replica.address, i, status.Epoch, status.Version, epoch[i], committed[i])
				}
			}
		}
	}
	return ""
}

// checkOwners checks that each shard is owned while there is no fault; a transfer
// may leave it without an owner for a moment.
func (r *scenarioRun) checkOwners() {
	settled := (r.scenario.Members > 1 || len(r.faulty) == 0) && r.lossRate == 0 && r.delayRate == 0 && r.killedAll == 0 && r.now-r.lastEvent > settleTime
	for i := range r.ownerlessSince {
		owned := false
		for _, m := range r.allNodes() {
			if m.running && !m.frozen {
				_, own := m.replica.OwnedEpoch(i)
				owned = owned || own
			}
		}
		switch {
		case owned || !settled:
			r.ownerlessSince[i] = 0
		case r.ownerlessSince[i] == 0:
			r.ownerlessSince[i] = r.now
		case r.now-r.ownerlessSince[i] > transferTime:
			r.workload.fail("%v after the last event shard %d is without an owner for %v", r.now-r.lastEvent, i, r.now-r.ownerlessSince[i])
		}
	}
	r.schedule(100*time.Millisecond, r.checkOwners)
}

// target is the node for a step, nil if there is none.
func (r *scenarioRun) target(s faultStep) *simNode {
	var free []*simNode
	for _, m := range r.allNodes() {
		if m.running && !r.faulty[m.address] {
			if _, own := m.replica.OwnedEpoch(0); own && s.TargetMaster {
				return m
			}
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[s.Target%len(free)]
}

// runTrack runs the steps one after the other.
func (r *scenarioRun) runTrack(steps []faultStep) {
	if len(steps) == 0 {
		r.unfinishedTracks--
		return
	}
	step := steps[0]
	r.schedule(step.Wait, func() {
		if r.now < r.caughtUpAt {
			// All were killed: each counts as lost until it has caught up.
			r.schedule(r.caughtUpAt-r.now, func() { r.runTrack(steps) })
			return
		}
		continueAt := func(at time.Duration) {
			r.schedule(max(at-r.now, 0), func() { r.runTrack(steps[1:]) })
		}
		target := r.target(step)
		if target == nil {
			continueAt(r.now)
			return
		}
		r.faulty[target.address] = true
		r.event("%v %s for %v", step.Fault, target.address, step.Duration)
		f := &runningFault{scenarioRun: r, step: step, target: target, continueAt: continueAt}
		f.begin()
	})
}

// runningFault is a step that is being run.
type runningFault struct {
	*scenarioRun
	step   faultStep
	target *simNode
	// continueAt has the track go on at that time.
	continueAt func(at time.Duration)
}

func (f *runningFault) begin() {
	switch f.step.Fault {
	case crash, wipe, crashAfterAck:
		f.crash()
	case partition, receiveNothing, sendNothing, connectionResets:
		f.disconnect()
	case partialPartition:
		f.disconnectSome()
	case freeze:
		f.target.freeze()
		f.endAfter(f.step.Duration, f.target.unfreeze)
	case slowDisk, stuckDisk, fullDisk:
		f.breakDisk()
	case starved:
		f.target.tickDelay = 200 * time.Millisecond
		f.endAfter(f.step.Duration, func() { f.target.tickDelay = 0 })
	case restart:
		f.terminate(f.target, func() { f.endAfter(200*time.Millisecond+f.step.Gap, f.restartIfDown) })
	case replace, plannedReplacement:
		f.replace()
	}
}

// endAfter has end mend the fault after d; the track goes on once the node has had
// the time to catch up.
func (f *runningFault) endAfter(d time.Duration, end func()) {
	f.schedule(d, func() {
		f.event("%v %s is over", f.step.Fault, f.target.address)
		end()
		f.schedule(catchUpTime, func() { delete(f.faulty, f.target.address) })
		f.continueAt(f.now + catchUpTime)
	})
}

func (f *runningFault) restartIfDown() {
	if !f.target.running {
		f.target.start()
	}
}

func (f *runningFault) crash() {
	f.target.kill()
	if f.step.Fault == wipe || f.step.Fault == crashAfterAck && f.step.Target%2 == 0 {
		f.target.records = nil
	}
	f.endAfter(f.step.Duration, f.restartIfDown)
}

func (f *runningFault) disconnect() {
	address := f.target.address
	f.notSending[address], f.notReceiving[address] = f.step.Fault != receiveNothing, f.step.Fault != sendNothing
	duration := f.step.Duration + f.step.Gap*6
	if f.step.Fault == connectionResets {
		duration = 5 * time.Millisecond
	}
	f.endAfter(duration, func() { f.notSending[address], f.notReceiving[address] = false, false })
}

// disconnectSome cuts some links of the node, the rest stay.
func (f *runningFault) disconnectSome() {
	address := f.target.address
	var others []string
	for i, other := range f.addresses {
		if other != address && (i+f.step.Target)%2 == 0 {
			others = append(others, other)
		}
	}
	setPartitioned := func(on bool) {
		for _, other := range others {
			f.partitioned[[2]string{address, other}], f.partitioned[[2]string{other, address}] = on, on
		}
	}
	setPartitioned(true)
	f.endAfter(f.step.Duration, func() { setPartitioned(false) })
}

func (f *runningFault) breakDisk() {
	switch f.step.Fault {
	case slowDisk:
		f.target.syncDelay *= 30
		f.endAfter(f.step.Duration, func() { f.target.syncDelay = f.syncDelay })
	case stuckDisk:
		f.target.diskStalled = true
		f.endAfter(f.step.Duration, func() { f.target.diskStalled = false })
	case fullDisk:
		f.target.diskFull = true
		f.endAfter(f.step.Duration, func() { f.target.diskFull = false })
	}
}

// replace puts a new node in the place of one that is lost, or that leaves once
// the new one is there.
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
	joinedAt := f.now + catchUpTime
	f.schedule(2*f.step.Gap, func() {
		f.terminate(f.target, func() { f.continueAt(max(joinedAt, f.now)) })
	})
}

// addSuccessor adds a node that takes the place of one that is lost or leaves.
func (r *scenarioRun) addSuccessor() *simNode {
	r.addedNodes++
	m := r.addNode(fmt.Sprintf("n%d", r.addedNodes), false)
	r.event("%s comes", m.address)
	r.faulty[m.address] = true
	r.schedule(catchUpTime, func() { delete(r.faulty, m.address) })
	return m
}

// terminate sends a SIGTERM: the process ends once it has left, or when its grace
// period is over.
func (r *scenarioRun) terminate(m *simNode, terminated func()) {
	if !m.running {
		r.schedule(100*time.Millisecond, func() { r.terminate(m, terminated) })
		return
	}
	incarnation, deadline := m.incarnation, r.now+gracePeriod
	m.leaving = true
	r.event("%s leaves", m.address)
	m.deliver(incarnation, m.replica.Leave)
	var poll func()
	poll = func() {
		if m.incarnation == incarnation && r.now < deadline && !m.replica.LeaveComplete() {
			r.schedule(50*time.Millisecond, poll)
			return
		}
		r.event("%s has left", m.address)
		if m.incarnation == incarnation {
			m.kill()
		}
		m.leaving = false
		terminated()
	}
	r.schedule(50*time.Millisecond, poll)
}

// killAll kills all processes at once; they are restarted within a second, but for
// those that don't run for another reason.
func (r *scenarioRun) killAll() {
	r.workload.onAck = nil
	r.killedAll++
	r.event("all down")
	for _, m := range r.allNodes() {
		if m.running {
			m.kill()
			incarnation := m.incarnation
			if m.leaving {
				continue
			}
			r.schedule(time.Duration(200+r.rng.Intn(800))*time.Millisecond, func() {
				if m.incarnation == incarnation {
					m.start()
				}
			})
		}
	}
	r.caughtUpAt = r.now + time.Second + catchUpTime
	r.schedule(time.Second, func() {
		r.event("all back")
		r.killedAll--
	})
}

// killAllAndWipe kills all processes, restarts them, and wipes as many as may be
// lost.
func (r *scenarioRun) killAllAndWipe() {
	r.event("closing")
	toWipe := len(r.scenario.Tracks)
	if r.scenario.Members == 1 {
		toWipe = 0
	}
	for _, i := range r.rng.Perm(len(r.addresses)) {
		m := r.nodes[r.addresses[i]]
		if !m.running {
			continue
		}
		m.kill()
		if toWipe > 0 {
			toWipe--
			m.records = nil
		}
		r.schedule(time.Duration(200+r.rng.Intn(1500))*time.Millisecond, m.start)
	}
}
