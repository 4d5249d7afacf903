package replay

import (
	"cmp"
	"container/heap"
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/coordination"
	"corkcove/internal/hotkeys"
	"corkcove/internal/proxy"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Rules are what a playing goes by: nil parts are taken from the record.
type Scenario struct {
	Config  *routeconfig.Config
	Retries *RetrySettings
	Seed    uint64
	// Hot bounds the widths that a proposal's keys are given in the playing.
	HotKeys hotkeys.Options
}

// Retries are the settings of the retry budget.
type RetrySettings struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Run is one arrival of a request at an endpoint, or a try at one.
type Attempt struct {
	Endpoint  string `json:"endpoint"`
	Service   string `json:"service"`
	Outcome   string `json:"fate"`
	AtMs      int64  `json:"atMs"`
	TookMs    int64  `json:"tookMs"`
	FromModel bool   `json:"fromModel,omitempty"`
	fate      proxy.Outcome
	code      int
}

// may tells that the request has run there, or may have.
func (r Attempt) may() bool {
	return r.fate == proxy.Answered || r.fate == proxy.Failed || r.fate == proxy.TimedOut || r.fate == proxy.ClientGone
}

// Fare is what became of one request in one playing.
type Result struct {
	Route           string    `json:"binding"`
	Kind            string    `json:"kind"`
	Service         string    `json:"service"`
	Code            int       `json:"code"`
	TookMs          int64     `json:"tookMs"`
	Attempts        []Attempt `json:"dispatches"`
	FromModel       bool      `json:"fromModel"`
	SessionEndpoint string    `json:"-"`
	SeatWhy         string    `json:"-"`
	kind            routeconfig.RouteKind
	aim             time.Duration
	due             time.Duration
	took            time.Duration
	quit            bool
	answered        bool
}

type node struct {
	r       *meshpb.RequestRecordsResponse
	pools   *proxy.Balancer
	budget  *proxy.Budget
	cords   *affinity.Sessions
	plan    *routeconfig.Table
	tickets []*meshpb.RequestRecord
	view    *meshpb.View
	keys    *proxy.KeyMeter
}

// place is the model of one endpoint.
type place struct {
	slots  int
	run    int
	wait   []func()
	speed  float64
	marks  []mark
	direct bool
}

// mark is one recorded fate at an endpoint.
type mark struct {
	at   int64
	fate proxy.Outcome
	code int
	took int64
}

type event struct {
	at  int64
	seq int
	f   func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	o := *a
	x := o[len(o)-1]
	*a = o[:len(o)-1]
	return x
}

// world plays in virtual time; one seed gives one course of events.
type world struct {
	c      *meshpb.ReplayFile
	rules  Scenario
	now    int64
	seq    int
	ag     agenda
	nodes  []*node
	places map[string]*place
	usual  map[string]time.Duration
	work   map[string]time.Duration
	pins   *coordination.Table
	fares  map[*meshpb.RequestRecord]*Result
	rng    *rand.Rand
	speeds map[string]float64
	docs   map[uint64]*routeconfig.Table
	hots   *hotkeys.Tracker
	hot    []*meshpb.HotKey
}

func (w *world) at(t int64, f func()) {
	w.seq++
	heap.Push(&w.ag, event{max(t, w.now), w.seq, f})
}

func key(id, binding string) string { return id + "\x00" + binding }

// newWorld learns from the record how fast endpoints answer and when they
// failed.
func newWorld(c *meshpb.ReplayFile, r Scenario) (*world, error) {
	w := &world{c: c, rules: r, places: map[string]*place{}, usual: map[string]time.Duration{}, work: map[string]time.Duration{}, pins: coordination.NewTable(time.Minute),
		fares: map[*meshpb.RequestRecord]*Result{}, rng: rand.New(rand.NewPCG(r.Seed, 7)), speeds: map[string]float64{}}
	type sum struct {
		n int
		d time.Duration
	}
	by, at := map[string]sum{}, map[string]sum{}
	first := start(c)
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			for _, d := range t.Attempts {
				f, ok := proxy.ParseOutcome(d.Outcome)
				if !ok {
					return nil, Error.New("ticket %s names a fate %q that is not known", t.Id, d.Outcome)
				}
				p := w.place(d.Endpoint)
				p.direct = p.direct || d.Node == ""
				p.marks = append(p.marks, mark{t.AtUs + d.AtUs, f, int(d.Code), d.TookUs})
				if f == proxy.Answered && d.Code < 500 {
					x := time.Duration(d.TookUs) * time.Microsecond
					s := by[t.Route]
					by[t.Route] = sum{s.n + 1, s.d + x}
					s = at[key(d.Endpoint, t.Route)]
					at[key(d.Endpoint, t.Route)] = sum{s.n + 1, s.d + x}
				}
			}
		}
	}
	for b, s := range by {
		w.usual[b] = s.d / time.Duration(s.n)
	}
	type ratio struct{ x, n float64 }
	rs := map[string]ratio{}
	for k, s := range at {
		id, b, _ := strings.Cut(k, "\x00")
		r := rs[id]
		rs[id] = ratio{r.x + float64(s.d)/float64(max(w.usual[b], 1)), r.n + float64(s.n)}
	}
	for id, r := range rs {
		w.places[id].speed = max(r.x/r.n, 0.05)
	}
	for _, p := range w.places {
		slices.SortFunc(p.marks, func(a, b mark) int { return cmp.Compare(a.at, b.at) })
	}
	views := map[[2]uint64]*meshpb.View{}
	for _, v := range c.Views {
		views[[2]uint64{v.Epoch, v.Version}] = v
		for _, e := range v.Endpoints {
			w.place(e.Id).slots = max(int(e.Slots), 1)
			w.place(e.Id).direct = e.Inbound == ""
		}
	}
	docs := map[uint64]*routeconfig.Table{}
	w.docs = docs
	for _, d := range c.Configs {
		b, err := rpc.Unpack(d.Packed)
		if err != nil {
			return nil, err
		}
		x, err := routeconfig.Parse(b)
		if err != nil {
			return nil, err
		}
		docs[d.Version] = routeconfig.Compile(x)
	}
	var plan *routeconfig.Table
	if r.Config != nil {
		plan = routeconfig.Compile(*r.Config)
	}
	w.now = first
	clock := func() time.Time { return time.UnixMicro(w.now) }
	since := func() time.Duration { return time.Duration(w.now-first+3600e6) * time.Microsecond }
	for _, t := range c.Nodes {
		n := &node{r: t, plan: plan, tickets: t.Records, keys: proxy.NewKeyMeter(clock)}
		n.pools = proxy.NewBalancer(t.Zone, t.RemoteWeight, t.BulkWeight).PreferSubset(t.Node, int(t.PreferredEndpoints)).SlowStart(2 * time.Second)
		if t.Role == "sidecar" {
			n.pools.SetLocalNode(t.Node)
		}
		rng := rand.New(rand.NewPCG(r.Seed, hash(t.Node)))
		n.pools.SetRandomAndClock(rng.Float64, func() int64 { return w.now * 1000 })
		ry := RetrySettings{t.Ratio, t.Slack, time.Duration(t.WindowS * float64(time.Second))}
		if r.Retries != nil {
			ry = *r.Retries
		}
		n.budget = proxy.NewBudget(ry.Ratio, ry.Slack, ry.Window, n.pools.NodeCount, since)
		n.cords = affinity.New(affinity.Options{Now: clock, ConfigVersion: func() uint64 { return versionOf(n.plan) }, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 1 << 20,
			Pin: func(_ context.Context, q *meshpb.PinRequest) (*meshpb.PinResponse, error) {
				d := w.pins.PinSession(q, since())
				if d.Change != nil {
					w.pins.Apply(d.Change, since())
				}
				return d.Result.Response(), nil
			}})
		for i, v := range t.Views {
			x := views[[2]uint64{v.Epoch, v.Version}]
			if x == nil {
				continue
			}
			if i == 0 {
				w.see(n, x)
			} else {
				w.at(v.AtUs, func() { w.see(n, x) })
			}
		}
		for i, p := range t.Configs {
			x := docs[p.Version]
			if plan != nil || x == nil {
				continue
			}
			if i == 0 {
				n.plan = x
			} else {
				w.at(p.AtUs, func() { n.plan = x })
			}
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

func versionOf(t *routeconfig.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func (w *world) place(id string) *place {
	p := w.places[id]
	if p == nil {
		p = &place{slots: 1, speed: 1}
		w.places[id] = p
	}
	return p
}

// see brings a view into force at a node; under a proposal with keys the widths
// are those of the playing.
func (w *world) see(n *node, v *meshpb.View) {
	n.view = v
	if w.hots != nil {
		v = v.Lean()
		v.HotKeys = w.hot
	}
	n.pools.ApplyView(v)
}

const (
	judgeUs = int64(250 * time.Millisecond / time.Microsecond)
	tellUs  = 4 * judgeUs
)

// heat plays the master's part for hot keys: nodes tell their reads once a
// second, and widths follow.
func (w *world) heat(last int64) {
	w.hots = hotkeys.NewTracker(w.rules.HotKeys)
	start := w.now
	said := map[string][]*meshpb.KeyRate{}
	var judge func()
	judge = func() {
		if (w.now-start)%tellUs == 0 {
			for _, n := range w.nodes {
				said[n.r.Node], _ = n.keys.Rates()
			}
		}
		var es []*meshpb.Endpoint
		version := uint64(0)
		for _, n := range w.nodes {
			if n.view != nil && n.view.Version >= version {
				es, version = n.view.Endpoints, n.view.Version
			}
		}
		hot, steps := w.hots.Update(maps.Values(said), es, time.Duration(w.now-start)*time.Microsecond, w.now)
		if w.hot = hot; len(steps) > 0 {
			for _, n := range w.nodes {
				if n.view != nil {
					w.see(n, n.view)
				}
			}
		}
		if w.now < last {
			w.at(w.now+judgeUs, judge)
		}
	}
	w.at(start+judgeUs, judge)
}

// play runs all tickets.
func (w *world) play() {
	last := int64(0)
	for _, n := range w.nodes {
		for _, t := range n.tickets {
			last = max(last, t.AtUs)
		}
	}
	if p := w.rules.Config; p != nil && p.HasHotKeys() {
		w.heat(last)
	}
	for _, n := range w.nodes {
		for _, t := range n.tickets {
			w.at(t.AtUs, func() { w.begin(n, t) })
		}
	}
	for len(w.ag) > 0 {
		e := heap.Pop(&w.ag).(event)
		w.now = e.at
		e.f()
	}
}

// ride is one request under way.
type ride struct {
	w      *world
	n      *node
	t      *meshpb.RequestRecord
	f      *Result
	plan   *routeconfig.Table
	route  *routeconfig.CompiledRoute
	course proxy.AttemptPlan
	left   []*meshpb.Attempt
	rng    *rand.Rand
	at     int64
	due    int64
	only   string
	moves  int
	over   bool
	second bool
}

func (w *world) begin(n *node, t *meshpb.RequestRecord) {
	f := &Result{}
	w.fares[t] = f
	x := &ride{w: w, n: n, t: t, f: f, plan: n.plan, at: w.now, left: slices.Clone(t.Attempts), rng: rand.New(rand.NewPCG(w.rules.Seed, hash(t.Id)))}
	if x.plan == nil {
		if t.Code != 0 && t.Route == "" {
			x.end(int(t.Code))
		} else {
			x.end(503)
		}
		return
	}
	path, query, _ := strings.Cut(t.Target, "?")
	x.route = x.plan.Match(t.Host, path)
	if x.route == nil {
		x.end(proxy.NoRoute.Code())
		return
	}
	r := x.route
	f.Route, f.Kind, f.kind, f.aim = r.Name, r.Kind.String(), r.Kind, r.LatencyTarget
	ix, ok := r.PickService(t.Draw)
	if !ok {
		x.end(proxy.NoEndpoint.Code())
		return
	}
	f.Service = x.plan.Services[ix].Name
	if r.Policy != nil {
		may, _ := r.Policy.Allows(routeconfig.PolicyInput{Method: t.Method, Path: path, Query: query, Caller: t.Caller, BodyBytes: int(t.BodyBytes), Header: x.header})
		if !may {
			x.end(proxy.Forbidden.Code())
			return
		}
	}
	d := time.Duration(t.DeadlineUs) * time.Microsecond
	if d == 0 || r.Timeout > 0 && r.Timeout < d {
		d = r.Timeout
		if d == 0 {
			d = time.Minute
		}
	}
	f.due = d
	x.due = x.at + d.Microseconds()
	if t.BodyBytes > x.plan.Limits.MaxBodyBytes {
		x.end(413)
		return
	}
	if t.Session != "" && !x.seat() {
		return
	}
	if f.Route == t.Route && f.Kind == t.Kind && len(t.Attempts) == 0 && t.Code != 0 && t.Code != 404 && f.Service == t.Service {
		x.end(int(t.Code))
		return
	}
	n.budget.RecordRequest(f.Service)
	x.start()
	x.step()
}

func (x *ride) start() {
	heavy := proxy.IsBulk(x.route.Kind, x.t.BodyBytes)
	was := x.course
	x.course = proxy.NewAttemptPlan(x.n.pools, x.n.budget, x.route, x.f.Service, heavy)
	x.course.ContinueFrom(was)
	x.course.PinTo(x.only)
	path, query, _ := strings.Cut(x.t.Target, "?")
	if r := x.route; r.HotKey.Location != "" {
		k := proxy.KeyHash(x.f.Service, r.HotKey.Extract(r.Prefix, path, query, x.header))
		x.course.SetKey(k)
		if r.Kind.Idempotent() {
			x.n.keys.Record(k, r.Name, x.f.Service, x.w.usual[r.Name])
		}
	}
	if o := x.w.docs[x.t.Config]; o != nil && x.route.Kind.Idempotent() {
		// Reads whose key now stands elsewhere are chosen for anew.
		if was := o.Match(x.t.Host, path); was != nil && was.HotKey != x.route.HotKey {
			return
		}
	}
	x.course.PreferFirst(func() string {
		for _, d := range x.left {
			if d.Service == x.f.Service {
				return d.Endpoint
			}
		}
		return ""
	})
}

// header gives what the record has of a header; one that it doesn't have makes
// the playing a model.
func (x *ride) header(h string) string {
	v, ok := x.t.Headers[h]
	if !ok {
		x.f.FromModel = true
	}
	return v
}

// seat finds the session's instance, as the live filter does.
func (x *ride) seat() bool {
	r, k := x.route, x.t.Session
	if r.SessionKey.Name == "" {
		return true
	}
	allowed := x.plan.ActiveServices(r)
	service := x.f.Service
	if i, ok := r.PickService(affinity.Position(k)); ok {
		service = x.plan.Services[i].Name
	}
	p := x.n.cords.Find(context.Background(), affinity.Query{SessionKey: k, AllowedServices: allowed, Service: service, EarlierServices: []string{x.t.Service}}, x.n.pools)
	if p.State == affinity.Pending {
		x.end(proxy.NoEndpoint.Code())
		return false
	}
	x.f.Service, x.only, x.f.SessionEndpoint = p.Service, p.Endpoint, p.Endpoint
	return true
}

func (x *ride) now() time.Duration { return time.Duration(x.w.now-x.at) * time.Microsecond }

func (x *ride) end(code int) {
	if x.over {
		return
	}
	x.over = true
	x.f.Code, x.f.took = code, x.now()
	x.f.TookMs = x.f.took.Milliseconds()
}

func (x *ride) give(o proxy.LocalReply) {
	if x.only != "" && !x.course.MayHaveRun() && o == proxy.NoEndpoint && x.moves < proxy.MaxSessionMoves {
		if ok, _ := x.n.pools.Accepts(x.f.Service, x.only); !ok {
			x.moves++
			if x.seat() {
				x.start()
				x.step()
			}
			return
		}
	}
	x.end(x.course.FinalReply(o, x.w.now >= x.due).Code())
}

func (x *ride) step() {
	if x.over {
		return
	}
	if x.w.now >= x.due {
		x.give(proxy.NoEndpoint)
		return
	}
	s, m := x.course.Next()
	switch m {
	case proxy.GiveUp:
		x.give(proxy.NoEndpoint)
	case proxy.Wait:
		x.w.at(x.w.now+20000, x.step)
	default:
		x.second = false
		done := false
		x.dispatch(s, func(r Attempt) {
			done = true
			x.landed(s, r, false)
		})
		if !x.course.MayHedge() {
			return
		}
		late := x.w.now + min(proxy.HedgeDelay(x.w.usual[x.f.Route]), time.Duration(x.due-x.w.now)*time.Microsecond/2).Microseconds()
		x.w.at(late, func() {
			if done || x.over {
				return
			}
			if o, ok := x.course.NextHedge(); ok {
				x.second = true
				x.dispatch(o, func(r Attempt) { x.landed(o, r, true) })
			}
		})
	}
}

// landed takes the end of a dispatch; of two that race the first good one
// counts.
func (x *ride) landed(s proxy.Endpoint, r Attempt, raced bool) {
	x.f.Attempts = append(x.f.Attempts, r)
	if x.over {
		return
	}
	if r.fate == proxy.Answered && r.code >= 500 && x.route.Kind.Idempotent() && (x.second || x.course.MayRetry()) && x.n.budget.CanSpend(x.f.Service) {
		r.fate = proxy.Failed
	}
	switch {
	case r.fate == proxy.Answered:
		x.f.answered = true
		x.end(r.code)
		return
	case r.fate == proxy.ClientGone:
		x.f.quit = true
		x.end(0)
		return
	case x.second:
		x.second = false
		x.course.HedgeFailed(s, r.fate)
		return
	}
	if o, done := x.course.AttemptFailed(s, r.fate); done {
		x.give(o)
		return
	}
	x.step()
}

// dispatch follows the record where the request went to that endpoint, and the
// model where it did not.
func (x *ride) dispatch(s proxy.Endpoint, done func(Attempt)) {
	w, id := x.w, s.ID()
	p := w.place(id)
	at := w.now
	s.BeginRequest()
	finish := func(r Attempt) {
		s.EndRequest(p.run+len(p.wait), time.Duration(float64(w.usual[x.f.Route])*p.speed), w.now*1000)
		done(r)
	}
	for i, d := range x.left {
		if d.Endpoint != id || d.Service != x.f.Service {
			continue
		}
		x.left = slices.Delete(x.left, i, i+1)
		f, _ := proxy.ParseOutcome(d.Outcome)
		r := Attempt{Endpoint: id, Service: x.f.Service, Outcome: d.Outcome, fate: f, code: int(d.Code), AtMs: (at - x.at) / 1000, TookMs: d.TookUs / 1000}
		end := at + d.TookUs
		if end > x.due && f != proxy.ClientGone {
			end, r.fate, r.Outcome, r.TookMs = x.due, proxy.TimedOut, "late", (x.due-at)/1000
		}
		p.run++
		w.at(end, func() {
			w.free(p)
			finish(r)
		})
		return
	}
	x.f.FromModel = true
	left := time.Duration(x.due-at) * time.Microsecond
	usual := w.usual[x.f.Route]
	if usual == 0 {
		usual = 50 * time.Millisecond
	}
	took, f, code := x.model(p, usual)
	begin := func() {
		start := w.now
		p.run++
		end, fate := start+took.Microseconds(), f
		if end > x.due {
			end, fate = x.due, proxy.TimedOut
		}
		w.at(end, func() {
			w.free(p)
			finish(Attempt{Endpoint: id, Service: x.f.Service, Outcome: fate.String(), fate: fate, code: code, FromModel: true, AtMs: (at - x.at) / 1000, TookMs: (end - at) / 1000})
		})
	}
	if p.run < p.slots {
		begin()
		return
	}
	most := left
	if !p.direct {
		most = proxy.QueueWaitLimit(x.route.LatencyTarget, x.now(), left, usual, x.t.FirstSeen, x.course.ShortWait())
	}
	if est := time.Duration(len(p.wait)+1) * usual / time.Duration(p.slots); est > most {
		fate := proxy.Rejected
		if p.direct {
			fate = proxy.Declined
		}
		w.at(at+1000, func() {
			finish(Attempt{Endpoint: id, Service: x.f.Service, Outcome: fate.String(), fate: fate, FromModel: true, AtMs: (at - x.at) / 1000, TookMs: 1})
		})
		return
	}
	p.wait = append(p.wait, begin)
}

func (w *world) free(p *place) {
	p.run--
	if len(p.wait) > 0 && p.run < p.slots {
		f := p.wait[0]
		p.wait = p.wait[1:]
		f()
	}
}

const near = int64(time.Second / time.Microsecond)

// model draws what would happen at an endpoint where the record has nothing of
// this request: its own time elsewhere, scaled by the two endpoints' speeds,
// and failures as often as the record has them there around that moment.
func (x *ride) model(p *place, usual time.Duration) (time.Duration, proxy.Outcome, int) {
	took := time.Duration(float64(usual) * p.speed)
	for _, d := range x.t.Attempts {
		if d.Outcome == "ran" && d.Code < 500 {
			took = time.Duration(float64(d.TookUs)*p.speed/max(x.w.place(d.Endpoint).speed, 0.05)) * time.Microsecond
		}
	}
	i, _ := slices.BinarySearchFunc(p.marks, x.w.now-near, func(m mark, t int64) int { return cmp.Compare(m.at, t) })
	var bad []mark
	n := 0
	for ; i < len(p.marks) && p.marks[i].at < x.w.now+near; i++ {
		m := p.marks[i]
		n++
		if m.fate == proxy.Failed || m.fate == proxy.TimedOut || m.fate == proxy.Unreachable || m.fate == proxy.Answered && m.code >= 500 {
			bad = append(bad, m)
		}
	}
	if n >= 3 && len(bad) > 0 && x.rng.Float64() < float64(len(bad))/float64(n) {
		m := bad[x.rng.IntN(len(bad))]
		return time.Duration(m.took) * time.Microsecond, m.fate, m.code
	}
	return took, proxy.Answered, 200
}

func pathOf(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.Path
	}
	return target
}
