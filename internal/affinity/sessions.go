package affinity

import (
	"context"
	"slices"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// Options configures Sessions. All fields but Trace are required.
type Options struct {
	// Pin asks the core to pin or move a session and returns the pin that is in
	// force. After an error the session may have been pinned or not.
	Pin func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error)
	// Now returns the current time.
	Now func() time.Time
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() uint64
	// MoveDelay is how long an endpoint must have been unavailable before its
	// sessions move. It must be longer than a view takes to reach all nodes.
	MoveDelay time.Duration
	// RefreshInterval is how often the pin of a session in use is refreshed at the
	// core. It must be well below the time after which the core removes idle pins.
	RefreshInterval time.Duration
	// IdleTimeout is how long a session is reported after its last use. Idle
	// sessions are the first to be evicted.
	IdleTimeout time.Duration
	// MaxSessions limits the cached pins and must be positive. Evicted sessions stay
	// pinned at the core.
	MaxSessions int
	// Trace is called for each move with the session's key; it may be nil.
	Trace func(action, key string)
}

// Endpoints gives access to the endpoints in this node's view.
type Endpoints interface {
	// Accepts reports whether an endpoint accepts the requests of its sessions. If
	// not, reason is why its sessions move: ReasonDrain or ReasonEnded.
	Accepts(service, id string) (ok bool, reason string)
	// Available returns the IDs of the endpoints of a service to which a session
	// may be assigned.
	Available(service string) []string
}

// sessionID identifies a session in the cache: one key may be pinned in several
// services.
type sessionID struct{ key, service string }

// cachedPin is a session's pin as this node last saw it.
type cachedPin struct {
	endpoint string
	// confirmed is set if the core has recorded the pin.
	confirmed bool
	// seenAccepting is set if this node has seen the endpoint accept requests.
	seenAccepting bool
	// configVersion is the version in force at cachedAt.
	configVersion uint64
	// cachedAt is the time at which the session was first cached with this endpoint.
	cachedAt      time.Time
	lastUsed      time.Time
	lastRefreshed time.Time
}

// Sessions is one node's cache of session pins. It is safe for concurrent use.
type Sessions struct {
	options Options

	// mu guards the fields below. It is not held during calls to the core.
	mu   sync.Mutex
	pins map[sessionID]cachedPin
	// unavailableSince has the time at which each endpoint was first found not to
	// accept requests.
	unavailableSince map[string]time.Time
	moves            []*meshpb.SessionMove
	// dropped counts the pins in use that were evicted and the dropped moves.
	dropped uint64
}

// New returns an empty cache.
func New(options Options) *Sessions {
	if options.Trace == nil {
		options.Trace = func(string, string) {}
	}
	return &Sessions{options: options, pins: map[sessionID]cachedPin{}, unavailableSince: map[string]time.Time{}}
}

// Add caches a pin that the core is known to have recorded.
func (s *Sessions) Add(key, service, endpoint string) {
	s.storePin(sessionID{key, service}, endpoint, true)
}

// findAllowed returns the confirmed pin of a session in one of the services; if
// there are several, the most recently used one.
func (s *Sessions) findAllowed(key string, services []string) (id sessionID, pin cachedPin, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range services {
		p, known := s.pins[sessionID{key, service}]
		if known && p.confirmed && (!ok || p.lastUsed.After(pin.lastUsed)) {
			id, pin, ok = sessionID{key, service}, p, true
		}
	}
	return id, pin, ok
}

// findDisallowed returns the confirmed pin of a session in a service that its
// route used earlier and may not use now.
func (s *Sessions) findDisallowed(key string, allowed, earlier []string) (sessionID, cachedPin, bool) {
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

func (s *Sessions) storePin(id sessionID, endpoint string, confirmed bool) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, known := s.pins[id]
	if !known || pin.endpoint != endpoint {
		if !known && len(s.pins) >= s.options.MaxSessions {
			s.evict(now)
		}
		pin = cachedPin{endpoint: endpoint, cachedAt: now, configVersion: s.options.ConfigVersion()}
	}
	pin.confirmed, pin.lastUsed, pin.lastRefreshed = confirmed, now, now
	s.pins[id] = pin
}

// evictionDivisor sets how many sessions are evicted from a cache that is full of
// sessions in use: one in evictionDivisor.
const evictionDivisor = 10

// evict removes the idle sessions and, if the cache is still full, the least
// recently used tenth. They stay pinned in the control state. The caller holds
// s.mu.
func (s *Sessions) evict(now time.Time) {
	for id, pin := range s.pins {
		if now.Sub(pin.lastUsed) > s.options.IdleTimeout {
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
	slices.SortFunc(ids, func(a, b sessionID) int { return s.pins[a].lastUsed.Compare(s.pins[b].lastUsed) })
	for _, id := range ids[:max(len(ids)/evictionDivisor, 1)] {
		delete(s.pins, id)
		s.dropped++
	}
}

func (s *Sessions) deletePin(id sessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pins, id)
}

// recordUse records a use of a session. If a refresh is due, it also tells the
// core, which removes the pins of idle sessions.
func (s *Sessions) recordUse(ctx context.Context, id sessionID, endpoint string) {
	if !s.touch(id, endpoint) {
		return
	}
	// The request does not wait for the refresh, and canceling the request does
	// not cancel it.
	go s.refresh(context.WithoutCancel(ctx), id, endpoint)
}

// touch updates the last use of a cached pin and reports whether a refresh is due.
func (s *Sessions) touch(id sessionID, endpoint string) (refreshDue bool) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, known := s.pins[id]
	if !known || pin.endpoint != endpoint {
		return false
	}
	refreshDue = now.Sub(pin.lastRefreshed) > s.options.RefreshInterval
	pin.lastUsed, pin.seenAccepting = now, true
	if refreshDue {
		pin.lastRefreshed = now
	}
	s.pins[id] = pin
	return refreshDue
}

// refresh tells the core that a session is in use. If the core has moved it since,
// the cache takes the new endpoint.
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
	s.recordMove(id, endpoint, id.service, response.Endpoint, reasonLearned)
	s.storePin(id, response.Endpoint, true)
}

// isPinned reports whether the core has recorded a pin.
func isPinned(response *meshpb.PinResponse) bool { return response.Ok && response.Endpoint != "" }
