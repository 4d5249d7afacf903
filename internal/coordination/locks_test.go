package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// apply applies the change of a decision, as a replica does.
func apply[R any](t *Table, d Decision[R], now time.Duration) Decision[R] {
	if d.Change != nil {
		t.Apply(d.Change, now)
	}
	return d
}

// After a renewal with a shorter time to live, the lock must be held until the end of
// the time that was granted first, also on a member that restores the snapshot with
// the ages in it. Otherwise another owner could acquire a lock that is still in use.
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

// After a restart from disk nothing is known of the time since the snapshot, so a lock
// must get its full time to live again: it must not expire before its owner expects.
func TestLockGetsFullTimeToLiveAfterRestart(t *testing.T) {
	table, restored := NewTable(20*time.Second), NewTable(20*time.Second)
	apply(table, table.AcquireLock("l", "x", 3*time.Second, 0), 0)
	restored.Restore(table.Snapshot(2*time.Second), 0, true)
	d := restored.AcquireLock("l", "y", time.Second, 2900*time.Millisecond)
	qt.Assert(t, d.Err, qt.Equals, ErrLockHeld)
}
