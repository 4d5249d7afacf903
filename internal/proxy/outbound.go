package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/logring"
	"corkcove/internal/requestlog"
	"corkcove/internal/routeconfig"
)

type outcome int

const (
	noRoute outcome = iota
	notReady
	badRequest
	tooLarge
	refused
	expired
	lost
	late
	unknownBody
	barred
	stopped
)

type row struct {
	code  int
	again time.Duration
	text  string
}

// 503 and 429 promise that the request has not run and never will.
var outcomes = map[outcome]row{
	noRoute:     {code: http.StatusNotFound, text: "no binding"},
	notReady:    {code: http.StatusServiceUnavailable, again: 500 * time.Millisecond, text: "not ready"},
	badRequest:  {code: http.StatusBadRequest, text: "malformed request"},
	tooLarge:    {code: http.StatusRequestEntityTooLarge, text: "body too large"},
	refused:     {code: http.StatusServiceUnavailable, again: 100 * time.Millisecond, text: "no endpoint can take this now; it has not run"},
	expired:     {code: http.StatusServiceUnavailable, again: 100 * time.Millisecond, text: "out of time; it has not run"},
	lost:        {code: http.StatusBadGateway, text: "the endpoint gave no whole answer; it may have run"},
	late:        {code: http.StatusGatewayTimeout, text: "out of time; it may have run"},
	unknownBody: {code: http.StatusBadRequest, text: "the body did not arrive whole"},
	barred:      {code: http.StatusForbidden, text: "the binding's policy bars this request"},
	stopped:     {code: http.StatusGatewayTimeout, text: "shutting down; it may have run"},
}

type OutboundOptions struct {
	Service        string
	Balancer       *Balancer
	Routes         *atomic.Pointer[routeconfig.Table]
	Transport      http.RoundTripper
	AppClient      *AppClient
	RetryBudget    *Budget
	Pacer          *Pacer
	Sessions       *affinity.Sessions
	RequestLog     *requestlog.Recorder
	KeyMeter       *KeyMeter
	Ready          func() bool
	Log            logring.Logger
	BufferLimit    int
	DeadlineMargin time.Duration
}

type Outbound struct {
	o            OutboundOptions
	InFlight     atomic.Int64
	leaving      atomic.Bool
	closing      atomic.Bool
	LocalReplies [11]atomic.Int64
	longest      longest
	times        responseTimes
	pending      pendingRequests
	// lastEnd is when accepted requests must have ended; nil while it is far off.
	lastEnd atomic.Pointer[time.Time]
	Flows   *FlowMeter
	pasts   pasts
}

// longest keeps the longest wait seen on each binding: a request with less
// time left than that has been tried before, or is part of another. It also
// keeps how long the binding's requests usually take.
type longest struct {
	mu   sync.Mutex
	m    map[string]time.Duration
	took map[string]time.Duration
}

func (l *longest) answered(n string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.took == nil {
		l.took = map[string]time.Duration{}
	}
	o, ok := l.took[n]
	if !ok {
		o = d
	}
	l.took[n] = o + (d-o)/16
}

func (l *longest) usual(n string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.took[n]
}

func (l *longest) first(n string, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[string]time.Duration{}
	}
	if d >= l.m[n] {
		l.m[n] = d
		return true
	}
	return d > l.m[n]*19/20
}

func NewOutbound(o OutboundOptions) *Outbound { return &Outbound{o: o, Flows: NewFlowMeter(time.Now)} }

// Leave asks user agents to go elsewhere with their next request; idle streams
// stay open, since closing one could cut a request that is under way on it.
func (b *Outbound) Drain() { b.leaving.Store(true) }

// Close refuses what comes from now on: it would not be answered before this
// process ends.
func (b *Outbound) StopAccepting() { b.closing.Store(true) }

// AcceptUntil refuses from now on all requests but those that will have ended
// by then.
func (b *Outbound) AcceptUntil(then time.Time) { b.lastEnd.Store(&then) }

// tailMargin is how many times a route's slow tail must fit into the time left.
const tailMargin = 2

// endsInTime tells whether a request that is due then will have ended before
// this process does: by its deadline, or by what is known of its route.
func (b *Outbound) endsInTime(route string, due time.Time) bool {
	lastEnd := b.lastEnd.Load()
	if lastEnd == nil || due.Before(*lastEnd) {
		return true
	}
	now := time.Now()
	tail, known := b.times.tail(route)
	tail = max(tail, b.pending.oldest(route, now))
	return known && now.Add(tailMargin*tail).Before(*lastEnd)
}

type trip struct {
	b     *Outbound
	w     http.ResponseWriter
	r     *http.Request
	t0    time.Time
	plan  *routeconfig.Table
	route *routeconfig.CompiledRoute
	to    string
	due   time.Time
	ctx   context.Context
	clean []func()
	// pending is this request among those whose answers have not begun.
	pending *pendingRequest

	body  []byte
	whole bool
	rest  *rest

	fresh  bool
	course AttemptPlan
	pinned string
	key    uint64
	only   string
	wait   time.Duration
	rec    *record
}

func (t *trip) later(f func()) { t.clean = append(t.clean, f) }

func (t *trip) answer(o outcome) bool {
	x := outcomes[o]
	t.b.LocalReplies[o].Add(1)
	t.rec.end(x.code, x.text)
	h := t.w.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"text/plain"}
	if x.again > 0 {
		d := max(x.again, t.wait, min(t.course.again, time.Second))
		d += time.Duration(rand.Int64N(int64(d)))
		h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(x.text)))
	t.w.WriteHeader(x.code)
	io.WriteString(t.w, x.text)
	return true
}

