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

	"corkcove/internal/logring"
	"corkcove/internal/proxy/localreply"
)

const (
	// testGrace is the grace period of the shutdowns.
	testGrace = 6 * time.Second
	// testDeadline exceeds the grace period and the routes' timeout of 3 s.
	testDeadline = 10 * time.Second
	// headerWorkTime tells the endpoint of a test how long to work on a request.
	headerWorkTime = "X-Test-Takes"
	// quickWork is how long endpoints work on a request by default.
	quickWork = 20 * time.Millisecond
	// longWork keeps a node in service beyond its linger time.
	longWork = 2500 * time.Millisecond
	// testLogCapacity is the number of log entries that a rig keeps.
	testLogCapacity = 16
	// stuckWork is longer than any request's deadline and any grace period.
	stuckWork = 30 * time.Second
)

// testRequest is a request of a client or of another node.
type testRequest struct {
	// to is the address, by default that of the outbound chain.
	to string
	// path begins with the prefix of a route: /p/ is idempotent, /e/ is not.
	path string
	// workTime is how long the endpoint works on the request, by default quickWork.
	workTime time.Duration
	// deadline is how long the sender waits, by default testDeadline.
	deadline time.Duration
}

// shutdownRig is a node with endpoints whose shutdown is tested.
type shutdownRig struct {
	*testMesh
	// sent counts the requests sent, for their IDs.
	sent atomic.Int64
	// started is when the shutdown started.
	started time.Time
	// exited receives the time that the shutdown took.
	exited chan time.Duration
	// canceled is the result of Shutdown.Run, set before exited receives.
	canceled int
	// logRing has the log entries of the shutdown.
	logRing *logring.Ring
}

// shutdownNodes creates each kind of node whose outbound chain is shut down.
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

// newShutdownRig returns a rig whose endpoints work on each request for as long as its
// headerWorkTime says.
func newShutdownRig(m *testMesh) *shutdownRig {
	for _, e := range m.endpoints {
		respond := e.respond
		e.respond = func(w io.Writer, r *http.Request, body []byte) {
			workTime, _ := time.ParseDuration(r.Header.Get(headerWorkTime))
			time.Sleep(workTime)
			respond(w, r, body)
		}
	}
	return &shutdownRig{testMesh: m, exited: make(chan time.Duration, 1), logRing: logring.New(testLogCapacity, time.Second, nil)}
}

// close closes the network and waits for the endpoints' work to end.
func (rig *shutdownRig) close() {
	rig.network.Close()
	time.Sleep(2 * stuckWork)
}

// terminate starts the shutdown. When it is over all connections are closed, as with
// the exit of a process.
func (rig *shutdownRig) terminate(s Shutdown) {
	rig.started = time.Now()
	go func() {
		s.Log = rig.logRing.Logger("shutdown")
		rig.canceled = s.Run()
		rig.exited <- time.Since(rig.started)
		rig.network.CloseConnections()
	}()
}

// sigterm starts a shutdown without an inbound chain.
func (rig *shutdownRig) sigterm() {
	rig.terminate(Shutdown{Grace: testGrace, Linger: testGrace / 2, Outbound: rig.outbound})
}

// sleepUntil sleeps until the given time after the SIGTERM.
func (rig *shutdownRig) sleepUntil(d time.Duration) { time.Sleep(time.Until(rig.started.Add(d))) }

// send sends a request on a connection of its own and reads the response.
func (rig *shutdownRig) send(request testRequest) testResponse {
	method := "POST"
	if request.path == "/p/" {
		method = "GET"
	}
	r, _ := http.NewRequest(method, "http://"+cmp.Or(request.to, "out")+request.path, strings.NewReader(""))
	r.Host = "a"
	r.Header.Set(headerRequestID, fmt.Sprint("request", rig.sent.Add(1)))
	r.Header.Set(headerDeadline, formatMillis(cmp.Or(request.deadline, testDeadline)))
	r.Header.Set(headerExpectInstance, "e0")
	r.Header.Set(headerWorkTime, cmp.Or(request.workTime, quickWork).String())
	transport := rig.network.Transport()
	transport.DisableKeepAlives = true
	start := time.Now()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return testResponse{err: err, took: time.Since(start)}
	}
	defer closeQuietly(response.Body)
	body, err := io.ReadAll(response.Body)
	return testResponse{response.StatusCode, string(body), response.Header, err, time.Since(start)}
}

// recordResponseTimes sends just enough requests for the tail of the route's response
// times to be known. The last one takes slowest.
func (rig *shutdownRig) recordResponseTimes(t *testing.T, path string, slowest time.Duration) {
	t.Helper()
	for range minTailSamples - 1 {
		qt.Assert(t, rig.send(testRequest{path: path}).code, qt.Equals, 200)
	}
	qt.Assert(t, rig.send(testRequest{path: path, workTime: slowest}).code, qt.Equals, 200)
}

// assertRejected checks that a request is rejected at once and reaches no endpoint.
func (rig *shutdownRig) assertRejected(t *testing.T, path string) {
	t.Helper()
	runs := rig.runs()
	got := rig.send(testRequest{path: path})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.code, qt.Equals, 503)
	qt.Assert(t, got.headers.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, got.took < quickWork, qt.IsTrue)
	qt.Assert(t, rig.runs(), qt.Equals, runs)
}

func TestShutdownAcceptsAllRequestsForThreeSeconds(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sigterm()
		rig.sleepUntil(2900 * time.Millisecond)
		got := rig.send(testRequest{path: "/e/", workTime: 2 * time.Second})
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.code, qt.Equals, 200)
		qt.Assert(t, <-rig.exited < 5*time.Second, qt.IsTrue)
	})
}

