package affinity

import (
	"context"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// State says how sure it is where a session belongs.
type State int

const (
	// Pinned sessions belong to the endpoint by the control state.
	Pinned State = iota
	// Provisional sessions are new, and no core node answered: they follow the
	// hash of their key for now.
	Provisional
	// Pending sessions must move, and the move is not recorded yet.
	Pending
)

// Query asks for the endpoint of one request's session.
type Query struct {
	SessionKey string
	// AllowedServices are the services that the route may use now.
	AllowedServices []string
	// Service is the one that a new session goes to.
	Service string
	// EarlierServices are those that the route used under other versions.
	EarlierServices []string
}

// Assignment is where a session's request goes.
type Assignment struct {
	Service  string
	Endpoint string
	State    State
	// RetryAfter is after what time it is worth to ask again for a pending
	// session.
	RetryAfter time.Duration
}

// maxSteps bounds how often one query follows a session that is found to have
// moved.
const maxSteps = 3

// lookup is a query under way.
type lookup struct {
	Query
	sessions  *Sessions
	endpoints Endpoints
	// id and pin are where the session is known to be, if known.
	id    sessionID
	pin   cachedPin
	known bool
	// forbidden is the session in a service that its route may not use any more,
	// if its key is set; pin is then the one there.
	forbidden sessionID
	// reason is why the session moves.
	reason string
}

// Find returns the endpoint of a session. It asks the core if the session is not
// known or has to move, and returns with the context's end at the latest.
func (s *Sessions) Find(ctx context.Context, query Query, endpoints Endpoints) Assignment {
	l := lookup{Query: query, sessions: s, endpoints: endpoints}
	l.readCache()
	for range maxSteps {
		if l.known {
			if assignment, done := l.checkKnown(ctx); done {
				return assignment
			}
		}
		if assignment, done := l.askCore(ctx); done {
			return assignment
		}
	}
	return s.pending(s.options.MoveDelay)
}

func (s *Sessions) pending(after time.Duration) Assignment {
	return Assignment{State: Pending, RetryAfter: after}
}

func (l *lookup) readCache() {
	l.id, l.pin, l.known = l.sessions.findAllowed(l.SessionKey, l.AllowedServices)
	if l.known {
		return
	}
	id, pin, found := l.sessions.findForbidden(l.SessionKey, l.AllowedServices, l.EarlierServices)
	if found {
		l.forbidden, l.pin, l.reason = id, pin, ReasonConfig
	}
}

// checkKnown returns where a known session goes: to its endpoint if that takes
// requests; nowhere yet if all nodes may not have heard that it does not. Else
// the session moves.
func (l *lookup) checkKnown(ctx context.Context) (assignment Assignment, done bool) {
	s, endpoint := l.sessions, l.pin.endpoint
	accepts, reason := l.endpoints.Accepts(l.id.service, endpoint)
	if accepts {
		s.clearUnavailable(endpoint)
		s.recordUse(ctx, l.id, endpoint)
		return Assignment{Service: l.id.service, Endpoint: endpoint}, true
	}
	if left := s.untilMovable(endpoint, l.pin.seenAccepting); left > 0 {
		return s.pending(left), true
	}
	l.reason = reason
	return Assignment{}, false
}

// askCore has the core pin or move the session, and takes in where it then is.
func (l *lookup) askCore(ctx context.Context) (assignment Assignment, done bool) {
	s, service := l.sessions, l.chooseService()
	candidate := Candidate(l.SessionKey, l.endpoints.Available(service))
	if candidate == "" {
		return s.pending(s.options.MoveDelay), true
	}
	request := &meshpb.PinRequest{
		Key:     l.SessionKey,
		Allowed: l.AllowedServices,
		Service: service,
		Want:    candidate,
		Reason:  l.reason,
		Config:  s.options.ConfigVersion(),
	}
	if l.known {
		request.From = l.pin.endpoint
	}
	response, err := s.options.Pin(ctx, request)
	switch {
	case err == nil && isPinned(response):
		l.apply(response)
		return Assignment{}, false
	case l.known:
		return s.pending(s.options.MoveDelay), true
	}
	s.set(sessionID{l.SessionKey, service}, candidate, false)
	return Assignment{Service: service, Endpoint: candidate, State: Provisional}, true
}

// chooseService keeps a session to its service while that has endpoints.
func (l *lookup) chooseService() string {
	if l.known && slices.Contains(l.AllowedServices, l.id.service) && len(l.endpoints.Available(l.id.service)) > 0 {
		return l.id.service
	}
	return l.Service
}

// apply takes in where the core has pinned the session.
func (l *lookup) apply(response *meshpb.PinResponse) {
	s := l.sessions
	if response.Reason != "" {
		l.reason = response.Reason
	}
	switch {
	case l.known && (response.Endpoint != l.pin.endpoint || response.Service != l.id.service):
		s.forget(l.id)
		s.recordMove(l.id, l.pin.endpoint, response.Service, response.Endpoint, l.reason)
	case l.forbidden.key != "":
		s.forget(l.forbidden)
		s.recordMove(l.forbidden, l.pin.endpoint, response.Service, response.Endpoint, l.reason)
		l.forbidden = sessionID{}
	}
	l.id, l.known = sessionID{l.SessionKey, response.Service}, true
	s.set(l.id, response.Endpoint, true)
	accepts, _ := l.endpoints.Accepts(response.Service, response.Endpoint)
	l.pin = cachedPin{endpoint: response.Endpoint, seenAccepting: accepts}
}

const (
	// unseenDelayFactor is how many move delays a node waits for a view with an
	// endpoint that only others have seen so far, before it takes it for ended.
	unseenDelayFactor = 10
	// unavailableMemory is how long it counts when an endpoint was first found to
	// take no requests.
	unavailableMemory = time.Minute
	// maxUnavailable bounds the endpoints for which that is remembered.
	maxUnavailable = 4096
)

// untilMovable returns how long to wait until an endpoint has been out for long
// enough that its sessions may move.
func (s *Sessions) untilMovable(endpoint string, seenAccepting bool) time.Duration {
	now := s.options.Now()
	delay := s.options.MoveDelay
	if !seenAccepting {
		delay *= unseenDelayFactor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.unavailableSince[endpoint]
	if !known || now.Sub(since) > unavailableMemory {
		if len(s.unavailableSince) > maxUnavailable {
			clear(s.unavailableSince)
		}
		s.unavailableSince[endpoint] = now
		return delay
	}
	return delay - now.Sub(since)
}

func (s *Sessions) clearUnavailable(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unavailableSince, endpoint)
}