func (b *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.InFlight.Add(1)
	defer b.InFlight.Add(-1)
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	} else if p := b.o.Routes.Load(); p != nil && p.Limits.IdleTimeout > 4*time.Second {
		w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(int(p.Limits.IdleTimeout/time.Second)-2)}
	}
	t := &trip{b: b, w: w, r: r, t0: time.Now()}
	t.rec = b.begin(t)
	defer func() {
		b.file(t)
		for i := len(t.clean) - 1; i >= 0; i-- {
			t.clean[i]()
		}
	}()
	for _, f := range []func() bool{t.check, t.find, t.judge, t.limit, t.read, t.plug, t.dispatch} {
		if f() {
			return
		}
	}
}

func (t *trip) check() bool {
	if t.b.closing.Load() {
		return t.answer(notReady)
	}
	t.plan = t.b.o.Routes.Load()
	if t.plan == nil || !t.b.o.Ready() {
		return t.answer(notReady)
	}
	if !strings.HasPrefix(t.r.RequestURI, "/") {
		return t.answer(badRequest)
	}
	return false
}

func (t *trip) find() bool {
	p, _, _ := strings.Cut(t.r.RequestURI, "?")
	t.route = t.plan.Match(t.r.Host, p)
	if t.route == nil {
		return t.answer(noRoute)
	}
	x := rand.Float64()
	t.rec.drawn(x)
	i, ok := t.route.PickService(x)
	if !ok {
		return t.answer(refused)
	}
	t.to = t.plan.Services[i].Name
	t.named()
	return false
}

// named finds the key that a read asks for, and counts it.
func (t *trip) named() {
	r := t.route
	if r.HotKey.Location == "" || !r.Kind.Idempotent() {
		return
	}
	p, q, _ := strings.Cut(t.r.RequestURI, "?")
	t.key = KeyHash(t.to, r.HotKey.Extract(r.Prefix, p, q, t.rec.header(t.r.Header.Get)))
	t.b.o.KeyMeter.Record(t.key, r.Name, t.to, t.b.longest.usual(r.Name))
}

func (t *trip) judge() bool {
	if t.route.Policy == nil {
		return false
	}
	p, q, _ := strings.Cut(t.r.RequestURI, "?")
	ok, err := t.route.Policy.Allows(routeconfig.PolicyInput{Method: t.r.Method, Path: p, Query: q, Caller: t.b.o.Service, BodyBytes: int(t.r.ContentLength), Header: t.rec.header(t.r.Header.Get)})
	if err != nil {
		t.b.o.Log.Warn("failed to evaluate policy", "route", t.route.Name, "error", err)
	}
	if !ok {
		return t.answer(barred)
	}
	return false
}

func (t *trip) limit() bool {
	left, ok := deadline(t.r.Header)
	if !ok || t.route.Timeout > 0 && t.route.Timeout < left {
		if t.route.Timeout > 0 {
			left = t.route.Timeout
		} else if !ok {
			left = time.Minute
		}
	}
	t.due = t.t0.Add(left)
	if !t.b.endsInTime(t.route.Name, t.due) {
		return t.answer(notReady)
	}
	t.fresh = t.b.longest.first(t.route.Name, left)
	ctx, pending, stop := t.b.pending.add(t.r.Context(), t.route.Name, t.due)
	t.later(stop)
	t.ctx, t.pending = ctx, pending
	return false
}

func (t *trip) read() bool {
	most := t.plan.Limits.MaxBodyBytes
	if t.r.ContentLength > most {
		return t.answer(tooLarge)
	}
	if t.r.ContentLength == 0 {
		t.whole = true
		return false
	}
	readBy(t.w, t.due)
	src := http.MaxBytesReader(t.w, t.r.Body, most)
	b, whole, err := head(src, t.r.ContentLength, t.b.o.BufferLimit)
	if err != nil {
		if _, ok := err.(*http.MaxBytesError); ok {
			return t.answer(tooLarge)
		}
		if t.past() {
			return t.answer(expired)
		}
		return t.answer(unknownBody)
	}
	t.body, t.whole = b, whole
	if !whole {
		t.rest = &rest{r: src}
	}
	return false
}

// Heavy tells that the bytes of a request or its answer are many.
func IsBulk(k routeconfig.RouteKind, body int64) bool { return k.Bulk() || body > 16<<10 }

func (t *trip) heavy() bool {
	return IsBulk(t.route.Kind, int64(len(t.body)))
}

func (t *trip) past() bool { return !time.Now().Before(t.due) }

// gone tells that the user agent has left, not that its time is over.
func (t *trip) gone() bool { return t.r.Context().Err() != nil && !t.past() }

// hangUp ends a request whose user agent has left. To return without an answer
// would be an empty success to one that has closed its sending side only.
func (t *trip) hangUp() {
	t.timed()
	panic(http.ErrAbortHandler)
}

// timed notes how long a request took that may have run, or whose client gave
// it up.
func (t *trip) timed() { t.b.times.note(t.route.Name, time.Since(t.t0)) }

func (t *trip) give(o outcome) bool {
	if t.gone() {
		t.hangUp()
	}
	if t.course.mayRun {
		t.timed()
	}
	o = t.course.end(o, t.past())
	if o == late && shutDown(t.ctx) {
		o = stopped
	}
	return t.answer(o)
}

func (t *trip) pause(d time.Duration) bool {
	c := time.NewTimer(d)
	defer c.Stop()
	select {
	case <-c.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}
