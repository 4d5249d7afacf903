package main

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"

	"corkcove/internal/connstate"
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

// serveClients is like serve, for a listener that any number of clients may connect to.
func (p *process) serveClients(server *http.Server, listener net.Listener) {
	limiter := p.clientLimiter()
	server.Handler = limiter.Handler(server.Handler)
	limited := limiter.Listen(listen.Retry(listener, p.log("listen")))
	go func() { _ = limitConnections(server, limiter).Serve(limited) }()
}

// clientLimiter returns a limiter for the connections of clients. It leaves a quarter of
// the process's descriptors to the disk, the calls between processes, health probes and
// idle upstream connections.
func (p *process) clientLimiter() *listen.Limiter {
	return listen.NewLimiter(p.maxDescriptors() / 4 * 3)
}

// maxIdleUpstream returns how many idle upstream connections the process may keep.
func (p *process) maxIdleUpstream() int { return p.maxDescriptors() / 8 }

// maxDescriptors returns the maximum number of open file descriptors of the process: that
// in the settings or, if they have none, the limit of the operating system. The settings
// take precedence because the platform may count sockets by other rules than the system.
func (p *process) maxDescriptors() int {
	if configured := p.options.Self.Limits.MaxFileDescriptors; configured > 0 {
		return int(min(configured, math.MaxInt32))
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackMaxDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// fallbackMaxDescriptors is assumed if neither the settings nor the system have a limit.
const fallbackMaxDescriptors = 1024

// serve starts serving the listener in the background. Serving ends only with the
// process, because no listener is ever closed and errors of Accept are retried.
func (p *process) serve(server *http.Server, listener net.Listener) {
	server.ConnContext = connstate.ConnContext
	retrying := listen.Retry(listener, p.log("listen"))
	go func() { _ = server.Serve(retrying) }()
}

// clientListener serves the connections of clients with the limits of the configuration.
// The limits of an http.Server are fixed, so each change of the limits creates a new
// server for new connections. Open connections keep the limits that they were
// accepted with.
type clientListener struct {
	// retrying is the listener, and listener the same with the limiter applied.
	retrying *listen.Retrying
	listener net.Listener
	limiter  *listen.Limiter
	handler  http.Handler
	// closed is closed once the listener is.
	closed chan struct{}

	mu      sync.Mutex
	limits  routeconfig.Limits
	current *channelListener
}

// newClientListener starts accepting connections, with the default limits.
func newClientListener(listener net.Listener, handler http.Handler, limiter *listen.Limiter, log logring.Logger) *clientListener {
	retrying := listen.Retry(listener, log)
	l := &clientListener{retrying: retrying, listener: limiter.Listen(retrying), limiter: limiter, handler: limiter.Handler(handler), closed: make(chan struct{})}
	l.setLimits(routeconfig.DefaultLimits())
	go l.acceptLoop()
	return l
}

// acceptsClients reports whether clients can connect at present.
func (l *clientListener) acceptsClients() bool {
	return !l.retrying.Failing() && !l.limiter.Saturated()
}

// acceptLoop passes each new connection to the current server until the listener
// is closed.
func (l *clientListener) acceptLoop() {
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
func (l *clientListener) setLimits(limits routeconfig.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && limits == l.limits {
		return
	}
	l.limits = limits
	current := &channelListener{connections: make(chan net.Conn), closed: l.closed, address: l.listener.Addr()}
	l.current = current
	server := limitConnections(&http.Server{Handler: l.handler, MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}, l.limiter)
	go func() { _ = server.Serve(current) }()
}

// limitConnections makes the server apply the limiter to its connections, which must come
// from a listener of the limiter. The server's handler must be one of the limiter.
func limitConnections(server *http.Server, limiter *listen.Limiter) *http.Server {
	server.ConnState = limiter.ConnState
	server.ConnContext = withConnection(server.ConnContext)
	return server
}

// withConnection returns a hook for http.Server.ConnContext that provides a connection's
// state as connstate.ConnContext does, after calling next, which may be nil.
func withConnection(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	if next == nil {
		return connstate.ConnContext
	}
	return func(ctx context.Context, c net.Conn) context.Context {
		return connstate.ConnContext(next(ctx, c), c)
	}
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
