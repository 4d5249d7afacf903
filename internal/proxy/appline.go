package proxy

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// AppLine reaches endpoints. A reset on a stream that was used before proves
// nothing about the request sent on it; once one was seen, what can't be
// repeated goes on fresh streams for a while.
type AppClient struct {
	pooled http.RoundTripper
	fresh  http.RoundTripper
	idle   func()
	shy    atomic.Int64
}

const shyFor = 12 * time.Second

func NewAppClient(pooled, fresh *http.Transport) *AppClient {
	fresh.DisableKeepAlives = true
	return &AppClient{pooled: pooled, fresh: fresh, idle: pooled.CloseIdleConnections}
}

// said is what an endpoint answered to one dispatch, or why nothing came.
type said int

const (
	saidAnswer said = iota
	saidNothingSent
	saidDialFailed
	saidTurned
	saidBroken
)

// send gives the endpoint's answer, or what is known of a request without one.
func (l *AppClient) send(q *http.Request, id string, repeatable bool) (*http.Response, said, error) {
	var sent atomic.Bool
	var reused atomic.Bool
	ctx := httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
		WroteHeaders: func() { sent.Store(true) },
	})
	q = q.WithContext(ctx)
	line := l.pooled
	if !repeatable && time.Now().UnixNano() < l.shy.Load() {
		line = l.fresh
	}
	p, err := line.RoundTrip(q)
	if err != nil {
		if sent.Load() && reused.Load() && q.Context().Err() == nil {
			l.shy.Store(time.Now().Add(shyFor).UnixNano())
		}
		switch {
		case sent.Load():
			return nil, saidBroken, err
		case dialFailed(err):
			return nil, saidDialFailed, err
		}
		return nil, saidNothingSent, err
	}
	if _, said := p.Header[hdrNotRun]; p.Header.Get(hdrID) == id && (said && p.StatusCode >= 400 || p.StatusCode == http.StatusMisdirectedRequest) {
		stream(io.Discard, io.LimitReader(p.Body, 4<<10))
		p.Body.Close()
		return p, saidTurned, Error.New("%s", strconv.Itoa(p.StatusCode))
	}
	if why := spoilt(p, id, repeatable); why != "" {
		p.Body.Close()
		l.idle()
		return nil, saidBroken, Error.New("%s", why)
	}
	return p, saidAnswer, nil
}
