package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Endpoints behind a gateway must not get the caller header that the client has set.
func TestGatewayDialsEndpointsWithoutCallerHeader(t *testing.T) {
	m := newGatewayMesh(t, 3)
	code, endpointID, _, err := m.send(t, "POST", "/e/x?q", "r1", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, 200)
	for _, e := range m.endpoints {
		if e.id == endpointID {
			received, _ := e.received.Load("r1")
			qt.Assert(t, received, qt.Equals, " /e/x?q body")
		}
	}
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}

func TestOtherInstanceAtAKnownAddressGetsNoRequests(t *testing.T) {
	m := newGatewayMesh(t, 2)
	m.endpoints[0].id = "other"
	for i := range 6 {
		code, endpointID, _, _ := m.send(t, "POST", "/e/", fmt.Sprint("r", i), "b")
		qt.Assert(t, code, qt.Equals, 200)
		qt.Assert(t, endpointID, qt.Equals, "e1")
	}
	qt.Assert(t, m.endpoints[0].runs.Load(), qt.Equals, int64(0))
}

func TestIdempotentRequestsAvoidUnresponsiveEndpoint(t *testing.T) {
	m := newGatewayMesh(t, 2)
	hang := make(chan bool)
	defer close(hang)
	m.endpoints[0].respond = func(io.Writer, *http.Request, []byte) { <-hang }
	for i := range 8 {
		code, endpointID, _, err := m.send(t, "GET", "/p/", fmt.Sprint("r", i), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, code, qt.Equals, 200)
		qt.Assert(t, endpointID, qt.Equals, "e1")
	}
	qt.Assert(t, m.endpoints[0].runs.Load() <= 3, qt.IsTrue, qt.Commentf("the unresponsive endpoint got %d requests", m.endpoints[0].runs.Load()))
}

func TestEffectfulRequestIsNotRetriedAfterNoResponse(t *testing.T) {
	m := newGatewayMesh(t, 3)
	for _, e := range m.endpoints {
		e.respond = func(io.Writer, *http.Request, []byte) {}
	}
	code, _, _, err := m.send(t, "POST", "/e/", "r", "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, 502)
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}
