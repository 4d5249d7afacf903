package proxy

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/connstate"
	"corkcove/internal/memnet"
)

// memoryNetwork is an in-memory network with helpers for tests of the proxy.
type memoryNetwork struct{ memnet.Network }

// newBufferingNetwork returns a network whose connections buffer bytes, as sockets do.
func newBufferingNetwork() *memoryNetwork {
	return &memoryNetwork{memnet.Network{Window: testBufferLimit}}
}

// sidecarTransport returns a transport for requests to sidecars.
func (n *memoryNetwork) sidecarTransport() *http.Transport {
	transport := n.Transport()
	transport.ExpectContinueTimeout = ContinueTimeout
	return transport
}

func (n *memoryNetwork) appClient() *AppClient { return NewAppClient(n.Transport(), n.Transport()) }

// halfClosableConn is the server's side of a connection whose client can close its
// write half. If writeClosed is set, failed reads return io.EOF.
type halfClosableConn struct {
	net.Conn
	writeClosed *atomic.Bool
}

func (c halfClosableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.writeClosed.Load() {
		err = io.EOF
	}
	return n, err
}

// halfClosableClient is the client's side of such a connection. It knows the
// server's side, so that a test can interrupt the read that is blocked there.
type halfClosableClient struct {
	net.Conn
	server net.Conn
}

// dialHalfClosable connects to addr. To close the write half of the connection, set
// writeClosed and let the reads of the client's server field time out.
func (n *memoryNetwork) dialHalfClosable(t *testing.T, addr string) (client net.Conn, writeClosed *atomic.Bool) {
	t.Helper()
	writeClosed = &atomic.Bool{}
	var serverSide net.Conn
	client, err := n.Dial(addr, func(server net.Conn) net.Conn {
		serverSide = server
		return halfClosableConn{server, writeClosed}
	})
	qt.Assert(t, err, qt.IsNil)
	return &halfClosableClient{client, serverSide}, writeClosed
}

// inVirtualTime runs a subtest in a synctest bubble, which has a fake clock.
func inVirtualTime(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// writeText writes text and ignores errors, because the peer may have closed the
// connection.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// closeQuietly closes c and ignores errors, because the peer may have closed the
// connection already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// serveHTTP serves until the listener's network is closed.
func serveHTTP(h http.Handler, l net.Listener) {
	_ = (&http.Server{Handler: h, ConnContext: connstate.ConnContext}).Serve(l)
}
