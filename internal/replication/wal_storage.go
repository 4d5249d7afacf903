package replication

import (
	"corkcove/internal/mailbox"
	"corkcove/internal/wal"
)

// WALStorage is a Storage that writes to a write-ahead log.
type WALStorage struct {
	// Mailbox is the replica's mailbox, in which the callbacks run.
	Mailbox *mailbox.Mailbox
	// Log is the log that holds the records.
	Log *wal.Log
}

// Append implements Storage.
func (s WALStorage) Append(record []byte, done func(error)) {
	s.Log.Append(record, s.postCallback(done))
}

// Checkpoint implements Storage.
func (s WALStorage) Checkpoint(snapshot [][]byte, done func(error)) {
	s.Log.Checkpoint(snapshot, s.postCallback(done))
}

// postCallback returns a callback that runs done in the mailbox.
func (s WALStorage) postCallback(done func(error)) func(error) {
	return func(err error) {
		s.Mailbox.Post(func() { done(err) })
	}
}
