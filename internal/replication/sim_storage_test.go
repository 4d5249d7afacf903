package replication_test

import (
	"errors"
	"slices"
	"time"
)

// write is a call of Append or Checkpoint.
type write struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// store brings a write to the disk.
func (n *simNode) store(j write) {
	switch {
	case j.snapshot != nil:
		n.records = slices.Clone(j.snapshot)
	case len(j.record) > 0:
		n.records = append(n.records, j.record)
	}
}

// simStorage is the Storage of one incarnation of a process.
type simStorage struct {
	node        *simNode
	incarnation int
}

var errDiskFull = errors.New("no space left")

func (s *simStorage) enqueue(j write) {
	if s.node.incarnation != s.incarnation {
		return
	}
	s.node.queued = append(s.node.queued, j)
	s.startSync()
}

// startSync syncs a snapshot alone, or all records up to the next snapshot at once.
func (s *simStorage) startSync() {
	m := s.node
	if m.incarnation != s.incarnation || len(m.syncing) > 0 || len(m.queued) == 0 {
		return
	}
	n := 1
	for m.queued[0].snapshot == nil && n < len(m.queued) && m.queued[n].snapshot == nil {
		n++
	}
	m.syncing, m.queued = m.queued[:n:n], m.queued[n:]
	m.cluster.schedule(m.syncDelay, s.finishSync)
}

func (s *simStorage) finishSync() {
	m := s.node
	if m.incarnation != s.incarnation {
		return
	}
	if m.diskStalled {
		m.cluster.schedule(20*time.Millisecond, s.finishSync)
		return
	}
	js := m.syncing
	m.syncing = nil
	var err error
	if m.diskFull || m.lastSyncFailed && js[0].snapshot == nil {
		err = errDiskFull
	}
	m.lastSyncFailed = err != nil
	for _, j := range js {
		if err == nil {
			m.store(j)
		}
		m.deliver(s.incarnation, func() { j.done(err) })
	}
	s.startSync()
}

func (s *simStorage) Append(rec []byte, done func(error)) { s.enqueue(write{record: rec, done: done}) }

func (s *simStorage) Checkpoint(page [][]byte, done func(error)) {
	s.enqueue(write{snapshot: page, done: done})
}
