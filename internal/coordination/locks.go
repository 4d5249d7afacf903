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
}

// lockTable holds the locks of a shard. An expired lock stays in the table until it
// is released or granted again.
type lockTable struct {
	// lastFencingToken is the highest fencing token granted in the shard.
	lastFencingToken uint64
	byName           map[string]lock
}

func newLockTable() lockTable { return lockTable{byName: map[string]lock{}} }

// LockGrant describes a lock that the caller has acquired or renewed. It is the zero
// value for a lock that was released.
type LockGrant struct {
	// FencingToken is higher than that of every earlier grant in the shard. Renewals,
	// and acquisitions by an owner that still holds the lock, keep it.
	FencingToken uint64
}

// AcquireLock grants a lock for ttl if it is free, has expired, or is held by the
// same owner, who keeps the fencing token. Otherwise the error is ErrLockHeld.
func (t *Table) AcquireLock(name, owner string, ttl, now time.Duration) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	held := found && now < current.expiresAt
	if held && current.owner != owner {
		return Decision[LockGrant]{Err: ErrLockHeld}
	}
	token := current.fencingToken
	if !held {
		token = t.locks.lastFencingToken + 1
	}
	return grantLock(name, owner, token, ttl)
}

// RenewLock extends a lock to ttl from now if the owner still holds it under the
// fencing token. It never shortens the lock. Otherwise the error is ErrLockLost.
func (t *Table) RenewLock(name, owner string, fencingToken uint64, ttl, now time.Duration) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	if !found || current.owner != owner || current.fencingToken != fencingToken || now >= current.expiresAt {
		return Decision[LockGrant]{Err: ErrLockLost}
	}
	return grantLock(name, owner, fencingToken, ttl)
}

func grantLock(name, owner string, fencingToken uint64, ttl time.Duration) Decision[LockGrant] {
	return Decision[LockGrant]{
		Change: &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: owner, FencingToken: fencingToken, TtlMs: toMilliseconds(ttl)}},
		Result: LockGrant{fencingToken},
	}
}

// ReleaseLock releases a lock. If the lock is not held under the fencing token, it
// counts as released by an earlier transmission of the request.
func (t *Table) ReleaseLock(name, owner string, fencingToken uint64) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	if !found || current.owner != owner || current.fencingToken != fencingToken {
		return Decision[LockGrant]{AlreadyApplied: true}
	}
	return Decision[LockGrant]{
		Change: &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: owner, FencingToken: fencingToken, Free: true}},
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
	expires := now + ttl
	// A renewal never moves the expiry that the owner was granted to an earlier time.
	if current, found := t.byName[l.Name]; found && current.fencingToken == l.FencingToken {
		expires = max(expires, current.expiresAt)
	}
	t.byName[l.Name] = lock{l.Owner, l.FencingToken, ttl, expires}
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
			AgeMs: toMilliseconds(ttl - remaining),
		})
	}
	slices.SortFunc(locks, func(a, b *meshpb.Lock) int { return cmp.Compare(a.Name, b.Name) })
	return locks
}

// restore adds a lock from a snapshot. age is the time since the lock was granted or
// renewed; the lock expires when it reaches the time to live.
func (t *lockTable) restore(l *meshpb.Lock, now, age time.Duration) {
	ttl := fromMilliseconds(l.TtlMs)
	t.byName[l.Name] = lock{l.Owner, l.FencingToken, ttl, now + ttl - age}
}
