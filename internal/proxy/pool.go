package proxy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/rpc/meshpb"
)

// remote is what this node knows of one endpoint. The fields set at its making
// never change; the rest are atomics that outlive a view.
type remote struct {
	id      string
	node    string
	inbound string
	addr    string
	zone    string
	slots   int64
	up      bool
	cold    bool
	grey    bool
	hash    uint64
	busy    *area
	*gauge
}

// area is how full the endpoints of a service in one zone were, and their
// machines' links, over the last answers from any of them.
type area struct{ slots, links mean }

type mean struct{ x atomic.Uint64 }

const meanOf = 24

func (m *mean) note(v float64) {
	o := math.Float64frombits(m.x.Load())
	m.x.Store(math.Float64bits(o + (v-o)/meanOf))
}

func (m *mean) get() float64 { return math.Float64frombits(m.x.Load()) }

// direct tells that no node stands beside the endpoint: it is dialled itself.
func (r *remote) direct() bool { return r.inbound == "" }

type gauge struct {
	pace    pace
	blame   blame
	link    atomic.Int64
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
	version uint64
	by      map[string]*party
	nodes   int
	hot     map[uint64]*hot
}

// party is a service's endpoints: all of them, those of this zone, and of
// these the part that this node prefers.
type party struct {
	all  []*remote
	home []*remote
	near []*remote
}

// Pools is the copy-on-write table of endpoints by service.
type Balancer struct {
	zone  string
	name  string
	some  int
	self  string
	mu    sync.Mutex
	all   map[string]*gauge
	busy  map[string]*area
	cur   atomic.Pointer[pool]
	far   float64
	heavy float64
	draw  func() float64
	clock func() int64
	slow  int64
}

func NewBalancer(zone string, far, heavy float64) *Balancer {
	p := &Balancer{zone: zone, all: map[string]*gauge{}, busy: map[string]*area{}, far: far, heavy: heavy, draw: rand.Float64, clock: func() int64 { return time.Now().UnixNano() }}
	p.cur.Store(&pool{by: map[string]*party{}})
	return p
}

// Prefer makes the node of that name keep to n endpoints of a service in its
// zone while these can take its requests.
func (p *Balancer) PreferSubset(name string, n int) *Balancer {
	p.name, p.some = name, n
	return p
}

// Beside tells which node this is: large bodies to or from the endpoint beside
// it don't use the link.
func (p *Balancer) SetLocalNode(node string) *Balancer {
	p.self = node
	return p
}

// subset takes n of the endpoints by rendezvous hashing, so that nodes spread
// evenly and an endpoint that comes or goes moves few.
func subset(name string, rs []*remote, n int) []*remote {
	if n <= 0 || len(rs) <= n {
		return rs
	}
	type seat struct {
		r *remote
		h uint64
	}
	ss := make([]seat, len(rs))
	for i, r := range rs {
		ss[i] = seat{r, xxhash.Sum64String(name + " " + r.id)}
	}
	slices.SortFunc(ss, func(a, b seat) int { return cmp.Compare(a.h, b.h) })
	out := make([]*remote, n)
	for i := range out {
		out[i] = ss[i].r
	}
	return out
}

func (p *Balancer) ApplyView(v *meshpb.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := &pool{version: v.Version, by: map[string]*party{}, nodes: int(v.Nodes)}
	keep := map[string]*gauge{}
	for _, e := range v.Endpoints {
		g := p.all[e.Id]
		if g == nil {
			g = &gauge{}
		}
		keep[e.Id] = g
		y := n.by[e.Service]
		if y == nil {
			y = &party{}
			n.by[e.Service] = y
		}
		k := e.Service + " " + e.Zone
		if p.busy[k] == nil {
			p.busy[k] = &area{}
		}
		r := &remote{busy: p.busy[k], id: e.Id, node: e.Node, inbound: e.Inbound, addr: e.Addr, zone: e.Zone,
			slots: max(int64(e.Slots), 1), up: e.State == "up", cold: e.WarmupMs > 0, grey: e.Outlier, hash: xxhash.Sum64String(e.Id), gauge: g}
		y.all = append(y.all, r)
		if r.zone == p.zone {
			y.home = append(y.home, r)
		}
	}
	for _, y := range n.by {
		y.near = subset(p.name, y.home, p.some)
	}
	p.heat(v, n, p.cur.Load())
	p.all = keep
	p.cur.Store(n)
}

func (p *Balancer) NodeCount() int { return p.cur.Load().nodes }

func (r *remote) heardLoad(s string) {
	f := strings.Split(s, ",")
	if len(f) != 5 {
		return
	}
	var x [5]int64
	for i := range f {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return
		}
		x[i] = n
	}
	r.load.Store(x[0] + x[1])
	r.work.Store(x[3] * int64(time.Millisecond))
	r.link.Store(min(max(x[4], 0), 100))
	if r.busy != nil {
		r.busy.slots.note(float64(x[0]+x[1]) / float64(max(x[2], 1)))
		r.busy.links.note(float64(r.link.Load()) / 100)
	}
	r.heard.Store(time.Now().UnixNano())
}

