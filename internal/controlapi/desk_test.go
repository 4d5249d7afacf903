package controlapi

import (
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

type book struct{ l *mailbox.Mailbox }

func (b book) Append(_ []byte, f func(error))       { go b.l.Post(func() { f(nil) }) }
func (b book) Checkpoint(_ [][]byte, f func(error)) { go b.l.Post(func() { f(nil) }) }

type office struct {
	d *CoreServer
	l *mailbox.Mailbox
}

func open(t *testing.T) *office {
	l := mailbox.New()
	t0 := time.Now()
	me := &meshpb.Member{Addr: "a", Control: "c"}
	s := coordination.NewService(l, 4)
	b, err := replication.New(replication.Options{Self: me, Seeds: []*meshpb.Member{me}, Bootstrap: true, Shards: 4,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, CheckpointBytes: 1 << 20,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) }, NewID: func() string { return "x" },
		Now: func() time.Duration { return time.Since(t0) }, Rand: func(int) int { return 0 },
		OnCommit: s.OnCommit}, replication.PeerClient{Mailbox: l}, book{l}, nil)
	qt.Assert(t, err, qt.IsNil)
	s.Replica = b
	go l.Run(50*time.Millisecond, b.Tick)
	return &office{NewCoreServer(s, 650*time.Millisecond), l}
}

func (o *office) ask(method, path, body, match string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	o.d.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func conf(version, host string) string {
	return `{"stamp":"` + version + `","resourceList":[{"variant":"bindingList","metadata":{"name":"b"},"specification":{"hostname":"` + host +
		`","pathPrefix":"/","bindingKind":"pure","serviceName":"s"}},{"variant":"serviceList","metadata":{"name":"s"},"specification":{}}]}`
}

func TestCallsAnswerAsTheTableOfOutcomesSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t)
		defer o.l.Close()
		for _, x := range []struct {
			call, body, match string
			code              int
			has               string
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
			{"PUT /-/configuration", conf("r5", "h"), "", 400, "If-Match"},
			{"PUT /-/configuration", conf("r5", "h")[:80], "0", 400, ""},
			{"PUT /-/configuration", conf("r5", "h"), "0", 200, ""},
			{"PUT /-/configuration", conf("r5", "h"), "0", 200, ""},
			{"PUT /-/configuration", conf("r7", "i"), "0", 412, "r5"},
			{"PUT /-/configuration", conf("r4", "i"), "r5", 400, "not above"},
			{"PUT /-/configuration", conf("r7", "i"), "r5", 200, ""},
			{"PUT /-/configuration", conf("r5", "h"), "0", 200, ""},
			{"PATCH /-/configuration", `{"stamp":"r9","removals":{"serviceList":["s"]}}`, "r7", 400, "unknown"},
			{"GET /-/configuration", ``, "", 200, conf("r7", "i")},
			{"GET /-/nothing", ``, "", 404, ""},
		} {
			m, p, _ := strings.Cut(x.call, " ")
			code, body := o.ask(m, p, x.body, x.match)
			qt.Check(t, code, qt.Equals, x.code, qt.Commentf("%s %s: %s", x.call, x.body, body))
			qt.Check(t, strings.Contains(body, x.has), qt.IsTrue, qt.Commentf("%s %s: %s", x.call, x.body, body))
		}
	})
}

func TestOfTwoChangesOnOneVersionOneWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t)
		defer o.l.Close()
		code, _ := o.ask("PUT", "/-/configuration", conf("r1", "h"), "0")
		qt.Assert(t, code, qt.Equals, 200)
		var mu sync.Mutex
		var wg sync.WaitGroup
		got := map[int]int{}
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c, _ := o.ask("PUT", "/-/configuration", conf(fmt.Sprint("r", 2+i%3), fmt.Sprint("h", i)), "r1")
				mu.Lock()
				got[c]++
				mu.Unlock()
			}()
		}
		wg.Wait()
		qt.Assert(t, got, qt.DeepEquals, map[int]int{200: 1, 412: 5})
	})
}

func TestWatchAnswersAsSoonAsThereIsAPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t)
		defer o.l.Close()
		o.ask("PUT", "/-/cells/g.a", `{"payload":"v1"}`, "")
		t0 := time.Now()
		done := make(chan string)
		go func() {
			_, b := o.ask("GET", "/-/watch/g.?after=1&waitMs=60000", "", "")
			done <- b
		}()
		synctest.Wait()
		o.ask("PUT", "/-/cells/h.a", `{"payload":"other"}`, "")
		o.ask("PUT", "/-/cells/g.b", `{"payload":"v2"}`, "")
		var r watchResp
		qt.Assert(t, json.Unmarshal([]byte(<-done), &r), qt.IsNil)
		qt.Assert(t, r, qt.DeepEquals, watchResp{[]event{{"g.b", "v2", 2}}, 2})
		qt.Assert(t, time.Since(t0) < time.Second, qt.IsTrue)
		_, b := o.ask("GET", "/-/watch/g.?after=2&waitMs=500", "", "")
		qt.Assert(t, b, qt.Equals, `{"eventList":[],"revision":2}`)
	})
}
