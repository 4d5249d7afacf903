package proxy

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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
	// quickRequests is the number of quick requests that a route has had before some tests.
	quickRequests = 50
	// quickWork is the default time that endpoints work on a request.
	quickWork = 20 * time.Millisecond
	// longWork keeps a node in service beyond its linger time.
	longWork = 2500 * time.Millisecond
	// quotaPeriod is the period of a processor quota.
	quotaPeriod = 100 * time.Millisecond
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
	// workTime is the time that the endpoint works on the request, by default quickWork.
	workTime time.Duration
	// deadline is the time that the sender waits, by default testDeadline.
	deadline time.Duration
	// id is the request's ID, by default a new one.
	id string
	// bodyTime is the time from sending the header to sending the body, unless it is 0.
	bodyTime time.Duration
}

// body returns the request's body.
func (r testRequest) body() io.Reader {
	if r.bodyTime == 0 {
		return strings.NewReader("")
	}
	reader, writer := io.Pipe()
	time.AfterFunc(r.bodyTime, func() {
		writeText(writer, "body")
		closeQuietly(writer)
	})
	return reader
}

// shutdownRig is a node with endpoints whose shutdown is tested.
type shutdownRig struct {
	*testMesh
	// sent counts the requests sent, for their IDs.
	sent atomic.Int64
	// started is the time at which the SIGTERM came.
	started time.Time
	// signalDelay is the time from the SIGTERM until the process receives it.
	signalDelay time.Duration
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
		time.Sleep(rig.signalDelay)
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
	r, _ := http.NewRequest(method, "http://"+cmp.Or(request.to, "out")+request.path, request.body())
	r.Host = "a"
	r.Header.Set(headerRequestID, cmp.Or(request.id, fmt.Sprint("request", rig.sent.Add(1))))
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

// sendQuickRequests sends requests on a route that its endpoints answer quickly.
func (rig *shutdownRig) sendQuickRequests(t *testing.T, path string) {
	t.Helper()
	for range quickRequests {
		qt.Assert(t, rig.send(testRequest{path: path}).code, qt.Equals, 200)
	}
}

// assertRejected checks that a request is rejected at once and reaches no endpoint.
func (rig *shutdownRig) assertRejected(t *testing.T, request testRequest) {
	t.Helper()
	runs := rig.runs()
	got := rig.send(request)
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
		rig.sigterm()
		rig.sleepUntil(testGrace/2 + shutdownPollInterval + shutdownPollInterval/2)
		// The deadline alone would permit this request.
		rig.assertRejected(t, testRequest{path: "/p/", deadline: time.Second})
		qt.Assert(t, <-rig.exited, qt.Equals, testGrace/2+2*shutdownPollInterval)
	})
}

func TestShutdownAcceptsLateRequestsWhoseDeadlinesAreInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: longWork})
		rig.sleepUntil(3200 * time.Millisecond)
		for _, path := range []string{"/p/", "/e/"} {
			qt.Assert(t, rig.send(testRequest{path: path, deadline: time.Second}).code, qt.Equals, 200)
		}
		// An endpoint that hangs is given all of the time that the client has.
		got := rig.send(testRequest{path: "/e/", workTime: stuckWork, deadline: 2 * time.Second})
		qt.Assert(t, got.code, qt.Equals, 504)
		qt.Assert(t, got.body, qt.Equals, localreply.TimedOut.Text())
		qt.Assert(t, got.took, qt.Equals, 2*time.Second)
	})
}

// Such a request, sent 3.8 s after the SIGTERM, used to be accepted and was cut off by
// the exit; see docs/incidents/north-376624.md.
func TestShutdownRefusesLateRequestsThatMayNotEndInTime(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: longWork})
		rig.sleepUntil(3100 * time.Millisecond)
		rig.assertRejected(t, testRequest{path: "/p/"})
		rig.sleepUntil(3780 * time.Millisecond)
		rig.assertRejected(t, testRequest{path: "/e/"})
		// Its deadline lies 30 ms behind the final replies.
		rig.assertRejected(t, testRequest{path: "/e/", deadline: testGrace - finalReplyMargin - 3750*time.Millisecond})
	})
}

// Guards against payments that were accepted over 3 s after the SIGTERM, because their
// route had been quick, and were canceled while the endpoint worked on them (review/3).
func TestShutdownRefusesLateRequestsOnRoutesThatHaveBeenQuick(t *testing.T) {
	for _, path := range []string{"/e/", "/p/"} {
		eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
			rig.sendQuickRequests(t, path)
			rig.sigterm()
			rig.sleepUntil(2800 * time.Millisecond)
			go rig.send(testRequest{path: path, workTime: longWork})
			for _, sent := range []time.Duration{3001 * time.Millisecond, 3460 * time.Millisecond} {
				rig.sleepUntil(sent)
				rig.assertRejected(t, testRequest{path: path})
			}
			<-rig.exited
			qt.Assert(t, rig.canceled, qt.Equals, 0)
		})
	}
}

