package replication

import (
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// Limits of the entries that a replica keeps in memory for lagging members; members
// that are further behind get the full state. They bound the memory per shard.
const (
	// maxLogEntries is the maximum number of entries.
	maxLogEntries = 1024
	// maxLogBytes is the maximum sum of their encoded sizes, in bytes.
	maxLogBytes = 1 << 20
	// maxEpochEnds is the maximum number of recorded ends of earlier epochs.
	maxEpochEnds = 16
)

// replicaLog is the position of a replica and the most recent entries that led to it.
type replicaLog struct {
	// position is the position of the content in memory, which may be ahead of the disk.
	position
	// synced is the version up to which the content is on disk under the current epoch,
	// or 0 if that version is unknown.
	synced uint64
	// entries are the most recent entries; the last of them is at version. entryBytes is
	// the sum of their encoded sizes.
	entries    []*meshpb.Entry
	entryBytes int
	// epochEnds are the positions at which earlier epochs ended in this replica, oldest
	// first.
	epochEnds []position
}

// append adds the next entry and trims the log if it exceeds a limit.
func (l *replicaLog) append(entry *meshpb.Entry) {
	l.version = entry.Version
	l.entries = append(l.entries, entry)
	if l.entryBytes += proto.Size(entry); len(l.entries) > maxLogEntries || l.entryBytes > maxLogBytes {
		l.trim()
	}
}

// trim drops the oldest entries until the log is at most half of both limits, so that
// appending an entry does not trim the log every time.
func (l *replicaLog) trim() {
	for i := range l.entries {
		if len(l.entries)-i <= maxLogEntries/2 && l.entryBytes <= maxLogBytes/2 {
			l.entries = append([]*meshpb.Entry(nil), l.entries[i:]...)
			return
		}
		l.entryBytes -= proto.Size(l.entries[i])
	}
	l.entries, l.entryBytes = nil, 0
}

// reset drops the entries and the ends of earlier epochs.
func (l *replicaLog) reset() { l.entries, l.entryBytes, l.epochEnds = nil, 0, nil }

// beginEpoch records the current position as the end of its epoch, and moves the log to
// a new epoch at the same version.
func (l *replicaLog) beginEpoch(epoch uint64) {
	l.epochEnds = append(l.epochEnds, l.position)
	if n := len(l.epochEnds); n > maxEpochEnds {
		l.epochEnds = append([]position(nil), l.epochEnds[n-maxEpochEnds:]...)
	}
	l.epoch = epoch
}

// recordSynced records that the content up to version is on disk.
func (l *replicaLog) recordSynced(version uint64) { l.synced = max(l.synced, version) }

// lastEpochEnd returns the position at which the previous epoch ended. An owner's log
// always has one: becomeOwner either changes the epoch, which records the end of the
// previous one, or installs a newer state, whose position installState records as an
// epoch end.
func (l *replicaLog) lastEpochEnd() position { return l.epochEnds[len(l.epochEnds)-1] }

// entriesAfter returns the entries that take a replica at from to this log's position.
// ok is false if from is not known to be part of this log's history, or if the log no
// longer holds all of these entries.
//
// All replicas of one epoch share one history. So a replica at the current epoch, or at
// an earlier epoch in epochEnds, holds a prefix of this log's history if its version is
// not beyond the point that this log reached in that epoch.
func (l *replicaLog) entriesAfter(from position) (entries []*meshpb.Entry, ok bool) {
	known := from.epoch == l.epoch && from.version <= l.version
	for _, end := range l.epochEnds {
		known = known || end.epoch == from.epoch && from.version <= end.version
	}
	missing := l.version - from.version
	if !known || from.version > l.version || missing > uint64(len(l.entries)) {
		return nil, false
	}
	return l.entries[uint64(len(l.entries))-missing:], true
}