// score is the time until the endpoint would have answered, with bytes between
// zones counted as time. What is not known, or not for long, is taken to be as
// at its zone's others.
func (r *remote) score(zone string, far, usual float64, heavy bool, now int64) float64 {
	age := float64(now-r.heard.Load()) / float64(forget)
	fresh := 1 / (1 + age*age)
	prior := 0.0
	if r.busy != nil {
		prior = r.busy.slots.get() * float64(r.slots)
	}
	ld := prior + (float64(r.load.Load())-prior)*fresh
	u := (max(ld, float64(r.mine.Load())) + 1) / float64(r.slots)
	w := r.pay(usual, now)
	s := w * (1 + u*u)
	if u > 1 {
		s += w * (u - 1) * 2
	}
	if k := r.strain(now); k > 1 {
		if !heavy {
			k = 1 + (k-1)/4
		}
		s *= k
	}
	if r.cold {
		s *= 2
	}
	if r.zone != zone {
		s *= far
	}
	return s
}

// strain grows with how full the link of the endpoint's machine is.
func (r *remote) strain(now int64) float64 {
	age := float64(now-r.heard.Load()) / float64(forget)
	prior := 0.0
	if r.busy != nil {
		prior = r.busy.links.get()
	}
	l := prior + (float64(r.link.Load())/100-prior)/(1+age*age/16)
	if l < 0.35 {
		return 1
	}
	return 0.7 / (1.05 - min(l, 1))
}

