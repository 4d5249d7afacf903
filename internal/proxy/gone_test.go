package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sendAndLeave sends a request with a body, which endpoints work on for the given time, and
// closes its connection after another.
func (rig *shutdownRig) sendAndLeave(method, path, body string, workTime, after time.Duration) {
	ctx, leave := context.WithTimeout(context.Background(), after)
	defer leave()
	r, _ := http.NewRequestWithContext(ctx, method, "http://out"+path, strings.NewReader(body))
	r.Host = "a"
	r.Header.Set(headerRequestID, fmt.Sprint("left", rig.sent.Add(1)))
	r.Header.Set(headerDeadline, formatMillis(testDeadline))
	r.Header.Set(headerWorkTime, workTime.String())
	transport := rig.network.Transport()
	transport.DisableKeepAlives = true
	if response, err := transport.RoundTrip(r); err == nil {
		closeQuietly(response.Body)
	}
}

// Guards against a request that reaches an endpoint long after its client has closed the
// connection, because it waited for a slot with its body unread.
func TestRequestsOfClientsThatLeftReachNoEndpoint(t *testing.T) {
	const body = "a small body"
	for _, method := range []string{"GET", "POST"} {
		for _, size := range []int{0, len(body), testBufferLimit / 2, 3 * testBufferLimit} {
			inVirtualTime(t, fmt.Sprintf("%s %d bytes", method, size), func(t *testing.T) {
				rig := newShutdownRig(newSidecarMesh(t, 1))
				defer rig.close()
				for range 2 {
					go rig.send(testRequest{path: "/e/", workTime: 1500 * time.Millisecond})
				}
				time.Sleep(100 * time.Millisecond)
				path := "/e/"
				if method == "GET" {
					path = "/p/"
				}
				rig.sendAndLeave(method, path, strings.Repeat("x", size), quickWork, 200*time.Millisecond)
				time.Sleep(5 * time.Second)
				qt.Assert(t, rig.runs(), qt.Equals, int64(2))
			})
		}
	}
}

// goneLimit is the time after its client has left at which a request must no longer wait.
const goneLimit = 400 * time.Millisecond

// departure is a request whose client leaves before it has a response.
type departure struct {
	path string
	// bytes is the size of the body.
	bytes int
	// chunked means that the length of the body is not sent.
	chunked bool
	// expectContinue means that the client waits for a 100 Continue response.
	expectContinue bool
	// after is the time after which the client closes its connection.
	after time.Duration
}

func (d departure) String() string {
	return fmt.Sprintf("%s %d bytes, chunked %v, expect %v", d.path, d.bytes, d.chunked, d.expectContinue)
}

// send sends the request and closes its connection.
func (d departure) send(rig *shutdownRig) {
	ctx, leave := context.WithTimeout(context.Background(), d.after)
	defer leave()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://out"+d.path, strings.NewReader(strings.Repeat("x", d.bytes)))
	r.Host = "a"
	r.Header.Set(headerRequestID, fmt.Sprint("departure", rig.sent.Add(1)))
	r.Header.Set(headerDeadline, formatMillis(testDeadline))
	if d.chunked {
		r.ContentLength = -1
	}
	if d.expectContinue {
		r.Header.Set("Expect", "100-continue")
	}
	transport := rig.network.Transport()
	transport.DisableKeepAlives = true
	if response, err := transport.RoundTrip(r); err == nil {
		closeQuietly(response.Body)
	}
}

// departures returns requests of all sorts whose bodies are not read whole while they wait.
func departures(after time.Duration) (all []departure) {
	for _, path := range []string{"/e/", "/p/"} {
		// With these sizes the client's close is received right after the request, is
		// received once more of the body is read, and interrupts the sending of the body.
		for _, bytes := range []int{testBufferLimit * 3 / 2, testBufferLimit * 3, testBufferLimit * 8} {
			for _, chunked := range []bool{false, true} {
				for _, expectContinue := range []bool{false, true} {
					all = append(all, departure{path, bytes, chunked, expectContinue, after})
				}
			}
		}
	}
	return all
}

// Guards against an upload that reaches the endpoint long after its client has left: on
// sockets, the client's close is behind the part of the body that has not been read.
func TestUploadsOfClientsThatLeftReachNoEndpoint(t *testing.T) {
	for _, d := range departures(300 * time.Millisecond) {
		testDepartureFromQueue(t, d, 850*time.Millisecond)
	}
}

// Guards against a sidecar that sends a body before its endpoint has a slot for it: the
// close of the connection is then behind that body.
func TestUploadsOfClientsThatLeftAfterASecondReachNoEndpoint(t *testing.T) {
	for _, d := range departures(1300 * time.Millisecond) {
		testDepartureFromQueue(t, d, 2050*time.Millisecond)
	}
}

