package proxy

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/proxy/localreply"
)

const (
	testGrace = 6 * time.Second
	// testDeadline is more than any request has left in these tests, and than the
	// routes' timeout of 3 s.
	testDeadline = 10 * time.Second
	// hdrTakes tells the endpoint of a test how long to work on a request.
	hdrTakes = "X-Test-Takes"
	quick    = 20 * time.Millisecond
	// busy keeps a node from its exit for most of the grace period.
	busy = 2500 * time.Millisecond
	// stuckFor is longer than anybody waits.
	stuckFor = 30 * time.Second
)

// testRequest is what a client, or another node, sends to a shutdownRig.
type testRequest struct {
	to, path string
	takes    time.Duration
	deadline time.Duration
}

// shutdownRig is a node with endpoints that may be sent a SIGTERM.
type shutdownRig struct {
	*testMesh
	sent    atomic.Int64
	started time.Time
	exited  chan time.Duration
}

// shutdownNodes are the nodes that carry traffic.
var shutdownNodes = map[string]func(t *testing.T) *testMesh{
	"edge":    func(t *testing.T) *testMesh { return newGatewayMesh(t, 2) },
	"sidecar": func(t *testing.T) *testMesh { return newSidecarMesh(t, 2) },
}

// eachShutdownNode runs f for each kind of node, in virtual time.
func eachShutdownNode(t *testing.T, f func(t *testing.T, rig *shutdownRig)) {
	for name, newNode := range shutdownNodes {
		inVirtualTime(t, name, func(t *testing.T) {
			rig := newShutdownRig(newNode(t))
			defer rig.close()
			f(t, rig)
		})
	}
}

func newShutdownRig(m *testMesh) *shutdownRig {
	for _, e := range m.endpoints {
		answer := e.respond
		e.respond = func(w io.Writer, r *http.Request, body []byte) {
			takes, _ := time.ParseDuration(r.Header.Get(hdrTakes))
			time.Sleep(takes)
			answer(w, r, body)
		}
	}
	return &shutdownRig{testMesh: m, exited: make(chan time.Duration, 1)}
}

func (rig *shutdownRig) close() {
	rig.network.Close()
	time.Sleep(2 * stuckFor)
}

// terminate starts the shutdown; all connections end with it, as with a process.
func (rig *shutdownRig) terminate(s Shutdown) {
	rig.started = time.Now()
	go func() {
		s.Run()
		rig.exited <- time.Since(rig.started)
		rig.network.CloseConnections()
	}()
}

func (rig *shutdownRig) sigterm() {
	rig.terminate(Shutdown{Grace: testGrace, Linger: testGrace / 2, Outbound: rig.outbound})
}

// until sleeps until so long after the SIGTERM.
func (rig *shutdownRig) until(d time.Duration) { time.Sleep(time.Until(rig.started.Add(d))) }

func (rig *shutdownRig) send(q testRequest) testResponse {
	method := "POST"
	if q.path == "/p/" {
		method = "GET"
	}
	r, _ := http.NewRequest(method, "http://"+cmp.Or(q.to, "out")+q.path, strings.NewReader(""))
	r.Host = "a"
	r.Header.Set(headerRequestID, fmt.Sprint("request", rig.sent.Add(1)))
	r.Header.Set(headerDeadline, formatMillis(cmp.Or(q.deadline, testDeadline)))
	r.Header.Set(headerExpectInstance, "e0")
	r.Header.Set(hdrTakes, cmp.Or(q.takes, quick).String())
	line := rig.network.Transport()
	line.DisableKeepAlives = true
	start := time.Now()
	p, err := line.RoundTrip(r)
	if err != nil {
		return testResponse{err: err, took: time.Since(start)}
	}
	defer closeQuietly(p.Body)
	body, err := io.ReadAll(p.Body)
	return testResponse{p.StatusCode, string(body), p.Header, err, time.Since(start)}
}

// learn makes the route's response times known; the last request takes slowest.
func (rig *shutdownRig) learn(t *testing.T, path string, slowest time.Duration) {
	t.Helper()
	for range minTailSamples - 1 {
		qt.Assert(t, rig.send(testRequest{path: path}).code, qt.Equals, 200)
	}
	qt.Assert(t, rig.send(testRequest{path: path, takes: slowest}).code, qt.Equals, 200)
}

// refusedUnrun checks that a request is refused at once and reaches no endpoint.
func (rig *shutdownRig) refusedUnrun(t *testing.T, path string) {
	t.Helper()
	runs := rig.runs()
	got := rig.send(testRequest{path: path})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.code, qt.Equals, 503)
	qt.Assert(t, got.headers.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, got.took < quick, qt.IsTrue)
	qt.Assert(t, rig.runs(), qt.Equals, runs)
}

func TestShutdownServesAllForThreeSeconds(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sigterm()
		rig.until(2900 * time.Millisecond)
		got := rig.send(testRequest{path: "/e/", takes: 2 * time.Second})
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.code, qt.Equals, 200)
		qt.Assert(t, <-rig.exited < 5*time.Second, qt.IsTrue)
	})
}

// A request that comes between the decision to exit and the exit was passed on
// and cut (gateway-north, mix --seed 432742968009).
func TestShutdownRefusesRequestsThatComeJustBeforeTheExit(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.learn(t, "/p/", quick)
		rig.sigterm()
		rig.until(testGrace/2 + shutdownPoll + shutdownPoll/2)
		rig.refusedUnrun(t, "/p/")
		qt.Assert(t, <-rig.exited, qt.Equals, testGrace/2+2*shutdownPoll)
	})
}

func TestShutdownTakesLateRequestsThatEndInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.learn(t, "/p/", quick)
		rig.sigterm()
		rig.until(2900 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", takes: busy})
		rig.until(3200 * time.Millisecond)
		qt.Assert(t, rig.send(testRequest{path: "/p/"}).code, qt.Equals, 200)
		// Little is known of this route, but the request's own deadline is near.
		qt.Assert(t, rig.send(testRequest{path: "/e/", deadline: time.Second}).code, qt.Equals, 200)
	})
}

// On the day of docs/incidents/north-376624.md such a request, 3.8 s after the
// SIGTERM, was passed on and cut.
func TestShutdownRefusesLateRequestsThatMayNotEndInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.learn(t, "/e/", 1500*time.Millisecond)
		rig.sigterm()
		rig.until(2900 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", takes: busy})
		rig.until(3100 * time.Millisecond)
		rig.refusedUnrun(t, "/p/")
		rig.until(3780 * time.Millisecond)
		rig.refusedUnrun(t, "/e/")
	})
}

func TestShutdownRefusesLateRequestsWhereOneIsStuck(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.learn(t, "/e/", quick)
		rig.sigterm()
		rig.until(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", takes: stuckFor})
		rig.until(4 * time.Second)
		rig.refusedUnrun(t, "/e/")
	})
}

func TestShutdownAnswersStuckRequestsBeforeTheExit(t *testing.T) {
	for path, other := range map[string]string{"/e/": "/p/", "/p/": "/e/"} {
		eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
			rig.learn(t, path, quick)
			rig.sigterm()
			rig.until(2900 * time.Millisecond)
			go rig.send(testRequest{path: other, takes: busy})
			// The quick route turns slow now.
			rig.until(3200 * time.Millisecond)
			got := rig.send(testRequest{path: path, takes: stuckFor})
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.code, qt.Equals, 504)
			qt.Assert(t, got.body, qt.Equals, localreply.ShuttingDown.Text())
			qt.Assert(t, got.headers.Get("Retry-After"), qt.Equals, "")
			qt.Assert(t, time.Since(rig.started) >= testGrace-finalAnswerLead, qt.IsTrue)
			qt.Assert(t, <-rig.exited < testGrace-exitLead, qt.IsTrue)
		})
	}
}

func TestShutdownLetsAnAnswerThatHasBegunRunOn(t *testing.T) {
	inVirtualTime(t, "edge", func(t *testing.T) {
		const lasts = testGrace - 300*time.Millisecond - 2900*time.Millisecond
		first, second := strings.Repeat("x", 100<<10), strings.Repeat("x", 200000-100<<10)
		slowBody := func(c *faultyPeer, r *http.Request) bool {
			respondAndGoOn(largeHeaders+first)(c, r)
			time.Sleep(lasts)
			writeText(c, second)
			return true
		}
		s := newFaultRig(t, gatewayToEndpoint, 1, 1, fault{always: true, afterRequest: slowBody})
		defer s.close()
		s.armed.Store(true)
		go Shutdown{Grace: testGrace, Linger: testGrace / 2, Outbound: s.outbound}.Run()
		time.Sleep(2900 * time.Millisecond)
		got := s.send("effectful", "r", testDeadline)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, len(got.body), qt.Equals, 200000)
		qt.Assert(t, got.took, qt.Equals, lasts)
	})
}

func TestInboundShutdownAnswersStuckRequestsBeforeTheExit(t *testing.T) {
	inVirtualTime(t, "sidecar", func(t *testing.T) {
		rig := newShutdownRig(newSidecarMesh(t, 1))
		defer rig.close()
		rig.terminate(Shutdown{Grace: testGrace, Linger: 2500 * time.Millisecond, Outbound: NewOutbound(OutboundOptions{}),
			Inbound: rig.inbounds[0], StopInbound: rig.agents[0].Stop})
		late := make(chan testResponse, 1)
		go func() {
			rig.until(3200 * time.Millisecond)
			late <- rig.send(testRequest{to: "in0", path: "/e/"})
		}()
		rig.until(1900 * time.Millisecond)
		got := rig.send(testRequest{to: "in0", path: "/e/", takes: stuckFor})
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.code, qt.Equals, 502)
		qt.Assert(t, got.headers.Get(headerOutcome), qt.Equals, string(nodeFailed))
		qt.Assert(t, time.Since(rig.started) >= testGrace-finalAnswerLead, qt.IsTrue)
		qt.Assert(t, <-rig.exited < testGrace-exitLead, qt.IsTrue)
		bounced := <-late
		qt.Assert(t, bounced.err, qt.IsNil)
		qt.Assert(t, bounced.code, qt.Equals, 503)
		qt.Assert(t, bounced.headers.Get(headerOutcome), qt.Equals, string(nodeRejected))
		qt.Assert(t, rig.runs(), qt.Equals, int64(1))
	})
}

func TestSlowTailOutlastsQuickRequests(t *testing.T) {
	var times responseTimes
	times.record("r", 3*time.Second)
	for range minTailSamples - 2 {
		times.record("r", 100*time.Millisecond)
	}
	_, known := times.tailLatency("r")
	qt.Assert(t, known, qt.IsFalse)
	times.record("r", 100*time.Millisecond)
	tail, known := times.tailLatency("r")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, tail > 2*time.Second, qt.IsTrue, qt.Commentf("%v", tail))
	for range 10 * tailDecayDivisor {
		times.record("r", 100*time.Millisecond)
	}
	tail, _ = times.tailLatency("r")
	qt.Assert(t, tail < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", tail))
}
