package proxy

import (
	"context"
	"fmt"
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
