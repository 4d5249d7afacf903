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

// owners answers for the members, in the order of the calls.
type owners struct {
	say  []func(q *http.Request) (*http.Response, error)
	seen []string
}

func (o *owners) RoundTrip(q *http.Request) (*http.Response, error) {
	b := ""
	if q.Body != nil {
		x, _ := io.ReadAll(q.Body)
		b = string(x)
	}
	o.seen = append(o.seen, q.Method+" "+q.URL.String()+" "+b+" "+q.Header.Get(hdrOnce))
	f := o.say[min(len(o.seen), len(o.say))-1]
	return f(q)
}

func sent(q *http.Request) {
	if t := httptrace.ContextClientTrace(q.Context()); t != nil {
		t.WroteHeaders()
	}
}

func says(code int, body, to string) func(*http.Request) (*http.Response, error) {
	return func(q *http.Request) (*http.Response, error) {
		sent(q)
		h := http.Header{"Content-Type": {"application/json"}}
		if to != "" {
			h.Set("Location", to)
		}
		return &http.Response{StatusCode: code, Header: h, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func refuses(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func breaks(q *http.Request) (*http.Response, error) {
	sent(q)
	return nil, errors.New("reset")
}

func halves(q *http.Request) (*http.Response, error) {
	sent(q)
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(`{"pay`), broken{}))}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func hangs(q *http.Request) (*http.Response, error) {
	sent(q)
	<-q.Context().Done()
	return nil, q.Context().Err()
}

func TestCallsGoOnToTheOwnerAndNeverPromiseTooMuch(t *testing.T) {
	type say = func(*http.Request) (*http.Response, error)
	for name, x := range map[string]struct {
		say   []say
		mark  string
		code  int
		has   string
		calls int
	}{
		"the owner's answer":       {say: []say{says(200, `{"payload":7}`, "")}, code: 200, has: `{"payload":7}`, calls: 1},
		"held by another":          {say: []say{says(409, `{}`, "")}, code: 409, calls: 1},
		"a promise is the owner's": {say: []say{says(503, `{}`, "")}, code: 503, calls: 1},
		"it has moved":             {say: []say{says(307, "", "http://o2:1/-/numbers/n"), says(200, `{"payload":8}`, "")}, code: 200, has: "8", calls: 2},
		"it moves about":           {say: []say{says(307, "", "http://o2:1/-/numbers/n")}, code: 307, calls: 2},
		"nobody there":             {say: []say{refuses}, code: 503, calls: 12},
		"there after a while":      {say: []say{refuses, refuses, says(200, `{"payload":9}`, "")}, code: 200, has: "9", calls: 3},
		"broken off":               {say: []say{breaks}, code: 500, calls: 1},
		"silent":                   {say: []say{hangs}, code: 500, calls: 1},
		"sent on once already":     {say: []say{breaks}, mark: "1", code: 307, calls: 0},
		"refused, then broken off": {say: []say{refuses, breaks}, code: 500, calls: 2},
		"moved, then broken off":   {say: []say{says(307, "", "http://o2:1/-/numbers/n"), breaks}, code: 500, calls: 2},
		"half an answer":           {say: []say{halves}, code: 500, calls: 1},
		"too long to be held":      {say: []say{says(200, strings.Repeat(" ", mostAnswer+1), "")}, code: 307, calls: 1},
		"moved, then nobody there": {say: []say{says(307, "", "http://o2:1/-/numbers/n"), refuses}, code: 503, calls: 13},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := &owners{say: x.say}
			d := &CoreServer{RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: o}
			d.add("POST /-/numbers/{}", handle(d, func(c call, _ none) verdict {
				return verdict{out: elsewhere, to: "http://o1:1" + c.r.RequestURI}
			}))
			r := httptest.NewRequest("POST", "/-/numbers/n", strings.NewReader("{}"))
			if x.mark != "" {
				r.Header.Set(hdrOnce, x.mark)
			}
			w := httptest.NewRecorder()
			t0 := time.Now()
			d.ServeHTTP(w, r)
			c := qt.Commentf("%s: %d calls", name, len(o.seen))
			qt.Check(t, w.Code, qt.Equals, x.code, c)
			qt.Check(t, strings.Contains(w.Body.String(), x.has), qt.IsTrue, c)
			qt.Check(t, len(o.seen) >= min(x.calls, 5) && len(o.seen) <= x.calls, qt.IsTrue, c)
			qt.Check(t, time.Since(t0) < time.Second, qt.IsTrue, c)
			if len(o.seen) > 0 {
				qt.Check(t, o.seen[0], qt.Equals, "POST http://o1:1/-/numbers/n {} 1")
			}
		})
	}
}

// TestStreamsBetweenMembersRepeatNoChange has the owner answer the first call on
// a stream, and read the second and break off.
func TestStreamsBetweenMembersRepeatNoChange(t *testing.T) {
	for method, x := range map[string]struct{ code, calls int }{
		"POST":   {500, 1},
		"PUT":    {500, 1},
		"DELETE": {500, 1},
		// A read that comes twice does nothing.
		"GET": {200, 2},
	} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var calls, got atomic.Int64
				line := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					c, s := net.Pipe()
					go func() {
						defer s.Close()
						br := bufio.NewReader(s)
						for n := 0; ; n++ {
							r, err := http.ReadRequest(br)
							if err != nil {
								return
							}
							io.Copy(io.Discard, r.Body)
							calls.Add(1)
							if n > 0 {
								if silent {
									io.Copy(io.Discard, s)
									got.Add(1)
								}
								return
							}
							io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
						}
					}()
					return c, nil
				}}
				defer line.CloseIdleConnections()
				d := &CoreServer{RetryTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond, PeerTransport: line}
				d.add(method+" /-/x/{}", handle(d, func(c call, _ none) verdict { return verdict{out: elsewhere, to: "http://o1:1" + c.r.RequestURI} }))
				ask := func() int {
					b := "{}"
					if method == "GET" || method == "DELETE" {
						b = ""
					}
					r := httptest.NewRequest(method, "/-/x/n", strings.NewReader(b))
					r.Header.Set("Idempotency-Key", "k")
					w := httptest.NewRecorder()
					d.ServeHTTP(w, r)
					return w.Code
				}
				c := qt.Commentf("%s, silent %v", method, silent)
				qt.Assert(t, ask(), qt.Equals, 200, c)
				calls.Store(0)
				if silent {
					qt.Check(t, ask(), qt.Equals, 500, c)
					qt.Check(t, calls.Load(), qt.Equals, int64(1), c)
					synctest.Wait()
					qt.Check(t, got.Load(), qt.Equals, int64(1), qt.Commentf("%v: the stream of a call given up stayed open", c))
					return
				}
				qt.Check(t, ask(), qt.Equals, x.code, c)
				qt.Check(t, calls.Load(), qt.Equals, int64(x.calls), c)
			})
		}
	}
}
