package affinity

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// The reasons for moving a session, as stored in the control state and in reports.
const (
	// ReasonConfig means that the configuration no longer allows its service.
	ReasonConfig = "CONFIG"
	// ReasonDrain means that its endpoint is draining.
	ReasonDrain = "DRAIN"
	// ReasonEnded means that its endpoint no longer exists.
	ReasonEnded = "ENDED"
	// reasonLearned means that another node had the session moved, and this node
	// learned of the move when it refreshed the pin.
	reasonLearned = "LEARNT"
)

// maxMoves limits the moves that are kept for reports. When it is reached, the
// oldest quarter is dropped.
const (
	maxMoves          = 1024
	moveEvictionBatch = maxMoves / 4
)

func (s *Sessions) recordMove(id sessionID, from, toService, to, reason string) {
	move := &meshpb.SessionMove{
		Key:       id.key,
		Service:   id.service,
		From:      from,
		To:        to,
		ToService: toService,
		Why:       reason,
		Config:    s.options.ConfigVersion(),
		AtUs:      s.options.Now().UnixMicro(),
	}
	s.appendMove(move)
	s.options.Trace("moved by "+reason, id.key)
}

func (s *Sessions) appendMove(move *meshpb.SessionMove) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.moves) >= maxMoves {
		s.moves = slices.Clone(s.moves[moveEvictionBatch:])
		s.dropped += moveEvictionBatch
	}
	s.moves = append(s.moves, move)
}

// Report returns the sessions used within the idle timeout, ordered by key and
// service, the moves made under sinceVersion of the configuration or a later one,
// and how many pins in use and moves were dropped because the cache or the list
// of moves was full.
func (s *Sessions) Report(sinceVersion uint64) (sessions []*meshpb.Session, moves []*meshpb.SessionMove, dropped uint64) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, pin := range s.pins {
		if now.Sub(pin.lastUsed) <= s.options.IdleTimeout {
			sessions = append(sessions, newSessionReport(id, pin))
		}
	}
	slices.SortFunc(sessions, func(a, b *meshpb.Session) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service))
	})
	for _, move := range s.moves {
		if move.Config >= sinceVersion {
			moves = append(moves, move)
		}
	}
	return sessions, moves, s.dropped
}

func newSessionReport(id sessionID, pin cachedPin) *meshpb.Session {
	return &meshpb.Session{
		Key:      id.key,
		Service:  id.service,
		Endpoint: pin.endpoint,
		Pinned:   pin.confirmed,
		Config:   pin.configVersion,
		SinceUs:  pin.cachedAt.UnixMicro(),
		UsedUs:   pin.lastUsed.UnixMicro(),
	}
}
