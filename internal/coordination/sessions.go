package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	// defaultPinIdleTimeout and defaultMaxPins apply until SetPinLimits is called.
	defaultPinIdleTimeout = 10 * time.Minute
	defaultMaxPins        = 8192
	// pinRefreshDivisor divides the idle timeout: the use of a session is recorded by
	// a replicated change only if a quarter of the timeout has passed since the last
	// recorded use.
	pinRefreshDivisor = 4
	// beforeAnyUse is earlier than any time at which a session can have been used.
	beforeAnyUse = time.Duration(-1 << 62)
)

// pinKey identifies a pin: a session has at most one pin in each service.
type pinKey struct{ sessionKey, service string }

// pin is the assignment of a session to an endpoint.
type pin struct {
	endpoint string
	// reason is why the session was assigned to the endpoint.
	reason string
	// configVersion is the version of the configuration under which it was assigned.
	configVersion uint64
	// moves is how many times the session has moved to another endpoint.
	moves uint32
	// lastUsed is the last recorded use, as a reading of the replica's monotonic
	// clock.
	lastUsed time.Duration
}

// sessionTable holds the pinned sessions of a shard. A session without a pin is
// refused while the table holds maxPins pins or more. A pin whose last recorded use
// is longer ago than idleTimeout has expired.
type sessionTable struct {
	idleTimeout time.Duration
	maxPins     int
	pins        map[pinKey]pin
}

func newSessionTable() sessionTable {
	return sessionTable{idleTimeout: defaultPinIdleTimeout, maxPins: defaultMaxPins, pins: map[pinKey]pin{}}
}

// SetPinLimits sets how long an unused pin is kept, and how many pins the shard may
// hold before it refuses sessions without one.
func (t *Table) SetPinLimits(idleTimeout time.Duration, maxPins int) {
	t.sessions.idleTimeout, t.sessions.maxPins = idleTimeout, maxPins
}

// PinResult is the result of PinSession.
type PinResult struct {
	// Service is the service of Endpoint, or empty if Endpoint is.
	Service string
	// Endpoint is the id of the endpoint that the session is pinned to. It is empty
	// if Full is set, or if the request named no endpoint and the session is not
	// pinned or was to move.
	Endpoint string
	// Reason is why the session was assigned to the endpoint.
	Reason string
	// Moved reports that this request moved the session from another endpoint.
	Moved bool
	// Full reports that the session was not pinned because the shard holds the
	// maximum number of pins.
	Full bool
}

// Response returns the result as a message to the node that sent the request.
func (r PinResult) Response() *meshpb.PinResponse {
	return &meshpb.PinResponse{Ok: true, Service: r.Service, Endpoint: r.Endpoint, Moved: r.Moved, Full: r.Full, Reason: r.Reason}
}

// PinSession returns the endpoint that a session is pinned to in one of the
// request's Allowed services. If there is none, or if it is the endpoint From that
// the session is to leave, PinSession pins the session to the endpoint Want of
// request.Service.
func (t *Table) PinSession(request *meshpb.PinRequest, now time.Duration) Decision[PinResult] {
	sessions := &t.sessions
	key, current, found := sessions.findLatest(request, now)
	if found && (request.From == "" || current.endpoint != request.From) {
		return sessions.keepPin(key, current, now)
	}
	if request.Want == "" {
		return Decision[PinResult]{}
	}
	if !found && !sessions.ensureCapacity(now) {
		return Decision[PinResult]{Result: PinResult{Full: true}}
	}
	next := &meshpb.Pin{Key: request.Key, Service: request.Service, Endpoint: request.Want, Why: request.Reason, Config: request.Config}
	if found {
		next.From, next.Moves = current.endpoint, current.moves+1
	}
	return Decision[PinResult]{
		Change: &meshpb.Change{Pin: next},
		Result: PinResult{Service: request.Service, Endpoint: request.Want, Reason: request.Reason, Moved: found},
	}
}

// findLatest returns the pin of the session in the allowed services that was used
// last and has not expired.
func (t *sessionTable) findLatest(request *meshpb.PinRequest, now time.Duration) (key pinKey, current pin, found bool) {
	latest := beforeAnyUse
	for _, service := range request.Allowed {
		candidate := pinKey{request.Key, service}
		p, ok := t.pins[candidate]
		if ok && !t.expired(p, now) && p.lastUsed > latest {
			key, current, found = candidate, p, true
			latest = p.lastUsed
		}
	}
	return key, current, found
}

// keepPin returns the session's current endpoint. It records the use of the session
// if the last recorded use is old enough (see pinRefreshDivisor).
func (t *sessionTable) keepPin(key pinKey, current pin, now time.Duration) Decision[PinResult] {
	decision := Decision[PinResult]{Result: PinResult{Service: key.service, Endpoint: current.endpoint, Reason: current.reason}}
	if now-current.lastUsed > t.idleTimeout/pinRefreshDivisor {
		decision.Change = &meshpb.Change{Pin: &meshpb.Pin{
			Key: key.sessionKey, Service: key.service, Endpoint: current.endpoint, Why: current.reason,
			Config: current.configVersion, Moves: current.moves,
		}}
	}
	return decision
}

// ensureCapacity removes expired pins if the table is full, and reports whether
// another pin may be added.
func (t *sessionTable) ensureCapacity(now time.Duration) bool {
	if len(t.pins) >= t.maxPins {
		t.removeExpired(now)
	}
	return len(t.pins) < t.maxPins
}

func (t *sessionTable) expired(p pin, now time.Duration) bool { return now-p.lastUsed > t.idleTimeout }

func (t *sessionTable) removeExpired(now time.Duration) {
	for key, p := range t.pins {
		if t.expired(p, now) {
			delete(t.pins, key)
		}
	}
}

// apply adds, moves or refreshes a pin. It removes expired pins if the table is full.
func (t *sessionTable) apply(c *meshpb.Pin, now time.Duration) {
	if len(t.pins) >= t.maxPins {
		t.removeExpired(now)
	}
	t.put(c, now)
}

func (t *sessionTable) put(c *meshpb.Pin, lastUsed time.Duration) {
	t.pins[pinKey{c.Key, c.Service}] = pin{c.Endpoint, c.Why, c.Config, c.Moves, lastUsed}
}

// snapshot returns the pins that have not expired, sorted by session key and service.
func (t *sessionTable) snapshot(now time.Duration) []*meshpb.Pin {
	var pins []*meshpb.Pin
	for key, p := range t.pins {
		if t.expired(p, now) {
			continue
		}
		pins = append(pins, &meshpb.Pin{
			Key: key.sessionKey, Service: key.service, Endpoint: p.endpoint, Why: p.reason,
			Config: p.configVersion, Moves: p.moves, AgeMs: toMilliseconds(now - p.lastUsed),
		})
	}
	slices.SortFunc(pins, func(a, b *meshpb.Pin) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service))
	})
	return pins
}
