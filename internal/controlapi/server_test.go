package controlapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// instantLog is a replication log that stores nothing and completes writes at once.
type instantLog struct{ mailbox *mailbox.Mailbox }

func (l instantLog) Append(_ []byte, done func(error))       { go l.mailbox.Post(func() { done(nil) }) }
func (l instantLog) Checkpoint(_ [][]byte, done func(error)) { go l.mailbox.Post(func() { done(nil) }) }

// singleServer is the server of a core with one member.
type singleServer struct {
	server  *CoreServer
	mailbox *mailbox.Mailbox
	// connection is the context of the connection on which do sends requests.
	connection context.Context
}

func newSingleServer(t *testing.T) *singleServer {
	mb := mailbox.New()
	start := time.Now()
	self := &meshpb.Member{Addr: "a", Control: "c"}
	service := coordination.NewService(mb, 4)
	replica, err := replication.New(replication.Options{Self: self, Seeds: []*meshpb.Member{self}, Bootstrap: true, Shards: 4,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, CheckpointBytes: 1 << 20,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) }, NewID: func() string { return "x" },
		Now: func() time.Duration { return time.Since(start) }, Rand: func(int) int { return 0 },
		OnCommit: service.OnCommit}, replication.PeerClient{Mailbox: mb}, instantLog{mb}, nil)
	qt.Assert(t, err, qt.IsNil)
	service.Replica = replica
	go mb.Run(50*time.Millisecond, replica.Tick)
	return &singleServer{NewCoreServer(service, 650*time.Millisecond), mb, ConnContext(context.Background(), nil)}
}

// do sends a request and returns the status code and body of the response. It sets the
// If-Match header unless ifMatch is empty.
func (s *singleServer) do(method, path, body, ifMatch string) (int, string) {
	httpRequest := httptest.NewRequestWithContext(s.connection, method, path, strings.NewReader(body))
	if ifMatch != "" {
		httpRequest.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	s.server.ServeHTTP(recorder, httpRequest)
	return recorder.Code, recorder.Body.String()
}

// onNewConnection returns the same server with another connection for do.
func (s *singleServer) onNewConnection() *singleServer {
	return &singleServer{s.server, s.mailbox, ConnContext(context.Background(), nil)}
}

// configJSON returns a valid configuration with the given version and hostname.
func configJSON(version, host string) string {
	return `{"stamp":"` + version + `","resourceList":[{"variant":"bindingList","metadata":{"name":"b"},"specification":{"hostname":"` + host +
		`","pathPrefix":"/","bindingKind":"pure","serviceName":"s"}},{"variant":"serviceList","metadata":{"name":"s"},"specification":{}}]}`
}

func TestRequestStatusCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newSingleServer(t)
		defer server.mailbox.Close()
		for _, row := range []struct {
			request, body, ifMatch string
			code                   int
			contains               string
		}{
			{"POST /-/locks/l", `{"holderId":"a","holdS":3}`, "", 200, `{"fenceNo":1}`},
			{"POST /-/locks/l", `{"holderId":"b","holdS":3}`, "", 409, ""},
			{"POST /-/locks/l", `{"holderId":"a","holdS":3}`, "", 200, `{"fenceNo":1}`},
			{"PUT /-/locks/l", `{"holderId":"a","fenceNo":2,"holdS":3}`, "", 409, ""},
			{"DELETE /-/locks/l", `{"holderId":"a","fenceNo":1}`, "", 200, ""},
			{"POST /-/locks/l", `{"holderId":"b","holdS":3}`, "", 200, `{"fenceNo":2}`},
			{"POST /-/locks/l", `{"holderId":"b"}`, "", 400, "holdS"},
			{"POST /-/locks/l", `{"holderId":"b","holdS":-1}`, "", 400, "holdS"},
			{"POST /-/locks/l", `{"holderId":`, "", 400, ""},
			{"POST /-/locks/", `{}`, "", 404, ""},
			{"PATCH /-/locks/l", `{}`, "", 405, ""},
			{"POST /-/numbers/n", `{}`, "", 200, `{"payload":1}`},
			{"POST /-/numbers/n", ``, "", 200, `{"payload":2}`},
			{"PUT /-/cells/g.a", `{"payload":"v","topic":0}`, "", 200, `{"revision":1}`},
			{"PUT /-/cells/g.a", `{"payload":"w","topic":0}`, "", 412, `{"revision":1}`},
			{"PUT /-/cells/g.a", `{"topic":0}`, "", 400, "payload"},
			{"PUT /-/cells/g.a", `[]`, "", 400, ""},
			{"GET /-/cells/g.a", ``, "", 200, `{"payload":"v","revision":1}`},
			{"GET /-/cells/g.b", ``, "", 404, ""},
			{"GET /-/watch/g.?after=x", ``, "", 400, "after"},
			{"GET /-/watch/g.?after=0&waitMs=100", ``, "", 200, `{"eventList":[],"revision":1}`},
			{"GET /-/configuration", ``, "", 404, ""},
			{"PUT /-/configuration", configJSON("r5", "h"), "", 400, "If-Match"},
			{"PUT /-/configuration", configJSON("r5", "h")[:80], "0", 400, ""},
			{"PUT /-/configuration", configJSON("r5", "h"), "0", 200, ""},
			{"PUT /-/configuration", configJSON("r5", "h"), "0", 200, ""},
			{"PUT /-/configuration", configJSON("r7", "i"), "0", 412, "r5"},
			{"PUT /-/configuration", configJSON("r4", "i"), "r5", 400, "not above"},
			{"PUT /-/configuration", configJSON("r7", "i"), "r5", 200, ""},
			{"PUT /-/configuration", configJSON("r5", "h"), "0", 200, ""},
			{"PATCH /-/configuration", `{"stamp":"r9","removals":{"serviceList":["s"]}}`, "r7", 400, "unknown"},
			{"GET /-/configuration", ``, "", 200, configJSON("r7", "i")},
			{"GET /-/nothing", ``, "", 404, ""},
		} {
			method, path, _ := strings.Cut(row.request, " ")
			code, body := server.do(method, path, row.body, row.ifMatch)
			qt.Check(t, code, qt.Equals, row.code, qt.Commentf("%s %s: %s", row.request, row.body, body))
			qt.Check(t, strings.Contains(body, row.contains), qt.IsTrue, qt.Commentf("%s %s: %s", row.request, row.body, body))
		}
	})
}

