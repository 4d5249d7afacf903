package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// How much of a shard's log is kept for members that lag, and how many ends of
// epochs in it.
const (
	logMost  = 1024
	logBytes = 1 << 20
	pastMost = 16
)

func (s *shard) take(e *meshpb.Entry, now time.Duration) {
	s.version = e.Version
	s.table.Apply(e.Change, now)
	s.log = append(s.log, e)
	if s.size += proto.Size(e); len(s.log) > logMost || s.size > logBytes {
		s.trim()
	}
}

// trim lets half of the log go, so that it is not done for each entry.
func (s *shard) trim() {
	for n := 0; n < len(s.log); n++ {
		if len(s.log)-n <= logMost/2 && s.size <= logBytes/2 {
			s.log = append([]*meshpb.Entry(nil), s.log[n:]...)
			return
		}
		s.size -= proto.Size(s.log[n])
	}
	s.log, s.size = nil, 0
}

func (s *shard) forget() { s.log, s.size, s.past = nil, 0, nil }

// raise takes the copy on to the epoch of x, whose entries bring it to what
// that epoch began with.
func (s *shard) raise(x *meshpb.EpochChange, now time.Duration) {
	s.past = append(s.past, span{s.epoch, s.version})
	if n := len(s.past); n > pastMost {
		s.past = append([]span(nil), s.past[n-pastMost:]...)
	}
	s.epoch = x.Epoch
	for _, e := range x.Entries {
		s.take(e, now)
	}
}

// after gives the entries that lead from a copy's content to this one's, if that
// content is known to be a beginning of this one's and the log reaches back to
// it. One epoch has one log, so a copy at an epoch that is part of this one's
// past, no further than it went here, is a beginning.
func (s *shard) after(h span) ([]*meshpb.Entry, bool) {
	ok := h.epoch == s.epoch && h.version <= s.version
	for _, p := range s.past {
		ok = ok || p.epoch == h.epoch && h.version <= p.version
	}
	n := s.version - h.version
	if !ok || h.version > s.version || n > uint64(len(s.log)) {
		return nil, false
	}
	return s.log[uint64(len(s.log))-n:], true
}

// raiseFor makes what brings a copy at h on to this owner's epoch: all up to
// its beginning in one, since a copy at a new epoch must hold all that came
// before that epoch.
func (s *shard) raiseFor(h span) *meshpb.EpochChange {
	es, ok := s.after(h)
	if !ok {
		return nil
	}
	x := &meshpb.EpochChange{Shard: uint32(s.ix), Epoch: s.epoch, FromEpoch: h.epoch, FromVersion: h.version}
	for _, e := range es {
		if e.Version > s.begin {
			break
		}
		x.Entries = append(x.Entries, &meshpb.Entry{Shard: e.Shard, Epoch: s.epoch, Version: e.Version, Change: e.Change})
	}
	return x
}
