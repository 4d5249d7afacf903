package proxy

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/logring"
)

type InboundOptions struct {
	AppAddr string
	// LinkMbps is what this machine's link takes, 0 if not known.
	LinkMbps    float64
	Pacer       *Pacer
	Agent       *endpointagent.Agent
	AppClient   *AppClient
	Log         logring.Logger
	BufferLimit int
}

// Inbound alone reaches the endpoint beside this node.
type Inbound struct {
	o        InboundOptions
	InFlight atomic.Int64
	leaving  atomic.Bool
	held     atomic.Int64
	pending  pendingRequests
	out      rate
}

// rate is how much went out over the last moments.
type rate struct {
	mu sync.Mutex
	x  float64
	at time.Time
}

const rateOver = 600 * time.Millisecond

func (r *rate) add(n int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.x = r.left(now) + float64(n)
	r.at = now
}

func (r *rate) left(now time.Time) float64 {
	return r.x * math.Exp(-float64(now.Sub(r.at))/float64(rateOver))
}

// perS gives bytes a second.
func (r *rate) perS(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left(now) / rateOver.Seconds()
}

func NewInbound(o InboundOptions) *Inbound { return &Inbound{o: o} }

func (n *Inbound) Drain() { n.leaving.Store(true) }

type visit struct {
	n     *Inbound
	w     http.ResponseWriter
	r     *http.Request
	id    string
	life  string
	rank  int
	due   time.Time
	ctx   context.Context
	free  func()
	clean []func()
	// pending is this request among those whose answers have not begun.
	pending *pendingRequest
}

func (v *visit) later(f func()) { v.clean = append(v.clean, f) }

func (v *visit) say(outcome, reason string) bool {
	h := v.w.Header()
	h["Date"] = nil
	h.Set(hdrOutcome, outcome)
	h.Set(hdrReason, reason)
	h.Set(hdrLoad, v.n.loadText())
	h.Set("Content-Length", "0")
	code := http.StatusBadGateway
	if outcome == sayBounced || outcome == sayRefused {
		code = http.StatusServiceUnavailable
	}
	v.w.WriteHeader(code)
	return true
}

// fullLink is how far behind its link a node may be before it turns large bodies
// away: little while others may be free, more once they were asked.
var fullLink = map[string]time.Duration{heavyShort: 80 * time.Millisecond, heavyLong: 800 * time.Millisecond}

// link is how full this machine's link is, in percent; half a second behind is
// full.
func (n *Inbound) link() int {
	now := time.Now()
	if m := n.o.LinkMbps; m > 0 {
		return max(int(60*n.out.perS(now)*8/(m*1e6)), int(n.o.Pacer.behind(now)/(5*time.Millisecond)))
	}
	return 0
}

func (n *Inbound) loadText() string {
	l := n.o.Agent.Load()
	link := n.link()
	return fmt.Sprintf("%d,%d,%d,%d,%d", l.Running, l.Queued, l.Slots, l.ServiceTime/time.Millisecond, min(link, 100))
}

func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.InFlight.Add(1)
	defer n.InFlight.Add(-1)
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	v := &visit{n: n, w: w, r: r}
	defer func() {
		for i := len(v.clean) - 1; i >= 0; i-- {
			v.clean[i]()
		}
	}()
	for _, f := range []func() bool{v.read, v.admit, v.carry} {
		if f() {
			return
		}
	}
}

func (v *visit) read() bool {
	h := v.r.Header
	v.id, v.life = h.Get(hdrID), h.Get(hdrExpect)
	v.rank, _ = strconv.Atoi(h.Get(hdrRank))
	d, ok := deadline(h)
	if !ok || v.life == "" {
		return v.say(sayBounced, "malformed")
	}
	v.due = time.Now().Add(d)
	ctx, pending, stop := v.n.pending.add(v.r.Context(), "", v.due)
	v.later(stop)
	v.ctx, v.pending = ctx, pending
	return false
}

