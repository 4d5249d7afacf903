package affinity

import (
	"context"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// State says whether the endpoint of a session is recorded by the core.
type State int

const (
	// Pinned means that the control state pins the session to the endpoint.
	Pinned State = iota
	// Provisional means that the session is new and no core node pinned it: its
	// endpoint is chosen by the hash of its key until one does.
	Provisional
	// Pending means that the session has no endpoint at present: the pinned one
	// does not accept requests and no move is recorded yet, or the service has
	// none available.
	Pending
)

// Query is a request for the endpoint of a session.
type Query struct {
	// SessionKey is the key that the function SessionKey returns.
	SessionKey string
	// AllowedServices names the services that the route may use under the current
	// configuration.
	AllowedServices []string
	// Service is the service that a new session is assigned to.
	Service string
	// EarlierServices names the services that the route used under other versions
	// of the configuration.
	EarlierServices []string
}

// Assignment is the result of Find.
type Assignment struct {
	// Service and Endpoint say where to send the request; they are empty if State
	// is Pending.
	Service  string
	Endpoint string
	// State says whether the assignment is recorded by the core.
	State State
	// RetryAfter is how long to wait before calling Find again if State is
	// Pending; otherwise it is 0.
	RetryAfter time.Duration
}

// maxRounds limits how often one query asks the core again because the endpoint
// that the core returned does not accept requests.
const maxRounds = 3

// lookup is the state of one call of Find.
type lookup struct {
	Query
	sessions  *Sessions
	endpoints Endpoints
	// id and pin are the session and its confirmed pin; they are valid if known is
	// set.
	id    sessionID
	pin   cachedPin
	known bool
	// disallowed is set if the session is cached only for a service that its route
	// may no longer use; pin is then the pin in that service.
	disallowed sessionID
	// reason is why the session moves, as recorded in the control state.
	reason string
}

// Find returns the endpoint of a session. It asks the core if the session is not
// cached or has to move, and returns at the latest when ctx ends, provided that
// Options.Pin does.
func (s *Sessions) Find(ctx context.Context, query Query, endpoints Endpoints) Assignment {
	l := lookup{Query: query, sessions: s, endpoints: endpoints}
	l.loadCached()
	for range maxRounds {
		if l.known {
			if assignment, done := l.resolveKnown(ctx); done {
				return assignment
			}
		}
		if assignment, done := l.requestPin(ctx); done {
			return assignment
		}
	}
	return s.pendingAssignment(s.options.MoveDelay)
}

func (s *Sessions) pendingAssignment(retryAfter time.Duration) Assignment {
	return Assignment{State: Pending, RetryAfter: retryAfter}
}

func (l *lookup) loadCached() {
	l.id, l.pin, l.known = l.sessions.findAllowed(l.SessionKey, l.AllowedServices)
	if l.known {
		return
	}
	id, pin, found := l.sessions.findDisallowed(l.SessionKey, l.AllowedServices, l.EarlierServices)
	if found {
		l.disallowed, l.pin, l.reason = id, pin, ReasonConfig
	}
}

// resolveKnown returns the assignment of a session with a known pin: the pinned
// endpoint if that accepts requests, or a pending assignment until all nodes can
// be expected to have learned that it does not. After that it returns false, and
// the session has to move.
func (l *lookup) resolveKnown(ctx context.Context) (assignment Assignment, done bool) {
	s, endpoint := l.sessions, l.pin.endpoint
	accepts, reason := l.endpoints.Accepts(l.id.service, endpoint)
	if accepts {
		s.clearUnavailable(endpoint)
		s.recordUse(ctx, l.id, endpoint)
		return Assignment{Service: l.id.service, Endpoint: endpoint}, true
	}
	if left := s.remainingMoveDelay(endpoint, l.pin.seenAccepting); left > 0 {
		return s.pendingAssignment(left), true
	}
	l.reason = reason
	return Assignment{}, false
}

// requestPin asks the core to pin or move the session. It returns false if the
// core did, after which the new pin has to be resolved.
func (l *lookup) requestPin(ctx context.Context) (assignment Assignment, done bool) {
	s, service := l.sessions, l.chooseService()
	candidate := RendezvousEndpoint(l.SessionKey, l.endpoints.Available(service))
	if candidate == "" {
		return s.pendingAssignment(s.options.MoveDelay), true
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
		l.applyResponse(response)
		return Assignment{}, false
	case l.known:
		return s.pendingAssignment(s.options.MoveDelay), true
	}
	s.storePin(sessionID{l.SessionKey, service}, candidate, false)
	return Assignment{Service: service, Endpoint: candidate, State: Provisional}, true
}

// chooseService returns the session's service while that is allowed and has
// endpoints available, and the query's service otherwise.
func (l *lookup) chooseService() string {
	if l.known && slices.Contains(l.AllowedServices, l.id.service) && len(l.endpoints.Available(l.id.service)) > 0 {
		return l.id.service
	}
	return l.Service
}

// applyResponse stores the pin that the core returned and records a move if the
// session had another one.
func (l *lookup) applyResponse(response *meshpb.PinResponse) {
	s := l.sessions
	if response.Reason != "" {
		l.reason = response.Reason
	}
	switch {
	case l.known && (response.Endpoint != l.pin.endpoint || response.Service != l.id.service):
		s.deletePin(l.id)
		s.recordMove(l.id, l.pin.endpoint, response.Service, response.Endpoint, l.reason)
	case l.disallowed.key != "":
		s.deletePin(l.disallowed)
		s.recordMove(l.disallowed, l.pin.endpoint, response.Service, response.Endpoint, l.reason)
		l.disallowed = sessionID{}
	}
	l.id, l.known = sessionID{l.SessionKey, response.Service}, true
	s.storePin(l.id, response.Endpoint, true)
	accepts, _ := l.endpoints.Accepts(response.Service, response.Endpoint)
	l.pin = cachedPin{endpoint: response.Endpoint, seenAccepting: accepts}
}

const (
	// unseenDelayFactor multiplies the move delay for an endpoint that this node
	// has not yet seen accept requests. The endpoint may be new and this node's
	// view out of date: with the plain delay, the node would treat the endpoint as
	// ended and move its sessions away.
	unseenDelayFactor = 10
	// unavailableTTL is how long the time at which an endpoint was first found
	// unavailable is used; after that the move delay starts again.
	unavailableTTL = time.Minute
	// maxUnavailable limits the endpoints for which that time is kept. All times
	// are dropped once there are more.
	maxUnavailable = 4096
)

// remainingMoveDelay returns how long the sessions of an unavailable endpoint
// still have to wait before they may move; zero or less means that they may. The
// delay starts with the first call for the endpoint.
func (s *Sessions) remainingMoveDelay(endpoint string, seenAccepting bool) time.Duration {
	now := s.options.Now()
	delay := s.options.MoveDelay
	if !seenAccepting {
		delay *= unseenDelayFactor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.unavailableSince[endpoint]
	if !known || now.Sub(since) > unavailableTTL {
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