// pay is the time that a request takes there.
func (r *remote) pay(usual float64, now int64) float64 {
	v := r.work.Load()
	if v == 0 {
		return usual
	}
	age := float64(now-r.heard.Load()) / float64(8*forget)
	return usual + (float64(v)-usual)/(1+age*age)
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

// want is what a pick has to serve.
type want struct {
	service string
	heavy   bool
	// up: the large body goes to the endpoint, so the link that carries it is
	// this node's, whichever endpoint takes it.
	up    bool
	pure  bool
	aim   time.Duration
	tried []*remote
	wide  bool
	// key is that of a read that keeps to its homes; 0 is none.
	key uint64
}

func (w want) had(r *remote) bool {
	for _, t := range w.tried {
		if t == r || t.id == r.id {
			return true
		}
	}
	return false
}

// trickle is the share of repeatable requests that try out a grey endpoint.
const trickle = 0.01

// pick takes the endpoint that should answer first. Bytes between zones are
// dear, so the own zone is kept to while it answers well within the aim.
func (p *Balancer) pick(w want) *remote {
	y := p.cur.Load().by[w.service]
	if y == nil {
		return nil
	}
	now := p.clock()
	tryGrey := w.pure && len(w.tried) == 0 && p.draw() < trickle
	far := p.far
	if w.heavy {
		far = p.heavy
	}
	if w.key != 0 && len(w.tried) == 0 && !tryGrey {
		if r := p.pickHome(y, w, now, far, usualWork(y.all)); r != nil {
			return r
		}
	}
	if len(y.all) > 0 && y.all[0].direct() {
		return p.pickDirect(y, w, now, tryGrey)
	}
	usual := usualWork(y.all)
	if tryGrey {
		for _, r := range y.home {
			if r.grey && r.up && !r.drained.Load() {
				return r
			}
		}
	}
	if w.heavy && p.self != "" {
		for _, r := range y.home {
			if r.node == p.self && !r.grey && r.open(now) && !w.had(r) && max(r.mine.Load(), r.load.Load()) < r.slots {
				return r
			}
		}
	}
	best, score, spare := p.least(y.home, w, now, far, usual)
	if best != nil && !w.wide {
		limit := w.aim * 4 / 5
		if w.heavy {
			limit = w.aim
		}
		keep := stay(best.busy.slots.get(), best.slots)
		if w.heavy {
			keep = min(keep, stay(best.busy.links.get()+0.2, 6))
		}
		if w.up || score <= float64(limit) && p.draw() < keep {
			return best
		}
	}
	if best != nil && (stay(best.busy.slots.get(), best.slots) < 1 || w.heavy && best.busy.links.get() > 0.4) {
		far = 1 + (far-1)/4
	}
	if b, _, sp := p.least(y.all, w, now, far, usual); b != nil {
		return b
	} else if spare == nil {
		spare = sp
	}
	return spare
}

// stay is the share of requests that keep to a zone whose endpoints are that
// full. The more slots an endpoint has, the fuller it can be without a queue.
func stay(busy float64, slots int64) float64 {
	from := 1 - 1/math.Sqrt(float64(slots)+1)
	return min(max((1.15-busy)/(1.15-from), 0), 1)
}

const (
	fewEnough = 4
	draws     = 3
)

// drawn takes the best of a few, drawn by what each can take: with many
// endpoints a sender knows little of each, and if each sender took what seems
// best, all would run to the same.
func (p *Balancer) drawn(rs []*remote, w want, now int64, far, usual float64) (best *remote, bs float64) {
	sums := make([]float64, len(rs))
	sum := 0.0
	for i, r := range rs {
		if r.open(now) && !r.grey && !w.had(r) {
			c := float64(r.slots) / r.pay(usual, now)
			if w.heavy {
				k := r.strain(now)
				c /= k * k
			}
			if r.zone != p.zone {
				c /= far
			}
			sum += c
		}
		sums[i] = sum
	}
	if sum == 0 {
		return nil, 0
	}
	for range draws {
		i, _ := slices.BinarySearch(sums, p.draw()*sum)
		for i < len(rs)-1 && (i > 0 && sums[i] == sums[i-1] || sums[i] == 0) {
			i++
		}
		r := rs[i]
		s := r.score(p.zone, far, usual, w.heavy, now) * (1 + 0.1*p.draw())
		if best == nil || s < bs {
			best, bs = r, s
		}
	}
	return best, bs
}

func (p *Balancer) find(service, id string) *remote {
	if y := p.cur.Load().by[service]; y != nil {
		for _, r := range y.all {
			if r.id == id && r.up && !r.drained.Load() {
				return r
			}
		}
	}
	return nil
}

// least leaves out grey and shunned endpoints unless there are no others.
func (p *Balancer) least(rs []*remote, w want, now int64, far, usual float64) (best *remote, bs float64, spare *remote) {
	if len(rs) > fewEnough {
		if best, bs = p.drawn(rs, w, now, far, usual); best != nil {
			return best, bs, nil
		}
	}
	var grey *remote
	var gs float64
	for _, r := range rs {
		if !r.up || r.drained.Load() || w.had(r) {
			continue
		}
		if r.shunned.Load() > now {
			spare = r
			continue
		}
		s := r.score(p.zone, far, usual, w.heavy, now) * (1 + 0.3*p.draw())
		switch {
		case r.grey && (grey == nil || s < gs):
			grey, gs = r, s
		case !r.grey && (best == nil || s < bs):
			best, bs = r, s
		}
	}
	if grey != nil {
		spare = grey
	}
	return best, bs, spare
}

// pickDirect serves nodes that dial endpoints themselves: nobody knows the
// endpoints' whole load, so two are drawn and the one that owes this node
// less and has answered it faster is taken.
func (p *Balancer) pickDirect(y *party, w want, now int64, tryGrey bool) *remote {
	if tryGrey {
		if r := p.any(y.home, func(r *remote) bool { return r.grey && r.open(now) }); r != nil {
			return r
		}
	}
	good := func(r *remote) bool { return !r.grey && r.open(now) && r.mine.Load() < r.slots && !w.had(r) }
	if !w.wide {
		if r := p.two(y.near, good, now); r != nil {
			return r
		}
	}
	if r := p.two(y.home, good, now); r != nil && !w.wide {
		return r
	}
	if r := p.two(y.all, good, now); r != nil {
		return r
	}
	for _, soft := range []func(r *remote) bool{
		func(r *remote) bool { return !r.grey && r.open(now) && !w.had(r) },
		func(r *remote) bool { return r.up && !r.drained.Load() && !w.had(r) },
	} {
		if r := p.any(y.all, soft); r != nil {
			return r
		}
	}
	return nil
}

func (r *remote) open(now int64) bool {
	return r.up && !r.drained.Load() && r.shunned.Load() <= now
}

// any walks from a drawn place to the first that fits.
func (p *Balancer) any(rs []*remote, fit func(*remote) bool) *remote {
	n := len(rs)
	if n == 0 {
		return nil
	}
	at := int(p.draw() * float64(n))
	for i := range n {
		if r := rs[(at+i)%n]; fit(r) {
			return r
		}
	}
	return nil
}

func (p *Balancer) two(rs []*remote, fit func(*remote) bool, now int64) *remote {
	a := p.any(rs, fit)
	if a == nil {
		return nil
	}
	b := p.any(rs, func(r *remote) bool { return r != a && fit(r) })
	if b != nil && b.burden(now) < a.burden(now) {
		return b
	}
	return a
}

// burden grows with what this node waits for there and with how much longer
// than usual the endpoint took of late.
func (r *remote) burden(now int64) float64 {
	x := float64(r.mine.Load()+1) / float64(r.slots) * r.pace.of(now)
	if r.cold {
		x *= 2
	}
	return x
}

// Seat is an endpoint as the estimator sees it: chosen by the same rules as a
// live one, its load told by the estimator.
type Endpoint struct{ r *remote }

func (p *Balancer) Choose(service string, heavy bool, aim time.Duration) (Endpoint, bool) {
	r := p.pick(want{service: service, heavy: heavy, aim: aim})
	return Endpoint{r}, r != nil
}

func (s Endpoint) ID() string { return s.r.id }

func (s Endpoint) BeginRequest() { s.r.mine.Add(1) }

func (s Endpoint) EndRequest(load int, work time.Duration, now int64) {
	s.r.mine.Add(-1)
	s.r.heard.Store(now)
	s.r.load.Store(int64(load))
	s.r.work.Store(int64(work))
}

// Draw sets where chance and time in choices come from.
func (p *Balancer) SetRandomAndClock(f func() float64, clock func() int64) {
	p.draw, p.clock = f, clock
}

func (p *Balancer) Weights() (far, heavy float64) { return p.far, p.heavy }
