package controlapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
)

// fakeTransport takes the place of the other members. The nth request gets the nth
// response, and further requests the last one.
type fakeTransport struct {
	responses []func(r *http.Request) (*http.Response, error)
	// requests lists the method, URL, body and forwardedHeader of each request.
	requests []string
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := ""
	if r.Body != nil {
		data, _ := io.ReadAll(r.Body)
		body = string(data)
	}
	f.requests = append(f.requests, r.Method+" "+r.URL.String()+" "+body+" "+r.Header.Get(forwardedHeader))
	respond := f.responses[min(len(f.requests), len(f.responses))-1]
	return respond(r)
}

// traceHeadersSent reports to the request's client trace that the headers were sent, as
// http.Transport does.
func traceHeadersSent(r *http.Request) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.WroteHeaders()
	}
}

func respondWith(code int, body, location string) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		traceHeadersSent(r)
		header := http.Header{"Content-Type": {"application/json"}}
		if location != "" {
			header.Set("Location", location)
		}
		return &http.Response{StatusCode: code, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func refuseConnection(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func resetBeforeResponse(r *http.Request) (*http.Response, error) {
	traceHeadersSent(r)
	return nil, errors.New("reset")
}

func failDuringResponse(r *http.Request) (*http.Response, error) {
	traceHeadersSent(r)
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(`{"pay`), failingReader{}))}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func hangUntilCanceled(r *http.Request) (*http.Response, error) {
	traceHeadersSent(r)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// A forwarded request gets the owner's whole response, or a redirect if the response is
// too large. Without a response, it gets status 503 only if the owner cannot have executed
// it, and 500 if the outcome is unknown.
func TestForwardingNeverMisreportsOutcome(t *testing.T) {
	type roundTrip = func(*http.Request) (*http.Response, error)
	for name, row := range map[string]struct {
		responses []roundTrip
		forwarded string
		code      int
		contains  string
		calls     int
	}{
		"owner responds":                       {responses: []roundTrip{respondWith(200, `{"payload":7}`, "")}, code: 200, contains: `{"payload":7}`, calls: 1},
		"owner responds with a conflict":       {responses: []roundTrip{respondWith(409, `{}`, "")}, code: 409, calls: 1},
		"owner is unavailable":                 {responses: []roundTrip{respondWith(503, `{}`, "")}, code: 503, calls: 1},
		"owner changed":                        {responses: []roundTrip{respondWith(307, "", "http://o2:1/-/numbers/n"), respondWith(200, `{"payload":8}`, "")}, code: 200, contains: "8", calls: 2},
		"owner changes repeatedly":             {responses: []roundTrip{respondWith(307, "", "http://o2:1/-/numbers/n")}, code: 307, calls: 2},
		"owner unreachable":                    {responses: []roundTrip{refuseConnection}, code: 503, calls: 12},
		"owner reachable after two attempts":   {responses: []roundTrip{refuseConnection, refuseConnection, respondWith(200, `{"payload":9}`, "")}, code: 200, contains: "9", calls: 3},
		"connection reset":                     {responses: []roundTrip{resetBeforeResponse}, code: 500, calls: 1},
		"no response":                          {responses: []roundTrip{hangUntilCanceled}, code: 500, calls: 1},
		"already forwarded":                    {responses: []roundTrip{resetBeforeResponse}, forwarded: "1", code: 307, calls: 0},
		"connection refused, then reset":       {responses: []roundTrip{refuseConnection, resetBeforeResponse}, code: 500, calls: 2},
		"owner changed, then connection reset": {responses: []roundTrip{respondWith(307, "", "http://o2:1/-/numbers/n"), resetBeforeResponse}, code: 500, calls: 2},
		"incomplete response":                  {responses: []roundTrip{failDuringResponse}, code: 500, calls: 1},
		"response too large":                   {responses: []roundTrip{respondWith(200, strings.Repeat(" ", maxForwardedResponseBytes+1), "")}, code: 307, calls: 1},
		"owner changed, then unreachable":      {responses: []roundTrip{respondWith(307, "", "http://o2:1/-/numbers/n"), refuseConnection}, code: 503, calls: 13},
	} {
		synctest.Test(t, func(t *testing.T) {
			transport := &fakeTransport{responses: row.responses}
			server := &CoreServer{Coordination: &coordination.Service{}, RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: transport}
			server.handle("POST /-/numbers/{}", jsonHandler(server.forwardToOwner, func(r request, _ empty) (empty, error) {
				return empty{}, &notOwnerError{location: "http://o1:1" + r.RequestURI}
			}))
			r := httptest.NewRequest("POST", "/-/numbers/n", strings.NewReader("{}"))
			if row.forwarded != "" {
				r.Header.Set(forwardedHeader, row.forwarded)
			}
			recorder := httptest.NewRecorder()
			start := time.Now()
			server.ServeHTTP(recorder, r)
			comment := qt.Commentf("%s: %d calls", name, len(transport.requests))
			qt.Check(t, recorder.Code, qt.Equals, row.code, comment)
			qt.Check(t, strings.Contains(recorder.Body.String(), row.contains), qt.IsTrue, comment)
			qt.Check(t, len(transport.requests) >= min(row.calls, 5) && len(transport.requests) <= row.calls, qt.IsTrue, comment)
			qt.Check(t, time.Since(start) < time.Second, qt.IsTrue, comment)
			if len(transport.requests) > 0 {
				qt.Check(t, transport.requests[0], qt.Equals, "POST http://o1:1/-/numbers/n {} 1")
			}
		})
	}
}

// abortSecondRequest responds to the first request on a connection. It reads the second
// one without responding, and then closes the connection or, if hangs is set, waits
// until the peer closes it.
func abortSecondRequest(conn net.Conn, hangs bool, calls, closed *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if hangs {
			_, _ = io.Copy(io.Discard, conn)
			closed.Add(1)
		}
		return
	}
}

