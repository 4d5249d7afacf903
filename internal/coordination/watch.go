package coordination

import (
	"context"
	"slices"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
)

// watcher waits for a group's events. Only the mailbox's goroutine touches it.
type watcher struct {
	group string
	after uint64
	// done says that notify was called or that nobody waits any more.
	done   bool
	notify func(EventList, error)
}

// Watch returns as soon as the group has an event after the revision, or with
// none once wait is over. Errors are ErrCompacted and those of Transact;
// replication.ErrNotOwner also if this process ceases to own the shard.
func (s *Service) Watch(ctx context.Context, group string, after uint64, wait time.Duration) (EventList, error) {
	list, err := s.eventsSince(ctx, group, after)
	if err != nil || !list.CaughtUp || wait <= 0 {
		return list, err
	}
	shard := s.ShardOf(group)
	w := &watcher{group: group, after: after}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answer, ok := mailbox.CallAsync(waitCtx, s.Mailbox, func(reply func(result[EventList])) {
		w.notify = func(list EventList, err error) { reply(result[EventList]{list, err}) }
		s.watchers[shard] = append(s.watchers[shard], w)
		s.notifyIfReady(shard, w)
	})
	if ok {
		return answer.value, answer.err
	}
	s.Mailbox.Post(func() { s.removeWatcher(shard, w) })
	return s.eventsSince(ctx, group, after)
}

func (s *Service) eventsSince(ctx context.Context, group string, after uint64) (EventList, error) {
	return Transact(ctx, s, s.ShardOf(group), func(t *Table, _ time.Duration) Decision[EventList] {
		return t.EventsSince(group, after)
	})
}

func (s *Service) removeWatcher(shard int, w *watcher) {
	w.done = true
	watchers := s.watchers[shard]
	if i := slices.Index(watchers, w); i >= 0 {
		s.watchers[shard] = slices.Concat(watchers[:i], watchers[i+1:])
	}
}

// notifyIfReady answers a watcher whose group has events after its revision.
func (s *Service) notifyIfReady(shard int, w *watcher) {
	if w.done {
		return
	}
	t := s.Replica.StateMachine(shard).(*Table)
	if t.EventsSince(w.group, w.after).Result.CaughtUp {
		return
	}
	s.removeWatcher(shard, w)
	transactOnMailbox(s, shard, func(t *Table, _ time.Duration) Decision[EventList] {
		return t.EventsSince(w.group, w.after)
	}, w.notify)
}

// OnCommit notifies the shard's watchers of what was committed. It is called on
// the mailbox's goroutine.
func (s *Service) OnCommit(shard int) {
	for _, w := range slices.Clone(s.watchers[shard]) {
		s.notifyIfReady(shard, w)
	}
}

// OnOwnershipLost sends the shard's watchers to its next owner, once this process
// ceased to own it. It is called on the mailbox's goroutine.
func (s *Service) OnOwnershipLost(shard int) {
	watchers := s.watchers[shard]
	delete(s.watchers, shard)
	for _, w := range watchers {
		if !w.done {
			w.done = true
			w.notify(EventList{}, replication.ErrNotOwner)
		}
	}
}
