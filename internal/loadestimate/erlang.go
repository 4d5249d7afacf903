// Package erlang estimates, before an endpoint is added or retired, which
// requests would go to another one. It plays the measured flows through the
// rules by which live nodes choose, with and without the change.
package loadestimate

import (
	"container/heap"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("erlang")

type Origin struct {
	Node         string
	Zone         string
	RemoteWeight float64
	BulkWeight   float64
	Flows        []*meshpb.Flow
}

type Change struct {
	Retire string           `json:"retire,omitempty"`
	Add    *meshpb.Endpoint `json:"add,omitempty"`
}

// Row is one kind of request from one node towards one endpoint, a second.
type EndpointRate struct {
	From     string  `json:"from"`
	Route    string  `json:"binding"`
	Kind     string  `json:"kind"`
	Service  string  `json:"service"`
	Endpoint string  `json:"endpoint"`
	Node     string  `json:"node"`
	Before   float64 `json:"now"`
	After    float64 `json:"then"`
}

type RouteSummary struct {
	From  string  `json:"from"`
	Route string  `json:"binding"`
	Kind  string  `json:"kind"`
	Rate  float64 `json:"rate"`
	Moved float64 `json:"moved"`
}

type Estimate struct {
	Change        Change         `json:"change"`
	EndpointRates []EndpointRate `json:"rows"`
	Summaries     []RouteSummary `json:"sums"`
}

type line struct {
	origin  int
	binding string
	kind    string
	service string
	rate    float64
	work    float64
	heavy   bool
	aim     time.Duration
}

type cell struct {
	line     int
	endpoint string
}

// Options: Span is the time played, Seed fixes the draws.
type Options struct {
	Duration time.Duration
	Seed     int64
}

func Run(os []Origin, es []*meshpb.Endpoint, c Change, o Options) (Estimate, error) {
	after, err := apply(es, c)
	if err != nil {
		return Estimate{}, err
	}
	ls, now := lines(os)
	if len(ls) == 0 {
		return Estimate{}, Error.New("no flows are known yet; there must have been traffic for some seconds")
	}
	speed := speeds(os, ls)
	want := speed
	var a map[cell]float64
	for i := 0; i < 4; i++ {
		var got map[string]float64
		a, got = play(os, ls, es, speed, o)
		next := map[string]float64{}
		for id, v := range speed {
			next[id] = v
			if g := got[id]; g > 0 {
				next[id] = v * math.Sqrt(want[id]/g)
			}
		}
		speed = next
	}
	b, _ := play(os, ls, after, speed, o)
	node := map[string]string{}
	for _, e := range append(append([]*meshpb.Endpoint{}, es...), after...) {
		node[e.Id] = e.Node
	}
	stays := map[string]bool{}
	for _, e := range after {
		stays[e.Id] = true
	}
	est := Estimate{Change: c}
	for i, l := range ls {
		then := map[string]float64{}
		total := 0.0
		for id := range node {
			k := cell{i, id}
			v := 0.0
			switch {
			case !stays[id]:
			case now[k] > 0:
				v = now[k] * (b[k] + faint) / (a[k] + faint)
			default:
				v = b[k] * l.rate
			}
			then[id] = v
			total += v
		}
		s := RouteSummary{From: os[l.origin].Node, Route: l.binding, Kind: l.kind, Rate: l.rate}
		for id, v := range then {
			if total > 0 {
				v *= l.rate / total
			}
			n := now[cell{i, id}]
			if n == 0 && v < 0.005 {
				continue
			}
			s.Moved += max(n-v, 0)
			est.EndpointRates = append(est.EndpointRates, EndpointRate{s.From, l.binding, l.kind, l.service, id, node[id], round(n), round(v)})
		}
		s.Moved, s.Rate = round(s.Moved), round(s.Rate)
		est.Summaries = append(est.Summaries, s)
	}
	sort.Slice(est.EndpointRates, func(i, j int) bool {
		x, y := est.EndpointRates[i], est.EndpointRates[j]
		if x.From != y.From {
			return x.From < y.From
		}
		if x.Route != y.Route {
			return x.Route < y.Route
		}
		return x.Endpoint < y.Endpoint
	})
	sort.Slice(est.Summaries, func(i, j int) bool {
		x, y := est.Summaries[i], est.Summaries[j]
		if x.From != y.From {
			return x.From < y.From
		}
		return x.Route < y.Route
	})
	return est, nil
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

func apply(es []*meshpb.Endpoint, c Change) ([]*meshpb.Endpoint, error) {
	out := append([]*meshpb.Endpoint{}, es...)
	if c.Retire != "" {
		n := out[:0]
		for _, e := range es {
			if e.Id != c.Retire && e.Node != c.Retire {
				n = append(n, e)
			}
		}
		if len(n) == len(es) {
			return nil, Error.New("no node or endpoint %q is in the view", c.Retire)
		}
		out = n
	}
	if c.Add != nil {
		if c.Add.Slots == 0 || c.Add.Service == "" {
			return nil, Error.New("an endpoint to add needs a service and slots")
		}
		out = append(out, c.Add)
	}
	return out, nil
}

func lines(os []Origin) ([]line, map[cell]float64) {
	var ls []line
	now := map[cell]float64{}
	for i, o := range os {
		at := map[string]int{}
		for _, f := range o.Flows {
			k := f.Route + "\x00" + f.Service
			n, ok := at[k]
			if !ok {
				n = len(ls)
				at[k] = n
				ls = append(ls, line{origin: i, binding: f.Route, kind: f.Kind, service: f.Service, heavy: heavy(f.Kind), aim: time.Duration(f.LatencyTargetMs) * time.Millisecond})
			}
			ls[n].work += f.PerS * f.WorkMs
			ls[n].rate += f.PerS
			now[cell{n, f.Endpoint}] += f.PerS
		}
	}
	for i := range ls {
		ls[i].work /= max(ls[i].rate, 1e-9)
	}
	return ls, now
}

// usual is the speed of a service's endpoints, each counted once: a new one is
// taken to be like that.
func usual(es []*meshpb.Endpoint, speed map[string]float64, service string) float64 {
	sum, n := 0.0, 0.0
	for _, e := range es {
		if v, ok := speed[e.Id]; ok && e.Service == service {
			sum += v
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// faint keeps a share that is hardly seen in play from being blown up.
const faint = 0.03

// speeds gives how long an endpoint takes against the mean of its bindings.
func speeds(os []Origin, ls []line) map[string]float64 {
	mean := means(ls)
	took, want := map[string]float64{}, map[string]float64{}
	for _, o := range os {
		for _, f := range o.Flows {
			m := mean[f.Route]
			took[f.Endpoint] += f.PerS * f.WorkMs
			want[f.Endpoint] += f.PerS * m[0] / m[1]
		}
	}
	out := map[string]float64{}
	for e, t := range took {
		out[e] = t / max(want[e], 1e-9)
	}
	return out
}

// means gives each binding's work and rate over all nodes.
func means(ls []line) map[string][2]float64 {
	mean := map[string][2]float64{}
	for _, l := range ls {
		m := mean[l.binding]
		mean[l.binding] = [2]float64{m[0] + l.work*l.rate, m[1] + l.rate}
	}
	return mean
}

type turn struct {
	at   float64
	line int
	seat *loadbalancer.Endpoint
	end  bool
	t0   float64
}

type turns []turn

func (t turns) Len() int           { return len(t) }
func (t turns) Less(i, j int) bool { return t[i].at < t[j].at }
func (t turns) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *turns) Push(x any)        { *t = append(*t, x.(turn)) }
func (t *turns) Pop() any {
	o := *t
	x := o[len(o)-1]
	*t = o[:len(o)-1]
	return x
}

type place struct {
	slots int
	run   int
	queue []turn
	work  float64
	speed float64
}

func heavy(kind string) bool {
	k, ok := routeconfig.ParseRouteKind(kind)
	return ok && k.Bulk()
}

func play(os []Origin, ls []line, es []*meshpb.Endpoint, speed map[string]float64, o Options) (map[cell]float64, map[string]float64) {
	rng := rand.New(rand.NewSource(o.Seed + 1))
	now := 0.0
	var ps []*loadbalancer.Balancer
	for _, x := range os {
		p := loadbalancer.New(x.Zone, x.RemoteWeight, x.BulkWeight).SetLocalNode(x.Node)
		p.SetRandomAndClock(rng.Float64, func() int64 { return int64(now * 1e9) })
		p.ApplyView(&meshpb.View{Version: 1, Endpoints: es})
		ps = append(ps, p)
	}
	at := map[string]*place{}
	for _, e := range es {
		s, ok := speed[e.Id]
		if !ok {
			s = usual(es, speed, e.Service)
		}
		at[e.Id] = &place{slots: max(int(e.Slots), 1), work: 50, speed: s}
	}
	span := o.Duration.Seconds()
	warm := span / 4
	var q turns
	for i, l := range ls {
		if l.rate > 0 {
			heap.Push(&q, turn{at: rng.ExpFloat64() / l.rate, line: i})
		}
	}
	seen, tot := map[cell]float64{}, make([]float64, len(ls))
	took, ideal, mean := map[string]float64{}, map[string]float64{}, means(ls)
	start := func(t turn, p *place) {
		p.run++
		m := mean[ls[t.line].binding]
		d := m[0] / m[1] * p.speed * (0.5 + rng.Float64()) / 1000
		heap.Push(&q, turn{at: t.at + d, line: t.line, seat: t.seat, end: true, t0: t.t0})
	}
	for q.Len() > 0 {
		t := heap.Pop(&q).(turn)
		now = t.at
		l := ls[t.line]
		if t.end {
			p := at[t.seat.ID()]
			p.run--
			if t.t0 > warm {
				took[t.seat.ID()] += (t.at - t.t0) * 1000
				ideal[t.seat.ID()] += mean[l.binding][0] / mean[l.binding][1]
			}
			p.work += ((t.at-t.t0)*1000 - p.work) / 16
			t.seat.EndAttempt()
			t.seat.SetLoad(p.run+len(p.queue), time.Duration(p.work*float64(time.Millisecond)), int64(now*1e9))
			if len(p.queue) > 0 && p.run < p.slots {
				n := p.queue[0]
				p.queue = p.queue[1:]
				n.at = t.at
				start(n, p)
			}
			continue
		}
		if t.at > span {
			continue
		}
		heap.Push(&q, turn{at: t.at + rng.ExpFloat64()/l.rate, line: t.line})
		s := ps[l.origin].Pick(loadbalancer.Criteria{Service: l.service, Bulk: l.heavy, Target: l.aim})
		if s == nil {
			continue
		}
		if t.at > warm {
			seen[cell{t.line, s.ID()}]++
			tot[t.line]++
		}
		s.BeginAttempt()
		t.seat, t.t0 = s, t.at
		if p := at[s.ID()]; p.run < p.slots {
			start(t, p)
		} else {
			p.queue = append(p.queue, t)
		}
	}
	for k := range seen {
		seen[k] /= tot[k.line]
	}
	for id := range took {
		took[id] /= max(ideal[id], 1e-9)
	}
	return seen, took
}

// Check holds an estimate against the flows measured after the change: the
// share of requests that went elsewhere than foretold, for each kind of request.
type Deviation struct {
	Route      string  `json:"binding"`
	Kind       string  `json:"kind"`
	Forecast   float64 `json:"foretold"`
	Measured   float64 `json:"measured"`
	Difference float64 `json:"off"`
}

func Check(e Estimate, os []Origin) []Deviation {
	type key struct{ binding, endpoint string }
	now, then, got := map[key]float64{}, map[key]float64{}, map[key]float64{}
	kind := map[string]string{}
	add := ""
	if e.Change.Add != nil {
		add = e.Change.Add.Id
	}
	nowT, thenT, gotT := map[string]float64{}, map[string]float64{}, map[string]float64{}
	known := map[string]bool{}
	for _, r := range e.EndpointRates {
		now[key{r.Route, r.Endpoint}] += r.Before
		then[key{r.Route, r.Endpoint}] += r.After
		nowT[r.Route] += r.Before
		thenT[r.Route] += r.After
		kind[r.Route] = r.Kind
		known[r.Endpoint] = true
	}
	for _, o := range os {
		for _, f := range o.Flows {
			id := f.Endpoint
			if !known[id] && add != "" {
				id = add
			}
			got[key{f.Route, id}] += f.PerS
			gotT[f.Route] += f.PerS
		}
	}
	var out []Deviation
	for b, k := range kind {
		if gotT[b] == 0 || thenT[b] == 0 {
			continue
		}
		v := Deviation{Route: b, Kind: k}
		ids := map[string]bool{}
		for x := range then {
			if x.binding == b {
				ids[x.endpoint] = true
			}
		}
		for x := range got {
			if x.binding == b {
				ids[x.endpoint] = true
			}
		}
		for id := range ids {
			x := key{b, id}
			n, t, g := now[x]/nowT[b], then[x]/thenT[b], got[x]/gotT[b]
			v.Forecast += max(n-t, 0)
			v.Measured += max(n-g, 0)
			v.Difference += math.Abs(t-g) / 2
		}
		v.Forecast, v.Measured, v.Difference = round(v.Forecast), round(v.Measured), round(v.Difference)
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Route < out[j].Route })
	return out
}
