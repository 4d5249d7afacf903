package replication_test

import (
	"fmt"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// workload calls a cluster and checks what the answers promise: numbers and revisions
// rise, no read is stale or shows what was never written, a lock has one holder.
type workload struct {
	cluster          *simCluster
	served           int
	failed           int
	highestNumber    uint64
	numbers          map[uint64]bool
	highestRevisions map[string]uint64
	valuesByRevision map[uint64]string
	highestRevision  uint64
	written          int
	writtenValues    map[string]map[string]bool
	lockedUntil      map[string]time.Duration
	lockHolders      map[string]string
	fencingTokens    map[string]uint64
	// slow makes fewer calls, for long scenarios.
	slow bool
	// onAck is called at the moment at which a change has been acknowledged.
	onAck func()
}

func newWorkload(cluster *simCluster) *workload {
	return &workload{cluster: cluster, numbers: map[uint64]bool{}, highestRevisions: map[string]uint64{}, valuesByRevision: map[uint64]string{},
		writtenValues: map[string]map[string]bool{}, lockedUntil: map[string]time.Duration{}, lockHolders: map[string]string{}, fencingTokens: map[string]uint64{}}
}

// fail ends the test with the last lines of the cluster's log.
func (w *workload) fail(f string, a ...any) {
	n := len(w.cluster.logLines)
	for _, l := range w.cluster.logLines[max(0, n-60):] {
		w.cluster.t.Log(l)
	}
	w.cluster.t.Fatalf("at %v: "+f, append([]any{w.cluster.now}, a...)...)
}

func (w *workload) pickNode() *simNode {
	var ups []*simNode
	for _, m := range w.cluster.allNodes() {
		if m.running && !m.frozen {
			ups = append(ups, m)
		}
	}
	if len(ups) == 0 {
		return nil
	}
	return ups[w.cluster.rng.Intn(len(ups))]
}

// call goes to some member; if that one names an owner, the owner is tried. callback
// gets the result unless the member is killed or frozen for long.
func (w *workload) call(shard int, function func(t *coordination.Table, now time.Duration) *meshpb.Change, callback func(error)) {
	if m := w.pickNode(); m != nil {
		w.callAt(m, shard, 2, function, callback)
	}
}

func (w *workload) callAt(target *simNode, shard, hops int, function func(t *coordination.Table, now time.Duration) *meshpb.Change, callback func(error)) {
	cluster := w.cluster
	delay := func() time.Duration { return time.Duration(cluster.rng.Intn(3000)) * time.Microsecond }
	changed := false
	answer := func(err error) {
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
			if _, own := replica.OwnedEpoch(shard); !own && hops > 0 {
				owner, ok := replica.Owner(shard)
				if !ok || cluster.nodes[owner.Addr] == nil || !cluster.nodes[owner.Addr].running {
					answer(replication.ErrUnavailable)
					return
				}
				w.callAt(cluster.nodes[owner.Addr], shard, hops-1, function, callback)
				return
			}
			replica.Execute(shard, func(t replication.StateMachine, now time.Duration) *meshpb.Change {
				c := function(t.(*coordination.Table), now)
				changed = c != nil
				return c
			}, answer)
		})
	})
}

func (w *workload) nextNumber() {
	highest := w.highestNumber
	var number uint64
	w.call(1, func(t *coordination.Table, _ time.Duration) *meshpb.Change {
		decision := t.NextNumber("n")
		number = decision.Result
		return decision.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if w.numbers[number] || number <= highest {
			w.fail("ORDER: number %d after %d (seen %v)", number, highest, w.numbers[number])
		}
		w.numbers[number] = true
		w.highestNumber = max(w.highestNumber, number)
	})
}

func (w *workload) putCell() {
	key := fmt.Sprintf("g.%d", w.cluster.rng.Intn(3))
	w.written++
	value := fmt.Sprintf("v%d", w.written)
	if w.writtenValues[key] == nil {
		w.writtenValues[key] = map[string]bool{}
	}
	w.writtenValues[key][value] = true
	highest := w.highestRevision
	var cell coordination.Cell
	w.call(2, func(t *coordination.Table, now time.Duration) *meshpb.Change {
		decision := t.Put(key, value, nil, now)
		cell = decision.Result
		return decision.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if w.valuesByRevision[cell.Revision] != "" || cell.Revision <= highest {
			w.fail("ORDER: revision %d after %d", cell.Revision, highest)
		}
		w.valuesByRevision[cell.Revision] = value
		w.highestRevision = max(w.highestRevision, cell.Revision)
		w.highestRevisions[key] = max(w.highestRevisions[key], cell.Revision)
	})
}

func (w *workload) getCell() {
	key := fmt.Sprintf("g.%d", w.cluster.rng.Intn(3))
	highest := w.highestRevisions[key]
	var cell coordination.Cell
	w.call(2, func(t *coordination.Table, _ time.Duration) *meshpb.Change { cell = t.Get(key).Result; return nil }, func(err error) {
		if err != nil {
			return
		}
		if cell.Revision < highest {
			w.fail("STALE: %s read at %d, acknowledged at %d", key, cell.Revision, highest)
		}
		if cell.Revision > 0 && !w.writtenValues[key][cell.Payload] {
			w.fail("MIXED: %s shows %q", key, cell.Payload)
		}
		if other := w.valuesByRevision[cell.Revision]; other != "" && other != cell.Payload {
			w.fail("MIXED: revision %d was %s, shows %s", cell.Revision, other, cell.Payload)
		}
	})
}

func (w *workload) acquireLock() {
	key := fmt.Sprintf("l%d", w.cluster.rng.Intn(2))
	holder := fmt.Sprintf("h%d", w.cluster.rng.Intn(4))
	sentAt := w.cluster.now
	oldToken := w.fencingTokens[key]
	oldHolder := w.lockHolders[key]
	ttl := time.Duration(300+w.cluster.rng.Intn(1500)) * time.Millisecond
	var decision coordination.Decision[coordination.LockGrant]
	w.call(3, func(t *coordination.Table, now time.Duration) *meshpb.Change {
		decision = t.AcquireLock(key, holder, ttl, now)
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
			w.fail("ONE: %s holds %s until %v, now also %s", w.lockHolders[key], key, w.lockedUntil[key], holder)
		}
		if oldHolder != holder && grant.FencingToken <= oldToken {
			w.fail("ONE: fence %d of %s is not above %d", grant.FencingToken, holder, oldToken)
		}
		w.lockHolders[key], w.lockedUntil[key] = holder, max(sentAt+ttl, durationIf(w.lockHolders[key] == holder, w.lockedUntil[key]))
		w.fencingTokens[key] = max(w.fencingTokens[key], grant.FencingToken)
	})
}

func durationIf(b bool, d time.Duration) time.Duration {
	if b {
		return d
	}
	return 0
}

// start makes calls until end.
func (w *workload) start(end time.Duration) {
	var step func()
	step = func() {
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
		if w.slow {
			gap *= 4
		}
		w.cluster.schedule(gap, step)
	}
	w.cluster.schedule(time.Second, step)
}
