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

// A release that its sender gave up, after which it acquired the lock again, may arrive
// late. It must not free the lock, which another owner could acquire then; also not on a
// member that restores a snapshot. A release that is known to follow must free it.
func TestLateReleaseDoesNotFreeALockThatWasAcquiredAgain(t *testing.T) {
	for name, fromDisk := range map[string]bool{"received": false, "from disk": true} {
		owner, table := NewTable(20*time.Second), NewTable(20*time.Second)
		first := apply(owner, owner.AcquireLock("l", "x", 3*time.Second, 0), 0)
		second := apply(owner, owner.AcquireLock("l", "x", 3*time.Second, time.Second), time.Second)
		qt.Assert(t, second.Result, qt.Equals, LockGrant{FencingToken: first.Result.FencingToken, Reacquisitions: 1})
		apply(owner, owner.RenewLock("l", "x", first.Result.FencingToken, time.Second, time.Second), time.Second)
		table.Restore(owner.Snapshot(time.Second), time.Second, fromDisk)

		late := apply(table, table.ReleaseLock("l", "x", first.Result.FencingToken, 0), 2*time.Second)
		qt.Assert(t, late.Result, qt.Equals, HeldUntilExpiry, qt.Commentf("%s", name))
		early := table.AcquireLock("l", "y", time.Second, 3900*time.Millisecond)
		qt.Assert(t, early.Err, qt.Equals, ErrLockHeld, qt.Commentf("%s", name))

		following := apply(table, table.ReleaseLock("l", "x", first.Result.FencingToken, second.Result.Reacquisitions), 2*time.Second)
		qt.Assert(t, following.Result, qt.Equals, Released, qt.Commentf("%s", name))
		next := table.AcquireLock("l", "y", time.Second, 2*time.Second)
		qt.Assert(t, next.Err, qt.IsNil)
	}
}

// Guards against a reacquisition that a later fencing token inherits: releases of that
// token would not free the lock.
func TestNewFencingTokenHasNoReacquisitions(t *testing.T) {
	table := NewTable(20 * time.Second)
	apply(table, table.AcquireLock("l", "x", time.Second, 0), 0)
	apply(table, table.AcquireLock("l", "x", time.Second, 0), 0)
	after := 2 * time.Second
	next := apply(table, table.AcquireLock("l", "x", time.Second, after), after)
	qt.Assert(t, next.Result, qt.Equals, LockGrant{FencingToken: 2})
	qt.Assert(t, table.ReleaseLock("l", "x", 2, 0).Result, qt.Equals, Released)
}
