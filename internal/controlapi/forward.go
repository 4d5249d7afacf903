package controlapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// hdrOnce marks a call that another member has sent on: it is not sent on again.
const hdrOnce = "X-Corkcove-Sent-On"

const (
	sendOnWait = 850 * time.Millisecond
	mostHops   = 2
	mostAnswer = maxConfig
)

// sentOn is what became of a call that was sent on to its shard's owner.
type sentOn int

const (
	answered sentOn = iota
	notSent
	unclear
	tooLong
)

// sendOn brings a call to the member that owns its shard and gives its answer.
// Callers may be far from all members, and these near each other: a redirect
// costs the caller a connection and a way more, this costs the members a call.
func (d *CoreServer) sendOn(c call, to string, b []byte, extra time.Duration) (*http.Response, []byte, sentOn) {
	ctx, stop := context.WithTimeout(c.r.Context(), sendOnWait+extra)
	defer stop()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	q, err := http.NewRequestWithContext(ctx, c.r.Method, to, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return nil, nil, notSent
	}
	q.ContentLength = int64(len(b))
	if len(b) == 0 {
		q.Body = nil
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(hdrOnce, "1")
	p, err := d.PeerTransport.RoundTrip(q)
	if err != nil {
		if !sent.Load() {
			return nil, nil, notSent
		}
		return nil, nil, unclear
	}
	defer p.Body.Close()
	x, err := io.ReadAll(io.LimitReader(p.Body, mostAnswer+1))
	if err != nil {
		return nil, nil, unclear
	}
	if len(x) > mostAnswer {
		return nil, nil, tooLong
	}
	return p, x, answered
}

// settle answers a call that f found to belong elsewhere, by the owner's own
// answer where it gives one.
func (d *CoreServer) settle(w http.ResponseWriter, c call, b []byte, v verdict, f func() verdict) {
	if v.out != elsewhere || d == nil || d.PeerTransport == nil || c.r.Header.Get(hdrOnce) != "" {
		write(w, v)
		return
	}
	end := time.Now().Add(d.RetryTimeout)
	// A watch may take its wait longer.
	ms, _ := strconv.ParseUint(c.r.URL.Query().Get("waitMs"), 10, 32)
	extra := min(time.Duration(ms)*time.Millisecond, watchMost)
	for hops := 0; v.out == elsewhere && hops < mostHops; {
		p, x, s := d.sendOn(c, v.to, b, extra)
		switch s {
		case unclear:
			write(w, verdict{out: unsure})
			return
		case tooLong:
			write(w, v)
			return
		case notSent:
			if time.Now().After(end) || c.r.Context().Err() != nil {
				write(w, verdict{out: busy})
				return
			}
			time.Sleep(d.RetryInterval)
			v = f()
			continue
		}
		if p.StatusCode == http.StatusTemporaryRedirect && p.Header.Get("Location") != "" {
			hops++
			v.to = p.Header.Get("Location")
			continue
		}
		h := w.Header()
		h["Date"] = nil
		for _, k := range []string{"Content-Type", "Retry-After"} {
			if s := p.Header.Get(k); s != "" {
				h.Set(k, s)
			}
		}
		w.WriteHeader(p.StatusCode)
		w.Write(x)
		return
	}
	write(w, v)
}