// http.Transport resends some requests when a reused connection breaks before the
// response. A forwarded change must not be resent, because the owner may have executed
// it. The owner responds to the first request on a connection, reads the second one and
// then closes the connection or hangs.
func TestForwardedChangesAreNotResent(t *testing.T) {
	for method, want := range map[string]struct{ code, calls int }{
		"POST":   {500, 1},
		"PUT":    {500, 1},
		"DELETE": {500, 1},
		// A read has no effect, so it may be executed twice.
		"GET": {200, 2},
	} {
		for _, hangs := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var calls, closed atomic.Int64
				transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					client, owner := net.Pipe()
					go abortSecondRequest(owner, hangs, &calls, &closed)
					return client, nil
				}}
				defer transport.CloseIdleConnections()
				server := &CoreServer{Coordination: &coordination.Service{}, RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: transport}
				server.handle(method+" /-/x/{}", jsonHandler(server.forwardToOwner, func(r request, _ empty) (empty, error) {
					return empty{}, &notOwnerError{location: "http://o1:1" + r.RequestURI}
				}))
				do := func() int {
					body := "{}"
					if method == "GET" || method == "DELETE" {
						body = ""
					}
					r := httptest.NewRequest(method, "/-/x/n", strings.NewReader(body))
					r.Header.Set("Idempotency-Key", "k")
					recorder := httptest.NewRecorder()
					server.ServeHTTP(recorder, r)
					return recorder.Code
				}
				comment := qt.Commentf("%s, hangs %v", method, hangs)
				qt.Assert(t, do(), qt.Equals, 200, comment)
				calls.Store(0)
				if hangs {
					qt.Check(t, do(), qt.Equals, 500, comment)
					qt.Check(t, calls.Load(), qt.Equals, int64(1), comment)
					synctest.Wait()
					qt.Check(t, closed.Load(), qt.Equals, int64(1), qt.Commentf("%v: the connection of a canceled request stayed open", comment))
					return
				}
				qt.Check(t, do(), qt.Equals, want.code, comment)
				qt.Check(t, calls.Load(), qt.Equals, int64(want.calls), comment)
			})
		}
	}
}
