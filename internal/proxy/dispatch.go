package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"corkcove/internal/routeconfig"
)

// reply is what became of one dispatch; a good one still holds its stream.
type reply struct {
	r     *remote
	res   result
	p     *http.Response
	b     []byte
	whole bool
	took  time.Duration
	end   func()
}

func (y reply) drop() {
	if y.p != nil {
		stream(io.Discard, io.LimitReader(y.p.Body, 64<<10))
		y.p.Body.Close()
	}
	if y.end != nil {
		y.end()
	}
}

func (t *trip) dispatch() bool {
	t.b.o.RetryBudget.RecordRequest(t.to)
	for n := 0; ; n++ {
		was := t.course
		t.course = NewAttemptPlan(t.b.o.Balancer, t.b.o.RetryBudget, t.route, t.to, t.heavy())
		t.course.ContinueFrom(was)
		t.course.only = t.only
		t.course.SetKey(t.key)
		o, done := t.run()
		if done {
			return true
		}
		// The session's instance is leaving and has not run this request.
		if t.only == "" || t.course.mayRun || t.rest.over() || n >= MaxSessionMoves || o != refused {
			return t.give(o)
		}
		if ok, _ := t.b.o.Balancer.Accepts(t.to, t.only); ok {
			return t.give(o)
		}
		if t.seat() {
			return true
		}
	}
}

// run follows the course to an answer, or to the outcome that it is given up
// with.
func (t *trip) run() (o outcome, done bool) {
	c := &t.course
	for time.Now().Before(t.due) && t.ctx.Err() == nil {
		r, m := c.next()
		if m == Wait {
			if !t.pause(20 * time.Millisecond) {
				break
			}
			continue
		}
		if m == GiveUp {
			break
		}
		y := t.race(r)
		if y.res == answered {
			return 0, t.relay(y)
		}
		if y.res == quit {
			t.hangUp()
		}
		if o, end := c.got(y.r, y.res, t.rest.over()); end {
			return o, false
		}
	}
	return refused, false
}

func (t *trip) patience() time.Duration { return SilenceLimit(t.b.longest.usual(t.route.Name)) }

// race dispatches to r. A request that may run twice gets a second dispatch,
// paid by the budget, once the first has been silent for much longer than
// usual; the first good answer counts, and the other is let end by itself.
func (t *trip) race(r *remote) reply {
	c := &t.course
	short := c.short()
	if !t.whole || !c.mayRace() {
		return t.attempt(t.ctx, r, short, c.more())
	}
	type lane struct {
		y     reply
		first bool
	}
	ch := make(chan lane, 2)
	var ends [2]func() bool
	start := func(i int, r *remote) {
		ctx, stop := context.WithDeadline(context.WithoutCancel(t.r.Context()), t.due)
		ends[i] = context.AfterFunc(t.ctx, stop)
		go func() {
			y := t.attempt(ctx, r, short, true)
			y.end = stop
			if y.res != answered {
				stop()
			}
			ch <- lane{y, i == 0}
		}()
	}
	start(0, r)
	w := time.NewTimer(min(HedgeDelay(t.b.longest.usual(t.route.Name)), time.Until(t.due)/2))
	defer w.Stop()
	select {
	case l := <-ch:
		return l.y
	case <-w.C:
	}
	var o *remote
	if t.ctx.Err() == nil {
		o = c.second()
	}
	if o == nil {
		return (<-ch).y
	}
	start(1, o)
	l := <-ch
	if l.y.res == answered || l.y.res == quit {
		i := 1
		if !l.first {
			i = 0
		}
		ends[i]()
		go func() { (<-ch).y.drop() }()
		return l.y
	}
	c.lost(l.y.r, l.y.res)
	return (<-ch).y
}