// testDepartureFromQueue checks that a request whose client leaves while all slots are busy
// leaves the queue, and does not reach the endpoint once a slot is free, after workTime.
func testDepartureFromQueue(t *testing.T, d departure, workTime time.Duration) {
	inVirtualTime(t, d.String(), func(t *testing.T) {
		rig := newShutdownRig(newSidecarMeshOn(t, newBufferingNetwork(), 1))
		defer rig.close()
		for range 2 {
			go rig.send(testRequest{path: "/e/", workTime: workTime})
		}
		time.Sleep(100 * time.Millisecond)
		d.send(rig)
		time.Sleep(goneLimit)
		qt.Assert(t, rig.agents[0].Load().Queued, qt.Equals, 0)
		time.Sleep(5 * time.Second)
		qt.Assert(t, rig.runs(), qt.Equals, int64(2))
	})
}

// Guards against an upload that is sent on a connection that was established long after the
// client had left.
func TestUploadsOfClientsThatLeftWhileConnectingReachNoEndpoint(t *testing.T) {
	// acceptsAfter is the time after which connections are accepted.
	const acceptsAfter = 900 * time.Millisecond
	for name, newRig := range map[string]func(t *testing.T) *shutdownRig{
		"edge": func(t *testing.T) *shutdownRig {
			rig := newShutdownRig(newGatewayMeshOn(t, newBufferingNetwork(), 1))
			listener := rig.network.Listen("app0")
			time.AfterFunc(acceptsAfter, func() { rig.endpoints[0].serve(listener) })
			return rig
		},
		"sidecar": func(t *testing.T) *shutdownRig {
			rig := newShutdownRig(newSidecarMeshOn(t, newBufferingNetwork(), 1))
			listener := rig.network.Listen("in0")
			time.AfterFunc(acceptsAfter, func() { serveHTTP(rig.inbounds[0], listener) })
			return rig
		},
	} {
		for _, d := range departures(300 * time.Millisecond) {
			inVirtualTime(t, name+" "+d.String(), func(t *testing.T) {
				rig := newRig(t)
				defer rig.close()
				d.send(rig)
				time.Sleep(5 * time.Second)
				qt.Assert(t, rig.runs(), qt.Equals, int64(0))
			})
		}
	}
}

// Guards against reading ahead that waits for a client which has stopped sending, and so
// delays the next attempt.
func TestReadingAheadDoesNotDelayTheNextAttempt(t *testing.T) {
	for _, chunkBytes := range []int{1, 100, 3000, 40_000} {
		for _, cut := range []int{1, 2, 5, 50} {
			inVirtualTime(t, fmt.Sprintf("chunks of %d bytes, the last without %d", chunkBytes, cut), func(t *testing.T) {
				rig := newShutdownRig(newSidecarMeshOn(t, newBufferingNetwork(), 2))
				defer rig.close()
				for range 4 {
					go rig.send(testRequest{path: "/e/", workTime: 2 * time.Second})
				}
				time.Sleep(100 * time.Millisecond)
				client, err := rig.network.Dial("out", func(server net.Conn) net.Conn { return server })
				qt.Assert(t, err, qt.IsNil)
				body := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)), testBufferLimit*3/2/chunkBytes+1)
				go writeText(client, "POST /e/"+requestHeaders+"r\r\nTransfer-Encoding: chunked\r\n\r\n"+body[:len(body)-cut])
				time.Sleep(650 * time.Millisecond)
				first, second := rig.agents[0], rig.agents[1]
				if second.Load().Queued == 1 {
					first, second = second, first
				}
				qt.Assert(t, first.Load().Queued, qt.Equals, 1)
				first.Stop()
				time.Sleep(time.Millisecond)
				qt.Assert(t, second.Load().Queued, qt.Equals, 1)
			})
		}
	}
}

// Guards against a retry or a hedged attempt that begins after the client has left.
func TestNoAttemptBeginsAfterTheClientLeft(t *testing.T) {
	const leavesAfter = 30 * time.Millisecond
	eachShutdownNode(t, func(t *testing.T, rig *shutdownRig) {
		// An average of quickWork makes the hedged attempt due soon, and without a client
		// that leaves there is one.
		rig.sendQuickRequests(t, "/p/")
		before := rig.runs()
		rig.sendAndLeave("GET", "/p/", "", stuckWork, 2*time.Second)
		qt.Assert(t, rig.runs() > before+1, qt.IsTrue)
		time.Sleep(stuckWork)
		before = rig.runs()
		rig.sendAndLeave("GET", "/p/", "", stuckWork, leavesAfter)
		time.Sleep(5 * time.Second)
		qt.Assert(t, rig.runs(), qt.Equals, before+1)
	})
}