// A request that arrived between the decision to exit and the exit used to be accepted
// and was cut off by the exit (gateway-north, mix --seed 432742968009).
func TestShutdownRefusesRequestsThatComeJustBeforeTheExit(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.recordResponseTimes(t, "/p/", quickWork)
		rig.sigterm()
		rig.sleepUntil(testGrace/2 + shutdownPollInterval + shutdownPollInterval/2)
		rig.assertRejected(t, "/p/")
		qt.Assert(t, <-rig.exited, qt.Equals, testGrace/2+2*shutdownPollInterval)
	})
}

func TestShutdownAcceptsLateRequestsThatEndInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.recordResponseTimes(t, "/p/", quickWork)
		rig.sigterm()
		rig.sleepUntil(2900 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: longWork})
		rig.sleepUntil(3200 * time.Millisecond)
		qt.Assert(t, rig.send(testRequest{path: "/p/"}).code, qt.Equals, 200)
		// Too few requests have used this route to know its response times, but the
		// request's own deadline is soon enough.
		qt.Assert(t, rig.send(testRequest{path: "/e/", deadline: time.Second}).code, qt.Equals, 200)
	})
}

// Such a request, sent 3.8 s after the SIGTERM, used to be accepted and was cut off by
// the exit; see docs/incidents/north-376624.md.
func TestShutdownRefusesLateRequestsThatMayNotEndInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.recordResponseTimes(t, "/e/", 1500*time.Millisecond)
		rig.sigterm()
		rig.sleepUntil(2900 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: longWork})
		rig.sleepUntil(3100 * time.Millisecond)
		rig.assertRejected(t, "/p/")
		rig.sleepUntil(3780 * time.Millisecond)
		rig.assertRejected(t, "/e/")
	})
}

func TestShutdownRefusesLateRequestsWhereOneIsStuck(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.recordResponseTimes(t, "/e/", quickWork)
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: stuckWork})
		rig.sleepUntil(4 * time.Second)
		rig.assertRejected(t, "/e/")
	})
}

func TestShutdownAnswersStuckRequestsBeforeTheExit(t *testing.T) {
	for path, other := range map[string]string{"/e/": "/p/", "/p/": "/e/"} {
		eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
			rig.recordResponseTimes(t, path, quickWork)
			rig.sigterm()
			rig.sleepUntil(2900 * time.Millisecond)
			go rig.send(testRequest{path: other, workTime: longWork})
			// The route has been quick so far, but this request gets stuck.
			rig.sleepUntil(3200 * time.Millisecond)
			got := rig.send(testRequest{path: path, workTime: stuckWork})
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.code, qt.Equals, 504)
			qt.Assert(t, got.body, qt.Equals, localreply.ShuttingDown.Text())
			qt.Assert(t, got.headers.Get("Retry-After"), qt.Equals, "")
			qt.Assert(t, time.Since(rig.started) >= testGrace-finalReplyMargin, qt.IsTrue)
			qt.Assert(t, <-rig.exited < testGrace-exitMargin, qt.IsTrue)
			qt.Assert(t, rig.canceled, qt.Equals, 1)
			entries := rig.logRing.Entries()
			qt.Assert(t, entries, qt.HasLen, 2)
			qt.Assert(t, entries[0].Message, qt.Equals, "shutting down")
			qt.Assert(t, entries[1].Message, qt.Equals, "canceled pending requests")
			// The request was sent 3.2 s after the SIGTERM and its route's timeout is 3 s.
			qt.Assert(t, entries[1].KeysAndValues, qt.DeepEquals, []any{"chain", "outbound", "count", 1, "route", strings.Trim(path, "/"),
				"newestAge", 2460 * time.Millisecond, "remaining", 540 * time.Millisecond})
		})
	}
}

func TestShutdownCompletesStartedResponses(t *testing.T) {
	inVirtualTime(t, "edge", func(t *testing.T) {
		// The response lasts until 300 ms before the end of the grace period, which is
		// after the final replies.
		const responseTime = testGrace - 300*time.Millisecond - 2900*time.Millisecond
		first, second := strings.Repeat("x", 100<<10), strings.Repeat("x", 200000-100<<10)
		slowBody := func(c *faultyPeer, r *http.Request) bool {
			respondAndKeepOpen(largeHeaders+first)(c, r)
			time.Sleep(responseTime)
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
		qt.Assert(t, got.took, qt.Equals, responseTime)
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
			rig.sleepUntil(3200 * time.Millisecond)
			late <- rig.send(testRequest{to: "in0", path: "/e/"})
		}()
		rig.sleepUntil(1900 * time.Millisecond)
		got := rig.send(testRequest{to: "in0", path: "/e/", workTime: stuckWork})
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.code, qt.Equals, 502)
		qt.Assert(t, got.headers.Get(headerOutcome), qt.Equals, string(nodeFailed))
		qt.Assert(t, time.Since(rig.started) >= testGrace-finalReplyMargin, qt.IsTrue)
		qt.Assert(t, <-rig.exited < testGrace-exitMargin, qt.IsTrue)
		rejected := <-late
		qt.Assert(t, rejected.err, qt.IsNil)
		qt.Assert(t, rejected.code, qt.Equals, 503)
		qt.Assert(t, rejected.headers.Get(headerOutcome), qt.Equals, string(nodeRejected))
		qt.Assert(t, rig.runs(), qt.Equals, int64(1))
	})
}

func TestResponseTimeTailDecaysSlowly(t *testing.T) {
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
