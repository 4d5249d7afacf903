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

// ConfigShard is the shard that holds the configuration and the state of the cluster
// controller. Locks, counters, cells and sessions are distributed over the others.
const ConfigShard = 0

// sessionKeyPrefix is prepended to session keys before hashing, so that a session and
// another object of the same name are hashed independently. Changing it would move
// the stored sessions to other shards.
const sessionKeyPrefix = "pin "

// Service serves requests for the shards that this process owns. Its methods are
// safe for concurrent use, except OnCommit and OnOwnershipLost.
type Service struct {
	// Mailbox runs the service's calls to Replica, on the goroutine that owns it.
	Mailbox *mailbox.Mailbox
	// Replica must be set before the first request and not changed afterwards.
	Replica *replication.Replica
	// ShardCount is the number of shards, including ConfigShard. It is at least 2.
	ShardCount int
	// CallerGone reports whether the caller of the request with the context has given up
	// waiting for its result. It must be safe for concurrent use and must not block. Nil
	// means that callers are always assumed to wait.
	CallerGone func(context.Context) bool

	// watchers holds the waiting watchers by shard. It is accessed only on the
	// mailbox's goroutine.
	watchers map[int][]*watcher
}

// NewService returns a service. The caller must set its Replica before the first
// request.
func NewService(mailbox *mailbox.Mailbox, shardCount int) *Service {
	return &Service{Mailbox: mailbox, ShardCount: shardCount, watchers: map[int][]*watcher{}}
}

// ShardOf returns the shard of the lock, counter or key group with that name.
func (s *Service) ShardOf(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name)) // never returns an error
	return 1 + int(hash.Sum32())%(s.ShardCount-1)
}

// SessionShard returns the shard that holds the pins of a session.
func (s *Service) SessionShard(key string) int { return s.ShardOf(sessionKeyPrefix + key) }

// result is a value or an error.
type result[R any] struct {
	value R
	err   error
}

// Transact runs decide on the shard's table and returns the result of the decision
// once it is committed. Besides the error of the decision, it returns
// replication.ErrNotOwner or replication.ErrUnavailable if no change was made, and
// replication.ErrOutcomeUnknown if a change may have been made and may still take
// effect, also if ctx ends or the mailbox is closed first.
//
// It does not run decide once the caller has given up. The caller may have acted on the
// assumption that the request failed, and an outdated request would undo that.
func Transact[R any](ctx context.Context, s *Service, shard int, decide func(t *Table, now time.Duration) Decision[R]) (R, error) {
	response, ok := mailbox.CallAsync(ctx, s.Mailbox, func(reply func(result[R])) {
		if s.GaveUp(ctx) {
			reply(result[R]{err: replication.ErrUnavailable})
			return
		}
		transactOnMailbox(s, shard, decide, func(value R, err error) { reply(result[R]{value, err}) })
	})
	if !ok {
		return response.value, replication.ErrOutcomeUnknown
	}
	return response.value, response.err
}

// GaveUp reports whether ctx has ended or the request's caller has given up.
func (s *Service) GaveUp(ctx context.Context) bool {
	return ctx.Err() != nil || s.CallerGone != nil && s.CallerGone(ctx)
}

// transactOnMailbox is Transact for callers on the mailbox's goroutine. It does not
// block, and reply is called on the same goroutine.
func transactOnMailbox[R any](s *Service, shard int, decide func(*Table, time.Duration) Decision[R], reply func(R, error)) {
	var d Decision[R]
	s.Replica.Execute(shard, func(t replication.StateMachine, now time.Duration) *meshpb.Change {
		d = decide(t.(*Table), now)
		return d.Change
	}, func(err error) {
		// ErrUnavailable reports that no change was made, but the change of the earlier
		// transmission may still take effect.
		if d.AlreadyApplied && errors.Is(err, replication.ErrUnavailable) {
			err = replication.ErrOutcomeUnknown
		}
		if err == nil {
			err = d.Err
		}
		reply(d.Result, err)
	})
}

// AcquireLock runs Table.AcquireLock on the shard of the lock. See Transact for
// further errors.
func (s *Service) AcquireLock(ctx context.Context, name, owner string, ttl time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) Decision[LockGrant] {
		return t.AcquireLock(name, owner, ttl, now)
	})
}

// RenewLock runs Table.RenewLock on the shard of the lock. See Transact for further
// errors.
func (s *Service) RenewLock(ctx context.Context, name, owner string, fencingToken uint64, ttl time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) Decision[LockGrant] {
		return t.RenewLock(name, owner, fencingToken, ttl, now)
	})
}

// ReleaseLock runs Table.ReleaseLock on the shard of the lock. See Transact for its
// errors.
func (s *Service) ReleaseLock(ctx context.Context, name, owner string, fencingToken, reacquisitions uint64) (ReleaseOutcome, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) Decision[ReleaseOutcome] {
		return t.ReleaseLock(name, owner, fencingToken, reacquisitions)
	})
}

// NextNumber runs Table.NextNumber on the shard of the counter. See Transact for its
// errors.
func (s *Service) NextNumber(ctx context.Context, name string) (uint64, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) Decision[uint64] {
		return t.NextNumber(name)
	})
}

// Put runs Table.Put on the shard of the key's group. See Transact for further
// errors.
func (s *Service) Put(ctx context.Context, name, payload string, expected *uint64) (Cell, error) {
	return Transact(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, now time.Duration) Decision[Cell] {
		return t.Put(name, payload, expected, now)
	})
}

// Get runs Table.Get on the shard of the key's group. See Transact for further
// errors.
func (s *Service) Get(ctx context.Context, name string) (Cell, error) {
	return Transact(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, _ time.Duration) Decision[Cell] {
		return t.Get(name)
	})
}

// PinSession runs Table.PinSession on the shard of the session. See Transact for its
// errors.
func (s *Service) PinSession(ctx context.Context, request *meshpb.PinRequest) (PinResult, error) {
	return Transact(ctx, s, s.SessionShard(request.Key), func(t *Table, now time.Duration) Decision[PinResult] {
		return t.PinSession(request, now)
	})
}
