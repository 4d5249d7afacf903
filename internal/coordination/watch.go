package coordination

import (
	"context"
	"slices"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
)

// watcher is a call of Watch that waits for events of a group. After its creation
// it is accessed only on the mailbox's goroutine.
type watcher struct {
	group string
	// after is the revision after which the caller waits for events.
	after uint64
	// done reports that a result is on its way to the caller, or that the caller has
	// stopped waiting.
	done bool
	// notify passes the result to the caller. It is called at most once.
	notify func(EventList, error)
}

// Watch returns the events of a group after a revision as soon as there are any. It
// returns an empty list once wait has elapsed. If after is 0 and the group exists, it
// returns at once, with the newest revision only. The errors are ErrCompacted and
// those of Transact, including replication.ErrNotOwner if this process loses the
// ownership of the shard while Watch waits.
func (s *Service) Watch(ctx context.Context, group string, after uint64, wait time.Duration) (EventList, error) {
	list, err := s.eventsSince(ctx, group, after)
	if err != nil || !list.CaughtUp || wait <= 0 {
		return list, err
	}
	shard := s.ShardOf(group)
	w := &watcher{group: group, after: after}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response, ok := mailbox.CallAsync(waitCtx, s.Mailbox, func(reply func(result[EventList])) {
		w.notify = func(list EventList, err error) { reply(result[EventList]{list, err}) }
		s.watchers[shard] = append(s.watchers[shard], w)
		s.notifyIfReady(shard, w)
	})
	if ok {
		return response.value, response.err
	}
	s.Mailbox.Post(func() { s.removeWatcher(shard, w) })
	return s.eventsSince(ctx, group, after)
}

// eventsSince runs Table.EventsSince on the shard of the group.
func (s *Service) eventsSince(ctx context.Context, group string, after uint64) (EventList, error) {
	return Transact(ctx, s, s.ShardOf(group), func(t *Table, _ time.Duration) Decision[EventList] {
		return t.EventsSince(group, after)
	})
}

// removeWatcher marks a watcher as done and stops tracking it.
func (s *Service) removeWatcher(shard int, w *watcher) {
	w.done = true
	watchers := s.watchers[shard]
	if i := slices.Index(watchers, w); i >= 0 {
		s.watchers[shard] = slices.Concat(watchers[:i], watchers[i+1:])
	}
}

// notifyIfReady sends a watcher its result if the group has events after the
// watcher's revision, or if such events have been compacted. The events may not be
// committed yet: the result is sent once they are.
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

// OnCommit notifies the shard's watchers of newly committed events. It must be called
// on the mailbox's goroutine.
func (s *Service) OnCommit(shard int) {
	for _, w := range slices.Clone(s.watchers[shard]) {
		s.notifyIfReady(shard, w)
	}
}

// OnOwnershipLost ends the waiting Watch calls of a shard that this process no longer
// owns, with replication.ErrNotOwner, so that their callers turn to the next owner.
// It must be called on the mailbox's goroutine.
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
