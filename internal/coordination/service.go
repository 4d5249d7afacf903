package coordination

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("numbering")

type watcher struct {
	group string
	after uint64
	done  bool
	cb    func(EventList, error)
}

// Service serves locks, numbers, cells and watches from the shards that this
// process owns. The watchers belong to the board's goroutine.
type Service struct {
	Loop       *mailbox.Mailbox
	Replica    *replication.Replica
	ShardCount int

	watchers map[int][]*watcher
}

func NewService(l *mailbox.Mailbox, shards int) *Service {
	return &Service{Loop: l, ShardCount: shards, watchers: map[int][]*watcher{}}
}

func (s *Service) ShardOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return 1 + int(h.Sum32())%(s.ShardCount-1)
}

type out[R any] struct {
	r   R
	err error
}

// Run calls f on the shard's table; its answer comes back once it is safe. An
// f that makes no change has done nothing: if it fails, it is ErrBusy.
func Transact[R any](ctx context.Context, s *Service, shard int, f func(t *Table, now time.Duration) (*meshpb.Change, R)) (R, error) {
	return TransactRepeatable(ctx, s, shard, func(t *Table, now time.Duration) (*meshpb.Change, R, bool) {
		c, r := f(t, now)
		return c, r, false
	})
}

// RunAgain is Run for what may come again: f also tells that it found the same
// there from an earlier sending. That one may yet take effect while it isn't
// safe, so failing to see it so is ErrUnsure.
func TransactRepeatable[R any](ctx context.Context, s *Service, shard int, f func(t *Table, now time.Duration) (*meshpb.Change, R, bool)) (R, error) {
	o, ok := mailbox.CallAsync(ctx, s.Loop, func(reply func(out[R])) {
		var r R
		var found bool
		s.Replica.Execute(shard, func(t replication.StateMachine, now time.Duration) (c *meshpb.Change) {
			c, r, found = f(t.(*Table), now)
			return c
		}, func(err error) {
			if found && errors.Is(err, replication.ErrUnavailable) {
				err = replication.ErrOutcomeUnknown
			}
			reply(out[R]{r, err})
		})
	})
	if !ok {
		var r R
		return r, replication.ErrOutcomeUnknown
	}
	return o.r, o.err
}

func (s *Service) AcquireLock(ctx context.Context, name, holder string, hold time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) (*meshpb.Change, LockGrant) {
		return t.AcquireLock(name, holder, hold, now)
	})
}

func (s *Service) RenewLock(ctx context.Context, name, holder string, fence uint64, hold time.Duration) (LockGrant, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, now time.Duration) (*meshpb.Change, LockGrant) {
		return t.RenewLock(name, holder, fence, hold, now)
	})
}

func (s *Service) ReleaseLock(ctx context.Context, name, holder string, fence uint64) (LockGrant, error) {
	return TransactRepeatable(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) (*meshpb.Change, LockGrant, bool) {
		c, g := t.ReleaseLock(name, holder, fence)
		return c, g, c == nil
	})
}

func (s *Service) NextNumber(ctx context.Context, name string) (uint64, error) {
	return Transact(ctx, s, s.ShardOf(name), func(t *Table, _ time.Duration) (*meshpb.Change, uint64) { return t.NextNumber(name) })
}

func (s *Service) Put(ctx context.Context, name, payload string, on *uint64) (Cell, error) {
	return TransactRepeatable(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, now time.Duration) (*meshpb.Change, Cell, bool) {
		c, r := t.Put(name, payload, on, now)
		return c, r, c == nil && r.Outcome == Done
	})
}

func (s *Service) Get(ctx context.Context, name string) (Cell, error) {
	return Transact(ctx, s, s.ShardOf(GroupName(name)), func(t *Table, _ time.Duration) (*meshpb.Change, Cell) { return nil, t.Get(name) })
}

func (s *Service) since(ctx context.Context, group string, after uint64) (EventList, error) {
	return Transact(ctx, s, s.ShardOf(group), func(t *Table, _ time.Duration) (*meshpb.Change, EventList) { return nil, t.EventsSince(group, after) })
}

// Watch answers as soon as the group has an event above after, or with none
// once wait is over.
func (s *Service) Watch(ctx context.Context, group string, after uint64, wait time.Duration) (EventList, error) {
	e, err := s.since(ctx, group, after)
	if err != nil || e.Outcome != Waiting || wait <= 0 {
		return e, err
	}
	sh := s.ShardOf(group)
	w := &watcher{group: group, after: after}
	wctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	o, ok := mailbox.CallAsync(wctx, s.Loop, func(reply func(out[EventList])) {
		w.cb = func(e EventList, err error) { reply(out[EventList]{e, err}) }
		s.watchers[sh] = append(s.watchers[sh], w)
		s.ring(sh, w)
	})
	if ok {
		return o.r, o.err
	}
	s.Loop.Post(func() { s.drop(sh, w) })
	return s.since(ctx, group, after)
}

func (s *Service) drop(sh int, w *watcher) {
	w.done = true
	ws := s.watchers[sh]
	for i, x := range ws {
		if x == w {
			s.watchers[sh] = append(append([]*watcher(nil), ws[:i]...), ws[i+1:]...)
			return
		}
	}
}

func (s *Service) ring(sh int, w *watcher) {
	if w.done {
		return
	}
	t := s.Replica.StateMachine(sh).(*Table)
	if t.EventsSince(w.group, w.after).Outcome == Waiting {
		return
	}
	s.drop(sh, w)
	var e EventList
	s.Replica.Execute(sh, func(t replication.StateMachine, _ time.Duration) *meshpb.Change {
		e = t.(*Table).EventsSince(w.group, w.after)
		return nil
	}, func(err error) { w.cb(e, err) })
}

// Committed and Moved are called on the board's goroutine.
func (s *Service) OnCommit(sh int) {
	for _, w := range append([]*watcher(nil), s.watchers[sh]...) {
		s.ring(sh, w)
	}
}

func (s *Service) OnOwnerChange(sh int) {
	ws := s.watchers[sh]
	delete(s.watchers, sh)
	for _, w := range ws {
		if !w.done {
			w.done = true
			w.cb(EventList{}, replication.ErrNotOwner)
		}
	}
}
