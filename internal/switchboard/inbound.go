package switchboard

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"corkcove/internal/subscriber"
)

type InboundOptions struct {
	AppAddr string
	Desk    *subscriber.Desk
	Line    *http.Transport
	Note    func(f string, a ...any)
	Peek    int
}

// Inbound alone reaches the endpoint beside this node.
type Inbound struct {
	o       InboundOptions
	Running atomic.Int64
	leaving atomic.Bool
}

func NewInbound(o InboundOptions) *Inbound { return &Inbound{o: o} }

func (n *Inbound) Leave() { n.leaving.Store(true) }

type visit struct {
	n     *Inbound
	w     http.ResponseWriter
	r     *http.Request
	id    string
	life  string
	rank  int
	due   time.Time
	ctx   context.Context
	clean []func()
}

func (v *visit) later(f func()) { v.clean = append(v.clean, f) }

func (v *visit) say(outcome, reason string) bool {
	h := v.w.Header()
	h["Date"] = nil
	h.Set(hdrOutcome, outcome)
	h.Set(hdrReason, reason)
	h.Set(hdrLoad, loadText(v.n.o.Desk))
	h.Set("Content-Length", "0")
	code := http.StatusBadGateway
	if outcome == sayBounced || outcome == sayRefused {
		code = http.StatusServiceUnavailable
	}
	v.w.WriteHeader(code)
	return true
}

func loadText(d *subscriber.Desk) string {
	l := d.Load()
	return fmt.Sprintf("%d,%d,%d,%d", l.Running, l.Queued, l.Slots, l.Work/time.Millisecond)
}

func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.Running.Add(1)
	defer n.Running.Add(-1)
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
	ctx, stop := context.WithDeadline(v.r.Context(), v.due)
	v.later(stop)
	v.ctx = ctx
	return false
}

func (v *visit) admit() bool {
	most := time.Until(v.due)
	if n, err := strconv.ParseInt(v.r.Header.Get(hdrWait), 10, 32); err == nil {
		most = min(most, time.Duration(n)*time.Millisecond)
	}
	free, why := v.n.o.Desk.Admit(v.ctx, v.life, subscriber.Place{Late: v.r.Header.Get(hdrLate) != "", Rank: v.rank, Due: v.due}, most)
	if why != subscriber.None {
		return v.say(sayBounced, string(why))
	}
	v.later(free)
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
	var sent atomic.Bool
	ctx := httptrace.WithClientTrace(v.ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	q := (&http.Request{Method: v.r.Method, URL: target(n.o.AppAddr, v.r.RequestURI), Host: v.r.Host, Header: out,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: v.r.ContentLength, Body: once{v.r.Body}}).WithContext(ctx)
	if v.r.ContentLength == 0 {
		q.Body = once{strings.NewReader("")}
	}
	t0 := time.Now()
	p, err := n.o.Line.RoundTrip(q)
	if err != nil {
		switch {
		case v.ctx.Err() != nil && !sent.Load():
			return v.say(sayBounced, "late")
		case v.ctx.Err() != nil:
			return v.say(sayLate, "deadline")
		case dialFailed(err):
			n.o.Desk.Refused(v.life)
			return v.say(sayRefused, "dial")
		case !sent.Load():
			return v.say(sayRefused, "unsent")
		}
		return v.say(sayLost, err.Error())
	}
	defer p.Body.Close()
	if p.Header.Get(hdrID) != v.id {
		n.o.Line.CloseIdleConnections()
		return v.say(sayLost, "another request's answer")
	}
	if _, turned := p.Header[hdrNotRun]; turned || p.StatusCode == http.StatusMisdirectedRequest {
		stream(io.Discard, io.LimitReader(p.Body, 4<<10))
		return v.say(sayTurned, strconv.Itoa(p.StatusCode))
	}
	if p.StatusCode/100 == 2 && p.Header.Get(hdrSeal) == "" || p.Header.Get("Content-Encoding") != "" {
		n.o.Line.CloseIdleConnections()
		return v.say(sayLost, "no seal")
	}
	return v.relay(p, t0)
}

func (v *visit) relay(p *http.Response, t0 time.Time) bool {
	b, whole, err := head(p.Body, p.ContentLength, v.n.o.Peek)
	if err != nil && v.r.Method != http.MethodHead {
		if v.ctx.Err() != nil {
			return v.say(sayLate, "deadline")
		}
		return v.say(sayLost, err.Error())
	}
	if whole {
		v.n.o.Desk.Answered(v.life, time.Since(t0))
	}
	v.w.Header().Set(hdrLoad, loadText(v.n.o.Desk))
	begin(v.w, v.r.Method, p, b, whole)
	finish(v.w, p, b, whole)
	if !whole {
		v.n.o.Desk.Answered(v.life, time.Since(t0))
	}
	return true
}