// attempt makes one dispatch and reads the start of its answer.
func (t *trip) attempt(ctx context.Context, r *remote, short, more bool) reply {
	r.mine.Add(1)
	defer r.mine.Add(-1)
	usual := t.b.longest.usual(t.route.Name)
	patient := time.AfterFunc(t.patience(), func() {
		if r.direct() {
			r.blame.note(false, time.Now().UnixNano())
			r.shun(time.Second)
		}
	})
	t1 := time.Now()
	y := reply{r: r}
	if r.direct() {
		y.p, y.res = t.sendDirect(ctx, r)
	} else {
		y.p, y.res = t.sendOver(ctx, r, short)
	}
	if y.res == answered {
		if y.p.StatusCode >= 500 && t.route.Kind.Idempotent() && more && time.Until(t.due) > 2*usual && t.b.o.RetryBudget.CanSpend(t.to) {
			stream(io.Discard, io.LimitReader(y.p.Body, 64<<10))
			y.p.Body.Close()
			y.res = broken
		} else {
			var err error
			y.b, y.whole, err = head(y.p.Body, y.p.ContentLength, t.b.o.BufferLimit)
			if err != nil && t.r.Method != http.MethodHead {
				y.p.Body.Close()
				y.res = t.failed(ctx)
			}
		}
	}
	y.took = time.Since(t1)
	quick := patient.Stop()
	t.rec.dispatched(t, r, y, t1)
	if y.res == answered {
		t.b.longest.answered(t.route.Name, y.took)
		t.b.Flows.add(flow{t.route.Name, t.route.Kind, t.to, r.id, r.node, t.route.LatencyTarget}, y.took)
	}
	if r.direct() {
		t.judged(r, y, usual, quick)
	}
	return y
}

func (t *trip) failed(ctx context.Context) result {
	switch {
	case t.gone():
		return quit
	case ctx.Err() != nil || t.past():
		return timeout
	}
	return broken
}

// judged notes how an endpoint without a node of its own answered.
func (t *trip) judged(r *remote, y reply, usual time.Duration, quick bool) {
	now := time.Now().UnixNano()
	switch y.res {
	case answered:
		r.blame.note(y.p.StatusCode < 500 && quick, now)
		if y.p.StatusCode < 500 {
			r.fails.Store(0)
			if usual > 0 {
				r.pace.note(float64(y.took)/float64(usual), now)
			}
			return
		}
	case quit:
		return
	case turned, broken, unmet:
		r.blame.note(false, now)
	}
	n := min(r.fails.Add(1), 4)
	r.shun(time.Duration(1<<(n-1)) * 400 * time.Millisecond)
}

func (t *trip) head(r *remote) http.Header {
	out := make(http.Header, len(t.r.Header)+6)
	pass(out, t.r.Header, false)
	delete(out, "Expect")
	delete(out, hdrCaller)
	if t.b.o.Service != "" {
		out[hdrCaller] = []string{t.b.o.Service}
	}
	out[hdrExpect] = []string{r.id}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""}
	}
	return out
}

func (t *trip) asked(ctx context.Context, to string, out http.Header) *http.Request {
	q := (&http.Request{Method: t.r.Method, URL: target(to, t.r.RequestURI), Host: t.r.Host, Header: out,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: t.r.ContentLength}).WithContext(ctx)
	if t.whole {
		q.Body = once{bytes.NewReader(t.body)}
		if t.r.ContentLength < 0 {
			q.ContentLength = int64(len(t.body))
		}
		return q
	}
	out["Expect"] = []string{"100-continue"}
	q.Body = once{io.MultiReader(bytes.NewReader(t.body), t.rest.part())}
	return q
}

// sendDirect dials the endpoint itself.
func (t *trip) sendDirect(ctx context.Context, r *remote) (*http.Response, result) {
	out := t.head(r)
	out[hdrDeadline] = []string{millis(time.Until(t.due) - t.b.o.DeadlineMargin)}
	p, s, err := t.b.o.AppClient.send(t.asked(ctx, r.addr, out), t.r.Header.Get(hdrID), t.route.Kind.Idempotent())
	switch s {
	case saidAnswer:
		return p, answered
	case saidTurned:
		if p.StatusCode == http.StatusMisdirectedRequest {
			r.drained.Store(true)
		}
		return nil, turned
	case saidDialFailed, saidNothingSent:
		if t.gone() {
			return nil, quit
		}
		return nil, unmet
	}
	if x := t.failed(ctx); x != broken {
		return nil, x
	}
	t.b.o.Log.Warn("endpoint closed its connection early", "endpoint", r.id, "error", err)
	return nil, broken
}

