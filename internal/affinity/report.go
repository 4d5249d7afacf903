package affinity

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// Why a session moved, as the control state and reports say it.
const (
	// ReasonConfig says that the configuration does not allow its service.
	ReasonConfig = "CONFIG"
	// ReasonDrain says that its endpoint is draining.
	ReasonDrain = "DRAIN"
	// ReasonEnded says that its endpoint has ended.
	ReasonEnded = "ENDED"
	// reasonLearnt says that another node had it moved, and this one learnt of it
	// later.
	reasonLearnt = "LEARNT"
)

// maxMoves bounds the moves that are kept for reports; if there are more, the
// oldest quarter goes.
const (
	maxMoves     = 1024
	droppedMoves = maxMoves / 4
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
	s.addMove(move)
	s.options.Trace("moved by "+reason, id.key)
}

func (s *Sessions) addMove(move *meshpb.SessionMove) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.moves) >= maxMoves {
		s.moves = slices.Clone(s.moves[droppedMoves:])
		s.dropped += droppedMoves
	}
	s.moves = append(s.moves, move)
}

// Report returns the sessions in use here, the moves since a version of the
// configuration, and how many sessions and moves were dropped for want of room.
func (s *Sessions) Report(sinceVersion uint64) (sessions []*meshpb.Session, moves []*meshpb.SessionMove, dropped uint64) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, pin := range s.pins {
		if now.Sub(pin.used) <= s.options.IdleTimeout {
			sessions = append(sessions, newReport(id, pin))
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

func newReport(id sessionID, pin cachedPin) *meshpb.Session {
	return &meshpb.Session{
		Key:      id.key,
		Service:  id.service,
		Endpoint: pin.endpoint,
		Pinned:   pin.confirmed,
		Config:   pin.configVersion,
		SinceUs:  pin.since.UnixMicro(),
		UsedUs:   pin.used.UnixMicro(),
	}
}
