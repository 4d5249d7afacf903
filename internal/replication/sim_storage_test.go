package replication_test

import (
	"errors"
	"slices"
	"time"
)

// write is a call of Append, with a record, or of Checkpoint, with a snapshot.
type write struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// store stores a write on the disk.
func (n *simNode) store(w write) {
	switch {
	case w.snapshot != nil:
		n.records = slices.Clone(w.snapshot)
	case len(w.record) > 0:
		n.records = append(n.records, w.record)
	}
}

// simStorage implements replication.Storage for one incarnation of a node's process.
type simStorage struct {
	node        *simNode
	incarnation int
}

var errDiskFull = errors.New("no space left on device")

// enqueue adds a write to those that wait for the disk.
func (s *simStorage) enqueue(w write) {
	if s.node.incarnation != s.incarnation {
		return
	}
	s.node.queued = append(s.node.queued, w)
	s.startSync()
}

// startSync starts the next sync unless one is running. It syncs either a single snapshot
// or all records before the next snapshot.
func (s *simStorage) startSync() {
	node := s.node
	if node.incarnation != s.incarnation || len(node.syncing) > 0 || len(node.queued) == 0 {
		return
	}
	n := 1
	for node.queued[0].snapshot == nil && n < len(node.queued) && node.queued[n].snapshot == nil {
		n++
	}
	node.syncing, node.queued = node.queued[:n:n], node.queued[n:]
	node.cluster.schedule(node.syncDelay, s.finishSync)
}

// finishSync completes the running sync, unless the disk is stalled. On a full disk it
// fails. After a failed sync, records fail until a snapshot succeeds.
func (s *simStorage) finishSync() {
	node := s.node
	if node.incarnation != s.incarnation {
		return
	}
	if node.diskStalled {
		node.cluster.schedule(20*time.Millisecond, s.finishSync)
		return
	}
	writes := node.syncing
	node.syncing = nil
	var err error
	if node.diskFull || node.lastSyncFailed && writes[0].snapshot == nil {
		err = errDiskFull
	}
	node.lastSyncFailed = err != nil
	for _, w := range writes {
		if err == nil {
			node.store(w)
		}
		node.deliver(s.incarnation, func() { w.done(err) })
	}
	s.startSync()
}

func (s *simStorage) Append(record []byte, done func(error)) {
	s.enqueue(write{record: record, done: done})
}

func (s *simStorage) Checkpoint(snapshot [][]byte, done func(error)) {
	s.enqueue(write{snapshot: snapshot, done: done})
}
