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

// sendAndLeave sends a request with a body and closes its connection after the given time.
func (rig *shutdownRig) sendAndLeave(method, path, body string, after time.Duration) {
	ctx, leave := context.WithTimeout(context.Background(), after)
	defer leave()
	r, _ := http.NewRequestWithContext(ctx, method, "http://out"+path, strings.NewReader(body))
	r.Host = "a"
	r.Header.Set(headerRequestID, fmt.Sprint("left", rig.sent.Add(1)))
	r.Header.Set(headerDeadline, formatMillis(testDeadline))
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
				rig.sendAndLeave(method, path, strings.Repeat("x", size), 200*time.Millisecond)
				time.Sleep(5 * time.Second)
				qt.Assert(t, rig.runs(), qt.Equals, int64(2))
			})
		}
	}
}
