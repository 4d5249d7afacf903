package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// apply carries out a decision's change, as a replica does.
func apply[R any](t *Table, d Decision[R], now time.Duration) Decision[R] {
	if d.Change != nil {
		t.Apply(d.Change, now)
	}
	return d
}

func TestShorterRenewalDoesNotShortenTheLock(t *testing.T) {
	owner, restored := NewTable(20*time.Second), NewTable(20*time.Second)
	granted := apply(owner, owner.AcquireLock("l", "x", 3*time.Second, 0), 0)
	apply(owner, owner.RenewLock("l", "x", granted.Result.FencingToken, time.Second, 100*time.Millisecond), 100*time.Millisecond)
	at := 500 * time.Millisecond
	restored.Restore(owner.Snapshot(at), at, false)
	early := restored.AcquireLock("l", "y", time.Second, 2900*time.Millisecond)
	qt.Assert(t, early.Err, qt.Equals, ErrLockHeld)
	late := restored.AcquireLock("l", "y", time.Second, 3002*time.Millisecond)
	qt.Assert(t, late.Err, qt.IsNil)
	qt.Assert(t, late.Result.FencingToken > granted.Result.FencingToken, qt.IsTrue)
}

func TestLockRunsItsFullTimeAfterARestart(t *testing.T) {
	before, after := NewTable(20*time.Second), NewTable(20*time.Second)
	apply(before, before.AcquireLock("l", "x", 3*time.Second, 0), 0)
	after.Restore(before.Snapshot(2*time.Second), 0, true)
	d := after.AcquireLock("l", "y", time.Second, 2900*time.Millisecond)
	qt.Assert(t, d.Err, qt.Equals, ErrLockHeld)
}
