package coordination

import (
	"cmp"
	"context"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

type pinKey struct{ key, service string }

type pin struct {
	endpoint string
	why      string
	config   uint64
	moves    uint32
	at       time.Duration
}

// pins are a shard's sessions. Their number is bounded, and one that nobody
// used for a while is forgotten.
type pins struct {
	idle time.Duration
	most int
	by   map[pinKey]pin
}

// BoundPins sets how long an unused pin is kept, and how many a shard keeps.
func (t *Table) SetPinLimits(idle time.Duration, most int) { t.pins.idle, t.pins.most = idle, most }

func (p *pins) apply(c *meshpb.Pin, now time.Duration) {
	if len(p.by) >= p.most {
		p.sweep(now)
	}
	p.put(c, now)
}

func (p *pins) put(c *meshpb.Pin, at time.Duration) {
	p.by[pinKey{c.Key, c.Service}] = pin{c.Endpoint, c.Why, c.Config, c.Moves, at}
}

func (p *pins) sweep(now time.Duration) {
	for k, x := range p.by {
		if now-x.at > p.idle {
			delete(p.by, k)
		}
	}
}

func (p *pins) dump(now time.Duration) []*meshpb.Pin {
	var out []*meshpb.Pin
	for k, x := range p.by {
		if now-x.at <= p.idle {
			out = append(out, &meshpb.Pin{Key: k.key, Service: k.service, Endpoint: x.endpoint, Why: x.why, Config: x.config, Moves: x.moves, AgeMs: ms(now - x.at)})
		}
	}
	slices.SortFunc(out, func(a, b *meshpb.Pin) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service))
	})
	return out
}

// Pinned is what a question about a session came to.
type PinResult struct {
	Service  string
	Endpoint string
	Reason   string
	Moved    bool
	Full     bool
}

// Resp is how a node is told of it.
func (p PinResult) Response() *meshpb.PinResponse {
	return &meshpb.PinResponse{Ok: true, Service: p.Service, Endpoint: p.Endpoint, Moved: p.Moved, Full: p.Full, Reason: p.Reason}
}

// Pin gives the instance of a session: the one it has in a service that its
// binding may use, or the one wanted, if it has none or is to leave the one
// that the asker found it at.
func (t *Table) PinSession(q *meshpb.PinRequest, now time.Duration) (*meshpb.Change, PinResult) {
	p := &t.pins
	last := time.Duration(-1 << 62)
	var at pinKey
	var cur pin
	found := false
	for _, s := range q.Allowed {
		k := pinKey{q.Key, s}
		if x, ok := p.by[k]; ok && now-x.at <= p.idle && x.at > last {
			at, cur, found, last = k, x, true, x.at
		}
	}
	if found && (q.From == "" || cur.endpoint != q.From) {
		if now-cur.at > p.idle/4 {
			return &meshpb.Change{Pin: &meshpb.Pin{Key: at.key, Service: at.service, Endpoint: cur.endpoint, Why: cur.why, Config: cur.config, Moves: cur.moves}}, PinResult{Service: at.service, Endpoint: cur.endpoint, Reason: cur.why}
		}
		return nil, PinResult{Service: at.service, Endpoint: cur.endpoint, Reason: cur.why}
	}
	if q.Want == "" {
		return nil, PinResult{}
	}
	if !found && len(p.by) >= p.most {
		p.sweep(now)
		if len(p.by) >= p.most {
			return nil, PinResult{Full: true}
		}
	}
	c := &meshpb.Pin{Key: q.Key, Service: q.Service, Endpoint: q.Want, Why: q.Reason, Config: q.Config}
	if found {
		c.From, c.Moves = cur.endpoint, cur.moves+1
	}
	return &meshpb.Change{Pin: c}, PinResult{Service: q.Service, Endpoint: q.Want, Reason: q.Reason, Moved: found}
}

func (t *Table) PinCount() int { return len(t.pins.by) }

// PinShard is the shard that holds a session's pins.
func (s *Service) SessionShard(key string) int { return s.ShardOf("pin " + key) }

func (s *Service) PinSession(ctx context.Context, q *meshpb.PinRequest) (PinResult, error) {
	return Transact(ctx, s, s.SessionShard(q.Key), func(t *Table, now time.Duration) (*meshpb.Change, PinResult) { return t.PinSession(q, now) })
}
