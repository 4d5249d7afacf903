package affinity

import (
	"context"
	"slices"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// Options configure Sessions.
type Options struct {
	// Pin asks the core which endpoint a session is pinned to, and has it pinned
	// or moved.
	Pin func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error)
	// Now returns the time.
	Now func() time.Time
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() uint64
	// MoveDelay is how long an endpoint must have been out of the view before its
	// sessions move, so that all nodes have heard of it.
	MoveDelay time.Duration
	// RefreshInterval is how often the core is told that a session is in use. It
	// must be well below the time after which the core forgets idle sessions.
	RefreshInterval time.Duration
	// IdleTimeout is how long a session is reported after its last use.
	IdleTimeout time.Duration
	// MaxSessions bounds the cache. What is evicted stays pinned at the core.
	MaxSessions int
	// Trace is told of moves; it may be nil.
	Trace func(what, key string)
}

// Endpoints tells of the endpoints that this node's view names.
type Endpoints interface {
	// Accepts tells whether an endpoint takes the requests of its sessions, and if
	// not, why its sessions move: ReasonDrain or ReasonEnded.
	Accepts(service, id string) (ok bool, why string)
	// Available returns the endpoints that a session may be assigned to.
	Available(service string) []string
}

// sessionID names a session of a service.
type sessionID struct{ key, service string }

// cachedPin is what this node knows of a session.
type cachedPin struct {
	endpoint string
	// confirmed tells that the core has recorded the pin.
	confirmed bool
	// seenAccepting tells that this node has seen the endpoint take requests.
	seenAccepting bool
	configVersion uint64
	since         time.Time
	used          time.Time
	refreshed     time.Time
}

// Sessions is one node's cache of the pins of sessions.
type Sessions struct {
	options Options

	// mu guards what follows. It is not held while the core is asked.
	mu   sync.Mutex
	pins map[sessionID]cachedPin
	// unavailableSince is when each endpoint was first found to take no requests.
	unavailableSince map[string]time.Time
	moves            []*meshpb.SessionMove
	// dropped counts evicted pins and moves.
	dropped uint64
}

// New returns an empty cache.
func New(options Options) *Sessions {
	if options.Trace == nil {
		options.Trace = func(string, string) {}
	}
	return &Sessions{options: options, pins: map[sessionID]cachedPin{}, unavailableSince: map[string]time.Time{}}
}

// Add puts a session into the cache that is known to be pinned to the endpoint.
func (s *Sessions) Add(key, service, endpoint string) {
	s.set(sessionID{key, service}, endpoint, true)
}

// findAllowed returns the pin of a session in one of the services, the one used
// last if there are several.
func (s *Sessions) findAllowed(key string, services []string) (id sessionID, pin cachedPin, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range services {
		p, known := s.pins[sessionID{key, service}]
		if known && p.confirmed && (!ok || p.used.After(pin.used)) {
			id, pin, ok = sessionID{key, service}, p, true
		}
	}
	return id, pin, ok
}

// findForbidden returns the pin of a session in a service that its route used
// earlier and may not use now.
func (s *Sessions) findForbidden(key string, allowed, earlier []string) (sessionID, cachedPin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range earlier {
		pin, known := s.pins[sessionID{key, service}]
		if known && pin.confirmed && !slices.Contains(allowed, service) {
			return sessionID{key, service}, pin, true
		}
	}
	return sessionID{}, cachedPin{}, false
}

func (s *Sessions) set(id sessionID, endpoint string, confirmed bool) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, known := s.pins[id]
	if !known || pin.endpoint != endpoint {
		if !known && len(s.pins) >= s.options.MaxSessions {
			s.evict(now)
		}
		pin = cachedPin{endpoint: endpoint, since: now, configVersion: s.options.ConfigVersion()}
	}
	pin.confirmed, pin.used, pin.refreshed = confirmed, now, now
	s.pins[id] = pin
}

// A cache that is full of sessions in use drops one in evictionDivisor of them.
const evictionDivisor = 10

// evict forgets idle sessions, and if there are none the tenth used longest ago:
// they stay pinned in the control state.
func (s *Sessions) evict(now time.Time) {
	for id, pin := range s.pins {
		if now.Sub(pin.used) > s.options.IdleTimeout {
			delete(s.pins, id)
		}
	}
	if len(s.pins) < s.options.MaxSessions {
		return
	}
	ids := make([]sessionID, 0, len(s.pins))
	for id := range s.pins {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b sessionID) int { return s.pins[a].used.Compare(s.pins[b].used) })
	for _, id := range ids[:max(len(ids)/evictionDivisor, 1)] {
		delete(s.pins, id)
		s.dropped++
	}
}

func (s *Sessions) forget(id sessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pins, id)
}

// recordUse notes a use of a session; now and then it tells the core, which
// forgets idle sessions.
func (s *Sessions) recordUse(ctx context.Context, id sessionID, endpoint string) {
	if !s.touch(id, endpoint) {
		return
	}
	// The request does not wait for this, and its end does not end it.
	go s.refresh(context.WithoutCancel(ctx), id, endpoint)
}

// touch notes a use and tells whether a refresh of the pin is due.
func (s *Sessions) touch(id sessionID, endpoint string) (refreshDue bool) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, known := s.pins[id]
	if !known || pin.endpoint != endpoint {
		return false
	}
	refreshDue = now.Sub(pin.refreshed) > s.options.RefreshInterval
	pin.used, pin.seenAccepting = now, true
	if refreshDue {
		pin.refreshed = now
	}
	s.pins[id] = pin
	return refreshDue
}

// refresh tells the core that a session is in use, and learns where it is if it
// has moved.
func (s *Sessions) refresh(ctx context.Context, id sessionID, endpoint string) {
	response, err := s.options.Pin(ctx, &meshpb.PinRequest{
		Key:     id.key,
		Allowed: []string{id.service},
		Service: id.service,
		Want:    endpoint,
		Config:  s.options.ConfigVersion(),
	})
	if err != nil || !isPinned(response) || response.Endpoint == endpoint {
		return
	}
	s.recordMove(id, endpoint, id.service, response.Endpoint, reasonLearnt)
	s.set(id, response.Endpoint, true)
}

// isPinned tells that the core has recorded where the session is.
func isPinned(response *meshpb.PinResponse) bool { return response.Ok && response.Endpoint != "" }
