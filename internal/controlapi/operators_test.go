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

var seeds = flag.Int64("seeds", 12, "how many runs of operators and faults to try")

// operatorLog is what the operators know of their changes.
type operatorLog struct {
	t        *testing.T
	name     string
	mu       sync.Mutex
	accepted map[operatorRequest]uint64
	refused  map[operatorRequest]uint64
	newest   uint64
}

func (l *operatorLog) newestSeen() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// observe records a version that was shown or acknowledged; none below it may be shown
// to a call that is sent afterwards.
func (l *operatorLog) observe(version, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < floor {
		l.t.Errorf("%s: %s is shown behind %s", l.name, formatVersion(version), formatVersion(floor))
	}
	l.newest = max(l.newest, version)
}

func (l *operatorLog) record(change operatorRequest, version uint64, code int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if code >= 400 {
		if _, known := l.accepted[change]; known {
			l.t.Errorf("%s: %s %s was accepted and is refused with %d", l.name, change.method, formatVersion(version), code)
		}
		l.refused[change] = version
		return
	}
	if _, known := l.refused[change]; known {
		l.t.Errorf("%s: %s %s was refused and is accepted", l.name, change.method, formatVersion(version))
	}
	for other, otherVersion := range l.accepted {
		if otherVersion == version && other != change {
			l.t.Errorf("%s: two changes were accepted under %s", l.name, formatVersion(version))
		}
	}
	l.accepted[change] = version
	l.newest = max(l.newest, version)
}

func (l *operatorLog) pickAccepted(n int) (operatorRequest, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for change, version := range l.accepted {
		if n--; n < 0 {
			return change, version, true
		}
	}
	return operatorRequest{}, 0, false
}

// sendChange sends until the answer is definite, a second to each member; late
// answers are lost.
func (c *cluster) sendChange(rng *rand.Rand, log *operatorLog, change operatorRequest, version uint64) {
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
					log.record(change, version, code)
					return
				}
			}
		case <-time.After(time.Second):
		}
		time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
	}
}

func (c *cluster) runOperator(rng *rand.Rand, log *operatorLog, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		if repeated, version, ok := log.pickAccepted(rng.Intn(12)); ok && rng.Intn(3) == 0 {
			c.sendChange(rng, log, repeated, version)
		}
		time.Sleep(time.Duration(1+rng.Intn(100)) * time.Millisecond)
		var base uint64
		floor := log.newestSeen()
		if code, body := c.sendOnce(c.members[rng.Intn(len(c.members))].addr, operatorRequest{method: "GET", path: configPath}); code == 200 {
			config, err := routeconfig.Parse([]byte(body))
			qt.Check(c.t, err, qt.IsNil)
			base = config.Version
		} else if code != 404 {
			continue
		}
		log.observe(base, floor)
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		version := base + 1 + uint64(rng.Intn(2))
		host := fmt.Sprintf("h%d.%d", i, rng.Int31())
		if base > 0 && rng.Intn(2) == 0 {
			c.sendChange(rng, log, patchChange(version, base, host), version)
		} else {
			c.sendChange(rng, log, putChange(version, base, host), version)
		}
	}
}

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

func TestTwoOperatorsDuringFaults(t *testing.T) {
	accepted, refused := 0, 0
	for seed := int64(1); seed <= *seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 3)
			defer core.close()
			log := &operatorLog{t: t, name: fmt.Sprint("seed ", seed), accepted: map[operatorRequest]uint64{}, refused: map[operatorRequest]uint64{}}
			end := time.Now().Add(25 * time.Second)
			var wg sync.WaitGroup
			for i := range int64(2) {
				wg.Go(func() { core.runOperator(rand.New(rand.NewSource(2*seed+i)), log, end) })
			}
			wg.Go(func() { core.injectFaults(rand.New(rand.NewSource(-seed)), end) })
			wg.Wait()
			current, _ := routeconfig.ParseVersion(core.currentVersion())
			for change, version := range log.accepted {
				qt.Check(t, version <= current, qt.IsTrue, qt.Commentf("%s: %s was accepted, %s is in force", log.name, formatVersion(version), formatVersion(current)))
				code, _ := core.sendUntilDecided(int(seed), change)
				qt.Check(t, code, qt.Equals, 200, qt.Commentf("%s: %s at the end", log.name, formatVersion(version)))
			}
			for change, version := range log.refused {
				code, _ := core.sendUntilDecided(int(seed), change)
				qt.Check(t, code, qt.Not(qt.Equals), 200, qt.Commentf("%s: %s was refused", log.name, formatVersion(version)))
			}
			accepted, refused = accepted+len(log.accepted), refused+len(log.refused)
		})
		if t.Failed() {
			t.Fatalf("with seed %d", seed)
		}
	}
	t.Logf("%d changes accepted, %d refused", accepted, refused)
	qt.Assert(t, accepted > int(*seeds)*40 && refused > int(*seeds)*10, qt.IsTrue)
}
