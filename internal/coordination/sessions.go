package coordination

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	// defaultPinIdleTimeout and defaultPinLimit hold until SetPinLimits.
	defaultPinIdleTimeout = 10 * time.Minute
	defaultMaxPins        = 8192
	// pinRefreshDivisor is the fraction (a quarter) of the idle time after which use of a session is
	// recorded by a replicated change.
	pinRefreshDivisor = 4
	// beforeAnyUse is earlier than any time at which a session was used.
	beforeAnyUse = time.Duration(-1 << 62)
)

type pinKey struct{ sessionKey, service string }

// pin is the endpoint that a session is kept at.
type pin struct {
	endpoint      string
	reason        string
	configVersion uint64
	moves         uint32
	lastUsed      time.Duration
}

// sessionTable holds a shard's pinned sessions. Their number is bounded; one
// that was not used for the idle time counts as ended.
type sessionTable struct {
	idleTimeout time.Duration
	maxPins     int
	pins        map[pinKey]pin
}

func newSessionTable() sessionTable {
	return sessionTable{idleTimeout: defaultPinIdleTimeout, maxPins: defaultMaxPins, pins: map[pinKey]pin{}}
}

// SetPinLimits sets how long an unused pin is kept, and how many pins the
// shard keeps.
func (t *Table) SetPinLimits(idleTime time.Duration, limit int) {
	t.sessions.idleTimeout, t.sessions.maxPins = idleTime, limit
}

// PinResult answers a node that asked for a session's endpoint.
type PinResult struct {
	// Service and Endpoint are empty if the session has no endpoint and the node
	// wanted none for it.
	Service  string
	Endpoint string
	// Reason is why the session came to this endpoint.
	Reason string
	// Moved says that the session was at another endpoint before.
	Moved bool
	// Full says that there is no room for another session.
	Full bool
}

// Response is the result as it goes to the node.
func (r PinResult) Response() *meshpb.PinResponse {
	return &meshpb.PinResponse{Ok: true, Service: r.Service, Endpoint: r.Endpoint, Moved: r.Moved, Full: r.Full, Reason: r.Reason}
}

// PinSession gives a session's endpoint: the one that it has in one of the
// allowed services, or the one that the node wants for it if it has none or is
// to leave the one named by From.
func (t *Table) PinSession(request *meshpb.PinRequest, now time.Duration) Decision[PinResult] {
	k := &t.sessions
	key, current, found := k.findLatest(request, now)
	if found && (request.From == "" || current.endpoint != request.From) {
		return k.keepPin(key, current, now)
	}
	if request.Want == "" {
		return Decision[PinResult]{}
	}
	if !found && !k.ensureCapacity(now) {
		return Decision[PinResult]{Result: PinResult{Full: true}}
	}
	wanted := &meshpb.Pin{Key: request.Key, Service: request.Service, Endpoint: request.Want, Why: request.Reason, Config: request.Config}
	if found {
		wanted.From, wanted.Moves = current.endpoint, current.moves+1
	}
	return Decision[PinResult]{
		Change: &meshpb.Change{Pin: wanted},
		Result: PinResult{Service: request.Service, Endpoint: request.Want, Reason: request.Reason, Moved: found},
	}
}

// findLatest finds the session's pin, in the allowed service where it was used
// last.
func (k *sessionTable) findLatest(request *meshpb.PinRequest, now time.Duration) (key pinKey, current pin, found bool) {
	latest := beforeAnyUse
	for _, service := range request.Allowed {
		candidate := pinKey{request.Key, service}
		p, ok := k.pins[candidate]
		if ok && !k.expired(p, now) && p.lastUsed > latest {
			key, current, found = candidate, p, true
			latest = p.lastUsed
		}
	}
	return key, current, found
}

// keepPin leaves the session where it is, and records now and then that it is
// still used.
func (k *sessionTable) keepPin(key pinKey, current pin, now time.Duration) Decision[PinResult] {
	kept := Decision[PinResult]{Result: PinResult{Service: key.service, Endpoint: current.endpoint, Reason: current.reason}}
	if now-current.lastUsed > k.idleTimeout/pinRefreshDivisor {
		kept.Change = &meshpb.Change{Pin: &meshpb.Pin{
			Key: key.sessionKey, Service: key.service, Endpoint: current.endpoint, Why: current.reason,
			Config: current.configVersion, Moves: current.moves,
		}}
	}
	return kept
}

// ensureCapacity discards ended pins if there are too many, and reports whether one
// more may be added.
func (k *sessionTable) ensureCapacity(now time.Duration) bool {
	if len(k.pins) >= k.maxPins {
		k.removeExpired(now)
	}
	return len(k.pins) < k.maxPins
}

func (k *sessionTable) expired(p pin, now time.Duration) bool { return now-p.lastUsed > k.idleTimeout }

func (k *sessionTable) removeExpired(now time.Duration) {
	for key, p := range k.pins {
		if k.expired(p, now) {
			delete(k.pins, key)
		}
	}
}

func (k *sessionTable) apply(c *meshpb.Pin, now time.Duration) {
	if len(k.pins) >= k.maxPins {
		k.removeExpired(now)
	}
	k.put(c, now)
}

func (k *sessionTable) put(c *meshpb.Pin, lastUsed time.Duration) {
	k.pins[pinKey{c.Key, c.Service}] = pin{c.Endpoint, c.Why, c.Config, c.Moves, lastUsed}
}

func (k *sessionTable) snapshot(now time.Duration) []*meshpb.Pin {
	var pins []*meshpb.Pin
	for key, p := range k.pins {
		if k.expired(p, now) {
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
