package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// lock is a granted lock.
type lock struct {
	owner        string
	fencingToken uint64
	ttl          time.Duration
	// expiresAt is a reading of the replica's monotonic clock.
	expiresAt time.Duration
	// reacquisitions is the number of times that the owner acquired the lock again while
	// it held it under fencingToken.
	reacquisitions uint64
}

// lockTable holds the locks of a shard. An expired lock stays in the table until it
// is released or granted again.
type lockTable struct {
	// lastFencingToken is the highest fencing token granted in the shard.
	lastFencingToken uint64
	byName           map[string]lock
}

func newLockTable() lockTable { return lockTable{byName: map[string]lock{}} }

// LockGrant describes a lock that the caller has acquired or renewed.
type LockGrant struct {
	// FencingToken is higher than that of every earlier grant in the shard. Renewals,
	// and acquisitions by an owner that still holds the lock, keep it.
	FencingToken uint64
	// Reacquisitions is the number of times that the owner has acquired the lock again
	// under the token. It orders a release after an acquisition (see Table.ReleaseLock).
	Reacquisitions uint64
}

// AcquireLock grants a lock for ttl if it is free, has expired, or is held by the
// same owner, who keeps the fencing token. Otherwise the error is ErrLockHeld.
func (t *Table) AcquireLock(name, owner string, ttl, now time.Duration) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	held := found && now < current.expiresAt
	if held && current.owner != owner {
		return Decision[LockGrant]{Err: ErrLockHeld}
	}
	if !held {
		return grantLock(name, lock{owner: owner, fencingToken: t.locks.lastFencingToken + 1, ttl: ttl})
	}
	return grantLock(name, lock{owner: owner, fencingToken: current.fencingToken, ttl: ttl, reacquisitions: current.reacquisitions + 1})
}

// RenewLock extends a lock to ttl from now if the owner still holds it under the
// fencing token. It never shortens the lock. Otherwise the error is ErrLockLost.
func (t *Table) RenewLock(name, owner string, fencingToken uint64, ttl, now time.Duration) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	if !found || current.owner != owner || current.fencingToken != fencingToken || now >= current.expiresAt {
		return Decision[LockGrant]{Err: ErrLockLost}
	}
	return grantLock(name, lock{owner: owner, fencingToken: fencingToken, ttl: ttl, reacquisitions: current.reacquisitions})
}

func grantLock(name string, l lock) Decision[LockGrant] {
	return Decision[LockGrant]{
		Change: &meshpb.Change{Lock: &meshpb.Lock{
			Name: name, Owner: l.owner, FencingToken: l.fencingToken, TtlMs: toMilliseconds(l.ttl), Reacquisitions: l.reacquisitions,
		}},
		Result: LockGrant{l.fencingToken, l.reacquisitions},
	}
}

// ReleaseOutcome tells what the release of a lock did.
type ReleaseOutcome int

const (
	// Released means that the lock is free.
	Released ReleaseOutcome = iota
	// NotHeld means that the caller did not hold the lock under the fencing token: an
	// earlier transmission of the request released it, or it was lost.
	NotHeld
	// HeldUntilExpiry means that the lock stays held until its time to live ends, because
	// the release may have been sent before the owner acquired the lock again.
	HeldUntilExpiry
)

// ReleaseLock releases a lock that is held under the fencing token. reacquisitions is the
// number of reacquisitions that are known to have been made before the release was sent.
//
// If the owner has acquired the lock again more often, the lock is not released: the owner
// has kept its fencing token, so a release that was sent before and arrives late is the
// same as one that was sent after. Freeing the lock could give it to another owner while
// the first one holds it.
func (t *Table) ReleaseLock(name, owner string, fencingToken, reacquisitions uint64) Decision[ReleaseOutcome] {
	current, found := t.locks.byName[name]
	switch {
	case !found || current.owner != owner || current.fencingToken != fencingToken:
		return Decision[ReleaseOutcome]{Result: NotHeld, AlreadyApplied: true}
	case current.reacquisitions > reacquisitions:
		return Decision[ReleaseOutcome]{Result: HeldUntilExpiry}
	}
	return Decision[ReleaseOutcome]{
		Change: &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: owner, FencingToken: fencingToken, Free: true}},
		Result: Released,
	}
}

// apply grants, renews or releases a lock. The time to live runs from now.
func (t *lockTable) apply(l *meshpb.Lock, now time.Duration) {
	t.lastFencingToken = max(t.lastFencingToken, l.FencingToken)
	if l.Free {
		delete(t.byName, l.Name)
		return
	}
	ttl := fromMilliseconds(l.TtlMs)
	next := lock{owner: l.Owner, fencingToken: l.FencingToken, ttl: ttl, expiresAt: now + ttl, reacquisitions: l.Reacquisitions}
	if current, found := t.byName[l.Name]; found && current.fencingToken == l.FencingToken {
		// A renewal never moves the expiry that the owner was granted to an earlier time.
		next.expiresAt = max(next.expiresAt, current.expiresAt)
		// A member of the previous release does not report reacquisitions.
		next.reacquisitions = max(next.reacquisitions, current.reacquisitions)
	}
	t.byName[l.Name] = next
}

// snapshot returns the locks, sorted by name. It rounds the time to live up and the
// age down to milliseconds, so that a restored lock never expires early.
func (t *lockTable) snapshot(now time.Duration) []*meshpb.Lock {
	var locks []*meshpb.Lock
	for name, l := range t.byName {
		remaining := max(l.expiresAt-now, 0)
		ttl := max(l.ttl, remaining)
		locks = append(locks, &meshpb.Lock{
			Name: name, Owner: l.owner, FencingToken: l.fencingToken,
			TtlMs: toMilliseconds(ttl + time.Millisecond - 1),
			AgeMs: toMilliseconds(ttl - remaining), Reacquisitions: l.reacquisitions,
		})
	}
	slices.SortFunc(locks, func(a, b *meshpb.Lock) int { return cmp.Compare(a.Name, b.Name) })
	return locks
}

// restore adds a lock from a snapshot. age is the time since the lock was granted or
// renewed; the lock expires when it reaches the time to live.
func (t *lockTable) restore(l *meshpb.Lock, now, age time.Duration) {
	ttl := fromMilliseconds(l.TtlMs)
	t.byName[l.Name] = lock{owner: l.Owner, fencingToken: l.FencingToken, ttl: ttl, expiresAt: now + ttl - age, reacquisitions: l.Reacquisitions}
}
