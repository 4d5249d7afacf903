package main

import (
	"net"
	"net/http"
	"sync"

	"corkcove/internal/listen"
	"corkcove/internal/logring"
	"corkcove/internal/routeconfig"
)

// listenAll listens on all TCP addresses. If one fails, it closes the listeners
// that are already open and returns the error.
func listenAll(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serve starts serving the listener in the background. Serving ends only with the
// process, because no listener is ever closed and errors of Accept are retried.
func (p *process) serve(server *http.Server, listener net.Listener) {
	retrying := listen.Retry(listener, p.log("listen"))
	go func() { _ = server.Serve(retrying) }()
}

// limitedListener serves a listener with the limits of the configuration. The
// limits of an http.Server are fixed, so each change of the limits creates a new
// server for new connections. Open connections keep the limits that they were
// accepted with.
type limitedListener struct {
	listener *listen.Retrying
	handler  http.Handler
	// closed is closed once the listener is.
	closed chan struct{}

	mu      sync.Mutex
	limits  routeconfig.Limits
	current *channelListener
}

// newLimitedListener starts accepting connections, with the default limits.
func newLimitedListener(listener net.Listener, handler http.Handler, log logring.Logger) *limitedListener {
	l := &limitedListener{listener: listen.Retry(listener, log), handler: handler, closed: make(chan struct{})}
	l.setLimits(routeconfig.DefaultLimits())
	go l.acceptLoop()
	return l
}

// acceptLoop passes each new connection to the current server until the listener
// is closed.
func (l *limitedListener) acceptLoop() {
	defer close(l.closed)
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		current := l.current
		l.mu.Unlock()
		current.connections <- connection
	}
}

// setLimits applies the limits to connections that are accepted from now on.
func (l *limitedListener) setLimits(limits routeconfig.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && limits == l.limits {
		return
	}
	l.limits = limits
	l.current = &channelListener{connections: make(chan net.Conn), closed: l.closed, address: l.listener.Addr()}
	server := &http.Server{Handler: l.handler, MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
	current := l.current
	go func() { _ = server.Serve(current) }()
}

// channelListener is a net.Listener that receives already accepted connections from
// another goroutine. It ends with the listener that these come from, not when another
// one takes its place: its server continues to serve the connections that are still open.
type channelListener struct {
	connections chan net.Conn
	// closed is closed once no more connections will come.
	closed  <-chan struct{}
	address net.Addr
}

// Accept waits for the next connection. The error is net.ErrClosed.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close does nothing and returns nil.
func (l *channelListener) Close() error { return nil }

// Addr returns the address on which the connections are accepted.
func (l *channelListener) Addr() net.Addr { return l.address }
