package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGatewayDialsEndpointsAndNamesNoCaller(t *testing.T) {
	m := newGatewayMesh(t, 3)
	c, b, _, err := m.send(t, "POST", "/e/x?q", "r1", "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c, qt.Equals, 200)
	for _, e := range m.endpoints {
		if e.id == b {
			s, _ := e.received.Load("r1")
			qt.Assert(t, s, qt.Equals, " /e/x?q body")
		}
	}
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}

func TestOtherInstanceAtAKnownAddressGetsNoRequests(t *testing.T) {
	m := newGatewayMesh(t, 2)
	m.endpoints[0].id = "other"
	for i := range 6 {
		c, b, _, _ := m.send(t, "POST", "/e/", fmt.Sprint("r", i), "b")
		qt.Assert(t, c, qt.Equals, 200)
		qt.Assert(t, b, qt.Equals, "e1")
	}
	qt.Assert(t, m.endpoints[0].runs.Load(), qt.Equals, int64(0))
}

func TestSilentEndpointDelaysIdempotentRequestsLittle(t *testing.T) {
	m := newGatewayMesh(t, 2)
	hang := make(chan bool)
	defer close(hang)
	m.endpoints[0].respond = func(io.Writer, *http.Request, []byte) { <-hang }
	for i := range 8 {
		c, b, _, err := m.send(t, "GET", "/p/", fmt.Sprint("r", i), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c, qt.Equals, 200)
		qt.Assert(t, b, qt.Equals, "e1")
	}
	qt.Assert(t, m.endpoints[0].runs.Load() <= 3, qt.IsTrue, qt.Commentf("%d went to the silent one", m.endpoints[0].runs.Load()))
}

func TestEffectfulRequestIsNotRetriedAfterNoResponse(t *testing.T) {
	m := newGatewayMesh(t, 3)
	for _, e := range m.endpoints {
		e.respond = func(io.Writer, *http.Request, []byte) {}
	}
	c, _, _, err := m.send(t, "POST", "/e/", "r", "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c, qt.Equals, 502)
	qt.Assert(t, m.runs(), qt.Equals, int64(1))
}