// lateAge is the age of the SIGTERM up to which canceling a sent request is permitted.
const lateAge = 3 * time.Second

// checkResponse checks that a request that was sent sentAt after the SIGTERM got a
// complete response, that the shutdown did not cancel it if it was sent late, and that
// it did not run if it was refused.
func (rig *shutdownRig) checkResponse(t *testing.T, request testRequest, sentAt time.Duration, got testResponse) {
	t.Helper()
	sent := qt.Commentf("%+v sent at %v: %d %q after %v", request, sentAt, got.code, got.body, got.took)
	qt.Check(t, got.err, qt.IsNil, sent)
	if got.code == 504 && sentAt > lateAge {
		qt.Check(t, got.body, qt.Equals, localreply.TimedOut.Text(), sent)
		qt.Check(t, got.took >= min(request.deadline, 3*time.Second), qt.IsTrue, sent)
	}
	for _, endpoint := range rig.endpoints {
		_, ran := endpoint.received.Load(request.id)
		qt.Check(t, ran && got.code == 503, qt.IsFalse, sent)
	}
}

// Guards against late requests that are broken off, with random deadlines and endpoints
// that turn slow late in the shutdown.
func TestShutdownBreaksOffNoRandomLateRequests(t *testing.T) {
	const seeds, requests = 20, 60
	for seed := range uint64(seeds) {
		eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
			random := rand.New(rand.NewPCG(seed, 0))
			rig.sendQuickRequests(t, "/e/")
			rig.sigterm()
			go rig.send(testRequest{path: "/p/", workTime: stuckWork})
			var senders sync.WaitGroup
			for i := range requests {
				request := testRequest{id: fmt.Sprintf("random %d of seed %d", i, seed), path: "/e/", workTime: quickWork}
				request.deadline = time.Duration(100+random.IntN(5000)) * time.Millisecond
				sentAt := time.Duration(random.IntN(5500)) * time.Millisecond
				if sentAt > lateAge && random.IntN(2) == 0 {
					request.workTime = time.Duration(1000+random.IntN(3000)) * time.Millisecond
				}
				senders.Go(func() {
					rig.sleepUntil(sentAt)
					rig.checkResponse(t, request, sentAt, rig.send(request))
				})
			}
			senders.Wait()
		})
	}
}

// Guards against late requests that are accepted because a processor quota has held the
// process up, for one period at most, when the SIGTERM came.
func TestShutdownRefusesLateRequestsAfterALateSignal(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.signalDelay = quotaPeriod
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: longWork})
		rig.sleepUntil(3001 * time.Millisecond)
		rig.assertRejected(t, testRequest{path: "/e/"})
	})
}

// Guards against requests that began in time but whose bodies came late, and that were
// then canceled while the endpoint worked on them.
func TestShutdownRefusesRequestsWhoseBodiesComeLate(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		inTime := make(chan testResponse, 1)
		go func() {
			inTime <- rig.send(testRequest{path: "/e/", bodyTime: 400 * time.Millisecond, deadline: 2 * time.Second})
		}()
		got := rig.send(testRequest{path: "/e/", bodyTime: 400 * time.Millisecond, workTime: stuckWork})
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.code, qt.Equals, 503)
		qt.Assert(t, (<-inTime).code, qt.Equals, 200)
		qt.Assert(t, rig.runs(), qt.Equals, int64(1))
	})
}

func TestShutdownRefusesLateRequestsWhereOneIsStuck(t *testing.T) {
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		rig.sendQuickRequests(t, "/e/")
		rig.sigterm()
		rig.sleepUntil(2800 * time.Millisecond)
		go rig.send(testRequest{path: "/e/", workTime: stuckWork})
		rig.sleepUntil(4 * time.Second)
		rig.assertRejected(t, testRequest{path: "/e/"})
	})
}

func TestShutdownAnswersStuckRequestsBeforeTheExit(t *testing.T) {
	for _, path := range []string{"/e/", "/p/"} {
		eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
			rig.sendQuickRequests(t, path)
			rig.sigterm()
			// The route has been quick so far, but this request gets stuck.
			rig.sleepUntil(2800 * time.Millisecond)
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
			// The request was sent 2.8 s after the SIGTERM and its route's timeout is 3 s.
			qt.Assert(t, entries[1].KeysAndValues, qt.DeepEquals, []any{"chain", "outbound", "count", 1, "route", strings.Trim(path, "/"),
				"newestAge", 2860 * time.Millisecond, "remaining", 140 * time.Millisecond})
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
