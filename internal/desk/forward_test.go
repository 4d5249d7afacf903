package desk

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
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
		"too long to be held":      {say: []say{says(200, strings.Repeat(" ", mostAnswer+1), "")}, code: 307, calls: 1},
		"moved, then nobody there": {say: []say{says(307, "", "http://o2:1/-/numbers/n"), refuses}, code: 503, calls: 13},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := &owners{say: x.say}
			d := &Core{Patient: 200 * time.Millisecond, Step: 20 * time.Millisecond, Near: o}
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