// MayWait is how long a request may stand in the queue beside an endpoint.
func QueueWaitLimit(aim, passed, left, usual time.Duration, fresh, short bool) time.Duration {
	if w := aim - passed - usual/2; fresh && aim > 0 {
		left = min(left-usual, w)
	} else {
		left = left/2 - usual
	}
	if short {
		left = min(left, max(usual/2, 10*time.Millisecond))
	}
	return left
}

// Patience is how long an endpoint may be silent before it counts as ill.
func SilenceLimit(usual time.Duration) time.Duration { return max(4*usual, 500*time.Millisecond) }

// RaceAfter is how long a first dispatch may be silent before a second goes out
// beside it. Most long requests are long wherever they run, so it is well past
// the usual.
func HedgeDelay(usual time.Duration) time.Duration {
	return min(max(5*usual/2, 200*time.Millisecond), SilenceLimit(usual))
}

// sendOver goes by the node beside the endpoint.
func (t *trip) sendOver(ctx context.Context, r *remote, short bool) (*http.Response, result) {
	out := t.head(r)
	out[hdrRank] = []string{strconv.Itoa(t.route.Priority)}
	left := time.Until(t.due) - t.b.o.DeadlineMargin
	out[hdrDeadline] = []string{millis(left)}
	usual := t.b.longest.usual(t.route.Name)
	left = QueueWaitLimit(t.route.LatencyTarget, time.Since(t.t0), left, usual, t.fresh, short)
	out[hdrWait] = []string{millis(left)}
	if !t.fresh {
		out[hdrLate] = []string{"1"}
	}
	if t.b.o.Balancer.isHot(t.key) {
		out[hdrHot] = []string{"1"}
	}
	if !t.route.Kind.Idempotent() {
		out[hdrOnce] = []string{"1"}
	}
	if t.route.Kind == routeconfig.KindDownload {
		out[hdrHeavy] = []string{heavyLong}
		if short {
			out[hdrHeavy] = []string{heavyShort}
		}
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	p, err := t.b.o.Transport.RoundTrip(t.asked(ctx, r.inbound, out))
	if err != nil {
		if t.gone() {
			return nil, quit
		}
		if !sent.Load() && (dialFailed(err) || ctx.Err() == nil) {
			r.miss()
			return nil, bounced
		}
		if ctx.Err() != nil {
			if !sent.Load() {
				return nil, bounced
			}
			return nil, timeout
		}
		r.miss()
		return nil, broken
	}
	r.fails.Store(0)
	if l := p.Header.Get(hdrLoad); l != "" {
		r.heardLoad(l)
	}
	if o := p.Header.Get(hdrOutcome); o != "" {
		p.Body.Close()
		return nil, t.sorted(r, o, p.Header.Get(hdrReason))
	}
	if why := spoilt(p, t.r.Header.Get(hdrID), t.route.Kind.Idempotent()); why != "" {
		p.Body.Close()
		r.miss()
		t.b.o.Log.Warn("rejected an invalid response of a peer node", "endpoint", r.id, "reason", why)
		return nil, broken
	}
	return p, answered
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

func (t *trip) relay(y reply) bool {
	if y.end != nil {
		t.later(y.end)
	}
	defer y.p.Body.Close()
	t.b.pending.remove(t.pending)
	defer t.timed()
	t.rec.end(y.p.StatusCode, "")
	begin(t.w, t.r.Method, y.p, y.b, y.whole)
	finish(t.w, y.p, y.b, y.whole, t.b.o.Pacer, t.due)
	return true
}
