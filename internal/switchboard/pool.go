package switchboard

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/trunk"
)

// remote is what this node knows of one endpoint. The fields set at its making
// never change; the rest are atomics that outlive a view.
type remote struct {
	id      string
	node    string
	inbound string
	site    string
	slots   int64
	up      bool
	cold    bool
	*gauge
}

type gauge struct {
	mine    atomic.Int64
	load    atomic.Int64
	work    atomic.Int64
	heard   atomic.Int64
	shunned atomic.Int64
	fails   atomic.Int64
	drained atomic.Bool
}

// forget is how old an endpoint's load may be before it counts half.
const forget = 500 * time.Millisecond

type pool struct {
	stamp uint64
	by    map[string][]*remote
	nodes int
}

// Pools is the copy-on-write table of endpoints by service.
type Pools struct {
	site  string
	mu    sync.Mutex
	all   map[string]*gauge
	cur   atomic.Pointer[pool]
	far   float64
	heavy float64
	draw  func() float64
	clock func() int64
}

func NewPools(site string, far, heavy float64) *Pools {
	p := &Pools{site: site, all: map[string]*gauge{}, far: far, heavy: heavy, draw: rand.Float64, clock: func() int64 { return time.Now().UnixNano() }}
	p.cur.Store(&pool{by: map[string][]*remote{}})
	return p
}

func (p *Pools) Set(v *trunk.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := &pool{stamp: v.Stamp, by: map[string][]*remote{}, nodes: int(v.Nodes)}
	keep := map[string]*gauge{}
	for _, e := range v.Endpoints {
		g := p.all[e.Id]
		if g == nil {
			g = &gauge{}
		}
		keep[e.Id] = g
		n.by[e.Service] = append(n.by[e.Service], &remote{id: e.Id, node: e.Node, inbound: e.Inbound, site: e.Site,
			slots: max(int64(e.Slots), 1), up: e.State == "up", cold: e.ColdMs > 0, gauge: g})
	}
	p.all = keep
	p.cur.Store(n)
}

func (p *Pools) Nodes() int { return p.cur.Load().nodes }

func (r *remote) heardLoad(s string) {
	f := strings.Split(s, ",")
	if len(f) != 4 {
		return
	}
	var x [4]int64
	for i := range f {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return
		}
		x[i] = n
	}
	r.load.Store(x[0] + x[1])
	r.work.Store(x[3] * int64(time.Millisecond))
	r.heard.Store(time.Now().UnixNano())
}

// score is the time until the endpoint would have answered, with bytes between
// sites counted as time.
func (r *remote) score(site string, far, usual float64, now int64) float64 {
	age := float64(now-r.heard.Load()) / float64(forget)
	ld := float64(r.load.Load()) / (1 + age*age)
	u := (max(ld, float64(r.mine.Load())) + 1) / float64(r.slots)
	w := usual
	if v := r.work.Load(); v > 0 {
		age /= 8
		w += (float64(v) - usual) / (1 + age*age)
	}
	s := w * (1 + u*u)
	if u > 1 {
		s += w * (u - 1) * 2
	}
	if r.cold {
		s *= 2
	}
	if r.site != site {
		s *= far
	}
	return s
}

// usualWork is the mean time of the endpoints heard from: what one not heard
// from, or not for long, is taken to need.
func usualWork(rs []*remote) float64 {
	sum, n := int64(0), int64(0)
	for _, r := range rs {
		if v := r.work.Load(); v > 0 {
			sum += v
			n++
		}
	}
	if n == 0 {
		return float64(50 * time.Millisecond)
	}
	return max(float64(sum/n), float64(time.Millisecond))
}

// wait is how long a request that comes now would stand in the queue there.
func (r *remote) wait() time.Duration {
	return time.Duration(max(r.load.Load()-r.slots+1, 0) * r.work.Load() / r.slots)
}

func (r *remote) shun(d time.Duration) { r.shunned.Store(time.Now().Add(d).UnixNano()) }

// pick takes the endpoint that should answer first; bytes between sites count
// against the far ones.
func (p *Pools) pick(service string, heavy bool, tried []*remote) *remote {
	far := p.far
	if heavy {
		far = p.heavy
	}
	var best, spare *remote
	var bs float64
	now := p.clock()
	rs := p.cur.Load().by[service]
	usual := usualWork(rs)
next:
	for _, r := range rs {
		for _, t := range tried {
			if t == r || t.id == r.id {
				continue next
			}
		}
		if !r.up || r.drained.Load() {
			continue
		}
		if r.shunned.Load() > now {
			spare = r
			continue
		}
		s := r.score(p.site, far, usual, now) * (1 + 0.3*p.draw())
		if best == nil || s < bs {
			best, bs = r, s
		}
	}
	if best == nil {
		return spare
	}
	return best
}

// Budget pays for second arrivals at endpoints, service by service.
type Budget struct {
	ratio float64
	most  float64
	mu    sync.Mutex
	have  map[string]float64
}

func NewBudget(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, have: map[string]float64{}}
}

func (b *Budget) Earn(service string) {
	b.mu.Lock()
	h, ok := b.have[service]
	if !ok {
		h = b.most
	}
	b.have[service] = min(h+b.ratio, b.most)
	b.mu.Unlock()
}

func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have[service] < 1 {
		return false
	}
	b.have[service]--
	return true
}

// Seat is an endpoint as the estimator sees it: chosen by the same rules as a
// live one, its load told by the estimator.
type Seat struct{ r *remote }

func (p *Pools) Seat(service string, heavy bool) (Seat, bool) {
	r := p.pick(service, heavy, nil)
	return Seat{r}, r != nil
}

func (s Seat) ID() string { return s.r.id }

func (s Seat) Begin() { s.r.mine.Add(1) }

func (s Seat) End(load int, work time.Duration, now int64) {
	s.r.mine.Add(-1)
	s.r.heard.Store(now)
	s.r.load.Store(int64(load))
	s.r.work.Store(int64(work))
}

// Draw sets where chance and time in choices come from.
func (p *Pools) Draw(f func() float64, clock func() int64) { p.draw, p.clock = f, clock }

func (p *Pools) Weights() (far, heavy float64) { return p.far, p.heavy }
