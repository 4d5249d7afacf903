package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/memnet"
)

const (
	// pausingWindow is the window of connections in tests of pauses. It is smaller than
	// the bodies that are buffered whole.
	pausingWindow = maxUnpausedBody
	// pausingUserTimeout is the user timeout of these connections.
	pausingUserTimeout = 600 * time.Millisecond
	// readPause is the pause of an endpoint before it reads a body.
	readPause = 2 * time.Second
)

// newPausingNetwork returns a network on which a connection breaks if its peer pauses for
// longer than pausingUserTimeout in reading more than pausingWindow.
func newPausingNetwork() *memoryNetwork {
	return &memoryNetwork{memnet.Network{Window: pausingWindow, UserTimeout: pausingUserTimeout}}
}

// pauseBeforeBody reads a request with a pause before its body, and responds.
func pauseBeforeBody(c *faultyPeer) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return
	}
	if r.Header.Get("Expect") != "" {
		writeText(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	time.Sleep(readPause)
	if n, err := io.Copy(io.Discard, r.Body); err == nil {
		writeText(c, completeResponse(r.Header.Get(headerRequestID), "seal", fmt.Sprint(n)))
	}
}

// Guards against an upload that is broken off because its endpoint pauses in reading it.
func TestUploadsToEndpointsThatPauseAreCompleted(t *testing.T) {
	for _, hop := range hops {
		for _, bytes := range []int{testBufferLimit, 3 * testBufferLimit, 20 * testBufferLimit} {
			for _, chunked := range []bool{false, true} {
				inVirtualTime(t, fmt.Sprintf("%s, %d bytes, chunked %v", hop, bytes, chunked), func(t *testing.T) {
					rig := newFaultRigOn(t, newPausingNetwork(), hop, 1, 1, fault{always: true, beforeRequest: pauseBeforeBody})
					defer rig.close()
					rig.armed.Store(true)
					r, _ := http.NewRequest(http.MethodPost, "http://out/u/", strings.NewReader(strings.Repeat("x", bytes)))
					r.Host = "a"
					r.Header.Set(headerRequestID, "r")
					r.Header.Set(headerDeadline, formatMillis(testDeadline))
					if chunked {
						r.ContentLength = -1
					}
					// The client itself does not time out.
					transport := rig.network.Transport()
					dial := transport.DialContext
					transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
						c, err := dial(ctx, network, address)
						if err == nil {
							c.(userTimeoutConn).ExtendUserTimeout(testDeadline)
						}
						return c, err
					}
					got := roundTrip(transport, r)
					qt.Assert(t, got.err, qt.IsNil)
					qt.Assert(t, got.code, qt.Equals, 200)
					qt.Assert(t, got.body, qt.Equals, fmt.Sprint(bytes))
				})
			}
		}
	}
}

// timeoutRecorder records the user timeouts that are set on a connection.
type timeoutRecorder struct {
	net.Conn
	mu       *sync.Mutex
	timeouts *[]time.Duration
}

func (c timeoutRecorder) ExtendUserTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.timeouts = append(*c.timeouts, timeout)
}

// Guards against a connection that detects a silent peer late, because a large body was sent
// on it before.
func TestUserTimeoutIsRestoredAfterALargeBody(t *testing.T) {
	for _, hop := range []string{gatewayToEndpoint, inboundToEndpoint} {
		inVirtualTime(t, hop, func(t *testing.T) {
			rig := newFaultRig(t, hop, 1, 1, fault{})
			defer rig.close()
			var mu sync.Mutex
			var timeouts []time.Duration
			transport := rig.outbound.options.Transport.(*http.Transport)
			if hop == gatewayToEndpoint {
				transport = rig.outbound.options.AppClient.pooled.(*http.Transport)
			}
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				return timeoutRecorder{c, &mu, &timeouts}, err
			}
			for _, kind := range []string{"upload", "large upload", "pure"} {
				qt.Assert(t, rig.send(kind, kind, testDeadline).code, qt.Equals, 200)
			}
			// The route's timeout is 3 s.
			expected := []time.Duration{0, 3 * time.Second, 0}
			if hop != gatewayToEndpoint {
				// Until the sidecar asks for the body, it must respond.
				expected = []time.Duration{0, 0, 3 * time.Second, 0}
			}
			qt.Assert(t, timeouts, qt.DeepEquals, expected)
		})
	}
}
