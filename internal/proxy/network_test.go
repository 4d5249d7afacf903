package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// memoryNetwork leads addresses to listeners over pipes.
type memoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	connections []net.Conn
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

type memoryListener struct {
	accepted chan net.Conn
	closed   chan bool
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error { return nil }

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *memoryNetwork) listen(addr string) *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{accepted: make(chan net.Conn), closed: make(chan bool)}
	n.listeners[addr] = l
	return l
}

// pipe returns the two ends of a new connection and the listener of the address,
// if there is one.
func (n *memoryNetwork) pipe(addr string) (client, server net.Conn, l *memoryListener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[addr]
	if l == nil {
		return nil, nil, nil
	}
	client, server = net.Pipe()
	n.connections = append(n.connections, client, server)
	return client, server, l
}

var errRefused = &net.OpError{Op: "dial", Err: errors.New("refused")}

func (n *memoryNetwork) dial(_ context.Context, _, addr string) (net.Conn, error) {
	client, server, l := n.pipe(strings.TrimSuffix(addr, ":80"))
	if l == nil {
		return nil, errRefused
	}
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	}
}

func (n *memoryNetwork) transport() *http.Transport {
	return &http.Transport{DisableCompression: true, ExpectContinueTimeout: time.Second, DialContext: n.dial}
}

func (n *memoryNetwork) appClient() *AppClient { return NewAppClient(n.transport(), n.transport()) }

// close ends all listeners and connections.
func (n *memoryNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		close(l.closed)
	}
	for _, conn := range n.connections {
		closeQuietly(conn)
	}
}

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

func (n *memoryNetwork) dialHalfClosable(addr string) (client net.Conn, writeClosed *atomic.Bool) {
	client, server, l := n.pipe(addr)
	writeClosed = &atomic.Bool{}
	l.accepted <- halfClosableConn{server, writeClosed}
	return &halfClosableClient{client, server}, writeClosed
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
