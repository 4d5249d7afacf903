package controlapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/mailbox"
)

// namedCodes are the status codes that a caller of a healthy core or sidecar may get.
var namedCodes = []int{200, 400, 404, 405, 409, 410, 412, 413, 503}

// maxResponseTime is the longest time that a call may take: that of a watch, and the
// retries before and after it.
const maxResponseTime = maxWatchWait + 2*time.Second

// fuzzRequest returns the request that a server would pass to its handler, or nil if
// package net/http would refuse it.
func fuzzRequest(method, target, ifMatch, body string) *http.Request {
	parsed, err := url.ParseRequestURI(target)
	if err != nil || method == "" || !strings.HasPrefix(target, "/") {
		return nil
	}
	r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(body))
	r.Method, r.URL, r.RequestURI = method, parsed, target
	r.Header.Set("If-Match", ifMatch)
	return r
}

// checkResponse checks that a handler answers a request in time, with a code that the
// pages name and a body that is JSON.
func checkResponse(t *testing.T, handler http.Handler, r *http.Request) {
	t.Helper()
	recorder := httptest.NewRecorder()
	start := time.Now()
	handler.ServeHTTP(recorder, r)
	qt.Assert(t, time.Since(start) <= maxResponseTime, qt.IsTrue)
	qt.Assert(t, slices.Contains(namedCodes, recorder.Code), qt.IsTrue, qt.Commentf("%d %s", recorder.Code, recorder.Body))
	if body := recorder.Body.Bytes(); len(body) > 0 {
		qt.Assert(t, json.Valid(body) && utf8.Valid(body), qt.IsTrue, qt.Commentf("%q", body))
	}
}

// checkHealthy checks that the core still serves, and that all of its state can be stored.
func (s *singleServer) checkHealthy(t *testing.T) {
	t.Helper()
	code, body := s.do("POST", "/-/numbers/healthy", "", "")
	qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%s", body))
	errs, _ := mailbox.Call(s.mailbox, func() (errs []error) {
		for shard := range s.server.Coordination.ShardCount {
			_, err := proto.Marshal(s.server.Coordination.Replica.StateMachine(shard).Snapshot(0))
			errs = append(errs, err)
		}
		return errs
	})
	for _, err := range errs {
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against input of a caller that ends the core, stays unanswered, or leaves state
// that cannot be stored.
func FuzzCoreServer(f *testing.F) {
	lockBody := `{"holderId":"a","holdS":3,"fenceNo":1}`
	for _, name := range []string{"g1.2d", "g1.caf%E9", "%E9.a", "%FF%FE", "%00", "%F0%9F%98%80", "%EF%9F%A9", "a%2Fb", "..", "%25E9", "é"} {
		for _, method := range []string{"POST", "PUT", "DELETE"} {
			f.Add(method, "/-/locks/"+name, "", lockBody)
		}
		f.Add("POST", "/-/numbers/"+name, "", "{}")
		f.Add("PUT", "/-/cells/"+name, "", `{"payload":"v"}`)
		f.Add("PUT", "/-/cells/"+name, "", `{"payload":"v","topic":7}`)
		f.Add("GET", "/-/cells/"+name, "", "")
		f.Add("GET", "/-/watch/"+name+"?after=1&waitMs=100", "", "")
	}
	f.Add("POST", "/-/locks/l", "", "{\"holderId\":\"\xe9\",\"holdS\":3}")
	f.Add("POST", "/-/locks/l", "", `{"holderId":"\ud800","holdS":1e300}`)
	f.Add("PUT", "/-/cells/g.a", "", "{\"payload\":\"\xe9\"}")
	f.Add("GET", "/-/watch/g.?after=18446744073709551615&waitMs=99999999999", "", "")
	f.Add("GET", "/-/watch/g.?after=%E9", "", "")
	f.Add("PUT", "/-/configuration", "0", configJSON("r5", "h"))
	f.Add("PUT", "/-/configuration", "0", configJSON("r5", "h\xe9"))
	f.Add("PATCH", "/-/configuration", "r5", `{"stamp":"r9","removals":{"serviceList":["s"]}}`)
	f.Add("GET", "/-/configuration", "", "")
	f.Add("BREW", "/-/pot", "", "")
	f.Fuzz(func(t *testing.T, method, target, ifMatch, body string) {
		synctest.Test(t, func(t *testing.T) {
			server := newSingleServer(t)
			defer server.mailbox.Close()
			// The second call meets what the first one did.
			for range 2 {
				if r := fuzzRequest(method, target, ifMatch, body); r != nil {
					checkResponse(t, server.server, r)
				}
			}
			server.checkHealthy(t)
		})
	})
}
