package switchboard

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/dialplan"
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
}

type OutboundOptions struct {
	Service string
	Pools   *Pools
	Plan    *atomic.Pointer[dialplan.Table]
	Line    *http.Transport
	Budget  *Budget
	Ready   func() bool
	Note    func(f string, a ...any)
	Peek    int
	Margin  time.Duration
}

type Outbound struct {
	o       OutboundOptions
	Running atomic.Int64
	leaving atomic.Bool
	Tally   [10]atomic.Int64
	longest longest
	Flows   *Flows
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

func NewOutbound(o OutboundOptions) *Outbound { return &Outbound{o: o, Flows: NewFlows(time.Now)} }

// Leave asks user agents to go elsewhere with their next request; idle streams
// stay open, since closing one could cut a request that is under way on it.
func (b *Outbound) Leave() { b.leaving.Store(true) }

type trip struct {
	b     *Outbound
	w     http.ResponseWriter
	r     *http.Request
	t0    time.Time
	plan  *dialplan.Table
	route *dialplan.Route
	to    string
	due   time.Time
	ctx   context.Context
	clean []func()

	body    []byte
	whole   bool
	rest    io.Reader
	started bool

	fresh    bool
	again    time.Duration
	arrivals int
	mayRun   bool
	tried    []*remote
	ran      []*remote
	short    bool
}

func (t *trip) later(f func()) { t.clean = append(t.clean, f) }

func (t *trip) answer(o outcome) bool {
	x := outcomes[o]
	t.b.Tally[o].Add(1)
	h := t.w.Header()
	h["Date"] = nil
	h["Content-Type"] = []string{"text/plain"}
	if x.again > 0 {
		d := max(x.again, min(t.again, time.Second))
		d += time.Duration(rand.Int64N(int64(d)))
		h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(x.text)))
	t.w.WriteHeader(x.code)
	io.WriteString(t.w, x.text)
	return true
}

func (b *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.Running.Add(1)
	defer b.Running.Add(-1)
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	} else if p := b.o.Plan.Load(); p != nil && p.Limits.Idle > 4*time.Second {
		w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(int(p.Limits.Idle/time.Second)-2)}
	}
	t := &trip{b: b, w: w, r: r, t0: time.Now()}
	defer func() {
		for i := len(t.clean) - 1; i >= 0; i-- {
			t.clean[i]()
		}
	}()
	for _, f := range []func() bool{t.check, t.find, t.judge, t.limit, t.read, t.dispatch} {
		if f() {
			return
		}
	}
}

func (t *trip) check() bool {
	t.plan = t.b.o.Plan.Load()
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
	t.route = t.plan.Find(t.r.Host, p)
	if t.route == nil {
		return t.answer(noRoute)
	}
	i, ok := t.route.Pick(rand.Float64())
	if !ok {
		return t.answer(refused)
	}
	t.to = t.plan.Services[i].Name
	return false
}

