package replication_test

import (
	"fmt"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// workload makes random calls to a cluster and checks the invariants of their results:
// numbers and revisions increase, no read is stale or returns a value that was never
// written, and a lock has one holder at a time.
type workload struct {
	cluster *simCluster
	served  int
	failed  int
	// numbers contains all numbers received, highestNumber the highest of them.
	highestNumber uint64
	numbers       map[uint64]bool
	// highestRevisions contains the highest acknowledged revision of each cell,
	// highestRevision that of all cells, which share one sequence of revisions.
	highestRevisions map[string]uint64
	// valuesByRevision contains the values of all acknowledged writes.
	valuesByRevision map[uint64]string
	highestRevision  uint64
	writeCount       int
	// writtenValues contains, for each cell, the values of all writes, acknowledged or not.
	writtenValues map[string]map[string]bool
	// lockedUntil contains, for each lock, when it expires for the holder at the latest.
	lockedUntil   map[string]time.Duration
	lockHolders   map[string]string
	fencingTokens map[string]uint64
	// lowRate makes a quarter of the calls, for long scenarios.
	lowRate bool
	// onAck is called as soon as an owner acknowledges a change, before the caller learns of
	// it. Optional.
	onAck func()
}

// newWorkload returns a workload that makes no calls before start.
func newWorkload(cluster *simCluster) *workload {
	return &workload{cluster: cluster, numbers: map[uint64]bool{}, highestRevisions: map[string]uint64{}, valuesByRevision: map[uint64]string{},
		writtenValues: map[string]map[string]bool{}, lockedUntil: map[string]time.Duration{}, lockHolders: map[string]string{}, fencingTokens: map[string]uint64{}}
}

// fail fails the test and prints the end of the cluster's log.
func (w *workload) fail(format string, args ...any) {
	count := len(w.cluster.logLines)
	for _, line := range w.cluster.logLines[max(0, count-60):] {
		w.cluster.t.Log(line)
	}
	w.cluster.t.Fatalf("at %v: "+format, append([]any{w.cluster.now}, args...)...)
}

// pickNode returns a random node that is running and not frozen, or nil if there is none.
func (w *workload) pickNode() *simNode {
	var running []*simNode
	for _, node := range w.cluster.allNodes() {
		if node.running && !node.frozen {
			running = append(running, node)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[w.cluster.rng.Intn(len(running))]
}

// call executes function on the shard through a random node, which redirects the call to
// the shard's owner. callback gets the result; it is not called if no node is running, or if
// the process that handles the call is killed first.
func (w *workload) call(shard int, function func(table *coordination.Table, now time.Duration) *meshpb.Change, callback func(error)) {
	if node := w.pickNode(); node != nil {
		w.callNode(node, shard, 2, function, callback)
	}
}

// callNode executes function on the shard through the target. The call is redirected to the
// owner that the target names, up to redirects times.
func (w *workload) callNode(target *simNode, shard, redirects int, function func(table *coordination.Table, now time.Duration) *meshpb.Change, callback func(error)) {
	cluster := w.cluster
	delay := func() time.Duration { return time.Duration(cluster.rng.Intn(3000)) * time.Microsecond }
	changed := false
	respond := func(err error) {
		if err == nil && changed && w.onAck != nil {
			w.onAck()
		}
		cluster.schedule(delay(), func() {
			if err != nil {
				w.failed++
			} else {
				w.served++
			}
			callback(err)
		})
	}
	incarnation := target.incarnation
	cluster.schedule(delay(), func() {
		if !target.running {
			return
		}
		target.deliver(incarnation, func() {
			replica := target.replica
			if _, owns := replica.OwnedEpoch(shard); !owns && redirects > 0 {
				owner, ok := replica.Owner(shard)
				if !ok || cluster.nodes[owner.Addr] == nil || !cluster.nodes[owner.Addr].running {
					respond(replication.ErrUnavailable)
					return
				}
				w.callNode(cluster.nodes[owner.Addr], shard, redirects-1, function, callback)
				return
			}
			replica.Execute(shard, func(content replication.StateMachine, now time.Duration) *meshpb.Change {
				change := function(content.(*coordination.Table), now)
				changed = change != nil
				return change
			}, respond)
		})
	})
}

// nextNumber requests a number and checks that it is unique, and higher than all numbers
// that were received before the call.
func (w *workload) nextNumber() {
	highest := w.highestNumber
	var number uint64
	w.call(1, func(table *coordination.Table, _ time.Duration) *meshpb.Change {
		decision := table.NextNumber("n")
		number = decision.Result
		return decision.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if w.numbers[number] || number <= highest {
			w.fail("number %d was issued after %d (duplicate: %v)", number, highest, w.numbers[number])
		}
		w.numbers[number] = true
		w.highestNumber = max(w.highestNumber, number)
	})
}

// putCell writes a unique value and checks that the revision is unique, and higher than all
// revisions that were received before the call.
func (w *workload) putCell() {
	key := fmt.Sprintf("g.%d", w.cluster.rng.Intn(3))
	w.writeCount++
	value := fmt.Sprintf("v%d", w.writeCount)
	if w.writtenValues[key] == nil {
		w.writtenValues[key] = map[string]bool{}
	}
	w.writtenValues[key][value] = true
	highest := w.highestRevision
	var cell coordination.Cell
	w.call(2, func(table *coordination.Table, now time.Duration) *meshpb.Change {
		decision := table.Put(key, value, nil, now)
		cell = decision.Result
		return decision.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if w.valuesByRevision[cell.Revision] != "" || cell.Revision <= highest {
			w.fail("a write got revision %d, which is already used or not higher than %d", cell.Revision, highest)
		}
		w.valuesByRevision[cell.Revision] = value
		w.highestRevision = max(w.highestRevision, cell.Revision)
		w.highestRevisions[key] = max(w.highestRevisions[key], cell.Revision)
	})
}

// getCell reads a cell and checks that the result is not older than the last acknowledged
// write before the call, and that the value was written to this cell. If the write at the
// result's revision was acknowledged, its value must be the same.
func (w *workload) getCell() {
	key := fmt.Sprintf("g.%d", w.cluster.rng.Intn(3))
	highest := w.highestRevisions[key]
	var cell coordination.Cell
	w.call(2, func(table *coordination.Table, _ time.Duration) *meshpb.Change {
		cell = table.Get(key).Result
		return nil
	}, func(err error) {
		if err != nil {
			return
		}
		if cell.Revision < highest {
			w.fail("stale read: %s is at revision %d, a write was acknowledged at %d", key, cell.Revision, highest)
		}
		if cell.Revision > 0 && !w.writtenValues[key][cell.Payload] {
			w.fail("%s has value %q, which was never written to it", key, cell.Payload)
		}
		if other := w.valuesByRevision[cell.Revision]; other != "" && other != cell.Payload {
			w.fail("revision %d was acknowledged with value %s, but is read as %s", cell.Revision, other, cell.Payload)
		}
	})
}

// acquireLock acquires or renews a lock and checks that no other holder has it, and that the
// fencing token increases with each new holder. The caller counts the time to live from when
// it sent the call.
func (w *workload) acquireLock() {
	key := fmt.Sprintf("l%d", w.cluster.rng.Intn(2))
	holder := fmt.Sprintf("h%d", w.cluster.rng.Intn(4))
	sentAt := w.cluster.now
	previousToken := w.fencingTokens[key]
	previousHolder := w.lockHolders[key]
	ttl := time.Duration(300+w.cluster.rng.Intn(1500)) * time.Millisecond
	var decision coordination.Decision[coordination.LockGrant]
	w.call(3, func(table *coordination.Table, now time.Duration) *meshpb.Change {
		decision = table.AcquireLock(key, holder, ttl, now)
		return decision.Change
	}, func(err error) {
		if err != nil || decision.Err != nil {
			return
		}
		grant := decision.Result
		if w.cluster.now >= sentAt+ttl {
			return
		}
		if w.lockHolders[key] != holder && w.cluster.now < w.lockedUntil[key] {
			w.fail("two lock holders: %s holds %s until %v, %s acquired it too", w.lockHolders[key], key, w.lockedUntil[key], holder)
		}
		if previousHolder != holder && grant.FencingToken <= previousToken {
			w.fail("fencing token %d of the new holder %s is not higher than %d", grant.FencingToken, holder, previousToken)
		}
		w.lockHolders[key], w.lockedUntil[key] = holder, max(sentAt+ttl, durationIf(w.lockHolders[key] == holder, w.lockedUntil[key]))
		w.fencingTokens[key] = max(w.fencingTokens[key], grant.FencingToken)
	})
}

// durationIf returns the duration if the condition holds, otherwise 0.
func durationIf(condition bool, duration time.Duration) time.Duration {
	if condition {
		return duration
	}
	return 0
}

// start makes random calls until the virtual time end, on average every 10 ms, or every
// 40 ms if lowRate is set.
func (w *workload) start(end time.Duration) {
	var next func()
	next = func() {
		if w.cluster.now >= end {
			return
		}
		switch w.cluster.rng.Intn(4) {
		case 0:
			w.nextNumber()
		case 1:
			w.putCell()
		case 2:
			w.getCell()
		case 3:
			w.acquireLock()
		}
		gap := time.Duration(w.cluster.rng.Intn(20000)) * time.Microsecond
		if w.lowRate {
			gap *= 4
		}
		w.cluster.schedule(gap, next)
	}
	w.cluster.schedule(time.Second, next)
}
