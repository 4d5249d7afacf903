package main

import (
	"net"
	"net/http"
	"sync"

	"corkcove/internal/routeconfig"
)

// listenAll listens at each TCP address; after an error at none.
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

// serve answers a listener's connections until the process ends; before that it
// ends only if the listener is closed, which nobody does.
func serve(server *http.Server, listener net.Listener) {
	go func() { _ = server.Serve(listener) }()
}

// limitedListener serves a listener with the limits of the configuration. New
// connections go to a server made for the limits in force; open ones keep
// theirs.
type limitedListener struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  routeconfig.Limits
	current *handoffListener
}

// newLimitedListener begins to accept connections, with the default limits.
func newLimitedListener(listener net.Listener, handler http.Handler) *limitedListener {
	l := &limitedListener{listener: listener, handler: handler}
	l.setLimits(routeconfig.DefaultLimits())
	go l.acceptLoop()
	return l
}

func (l *limitedListener) acceptLoop() {
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

// setLimits starts a server for connections that are accepted from now on.
func (l *limitedListener) setLimits(limits routeconfig.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && limits == l.limits {
		return
	}
	l.limits = limits
	l.current = &handoffListener{connections: make(chan net.Conn), address: l.listener.Addr()}
	serve(&http.Server{Handler: l.handler, MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}, l.current)
}

// handoffListener is the net.Listener of a server whose connections another
// goroutine accepts. It is never closed: the server serves its connections as
// long as they last.
type handoffListener struct {
	connections chan net.Conn
	address     net.Addr
}

// Accept waits for the next connection.
func (l *handoffListener) Accept() (net.Conn, error) { return <-l.connections, nil }

// Close does nothing.
func (l *handoffListener) Close() error { return nil }

// Addr is the address at which the connections are accepted.
func (l *handoffListener) Addr() net.Addr { return l.address }
