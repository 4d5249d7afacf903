// Package cord keeps sessions plugged into the instance they began at. What it
// knows is a cache of the pins in the control state.
package affinity

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/rpc/meshpb"
)

// Why a session moved.
const (
	ReasonConfig = "CONFIG"
	ReasonDrain  = "DRAIN"
	ReasonEnded  = "ENDED"
)

type State int

const (
	Pinned State = iota
	// Loose: no core answered, so the session follows the hash for now.
	Provisional
	// Hold: the session must move, and the move is not recorded yet.
	Pending
)

// Key is how a session is named in the control state and shown.
func SessionKey(source, value string) string {
	h := sha256.Sum256([]byte(source + "\x00" + value))
	return hex.EncodeToString(h[:12])
}

// Draw gives a session's place between 0 and 1, the same at every node.
func Position(key string) float64 { return float64(xxhash.Sum64String("draw "+key)>>11) / (1 << 53) }

// Candidate names the instance for a new session, by rendezvous hashing.
func Candidate(key string, ids []string) string {
	best, at := "", uint64(0)
	for _, id := range ids {
		if h := xxhash.Sum64String(key + " " + id); best == "" || h > at || h == at && id < best {
			best, at = id, h
		}
	}
	return best
}

type Options struct {
	Pin           func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error)
	Now           func() time.Time
	ConfigVersion func() uint64
	// Settle is how long an instance must have been out of the view before its
	// sessions move, so that all nodes have heard of it.
	SettleTime      time.Duration
	RefreshInterval time.Duration
	IdleTimeout     time.Duration
	MaxSessions     int
	Trace           func(what, key string)
}

// Seats tells of the endpoints that this node's view names.
type Endpoints interface {
	// Sits tells whether the instance takes requests, and why not.
	Accepts(service, id string) (ok bool, why string)
	Available(service string) []string
}

type spot struct{ key, service string }

type plug struct {
	endpoint string
	pinned   bool
	// sat: this node has seen the instance take requests.
	sat     bool
	config  uint64
	since   time.Time
	used    time.Time
	touched time.Time
}

const keepMoves = 1024

type Sessions struct {
	o       Options
	mu      sync.Mutex
	plugs   map[spot]plug
	gone    map[string]time.Time
	moves   []*meshpb.SessionMove
	dropped uint64
}

func New(o Options) *Sessions {
	if o.Trace == nil {
		o.Trace = func(string, string) {}
	}
	return &Sessions{o: o, plugs: map[spot]plug{}, gone: map[string]time.Time{}}
}

func (c *Sessions) known(key string, allowed []string) (spot, plug, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at spot
	var p plug
	found := false
	for _, s := range allowed {
		if x, ok := c.plugs[spot{key, s}]; ok && x.pinned && (!found || x.used.After(p.used)) {
			at, p, found = spot{key, s}, x, true
		}
	}
	return at, p, found
}

// elsewhere finds a session of the key in a service that its binding may no
// longer use.
func (c *Sessions) elsewhere(key string, allowed, before []string) (spot, plug, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range before {
		if x, ok := c.plugs[spot{key, s}]; ok && x.pinned && !slices.Contains(allowed, s) {
			return spot{key, s}, x, true
		}
	}
	return spot{}, plug{}, false
}

func (c *Sessions) set(at spot, endpoint string, pinned bool) {
	now := c.o.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plugs[at]
	if !ok || p.endpoint != endpoint {
		if !ok && len(c.plugs) >= c.o.MaxSessions {
			c.sweep(now)
		}
		p = plug{endpoint: endpoint, since: now, config: c.o.ConfigVersion()}
	}
	p.pinned, p.used, p.touched = pinned, now, now
	c.plugs[at] = p
}

// sweep forgets idle plugs, and if there are none the tenth used longest ago:
// their pins stay in the control state.
func (c *Sessions) sweep(now time.Time) {
	for s, p := range c.plugs {
		if now.Sub(p.used) > c.o.IdleTimeout {
			delete(c.plugs, s)
		}
	}
	if len(c.plugs) < c.o.MaxSessions {
		return
	}
	ss := make([]spot, 0, len(c.plugs))
	for s := range c.plugs {
		ss = append(ss, s)
	}
	slices.SortFunc(ss, func(a, b spot) int { return c.plugs[a].used.Compare(c.plugs[b].used) })
	for _, s := range ss[:max(len(ss)/10, 1)] {
		delete(c.plugs, s)
		c.dropped++
	}
}

func (c *Sessions) moved(at spot, to spot, from, dest, why string) {
	now := c.o.Now()
	c.mu.Lock()
	if len(c.moves) >= keepMoves {
		c.moves = append([]*meshpb.SessionMove(nil), c.moves[keepMoves/4:]...)
		c.dropped += keepMoves / 4
	}
	c.moves = append(c.moves, &meshpb.SessionMove{Key: at.key, Service: at.service, From: from, To: dest, ToService: to.service, Why: why, Config: c.o.ConfigVersion(), AtUs: now.UnixMicro()})
	c.mu.Unlock()
	c.o.Trace("moved by "+why, at.key)
}

// unseenFor is how many settle times a node waits for a view with an instance
// that only others have seen so far, before it takes it for ended.
const unseenFor = 10

