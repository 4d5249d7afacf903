package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// lock is one granted lock.
type lock struct {
	owner        string
	fencingToken uint64
	ttl          time.Duration
	expiresAt    time.Duration
}

// lockTable holds a shard's locks. Expired ones stay until they are released or
// granted again.
type lockTable struct {
	lastFencingToken uint64
	byName           map[string]lock
}

func newLockTable() lockTable { return lockTable{byName: map[string]lock{}} }

// LockGrant is a lock that the caller holds.
type LockGrant struct {
	// FencingToken rises with each new owner in the shard; a renewal keeps it.
	FencingToken uint64
}

// AcquireLock grants a lock that is free, expired, or held by the same owner,
// who keeps the fencing token; otherwise the error is ErrLockHeld.
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

// RenewLock prolongs a lock that is still held under the fencing token;
// otherwise the error is ErrLockLost.
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

// ReleaseLock frees a lock. One that is no longer held under the fencing token
// counts as released before.
func (t *Table) ReleaseLock(name, owner string, fencingToken uint64) Decision[LockGrant] {
	current, found := t.locks.byName[name]
	if !found || current.owner != owner || current.fencingToken != fencingToken {
		return Decision[LockGrant]{AlreadyApplied: true}
	}
	return Decision[LockGrant]{
		Change: &meshpb.Change{Lock: &meshpb.Lock{Name: name, Owner: owner, FencingToken: fencingToken, Free: true}},
	}
}

func (k *lockTable) apply(l *meshpb.Lock, now time.Duration) {
	k.lastFencingToken = max(k.lastFencingToken, l.FencingToken)
	if l.Free {
		delete(k.byName, l.Name)
		return
	}
	ttl := fromMilliseconds(l.TtlMs)
	expires := now + ttl
	// A renewal never shortens what its owner was granted before.
	if current, found := k.byName[l.Name]; found && current.fencingToken == l.FencingToken {
		expires = max(expires, current.expiresAt)
	}
	k.byName[l.Name] = lock{l.Owner, l.FencingToken, ttl, expires}
}

// snapshot writes the locks by name. Milliseconds are rounded so that a
// restored lock never expires early.
func (k *lockTable) snapshot(now time.Duration) []*meshpb.Lock {
	var locks []*meshpb.Lock
	for name, l := range k.byName {
		left := max(l.expiresAt-now, 0)
		ttl := max(l.ttl, left)
		locks = append(locks, &meshpb.Lock{
			Name: name, Owner: l.owner, FencingToken: l.fencingToken,
			TtlMs: toMilliseconds(ttl + time.Millisecond - 1),
			AgeMs: toMilliseconds(ttl - left),
		})
	}
	slices.SortFunc(locks, func(a, b *meshpb.Lock) int { return cmp.Compare(a.Name, b.Name) })
	return locks
}

// restore reads a lock; age is how long ago it was granted.
func (k *lockTable) restore(l *meshpb.Lock, now, age time.Duration) {
	ttl := fromMilliseconds(l.TtlMs)
	k.byName[l.Name] = lock{l.Owner, l.FencingToken, ttl, now + ttl - age}
}
