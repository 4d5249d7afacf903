package main

import (
	"net"
	"sync/atomic"
)

// byteCount counts the bytes of all nodes' connections.
type byteCount struct{ received, sent atomic.Int64 }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	count *byteCount
}

// Accept waits for the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{connection, l.count}, nil
}

type countingConn struct {
	net.Conn
	count *byteCount
}

// Read counts the bytes that were received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

// Write counts the bytes that were sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	return n, err
}