func (t *trip) judge() bool {
	if t.route.Policy == nil {
		return false
	}
	p, q, _ := strings.Cut(t.r.RequestURI, "?")
	ok, err := t.route.Policy.Allows(dialplan.Asked{Method: t.r.Method, Path: p, Query: q, Caller: t.b.o.Service, BodyBytes: int(t.r.ContentLength), Header: t.r.Header.Get})
	if err != nil {
		t.b.o.Note("policy of %s: %v", t.route.Name, err)
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
	t.fresh = t.b.longest.first(t.route.Name, left)
	ctx, stop := context.WithDeadline(t.r.Context(), t.due)
	t.later(stop)
	t.ctx = ctx
	return false
}

func (t *trip) read() bool {
	most := t.plan.Limits.BodyBytes
	if t.r.ContentLength > most {
		return t.answer(tooLarge)
	}
	if t.r.ContentLength == 0 {
		t.whole = true
		return false
	}
	src := io.Reader(http.MaxBytesReader(t.w, t.r.Body, most))
	b, whole, err := head(src, t.r.ContentLength, t.b.o.Peek)
	if err != nil {
		if _, ok := err.(*http.MaxBytesError); ok {
			return t.answer(tooLarge)
		}
		return t.answer(unknownBody)
	}
	t.body, t.whole, t.rest = b, whole, src
	return false
}

// shortTries endpoints are asked for a short wait, then the best for a long one.
const shortTries = 2

type result int

const (
	answered result = iota
	bounced
	turned
	broken
	timeout
	quit
)

func (t *trip) dispatch() bool {
	most := max(t.route.MaxAttempts, 1)
	t.b.o.Budget.Earn(t.to)
	full := 0
	for n := 0; n < 12; n++ {
		if time.Now().After(t.due) || t.ctx.Err() != nil {
			break
		}
		if full == shortTries {
			t.tried = t.ran
		}
		r := t.b.o.Pools.pick(t.to, t.heavy(), t.tried)
		if r == nil {
			if full > 0 || n > 0 || !t.pause(20*time.Millisecond) {
				break
			}
			continue
		}
		if t.arrivals > 0 && !t.b.o.Budget.Spend(t.to) {
			break
		}
		t.tried = append(t.tried, r)
		t.short = full < shortTries
		t1 := time.Now()
		res := t.send(r)
		if res == answered {
			t.b.longest.answered(t.route.Name, time.Since(t1))
			t.b.Flows.add(flow{t.route.Name, t.route.Kind, t.to, r.id, r.node}, time.Since(t1))
		}
		if res == turned || res == broken {
			t.ran = append(t.ran, r)
		}
		switch res {
		case answered:
			return true
		case bounced:
			full++
			if e := r.wait(); t.again == 0 || e < t.again {
				t.again = e
			}
			if full > shortTries {
				return t.give(refused)
			}
			if t.arrivals > 0 {
				t.b.o.Budget.refund(t.to)
			}
			if t.started {
				return t.give(refused)
			}
			continue
		case turned:
			t.arrivals++
		case broken:
			t.arrivals++
			t.mayRun = true
			if !t.route.Kind.Repeatable() {
				return t.give(lost)
			}
		case timeout:
			t.mayRun = true
			return t.give(late)
		case quit:
			return true
		}
		if t.arrivals >= most || t.started {
			break
		}
	}
	return t.give(refused)
}

// heavy tells that the bytes of this request or its answer are many.
func (t *trip) heavy() bool {
	return t.route.Kind == dialplan.Upload || t.route.Kind == dialplan.Download || len(t.body) > 16<<10
}

func (t *trip) give(o outcome) bool {
	if t.r.Context().Err() != nil {
		return true
	}
	if t.mayRun && (o == refused || o == expired) {
		o = lost
		if time.Now().After(t.due) {
			o = late
		}
	}
	if o == refused && time.Now().After(t.due) {
		o = expired
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

func (b *Budget) refund(service string) {
	b.mu.Lock()
	b.have[service] = min(b.have[service]+1, b.most)
	b.mu.Unlock()
}

func (t *trip) request(r *remote) (*http.Request, *atomic.Bool) {
	out := make(http.Header, len(t.r.Header)+6)
	pass(out, t.r.Header, false)
	delete(out, "Expect")
	out[hdrCaller] = []string{t.b.o.Service}
	out[hdrExpect] = []string{r.id}
	out[hdrRank] = []string{strconv.Itoa(t.route.Rank)}
	left := time.Until(t.due) - t.b.o.Margin
	out[hdrDeadline] = []string{millis(left)}
	usual := t.b.longest.usual(t.route.Name)
	if w := t.route.Target - time.Since(t.t0) - usual/2; t.fresh && t.route.Target > 0 {
		left = min(left-usual, w)
	} else {
		left = left/2 - usual
	}
	if t.short {
		left = min(left, max(usual/2, 10*time.Millisecond))
	}
	out[hdrWait] = []string{millis(left)}
	if !t.fresh {
		out[hdrLate] = []string{"1"}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""}
	}
	var sent atomic.Bool
	ctx := httptrace.WithClientTrace(t.ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	q := (&http.Request{Method: t.r.Method, URL: target(r.inbound, t.r.RequestURI), Host: t.r.Host, Header: out,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: t.r.ContentLength}).WithContext(ctx)
	switch {
	case t.whole:
		q.Body = once{bytes.NewReader(t.body)}
		if t.r.ContentLength < 0 {
			q.ContentLength = int64(len(t.body))
		}
	default:
		out["Expect"] = []string{"100-continue"}
		q.Body = once{io.MultiReader(bytes.NewReader(t.body), started{t})}
	}
	return q, &sent
}

// started notes that the part of the body that can't be sent again is in use.
type started struct{ t *trip }

func (s started) Read(b []byte) (int, error) {
	s.t.started = true
	return s.t.rest.Read(b)
}

func (t *trip) send(r *remote) result {
	r.mine.Add(1)
	defer r.mine.Add(-1)
	q, sent := t.request(r)
	p, err := t.b.o.Line.RoundTrip(q)
	if err != nil {
		if t.r.Context().Err() != nil {
			return quit
		}
		if !sent.Load() && (dialFailed(err) || t.ctx.Err() == nil) {
			r.miss()
			return bounced
		}
		if t.ctx.Err() != nil {
			if !sent.Load() {
				return bounced
			}
			return timeout
		}
		r.miss()
		return broken
	}
	defer p.Body.Close()
	r.fails.Store(0)
	if l := p.Header.Get(hdrLoad); l != "" {
		r.heardLoad(l)
	}
	if o := p.Header.Get(hdrOutcome); o != "" {
		return t.sorted(r, o, p.Header.Get(hdrReason))
	}
	if p.StatusCode >= 500 && t.route.Kind.Repeatable() && t.arrivals+1 < max(t.route.MaxAttempts, 1) && time.Until(t.due) > 2*time.Duration(r.work.Load()) &&
		t.b.o.Budget.Spend(t.to) {
		t.b.o.Budget.refund(t.to)
		stream(io.Discard, io.LimitReader(p.Body, 64<<10))
		return broken
	}
	return t.relay(p)
}

func (r *remote) miss() {
	n := min(r.fails.Add(1), 4)
	r.shun(time.Duration(n) * 250 * time.Millisecond)
}

func (t *trip) sorted(r *remote, o, why string) result {
	switch o {
	case sayBounced:
		switch why {
		case "draining", "other-life":
			r.drained.Store(true)
		case "unsound", "no-life", "stopping":
			r.shun(200 * time.Millisecond)
		}
		return bounced
	case sayRefused:
		r.shun(300 * time.Millisecond)
		return bounced
	case sayTurned:
		if why == "421" {
			r.drained.Store(true)
		}
		return turned
	case sayLate:
		return timeout
	}
	return broken
}

func (t *trip) relay(p *http.Response) result {
	b, whole, err := head(p.Body, p.ContentLength, t.b.o.Peek)
	if err != nil && t.r.Method != http.MethodHead {
		if t.r.Context().Err() != nil {
			return quit
		}
		if t.ctx.Err() != nil {
			return timeout
		}
		return broken
	}
	begin(t.w, t.r.Method, p, b, whole)
	finish(t.w, p, b, whole)
	return answered
}
