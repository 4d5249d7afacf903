// Package memnet provides an in-memory network for tests, in which addresses map to
// listeners and connections are pipes. By default nothing is buffered: a write blocks until
// it is read. With Network.Window, connections buffer bytes like TCP sockets. A dial blocks
// until it is accepted. A Network owns its listeners and connections, guards them with a
// mutex so that any goroutine may use it, and starts no goroutines.
package memnet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// expectContinueTimeout is how long a transport waits for a 100 Continue response
// before it sends the body.
const expectContinueTimeout = time.Second

// defaultPort is the port that an HTTP transport appends to an address without one.
const defaultPort = ":80"

// errConnectionRefused reports that there is no listener at an address.
var errConnectionRefused = errors.New("refused")

// Network maps addresses to listeners. Its zero value is an empty network, ready to use.
type Network struct {
	// Window is the number of bytes that a connection's receiver buffers in each
	// direction. The sender buffers as many more. At 0, a write blocks until it is read.
	// It must be set before the first connection.
	Window int
	// UserTimeout is TCP_USER_TIMEOUT of the dialing ends of connections with a Window: a
	// connection breaks when bytes wait at its sender, and none is read, for so long. 0
	// means never.
	UserTimeout time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener
	connections []net.Conn
}

// Listen returns a new listener for an address, and closes a previous listener of the
// address. The listener's Close method does nothing; it is closed by Network.Close.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if previous := n.listeners[address]; previous != nil {
		close(previous.closed)
	}
	l := &listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Transport returns an HTTP transport that connects to the network's listeners.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DisableCompression: true, ExpectContinueTimeout: expectContinueTimeout, DialContext: n.dial}
}

func (n *Network) dial(_ context.Context, _, address string) (net.Conn, error) {
	return n.Dial(strings.TrimSuffix(address, defaultPort), func(server net.Conn) net.Conn { return server })
}

// Dial connects to the listener of an address. The listener accepts the connection
// that wrapServer returns for the server end. Dial returns a *net.OpError if there is
// no listener at the address or if the network is closed.
func (n *Network) Dial(address string, wrapServer func(server net.Conn) net.Conn) (net.Conn, error) {
	l, client, server := n.newConnection(address)
	if l == nil {
		return nil, connectionRefusedError()
	}
	select {
	case l.accepted <- wrapServer(server):
		return client, nil
	case <-l.closed:
		return nil, connectionRefusedError()
	}
}

// newConnection creates a connection to the listener of an address, which has yet to
// accept it. All results are nil if there is no listener.
func (n *Network) newConnection(address string) (l *listener, client, server net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[address]
	if l == nil {
		return nil, nil, nil
	}
	if n.Window > 0 {
		client, server = newBufferedPipe(n.Window, n.UserTimeout)
	} else {
		client, server = net.Pipe()
	}
	n.connections = append(n.connections, client, server)
	return l, client, server
}

// connectionRefusedError returns the error of a dial to an address without a listener.
func connectionRefusedError() error { return &net.OpError{Op: "dial", Err: errConnectionRefused} }

// Close closes all listeners and connections. It must be called only once.
func (n *Network) Close() {
	n.mu.Lock()
	for _, l := range n.listeners {
		close(l.closed)
	}
	n.mu.Unlock()
	n.CloseConnections()
}

// CloseConnections closes all connections. Listeners stay open, and dials that wait to
// be accepted keep waiting, although their connections are closed too.
func (n *Network) CloseConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connections {
		_ = c.Close() // closing a pipe never fails
	}
}

// listener is the net.Listener of an address.
type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
