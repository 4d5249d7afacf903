package replication_test

import (
	"testing"
	"time"
)

// recoveryTime is the time after the end of all faults within which calls must be served
// again, however many members were lost.
const recoveryTime = 15 * time.Second

// halvesRun is a cluster whose members are cut into two halves, beyond the losses that it
// tolerates. Clients reach both halves.
type halvesRun struct {
	*simCluster
	load *workload
	// mayWipe is true until a disk has been lost.
	mayWipe bool
}

// setCut cuts the links between the halves, given as the set of addresses in one of them,
// or restores them. If oneWay is set, messages to that half still arrive.
func (r *halvesRun) setCut(half map[string]bool, cut, oneWay bool) {
	for _, a := range r.addresses {
		for _, b := range r.addresses {
			if half[a] && !half[b] {
				r.partitioned[[2]string{a, b}] = cut
				r.partitioned[[2]string{b, a}] = cut && !oneWay
			}
		}
	}
}

// randomHalf returns between one and all but one of the addresses.
func (r *halvesRun) randomHalf() map[string]bool {
	half := map[string]bool{}
	order := r.rng.Perm(len(r.addresses))
	for _, i := range order[:1+r.rng.Intn(len(order)-1)] {
		half[r.addresses[i]] = true
	}
	return half
}

// loseSome kills or freezes random nodes, one of them with the loss of its disk in some
// worlds, and returns a function that brings them back.
func (r *halvesRun) loseSome() (restore func()) {
	var restores []func()
	for _, node := range r.allNodes() {
		switch r.rng.Intn(4) {
		case 0:
			r.logf("kill %s", node.address)
			node.kill()
			if r.mayWipe && r.rng.Intn(2) == 0 {
				r.logf("wipe %s", node.address)
				node.records, r.mayWipe = nil, false
			}
			restores = append(restores, node.start)
		case 1:
			r.logf("freeze %s", node.address)
			node.freeze()
			restores = append(restores, node.unfreeze)
		}
	}
	return func() {
		for _, f := range restores {
			f()
		}
	}
}

// randomTime returns a time of up to the given one.
func (r *halvesRun) randomTime(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int63n(int64(limit)))
}

// round cuts the members into halves for some seconds, in most worlds while others of them
// are lost, and restores all.
func (r *halvesRun) round() {
	half, oneWay := r.randomHalf(), r.rng.Intn(3) == 0
	restore := func() {}
	if r.rng.Intn(3) > 0 {
		restore = r.loseSome()
		r.runUntil(r.now + r.randomTime(2*time.Second))
	}
	r.logf("cut off %v, one way: %v", half, oneWay)
	r.setCut(half, true, oneWay)
	r.runUntil(r.now + r.randomTime(8*time.Second))
	if r.rng.Intn(2) == 0 {
		restore()
		r.runUntil(r.now + r.randomTime(2*time.Second))
		r.setCut(half, false, false)
	} else {
		r.setCut(half, false, false)
		r.runUntil(r.now + r.randomTime(2*time.Second))
		restore()
	}
	r.logf("all restored")
	r.runUntil(r.now + r.randomTime(3*time.Second))
}

// TestCutIntoHalvesLosesNothing guards against acknowledged changes that are lost or shown
// in an older state after the members were cut into two halves, whatever losses overlap
// with that, and against a core that does not serve again once all are back.
func TestCutIntoHalvesLosesNothing(t *testing.T) {
	for seed := int64(1); seed <= *seedCount; seed++ {
		members := []int{3, 5, 9}[seed%3]
		r := &halvesRun{simCluster: newSimCluster(t, seed, members), mayWipe: seed%2 == 0}
		r.load = newWorkload(r.simCluster)
		r.load.lowRate = true
		r.load.start(time.Hour)
		r.runUntil(4 * time.Second)
		for range 3 {
			r.round()
		}
		r.runUntil(r.now + recoveryTime)
		served := r.load.served
		r.runUntil(r.now + 3*time.Second)
		requireServing(t, r.simCluster, r.load, served+20)
	}
}
