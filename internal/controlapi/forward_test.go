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
)

// fakeOwners answers for the members, in the order of the requests.
type fakeOwners struct {
	answers  []func(q *http.Request) (*http.Response, error)
	requests []string
}

func (o *fakeOwners) RoundTrip(q *http.Request) (*http.Response, error) {
	body := ""
	if q.Body != nil {
		data, _ := io.ReadAll(q.Body)
		body = string(data)
	}
	o.requests = append(o.requests, q.Method+" "+q.URL.String()+" "+body+" "+q.Header.Get(forwardedHeader))
	answer := o.answers[min(len(o.requests), len(o.answers))-1]
	return answer(q)
}

func reportSent(q *http.Request) {
	if trace := httptrace.ContextClientTrace(q.Context()); trace != nil {
		trace.WroteHeaders()
	}
}

func answersWith(code int, body, location string) func(*http.Request) (*http.Response, error) {
	return func(q *http.Request) (*http.Response, error) {
		reportSent(q)
		header := http.Header{"Content-Type": {"application/json"}}
		if location != "" {
			header.Set("Location", location)
		}
		return &http.Response{StatusCode: code, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func refusesConnection(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func breaksOffUnanswered(q *http.Request) (*http.Response, error) {
	reportSent(q)
	return nil, errors.New("reset")
}

func breaksOffInAnswer(q *http.Request) (*http.Response, error) {
	reportSent(q)
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(`{"pay`), failingReader{}))}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func neverAnswers(q *http.Request) (*http.Response, error) {
	reportSent(q)
	<-q.Context().Done()
	return nil, q.Context().Err()
}

func TestForwardedRequestsGetTheOwnersAnswerAndNoFalsePromise(t *testing.T) {
	type answer = func(*http.Request) (*http.Response, error)
	for name, row := range map[string]struct {
		answers   []answer
		forwarded string
		code      int
		contains  string
		calls     int
	}{
		"the owner's answer":              {answers: []answer{answersWith(200, `{"payload":7}`, "")}, code: 200, contains: `{"payload":7}`, calls: 1},
		"lock held by another":            {answers: []answer{answersWith(409, `{}`, "")}, code: 409, calls: 1},
		"a promise is the owner's":        {answers: []answer{answersWith(503, `{}`, "")}, code: 503, calls: 1},
		"owner changed":                   {answers: []answer{answersWith(307, "", "http://o2:1/-/numbers/n"), answersWith(200, `{"payload":8}`, "")}, code: 200, contains: "8", calls: 2},
		"owner changes again and again":   {answers: []answer{answersWith(307, "", "http://o2:1/-/numbers/n")}, code: 307, calls: 2},
		"owner unreachable":               {answers: []answer{refusesConnection}, code: 503, calls: 12},
		"reachable after a while":         {answers: []answer{refusesConnection, refusesConnection, answersWith(200, `{"payload":9}`, "")}, code: 200, contains: "9", calls: 3},
		"broken off":                      {answers: []answer{breaksOffUnanswered}, code: 500, calls: 1},
		"no answer":                       {answers: []answer{neverAnswers}, code: 500, calls: 1},
		"forwarded before":                {answers: []answer{breaksOffUnanswered}, forwarded: "1", code: 307, calls: 0},
		"refused, then broken off":        {answers: []answer{refusesConnection, breaksOffUnanswered}, code: 500, calls: 2},
		"owner changed, then broken off":  {answers: []answer{answersWith(307, "", "http://o2:1/-/numbers/n"), breaksOffUnanswered}, code: 500, calls: 2},
		"half an answer":                  {answers: []answer{breaksOffInAnswer}, code: 500, calls: 1},
		"answer too large":                {answers: []answer{answersWith(200, strings.Repeat(" ", maxForwardedResponseBytes+1), "")}, code: 307, calls: 1},
		"owner changed, then unreachable": {answers: []answer{answersWith(307, "", "http://o2:1/-/numbers/n"), refusesConnection}, code: 503, calls: 13},
	} {
		synctest.Test(t, func(t *testing.T) {
			owners := &fakeOwners{answers: row.answers}
			server := &CoreServer{RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: owners}
			server.handle("POST /-/numbers/{}", jsonHandler(server.forwardToOwner, func(r request, _ empty) (empty, error) {
				return empty{}, &notOwnerError{location: "http://o1:1" + r.RequestURI}
			}))
			r := httptest.NewRequest("POST", "/-/numbers/n", strings.NewReader("{}"))
			if row.forwarded != "" {
				r.Header.Set(forwardedHeader, row.forwarded)
			}
			recorder := httptest.NewRecorder()
			started := time.Now()
			server.ServeHTTP(recorder, r)
			comment := qt.Commentf("%s: %d calls", name, len(owners.requests))
			qt.Check(t, recorder.Code, qt.Equals, row.code, comment)
			qt.Check(t, strings.Contains(recorder.Body.String(), row.contains), qt.IsTrue, comment)
			qt.Check(t, len(owners.requests) >= min(row.calls, 5) && len(owners.requests) <= row.calls, qt.IsTrue, comment)
			qt.Check(t, time.Since(started) < time.Second, qt.IsTrue, comment)
			if len(owners.requests) > 0 {
				qt.Check(t, owners.requests[0], qt.Equals, "POST http://o1:1/-/numbers/n {} 1")
			}
		})
	}
}

// breakOffSecondRequest answers the first request on a connection. The second
// one it reads; then it closes the connection, or waits until the other side
// does.
func breakOffSecondRequest(connection net.Conn, hangs bool, calls, closed *atomic.Int64) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		if n == 0 {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if hangs {
			_, _ = io.Copy(io.Discard, connection)
			closed.Add(1)
		}
		return
	}
}

// TestConnectionsBetweenMembersRepeatNoChange has the owner answer the first
// request on a connection, and read the second and break off.
func TestConnectionsBetweenMembersRepeatNoChange(t *testing.T) {
	for method, want := range map[string]struct{ code, calls int }{
		"POST":   {500, 1},
		"PUT":    {500, 1},
		"DELETE": {500, 1},
		// A read that comes twice does nothing.
		"GET": {200, 2},
	} {
		for _, hangs := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var calls, closed atomic.Int64
				transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					client, owner := net.Pipe()
					go breakOffSecondRequest(owner, hangs, &calls, &closed)
					return client, nil
				}}
				defer transport.CloseIdleConnections()
				server := &CoreServer{RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: transport}
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
					qt.Check(t, closed.Load(), qt.Equals, int64(1), qt.Commentf("%v: the connection of an abandoned request stayed open", comment))
					return
				}
				qt.Check(t, do(), qt.Equals, want.code, comment)
				qt.Check(t, calls.Load(), qt.Equals, int64(want.calls), comment)
			})
		}
	}
}
