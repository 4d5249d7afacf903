package proxy

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/memnet"
)

// memoryNetwork is a network in memory with what tests of proxies connect by.
type memoryNetwork struct{ memnet.Network }

func (n *memoryNetwork) appClient() *AppClient { return NewAppClient(n.Transport(), n.Transport()) }

// halfClosableConn is a connection whose other side may close its sending half.
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

// halfClosableClient is a client's side of a connection that it can close by
// halves.
type halfClosableClient struct {
	net.Conn
	server net.Conn
}

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

// inVirtualTime runs a subtest in a bubble with a clock of its own.
func inVirtualTime(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// writeText writes to a peer that may have left, which is not the writer's
// concern.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// closeQuietly closes what may have been closed by the other side.
func closeQuietly(c io.Closer) { _ = c.Close() }

// serveHTTP serves until the listener's network is closed.
func serveHTTP(h http.Handler, l net.Listener) { _ = (&http.Server{Handler: h}).Serve(l) }
