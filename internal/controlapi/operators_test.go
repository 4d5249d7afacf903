package controlapi

import (
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/routeconfig"
)

var seeds = flag.Int64("seeds", 12, "number of seeds that the test with operators and faults runs with")

// operatorHistory records the results that the operators got for their changes. Results
// that contradict each other fail the test.
type operatorHistory struct {
	t    *testing.T
	name string
	mu   sync.Mutex
	// accepted and rejected hold the version of each change with that result.
	accepted map[operatorRequest]uint64
	rejected map[operatorRequest]uint64
	// newest is the highest version that was read or acknowledged.
	newest uint64
}

func (h *operatorHistory) newestSeen() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// recordSeen records the version that a read returned. It must not be below floor, the
// newest version known when the read was sent.
func (h *operatorHistory) recordSeen(version, floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < floor {
		h.t.Errorf("%s: read %s after %s", h.name, formatVersion(version), formatVersion(floor))
	}
	h.newest = max(h.newest, version)
}

// recordResult records the status code of a change. A change must not be both accepted
// and rejected, and no two changes may be accepted with the same version.
func (h *operatorHistory) recordResult(change operatorRequest, version uint64, code int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if code >= 400 {
		if _, known := h.accepted[change]; known {
			h.t.Errorf("%s: %s %s was accepted and is now rejected with %d", h.name, change.method, formatVersion(version), code)
		}
		h.rejected[change] = version
		return
	}
	if _, known := h.rejected[change]; known {
		h.t.Errorf("%s: %s %s was rejected and is now accepted", h.name, change.method, formatVersion(version))
	}
	for other, otherVersion := range h.accepted {
		if otherVersion == version && other != change {
			h.t.Errorf("%s: two changes were accepted with version %s", h.name, formatVersion(version))
		}
	}
	h.accepted[change] = version
	h.newest = max(h.newest, version)
}

// pickAccepted returns one of the accepted changes and its version: number n, counted
// from 0, in the map's iteration order. It returns false if there are not that many.
func (h *operatorHistory) pickAccepted(n int) (operatorRequest, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for change, version := range h.accepted {
		if n--; n < 0 {
			return change, version, true
		}
	}
	return operatorRequest{}, 0, false
}

// sendChange sends a change to random members, up to 30 times, until one responds with a
// definite result, and records that. It waits one second for each response and ignores
// later ones. It also ignores one in five definite results, as if the response had been
// lost.
func (c *cluster) sendChange(rng *rand.Rand, history *operatorHistory, change operatorRequest, version uint64) {
	for range 30 {
		to := c.members[rng.Intn(len(c.members))].addr
		codes := make(chan int, 1)
		c.wg.Go(func() {
			code, _ := c.sendOnce(to, change)
			codes <- code
		})
		select {
		case code := <-codes:
			if code == 200 || code >= 400 && code < 500 {
				if rng.Intn(5) > 0 {
					history.recordResult(change, version, code)
					return
				}
			}
		case <-time.After(time.Second):
		}
		time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
	}
}

// runOperator runs an operator until end: it reads the configuration, sends a change
// based on it, and sometimes sends an accepted change again.
func (c *cluster) runOperator(rng *rand.Rand, history *operatorHistory, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		if resent, version, ok := history.pickAccepted(rng.Intn(12)); ok && rng.Intn(3) == 0 {
			c.sendChange(rng, history, resent, version)
		}
		time.Sleep(time.Duration(1+rng.Intn(100)) * time.Millisecond)
		var base uint64
		floor := history.newestSeen()
		if code, body := c.sendOnce(c.members[rng.Intn(len(c.members))].addr, operatorRequest{method: "GET", path: configPath}); code == 200 {
			config, err := routeconfig.Parse([]byte(body))
			qt.Check(c.t, err, qt.IsNil)
			base = config.Version
		} else if code != 404 {
			continue
		}
		history.recordSeen(base, floor)
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		version := base + 1 + uint64(rng.Intn(2))
		host := fmt.Sprintf("h%d.%d", i, rng.Int31())
		if base > 0 && rng.Intn(2) == 0 {
			c.sendChange(rng, history, patchChange(version, base, host), version)
		} else {
			c.sendChange(rng, history, putChange(version, base, host), version)
		}
	}
}

// injectFaults injects random faults until end: restarts of one or all members,
// disconnections, blocked disks and lost disks.
func (c *cluster) injectFaults(rng *rand.Rand, end time.Time) {
	sleepUpTo := func(n int) { time.Sleep(time.Duration(rng.Intn(n)) * time.Millisecond) }
	for time.Now().Before(end) {
		sleepUpTo(1500)
		m := c.members[rng.Intn(len(c.members))]
		switch rng.Intn(5) {
		case 0:
			m.kill()
			sleepUpTo(2000)
			m.start(false)
		case 1:
			c.setDisconnected(m.addr, true)
			sleepUpTo(2500)
			c.setDisconnected(m.addr, false)
		case 2:
			unblock := m.disk.blockWrites()
			sleepUpTo(2500)
			unblock()
		case 3:
			for _, m := range c.members {
				m.kill()
			}
			sleepUpTo(800)
			for _, m := range c.members {
				m.start(false)
			}
		case 4:
			time.Sleep(5 * time.Second)
			m.kill()
			m.disk = &memoryDisk{}
			sleepUpTo(500)
			m.start(false)
			time.Sleep(6 * time.Second)
		}
	}
}

