package proxy

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	boom "github.com/tylertreat/BoomFilters"

	"corkcove/internal/rpc/meshpb"
)

// KeyHash is a key of a service as nodes and master name it; 0 is none.
func KeyHash(service, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(service+"\x00"+key), 1)
}

// hot is a key in the view, with the endpoints of its service in the order that
// rendezvous hashing gives them, as many as its width and the last one's.
type hot struct {
	width  int
	was    int
	at     int64
	copies []*remote
}

// SlowStart sets how long a new copy takes to come up to its full share.
func (p *Balancer) SlowStart(d time.Duration) *Balancer {
	p.slow = int64(d)
	return p
}

func place(key uint64, r *remote) uint64 { return mix(key ^ r.hash) }

func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous gives the n endpoints that a key's reads go to.
func rendezvous(key uint64, rs []*remote, n int) []*remote {
	up := make([]*remote, 0, len(rs))
	for _, r := range rs {
		if r.up {
			up = append(up, r)
		}
	}
	slices.SortFunc(up, func(a, b *remote) int {
		return cmp.Or(cmp.Compare(place(key, b), place(key, a)), cmp.Compare(a.id, b.id))
	})
	return slices.Clip(up[:min(n, len(up))])
}

// heat takes the hot keys of a view. A key that has grown keeps its earlier
// copies at their full share while the new ones come up.
func (p *Balancer) heat(v *meshpb.View, n, old *pool) {
	if len(v.HotKeys) == 0 {
		return
	}
	n.hot = make(map[uint64]*hot, len(v.HotKeys))
	now := p.clock()
	for _, k := range v.HotKeys {
		y := n.by[k.Service]
		if y == nil || k.Width < 1 {
			continue
		}
		h := &hot{width: int(k.Width), was: 1, at: now}
		if o := old.hot[k.Key]; o != nil {
			if o.width == h.width {
				h.was, h.at = o.was, o.at
			} else {
				h.was = min(o.width, h.width)
			}
		}
		h.copies = rendezvous(k.Key, y.all, h.width)
		n.hot[k.Key] = h
	}
}

// isHot tells that a key's reads are spread.
func (p *Balancer) isHot(key uint64) bool { return key != 0 && p.cur.Load().hot[key] != nil }

// pickHome takes an endpoint among a key's homes; none where they can't take it
// well, so that the choice is then by load among all.
func (p *Balancer) pickHome(y *party, w want, now int64, far, usual float64) *remote {
	fit := func(r *remote) bool {
		return r.open(now) && !r.grey && !w.had(r) && max(r.mine.Load(), r.fresh(now)) < r.slots
	}
	h := p.cur.Load().hot[w.key]
	if h == nil {
		var best *remote
		for _, r := range y.all {
			if r.up && (best == nil || place(w.key, r) > place(w.key, best)) {
				best = r
			}
		}
		if best != nil && fit(best) {
			return best
		}
		return nil
	}
	full := float64(now-h.at) / float64(max(p.slow, 1))
	var best *remote
	bs := math.Inf(1)
	for range draws {
		i := int(p.draw() * float64(len(h.copies)))
		if i >= len(h.copies) || i >= h.was && full < 1 && p.draw() > full {
			continue
		}
		if r := h.copies[i]; fit(r) {
			s := r.score(p.zone, far, usual, w.heavy, now) * (1 + 0.1*p.draw())
			if s < bs {
				best, bs = r, s
			}
		}
	}
	if best == nil {
		for i, r := range h.copies {
			if (i < h.was || full >= 1) && fit(r) {
				return r
			}
		}
	}
	return best
}

// fresh is the load last heard, 0 where that was long ago.
func (r *remote) fresh(now int64) int64 {
	if now-r.heard.Load() > int64(forget) {
		return 0
	}
	return r.load.Load()
}

// The window that a node's reads are counted over, in panes.
const (
	panes    = 4
	paneFor  = 500 * time.Millisecond
	heaviest = 16
	mostSeen = 64 * heaviest
	// faintest is the rate below which a read's key is not told of.
	faintest = 1.0
	// step is the ratio between rates that are told apart.
	step = 1.25
)

// KeyMeter counts the reads of keys in a sliding window of sketches, so that its
// size doesn't depend on the number of keys.
type KeyMeter struct {
	mu    sync.Mutex
	now   func() time.Time
	panes [panes]*boom.TopK
	at    int64
	seen  map[uint64]meterKey
	said  []*meshpb.KeyRate
}

type meterKey struct {
	route, service string
	work           time.Duration
	at             int64
}

func NewKeyMeter(now func() time.Time) *KeyMeter {
	return &KeyMeter{now: now, seen: map[uint64]meterKey{}}
}

func (m *KeyMeter) turn() *boom.TopK {
	at := m.now().UnixNano() / int64(paneFor)
	for i := max(m.at+1, at-panes+1); i <= at; i++ {
		if p := m.panes[i%panes]; p != nil {
			p.Reset()
		}
	}
	m.at = at
	i := at % panes
	if m.panes[i] == nil {
		m.panes[i] = boom.NewTopK(0.002, 0.99, heaviest)
	}
	return m.panes[i]
}

// Note counts one read; work is how long its route usually takes.
func (m *KeyMeter) Record(key uint64, route, service string, work time.Duration) {
	if m == nil || key == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn().Add(binary.BigEndian.AppendUint64(nil, key))
	if _, ok := m.seen[key]; ok || len(m.seen) < mostSeen {
		m.seen[key] = meterKey{route, service, work, m.at}
	}
}

// Rates gives the heaviest keys of the window, at rates so rounded that small
// changes don't show. Same tells that nothing is new since the last call.
func (m *KeyMeter) Rates() (out []*meshpb.KeyRate, same bool) {
	if m == nil {
		return nil, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.seen) == 0 && len(m.said) == 0 {
		return nil, true
	}
	m.turn()
	sum := map[uint64]uint64{}
	for _, p := range m.panes {
		if p == nil {
			continue
		}
		for _, e := range p.Elements() {
			sum[binary.BigEndian.Uint64(e.Data)] += e.Freq
		}
	}
	span := (panes - 0.5) * paneFor.Seconds()
	for k, n := range sum {
		x := m.seen[k]
		if r := float64(n) / span; r >= faintest && x.at > 0 {
			out = append(out, &meshpb.KeyRate{Key: k, PerS: rounded(r), WorkMs: uint32(rounded(float64(x.work.Milliseconds()))), Route: x.route, Service: x.service})
		}
	}
	slices.SortFunc(out, func(a, b *meshpb.KeyRate) int {
		return cmp.Or(cmp.Compare(b.PerS, a.PerS), cmp.Compare(a.Key, b.Key))
	})
	out = out[:min(len(out), heaviest)]
	for k, x := range m.seen {
		if m.at-x.at > 2*panes {
			delete(m.seen, k)
		}
	}
	same = slices.EqualFunc(out, m.said, func(a, b *meshpb.KeyRate) bool { return a.Key == b.Key && a.PerS == b.PerS })
	m.said = out
	return out, same
}

func rounded(x float64) float64 {
	if x <= 0 {
		return 0
	}
	return math.Round(100*math.Pow(step, math.Round(math.Log(x)/math.Log(step)))) / 100
}