func (v *visit) admit() bool {
	most := time.Until(v.due)
	if n, err := strconv.ParseInt(v.r.Header.Get(hdrWait), 10, 32); err == nil {
		most = min(most, time.Duration(n)*time.Millisecond)
	}
	if h := v.r.Header.Get(hdrHeavy); h != "" && v.n.o.Pacer.behind(time.Now()) > fullLink[h] {
		return v.say(sayBounced, "link")
	}
	free, why := v.n.o.Agent.Admit(v.ctx, v.life, endpointagent.Priority{Late: v.r.Header.Get(hdrLate) != "", Rank: v.rank, Deadline: v.due, Hot: v.r.Header.Get(hdrHot) != ""}, most)
	if why != endpointagent.NotRejected {
		return v.say(sayBounced, string(why))
	}
	v.free = sync.OnceFunc(free)
	v.later(v.free)
	return false
}

func (v *visit) carry() bool {
	n := v.n
	out := make(http.Header, len(v.r.Header))
	pass(out, v.r.Header, false)
	delete(out, "Expect")
	left := time.Until(v.due) - 2*time.Millisecond
	out[hdrDeadline] = []string{millis(left)}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""}
	}
	q := (&http.Request{Method: v.r.Method, URL: target(n.o.AppAddr, v.r.RequestURI), Host: v.r.Host, Header: out,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: v.r.ContentLength, Body: once{v.r.Body}}).WithContext(v.ctx)
	if v.r.ContentLength == 0 {
		q.Body = once{strings.NewReader("")}
	} else {
		readBy(v.w, v.due)
	}
	t0 := time.Now()
	p, s, err := n.o.AppClient.send(q, v.id, v.r.Header.Get(hdrOnce) == "")
	switch {
	case s == saidAnswer:
		defer p.Body.Close()
		return v.relay(p, t0)
	case s == saidTurned:
		v.note(false)
		return v.say(sayTurned, strconv.Itoa(p.StatusCode))
	case v.ctx.Err() != nil && s != saidBroken:
		return v.say(sayBounced, "late")
	case shutDown(v.ctx):
		return v.say(sayLost, "shutdown")
	case v.ctx.Err() != nil:
		if time.Now().After(v.due) {
			v.note(false)
		}
		return v.say(sayLate, "deadline")
	case s == saidDialFailed:
		n.o.Agent.RecordConnectionRefused(v.life)
		return v.say(sayRefused, "dial")
	case s == saidNothingSent:
		return v.say(sayRefused, "unsent")
	}
	v.note(false)
	return v.say(sayLost, err.Error())
}

// note tells the desk whether the endpoint did what was asked of it.
func (v *visit) note(good bool) { v.n.o.Agent.RecordOutcome(v.life, good) }

// holdMost bounds the answers that a node holds whole for its link, so that the
// endpoint's slot is free before they are on their way.
const holdMost = 24 << 20

func (v *visit) relay(p *http.Response, t0 time.Time) bool {
	n := v.n
	peek := int64(n.o.BufferLimit)
	if p.ContentLength > peek && p.ContentLength < holdMost/4 {
		if h := n.held.Add(p.ContentLength); h <= holdMost {
			peek = p.ContentLength
		}
		v.later(func() { n.held.Add(-p.ContentLength) })
	}
	b, whole, err := head(p.Body, p.ContentLength, int(peek))
	if err != nil && v.r.Method != http.MethodHead {
		if shutDown(v.ctx) {
			return v.say(sayLost, "shutdown")
		}
		if v.ctx.Err() != nil {
			return v.say(sayLate, "deadline")
		}
		v.note(false)
		return v.say(sayLost, err.Error())
	}
	n.pending.remove(v.pending)
	v.note(p.StatusCode < 500)
	if whole {
		n.o.Agent.RecordResponse(v.life, time.Since(t0))
		v.free()
	} else {
		writeBy(v.w, v.due)
	}
	n.out.add(max(p.ContentLength, int64(len(b)))+600, time.Now())
	v.w.Header().Set(hdrLoad, n.loadText())
	begin(v.w, v.r.Method, p, b, whole)
	finish(v.w, p, b, whole, n.o.Pacer, v.due)
	if !whole {
		n.o.Agent.RecordResponse(v.life, time.Since(t0))
	}
	return true
}