// While two operators change the configuration and members fail, each change must be
// either accepted or rejected for good, no accepted change may be lost, and no read may
// return a version older than one that was known when it was sent.
func TestTwoOperatorsDuringFaults(t *testing.T) {
	accepted, rejected := 0, 0
	for seed := int64(1); seed <= *seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 3)
			defer core.close()
			history := &operatorHistory{t: t, name: fmt.Sprint("seed ", seed), accepted: map[operatorRequest]uint64{}, rejected: map[operatorRequest]uint64{}}
			end := time.Now().Add(25 * time.Second)
			var wg sync.WaitGroup
			for i := range int64(2) {
				wg.Go(func() { core.runOperator(rand.New(rand.NewSource(2*seed+i)), history, end) })
			}
			wg.Go(func() { core.injectFaults(rand.New(rand.NewSource(-seed)), end) })
			wg.Wait()
			current, _ := routeconfig.ParseVersion(core.currentVersion())
			for change, version := range history.accepted {
				qt.Check(t, version <= current, qt.IsTrue, qt.Commentf("%s: %s was accepted, but the current version is %s", history.name, formatVersion(version), formatVersion(current)))
				code, _ := core.sendUntilDecided(int(seed), change)
				qt.Check(t, code, qt.Equals, 200, qt.Commentf("%s: accepted %s sent again at the end", history.name, formatVersion(version)))
			}
			for change, version := range history.rejected {
				code, _ := core.sendUntilDecided(int(seed), change)
				qt.Check(t, code, qt.Not(qt.Equals), 200, qt.Commentf("%s: rejected %s sent again at the end", history.name, formatVersion(version)))
			}
			accepted, rejected = accepted+len(history.accepted), rejected+len(history.rejected)
		})
		if t.Failed() {
			t.Fatalf("failed with seed %d", seed)
		}
	}
	t.Logf("%d changes accepted, %d rejected", accepted, rejected)
	qt.Assert(t, accepted > int(*seeds)*40 && rejected > int(*seeds)*10, qt.IsTrue)
}

// injectCuts cuts the members into two parts until end, again and again, both ways or one
// way, and freezes one of them in some of the cuts. Callers reach all members.
func (c *cluster) injectCuts(rng *rand.Rand, end time.Time) {
	sleepUpTo := func(n int) { time.Sleep(time.Duration(rng.Intn(n)) * time.Millisecond) }
	for time.Now().Before(end) {
		sleepUpTo(1500)
		part := 1 + rng.Intn(len(c.members)-1)
		order := rng.Perm(len(c.members))
		oneWay := rng.Intn(2) == 0
		setCut := func(cut bool) {
			for _, a := range order[:part] {
				for _, b := range order[part:] {
					c.setCut(c.members[a].addr, c.members[b].addr, cut)
					c.setCut(c.members[b].addr, c.members[a].addr, cut && !oneWay)
				}
			}
		}
		thaw := func() {}
		if rng.Intn(2) == 0 {
			thaw = c.members[rng.Intn(len(c.members))].freeze()
			sleepUpTo(1500)
		}
		setCut(true)
		sleepUpTo(4000)
		if rng.Intn(2) == 0 {
			thaw()
			sleepUpTo(500)
			setCut(false)
			continue
		}
		setCut(false)
		sleepUpTo(500)
		thaw()
	}
}

// Guards against a read of the configuration, at any member, that shows an older version
// than one that was acknowledged or read before it was sent, while the core is cut into
// two parts that callers reach both of, and while suspended members resume.
func TestConfigurationReadsAreNeverOlderAcrossCutsAndThaws(t *testing.T) {
	accepted := 0
	for seed := int64(1); seed <= *seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 3)
			defer core.close()
			history := &operatorHistory{t: t, name: fmt.Sprint("seed ", seed), accepted: map[operatorRequest]uint64{}, rejected: map[operatorRequest]uint64{}}
			end := time.Now().Add(30 * time.Second)
			var wg sync.WaitGroup
			for i := range int64(2) {
				wg.Go(func() { core.runOperator(rand.New(rand.NewSource(2*seed+i)), history, end) })
			}
			wg.Go(func() { core.injectCuts(rand.New(rand.NewSource(-seed)), end) })
			wg.Wait()
			current, _ := routeconfig.ParseVersion(core.currentVersion())
			for change, version := range history.accepted {
				qt.Check(t, version <= current, qt.IsTrue, qt.Commentf("%s: %s %s was accepted, but the current version is %s", history.name, change.method, formatVersion(version), formatVersion(current)))
			}
			accepted += len(history.accepted)
		})
		if t.Failed() {
			t.Fatalf("failed with seed %d", seed)
		}
	}
	qt.Assert(t, accepted > int(*seeds)*20, qt.IsTrue, qt.Commentf("%d changes accepted", accepted))
}
