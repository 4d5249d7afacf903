package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

func newGate(t *testing.T, n int) *mesh {
	m := &mesh{h: &hall{ls: map[string]*pipes{}}, bud: newTestBudget(200)}
	v := &meshpb.View{Version: 1, Nodes: 1}
	for i := range n {
		e := &endpoint{id: fmt.Sprint("e", i)}
		e.act = func(w io.Writer, r *http.Request, b []byte) {
			io.WriteString(w, whole(r.Header.Get(headerRequestID), "seal", e.id))
		}
		go e.serve(m.h.listen(fmt.Sprint("app", i)))
		v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: e.id, Service: "s", Addr: fmt.Sprint("app", i), Zone: "z", Slots: 2, State: "up"})
		m.eps = append(m.eps, e)
	}
	pools := loadbalancer.New("z", 1, 1).PreferSubset("n", 8)
	pools.ApplyView(v)
	doc, err := routeconfig.Parse([]byte(plan))
	qt.Assert(t, err, qt.IsNil)
	var p atomic.Pointer[routeconfig.Table]
	p.Store(routeconfig.Compile(doc))
	m.out = NewOutbound(OutboundOptions{Balancer: pools, Routes: &p, AppClient: NewAppClient(m.h.line(), m.h.line()), RetryBudget: m.bud,
		Ready: func() bool { return true }, BufferLimit: 64 << 10})
	go (&http.Server{Handler: m.out}).Serve(m.h.listen("out"))
	return m
}

func TestEdgeDialsEndpointsAndNamesNoCaller(t *testing.T) {
	m := newGate(t, 3)
	c, b, _, err := m.ask(t, "POST", "/e/x?q", "r1", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c, qt.Equals, 200)
	for _, e := range m.eps {
		if e.id == b {
			s, _ := e.seen.Load("r1")
			qt.Assert(t, s, qt.Equals, " /e/x?q body")
		}
	}
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}

func TestNewLifeAtAnOldAddressGetsNothing(t *testing.T) {
	m := newGate(t, 2)
	m.eps[0].id = "other"
	for i := range 6 {
		c, b, _, _ := m.ask(t, "POST", "/e/", fmt.Sprint("r", i), "b")
		qt.Assert(t, c, qt.Equals, 200)
		qt.Assert(t, b, qt.Equals, "e1")
	}
	qt.Assert(t, m.eps[0].runs.Load(), qt.Equals, int64(0))
}

func TestSilentEndpointCostsARepeatableRequestLittle(t *testing.T) {
	m := newGate(t, 2)
	hang := make(chan bool)
	defer close(hang)
	m.eps[0].act = func(io.Writer, *http.Request, []byte) { <-hang }
	for i := range 8 {
		c, b, _, err := m.ask(t, "GET", "/p/", fmt.Sprint("r", i), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c, qt.Equals, 200)
		qt.Assert(t, b, qt.Equals, "e1")
	}
	qt.Assert(t, m.eps[0].runs.Load() <= 3, qt.IsTrue, qt.Commentf("%d went to the silent one", m.eps[0].runs.Load()))
}

func TestEffectfulRequestIsNeverSentTwiceToSilence(t *testing.T) {
	m := newGate(t, 3)
	for _, e := range m.eps {
		e.act = func(io.Writer, *http.Request, []byte) {}
	}
	c, _, _, err := m.ask(t, "POST", "/e/", "r", "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c, qt.Equals, 502)
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}

type trippers struct {
	n   int
	err error
}

func (x *trippers) RoundTrip(q *http.Request) (*http.Response, error) {
	x.n++
	if x.err != nil {
		return nil, x.err
	}
	return &http.Response{StatusCode: 200, Header: http.Header{headerRequestID: {"r"}, headerSeal: {"s"}}, Body: http.NoBody}, nil
}

func TestFreshStreamsOnceAReusedOneWasReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pooled, fresh := &trippers{}, &trippers{}
		l := &AppClient{pooled: pooled, fresh: fresh, closeIdle: func() {}}
		q := func() *http.Request { r, _ := http.NewRequest("POST", "http://a/", nil); return r }
		l.send(q(), "r", false)
		qt.Assert(t, []int{pooled.n, fresh.n}, qt.DeepEquals, []int{1, 0})
		l.freshUntil.Store(time.Now().Add(freshConnectionsFor).UnixNano())
		l.send(q(), "r", false)
		l.send(q(), "r", true)
		qt.Assert(t, []int{pooled.n, fresh.n}, qt.DeepEquals, []int{2, 1})
		<-time.After(freshConnectionsFor + time.Second)
		l.send(q(), "r", false)
		qt.Assert(t, []int{pooled.n, fresh.n}, qt.DeepEquals, []int{3, 1})
		fresh.err = errors.New("reset")
	})
}
