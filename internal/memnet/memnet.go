// Package memnet is a network in memory, for tests: addresses lead to listeners
// over pipes. It has no buffers: a write blocks until it is read, and so does a
// dial until it is accepted. A Network owns its listeners and connections, guards
// them with one mutex for calls from any goroutine, and starts no goroutine.
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

// continueTimeout is how long a transport waits for a 100 Continue.
const continueTimeout = time.Second

// defaultPort is what an HTTP transport adds to an address without a port.
const defaultPort = ":80"

// errRefused tells that nobody listens at an address.
var errRefused = errors.New("refused")

// Network leads from addresses to listeners. Its zero value is empty and ready.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	connections []net.Conn
}

// Listen returns the listener of an address; an earlier one of that address gets
// no further connections. Its Close does nothing: Network.Close ends it.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Transport returns an HTTP transport whose connections lead to the listeners.
func (n *Network) Transport() *http.Transport {
	return &http.Transport{DisableCompression: true, ExpectContinueTimeout: continueTimeout, DialContext: n.dial}
}

func (n *Network) dial(_ context.Context, _, address string) (net.Conn, error) {
	return n.Dial(strings.TrimSuffix(address, defaultPort), func(server net.Conn) net.Conn { return server })
}

// Dial connects to the listener of an address, which accepts what wrap makes of
// its side of the connection. It fails if nobody listens there.
func (n *Network) Dial(address string, wrap func(server net.Conn) net.Conn) (net.Conn, error) {
	l, client, server := n.connect(address)
	if l == nil {
		return nil, dialError()
	}
	select {
	case l.accepted <- wrap(server):
		return client, nil
	case <-l.closed:
		return nil, dialError()
	}
}

// connect makes a connection that the address's listener has not accepted yet;
// without a listener it makes none.
func (n *Network) connect(address string) (l *listener, client, server net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[address]
	if l == nil {
		return nil, nil, nil
	}
	client, server = net.Pipe()
	n.connections = append(n.connections, client, server)
	return l, client, server
}

func dialError() error { return &net.OpError{Op: "dial", Err: errRefused} }

// Close ends all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	for _, l := range n.listeners {
		close(l.closed)
	}
	n.mu.Unlock()
	n.CloseConnections()
}

// CloseConnections ends all connections; listeners go on, and so do dials that
// have not been accepted.
func (n *Network) CloseConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connections {
		_ = c.Close() // the close of a pipe cannot fail
	}
}

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
