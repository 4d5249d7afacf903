package replication

import (
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// How much of a shard's log is kept in memory for members that lag: others get
// the full state. The memory is what bounds it.
const (
	maxLogEntries = 1024
	maxLogBytes   = 1 << 20
	// maxEpochEnds is how many ends of earlier epochs are remembered.
	maxEpochEnds = 16
)

// replicaLog is the position of a replica and the last entries that led there.
type replicaLog struct {
	position
	// synced is the version up to which all is on disk.
	synced uint64
	// entries are the last ones; size is the sum of their sizes in bytes.
	entries []*meshpb.Entry
	size    int
	// epochEnds are the positions at which earlier epochs ended in this replica,
	// the latest at the end.
	epochEnds []position
}

// append takes the next entry.
func (l *replicaLog) append(entry *meshpb.Entry) {
	l.version = entry.Version
	l.entries = append(l.entries, entry)
	if l.size += proto.Size(entry); len(l.entries) > maxLogEntries || l.size > maxLogBytes {
		l.trim()
	}
}

// trim drops half of the entries, so that it isn't done for each new one.
func (l *replicaLog) trim() {
	for i := range l.entries {
		if len(l.entries)-i <= maxLogEntries/2 && l.size <= maxLogBytes/2 {
			l.entries = append([]*meshpb.Entry(nil), l.entries[i:]...)
			return
		}
		l.size -= proto.Size(l.entries[i])
	}
	l.entries, l.size = nil, 0
}

// reset drops the entries and the past epochs.
func (l *replicaLog) reset() { l.entries, l.size, l.epochEnds = nil, 0, nil }

// beginEpoch notes where the present epoch ended, and begins another.
func (l *replicaLog) beginEpoch(epoch uint64) {
	l.epochEnds = append(l.epochEnds, l.position)
	if n := len(l.epochEnds); n > maxEpochEnds {
		l.epochEnds = append([]position(nil), l.epochEnds[n-maxEpochEnds:]...)
	}
	l.epoch = epoch
}

// recordSynced notes that all up to version is on disk.
func (l *replicaLog) recordSynced(version uint64) { l.synced = max(l.synced, version) }

// lastEpochEnd is where the epoch before this one ended.
func (l *replicaLog) lastEpochEnd() position { return l.epochEnds[len(l.epochEnds)-1] }

// entriesAfter returns the entries that lead from a replica at from to this one,
// if from is known to be part of this one's history and the log reaches back to
// it. An epoch has one history, so a replica at an epoch that is part of this
// one's past, no further than that epoch went here, holds a part of this one.
func (l *replicaLog) entriesAfter(from position) ([]*meshpb.Entry, bool) {
	known := from.epoch == l.epoch && from.version <= l.version
	for _, end := range l.epochEnds {
		known = known || end.epoch == from.epoch && from.version <= end.version
	}
	n := l.version - from.version
	if !known || from.version > l.version || n > uint64(len(l.entries)) {
		return nil, false
	}
	return l.entries[uint64(len(l.entries))-n:], true
}
