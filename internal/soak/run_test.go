package soak

import (
	"context"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// buildCorkcove builds the program under test and returns its path.
func buildCorkcove(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "corkcove")
	output, err := exec.Command("go", "build", "-o", binary, "corkcove/cmd/corkcove").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return binary
}

// A short run of all faults with real processes. Longer ones are run by cmd/soak.
func TestRulesHoldInAShortRun(t *testing.T) {
	binary := buildCorkcove(t)
	for _, members := range []int{3, 5} {
		report, err := Run(context.Background(), Options{
			Binary: binary, Directory: t.TempDir(), Seed: 1, Members: members, Faults: 15 * time.Second,
			Kinds: FaultKinds(), Relays: true, Verbose: true, Locks: 6, Numbers: 2, Keys: 4, Callers: 20,
		})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d members: %d faults, %d of %d attempts succeeded", members, len(report.Events), report.Succeeded, report.Attempts)
		if len(report.Violations) > 0 {
			for _, a := range report.history {
				t.Log(a)
			}
		}
		qt.Assert(t, report.Violations, qt.HasLen, 0)
		qt.Assert(t, report.Succeeded > 0, qt.IsTrue)
	}
}

// Guards against issue 37 with real processes: a release that waited in the socket of a
// suspended core, and that its caller had given up, gave the lock to another caller.
func TestReleaseGivenUpByItsCallerDoesNotFreeTheLock(t *testing.T) {
	ctx := t.Context()
	c, err := startCluster(ctx, Options{Binary: buildCorkcove(t), Directory: t.TempDir(), Members: 3})
	qt.Assert(t, err, qt.IsNil)
	defer c.stop()
	history, start := &History{}, time.Now()
	first, second := newClient("first", true, history, start), newClient("second", true, history, start)
	const ttl = 20 * time.Second
	for i, suspended := range c.current() {
		other, lock := c.current()[(i+1)%3], names("lock", 3)[i]
		acquire := Attempt{Operation: Acquire, Name: lock, TTL: ttl}
		var granted Attempt
		for deadline := time.Now().Add(recoveryLimit); !granted.Succeeded() && time.Now().Before(deadline); {
			granted = first.send(ctx, other, acquire)
		}
		suspended.suspend()
		released := first.send(ctx, suspended, Attempt{Operation: Release, Name: lock, Token: granted.Token})
		qt.Assert(t, released.Status, qt.Equals, 0)
		var again Attempt
		for deadline := time.Now().Add(recoveryLimit); !again.Succeeded() && time.Now().Before(deadline); {
			again = first.send(ctx, other, acquire)
		}
		qt.Assert(t, again.Token, qt.Equals, granted.Token)
		suspended.signal(syscall.SIGCONT)
		for range 20 {
			stolen := second.send(ctx, other, acquire)
			qt.Assert(t, stolen.Succeeded(), qt.IsFalse, qt.Commentf("%s", stolen))
		}
	}
	qt.Assert(t, CheckLocks(history.Attempts()), qt.HasLen, 0)
}

// Guards against schedules that differ between runs of a seed, that lose more disks than
// a core tolerates, or that go on after the end.
func TestSchedulesFollowFromTheSeedAndKeepTheirLimits(t *testing.T) {
	const end, losses = 60 * time.Second, 1
	for seed := range uint64(200) {
		draw := func() []Fault { return drawSchedule(rand.New(rand.NewPCG(seed, 0)), FaultKinds(), end, losses) }
		schedule := draw()
		qt.Assert(t, draw(), qt.DeepEquals, schedule)
		lost := 0
		for _, f := range schedule {
			qt.Assert(t, f.At >= calmStart && f.At+f.For < end, qt.IsTrue)
			if f.Kind == Wipe || f.Kind == Replace {
				lost++
			}
		}
		qt.Assert(t, lost <= losses, qt.IsTrue)
	}
}