// Of several changes to the same base version that are sent concurrently, one is accepted
// and the others are refused with status 412.
func TestOnlyOneOfConcurrentChangesIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newSingleServer(t)
		defer server.mailbox.Close()
		code, _ := server.do("PUT", "/-/configuration", configJSON("r1", "h"), "0")
		qt.Assert(t, code, qt.Equals, 200)
		var mu sync.Mutex
		var wg sync.WaitGroup
		codeCounts := map[int]int{}
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c, _ := server.do("PUT", "/-/configuration", configJSON(fmt.Sprint("r", 2+i%3), fmt.Sprint("h", i)), "r1")
				mu.Lock()
				codeCounts[c]++
				mu.Unlock()
			}()
		}
		wg.Wait()
		qt.Assert(t, codeCounts, qt.DeepEquals, map[int]int{200: 1, 412: 5})
	})
}

func TestWatchReturnsOnFirstPutInGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newSingleServer(t)
		defer server.mailbox.Close()
		server.do("PUT", "/-/cells/g.a", `{"payload":"v1"}`, "")
		start := time.Now()
		watchBody := make(chan string)
		go func() {
			_, body := server.do("GET", "/-/watch/g.?after=1&waitMs=60000", "", "")
			watchBody <- body
		}()
		synctest.Wait()
		server.do("PUT", "/-/cells/h.a", `{"payload":"other"}`, "")
		server.do("PUT", "/-/cells/g.b", `{"payload":"v2"}`, "")
		var result watchResponse
		qt.Assert(t, json.Unmarshal([]byte(<-watchBody), &result), qt.IsNil)
		qt.Assert(t, result, qt.DeepEquals, watchResponse{[]watchEvent{{"g.b", "v2", 2}}, 2})
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
		_, body := server.do("GET", "/-/watch/g.?after=2&waitMs=500", "", "")
		qt.Assert(t, body, qt.Equals, `{"eventList":[],"revision":2}`)
	})
}

// Guards against names whose bytes are not UTF-8, which a path may contain as %XX: they
// ended the core (review/1). They must be told apart, and a watch must show them.
func TestNamesMayContainAnyBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newSingleServer(t)
		defer server.mailbox.Close()
		for _, row := range []struct{ request, body, contains string }{
			{"PUT /-/cells/g.caf%E9", `{"payload":"v"}`, `200 {"revision":1}`},
			{"PUT /-/cells/g.caf%E8", `{"payload":"w"}`, `200 {"revision":2}`},
			{"PUT /-/cells/g.caf%C3%A9", `{"payload":"x"}`, `200 {"revision":3}`},
			{"PUT /-/cells/g.caf%E9", `{"payload":"y","topic":2}`, `412 {"revision":1}`},
			{"GET /-/cells/g.caf%E9", ``, `200 {"payload":"v","revision":1}`},
			{"GET /-/cells/g.caf%E7", ``, `404 `},
			{"GET /-/watch/g.?after=1", ``, `"name":"g.caf%E8","payload":"w"`},
			{"GET /-/watch/g.?after=2", ``, `"name":"g.café","payload":"x"`},
			{"PUT /-/cells/%E9.a", `{"payload":"v"}`, `200 {"revision":1}`},
			{"GET /-/watch/%E9.?after=0", ``, `200 {"eventList":[],"revision":1}`},
			{"POST /-/numbers/%FF", ``, `200 {"payload":1}`},
			{"POST /-/numbers/%FE", ``, `200 {"payload":1}`},
			{"POST /-/locks/%FF", `{"holderId":"a","holdS":3}`, `200 `},
			{"POST /-/locks/%FE", `{"holderId":"b","holdS":3}`, `200 `},
			{"POST /-/locks/%FF", `{"holderId":"b","holdS":3}`, `409 `},
			{"POST /-/locks/l", "{\"holderId\":\"\xe9\",\"holdS\":3}", `400 `},
			{"PUT /-/cells/g.a", "{\"payload\":\"\xe9\"}", `400 `},
			{"PUT /-/configuration", configJSON("r5", "\xe9"), `400 `},
		} {
			method, path, _ := strings.Cut(row.request, " ")
			code, body := server.do(method, path, row.body, "0")
			qt.Check(t, fmt.Sprint(code, " ", body), qt.Contains, row.contains, qt.Commentf("%s", row.request))
		}
		server.checkHealthy(t)
	})
}
