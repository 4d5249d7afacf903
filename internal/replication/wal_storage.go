package replication

import (
	"corkcove/internal/mailbox"
	"corkcove/internal/wal"
)

// WALStorage is the Storage on a write-ahead log. Its callbacks go through the
// replica's mailbox.
type WALStorage struct {
	Mailbox *mailbox.Mailbox
	Log     *wal.Log
}

// Append implements Storage.
func (s WALStorage) Append(record []byte, done func(error)) {
	s.Log.Append(record, s.posted(done))
}

// Checkpoint implements Storage.
func (s WALStorage) Checkpoint(snapshot [][]byte, done func(error)) {
	s.Log.Checkpoint(snapshot, s.posted(done))
}

func (s WALStorage) posted(done func(error)) func(error) {
	return func(err error) {
		s.Mailbox.Post(func() { done(err) })
	}
}