// settled tells whether the instance has been out for long enough.
func (c *Sessions) settled(id string, sat bool) (left time.Duration) {
	now := c.o.Now()
	settle := c.o.SettleTime
	if !sat {
		settle *= unseenFor
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.gone[id]
	if !ok || now.Sub(t) > time.Minute {
		if len(c.gone) > 4096 {
			clear(c.gone)
		}
		c.gone[id] = now
		return settle
	}
	return settle - now.Sub(t)
}

func (c *Sessions) back(id string) {
	c.mu.Lock()
	delete(c.gone, id)
	c.mu.Unlock()
}

// Ask is a question about the session of one request.
type Query struct {
	SessionKey string
	// Allowed are the services that the binding may use now, Service the one
	// that a new session would go to, Before those it used under other versions.
	AllowedServices []string
	Service         string
	EarlierServices []string
}

type Assignment struct {
	Service  string
	Endpoint string
	State    State
	// Wait is after what time it is worth to ask again.
	RetryAfter time.Duration
}

// Find gives the instance of a session.
func (c *Sessions) Find(ctx context.Context, q Query, seats Endpoints) Assignment {
	from, why := "", ""
	at, p, known := c.known(q.SessionKey, q.AllowedServices)
	left := spot{}
	if !known {
		if s, x, ok := c.elsewhere(q.SessionKey, q.AllowedServices, q.EarlierServices); ok {
			left, p, why = s, x, ReasonConfig
		}
	}
	for range 3 {
		if known {
			ok, w := seats.Accepts(at.service, p.endpoint)
			if ok {
				c.back(p.endpoint)
				c.use(ctx, at, p, q)
				return Assignment{Service: at.service, Endpoint: p.endpoint}
			}
			if d := c.settled(p.endpoint, p.sat); d > 0 {
				return Assignment{State: Pending, RetryAfter: d}
			}
			from, why = p.endpoint, w
		}
		service := q.Service
		if known && slices.Contains(q.AllowedServices, at.service) && len(seats.Available(at.service)) > 0 {
			service = at.service
		}
		want := Candidate(q.SessionKey, seats.Available(service))
		if want == "" {
			return Assignment{State: Pending, RetryAfter: c.o.SettleTime}
		}
		r, err := c.o.Pin(ctx, &meshpb.PinRequest{Key: q.SessionKey, Allowed: q.AllowedServices, Service: service, Want: want, From: from, Reason: why, Config: c.o.ConfigVersion()})
		if err != nil || !r.Ok || r.Endpoint == "" {
			if known {
				return Assignment{State: Pending, RetryAfter: c.o.SettleTime}
			}
			c.set(spot{q.SessionKey, service}, want, false)
			return Assignment{Service: service, Endpoint: want, State: Provisional}
		}
		to := spot{q.SessionKey, r.Service}
		if r.Reason != "" {
			why = r.Reason
		}
		switch {
		case known && (r.Endpoint != p.endpoint || r.Service != at.service):
			c.drop(at)
			c.moved(at, to, p.endpoint, r.Endpoint, why)
		case left.key != "":
			c.drop(left)
			c.moved(left, to, p.endpoint, r.Endpoint, why)
			left = spot{}
		}
		c.set(to, r.Endpoint, true)
		at, known = to, true
		ok, _ := seats.Accepts(to.service, r.Endpoint)
		p = plug{endpoint: r.Endpoint, sat: ok}
	}
	return Assignment{State: Pending, RetryAfter: c.o.SettleTime}
}

// Known plugs a session in where it is known to be.
func (c *Sessions) Add(key, service, endpoint string) { c.set(spot{key, service}, endpoint, true) }

func (c *Sessions) drop(at spot) {
	c.mu.Lock()
	delete(c.plugs, at)
	c.mu.Unlock()
}

// use notes a use; now and then it tells the core that the session lives.
func (c *Sessions) use(ctx context.Context, at spot, p plug, q Query) {
	now := c.o.Now()
	c.mu.Lock()
	x, ok := c.plugs[at]
	if !ok || x.endpoint != p.endpoint {
		c.mu.Unlock()
		return
	}
	touch := now.Sub(x.touched) > c.o.RefreshInterval
	x.used, x.sat = now, true
	if touch {
		x.touched = now
	}
	c.plugs[at] = x
	c.mu.Unlock()
	if !touch {
		return
	}
	go func() {
		r, err := c.o.Pin(context.WithoutCancel(ctx), &meshpb.PinRequest{Key: at.key, Allowed: []string{at.service}, Service: at.service, Want: p.endpoint, Config: c.o.ConfigVersion()})
		if err == nil && r.Ok && r.Endpoint != "" && r.Endpoint != p.endpoint {
			c.moved(at, at, p.endpoint, r.Endpoint, "LEARNT")
			c.set(at, r.Endpoint, true)
		}
	}()
}

// Report tells of the sessions in use here and of the moves since a
// configuration.
func (c *Sessions) Report(since uint64) ([]*meshpb.Session, []*meshpb.SessionMove, uint64) {
	now := c.o.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var ss []*meshpb.Session
	for s, p := range c.plugs {
		if now.Sub(p.used) <= c.o.IdleTimeout {
			ss = append(ss, &meshpb.Session{Key: s.key, Service: s.service, Endpoint: p.endpoint, Pinned: p.pinned, Config: p.config, SinceUs: p.since.UnixMicro(), UsedUs: p.used.UnixMicro()})
		}
	}
	slices.SortFunc(ss, func(a, b *meshpb.Session) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service))
	})
	var ms []*meshpb.SessionMove
	for _, m := range c.moves {
		if m.Config >= since {
			ms = append(ms, m)
		}
	}
	return ss, ms, c.dropped
}
