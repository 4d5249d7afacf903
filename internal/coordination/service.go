package coordination

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// ConfigShard is the shard of the configuration and the cluster controller's
// state; locks, counters, cells and sessions are spread over the others.
const ConfigShard = 0

// sessionKeyPrefix sets the hash of session keys apart from that of other names.
const sessionKeyPrefix = "pin "

// Service answers requests about the shards that this process owns. Its methods
// may be called from any goroutine.
type Service struct {
	// Mailbox runs all that touches Replica.
	Mailbox *mailbox.Mailbox
	// Replica is set once, before the first request.
	Replica *replication.Replica
	// ShardCount is the number of shards, ConfigShard included; 2 at least.
	ShardCount int

	// watchers wait for events, by shard; only the mailbox's goroutine touches them.
	watchers map[int][]*watcher
}

// NewService returns a service whose Replica is still to be set.
func NewService(mailbox *mailbox.Mailbox, shardCount int) *Service {
	return &Service{Mailbox: mailbox, ShardCount: shardCount, watchers: map[int][]*watcher{}}
}

// ShardOf is the shard of a lock, a counter or a group of keys.
func (s *Service) ShardOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return 1 + int(h.Sum32())%(s.ShardCount-1)
}

// SessionShard is the shard of a session's pins.
func (s *Service) SessionShard(key string) int { return s.ShardOf(sessionKeyPrefix + key) }

type result[R any] struct {
	value R
	err   error
}

// Transact lets the shard's table decide a request, and returns its result once
// that is committed. Other errors than the decision's own are
// replication.ErrNotOwner and replication.ErrUnavailable (nothing was done) and
// replication.ErrOutcomeUnknown (the change may still be applied).
func Transact[R any](ctx context.Context, s *Service, shard int, decide func(t *Table, now time.Duration) Decision[R]) (R, error) {
	answer, ok := mailbox.CallAsync(ctx, s.Mailbox, func(reply func(result[R])) {
		transactOnMailbox(s, shard, decide, func(value R, err error) { reply(result[R]{value, err}) })
	})
	if !ok {
		return answer.value, replication.ErrOutcomeUnknown
	}
	return answer.value, answer.err
}

// transactOnMailbox is Transact on the mailbox's goroutine; reply runs there too.
func transactOnMailbox[R any](s *Service, shard int, decide func(*Table, time.Duration) Decision[R], reply func(R, error)) {
	var d Decision[R]
	s.Replica.Execute(shard, func(t replication.StateMachine, now time.Duration) *meshpb.Change {
		d = decide(t.(*Table), now)
		return d.Change
	}, func(err error) {
		if d.AlreadyApplied && errors.Is(err, replication.ErrUnavailable) {
			err = replication.ErrOutcomeUnknown
		}
		if err == nil {
			err = d.Err
		}
		reply(d.Result, err)
	})
}

// AcquireLock is Table.AcquireLock in the lock's shard.
func (s *Service) AcquireLock(ctx context.Context, name, owner string, ttl time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) Decision[LockGrant] {
		return t.AcquireLock(name, owner, ttl, now)
	})
}

// RenewLock is Table.RenewLock in the lock's shard.
func (s *Service) RenewLock(ctx context.Context, name, owner string, fencingToken uint64, ttl time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) Decision[LockGrant] {
		return t.RenewLock(name, owner, fencingToken, ttl, now)
	})
}

// ReleaseLock is Table.ReleaseLock in the lock's shard.
func (s *Service) ReleaseLock(ctx context.Context, name, owner string, fencingToken uint64) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) Decision[LockGrant] {
		return t.ReleaseLock(name, owner, fencingToken)
	})
}

// NextNumber is Table.NextNumber in the counter's shard.
func (s *Service) NextNumber(ctx context.Context, name string) (uint64, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) Decision[uint64] {
		return t.NextNumber(name)
	})
}

// Put is Table.Put in the shard of the key's group.
func (s *Service) Put(ctx context.Context, name, payload string, expected *uint64) (Cell, error) {
	return Transact(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, now time.Duration) Decision[Cell] {
		return t.Put(name, payload, expected, now)
	})
}

// Get is Table.Get in the shard of the key's group.
func (s *Service) Get(ctx context.Context, name string) (Cell, error) {
	return Transact(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, _ time.Duration) Decision[Cell] {
		return t.Get(name)
	})
}

// PinSession is Table.PinSession in the session's shard.
func (s *Service) PinSession(ctx context.Context, request *meshpb.PinRequest) (PinResult, error) {
	return Transact(ctx, s, s.SessionShard(request.Key), func(t *Table, now time.Duration) Decision[PinResult] {
		return t.PinSession(request, now)
	})
}
