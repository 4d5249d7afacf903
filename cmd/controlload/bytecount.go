package main

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes received and sent on all connections that the nodes
// accepted. Connections that nodes opened themselves are not counted.
type byteCounter struct{ received, sent atomic.Int64 }

// countingListener adds the bytes of the connections that it accepts to a counter.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept waits for the next connection and wraps it in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{connection, l.counter}, nil
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	count *byteCounter
}

// Read reads from the connection and counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	return n, err
}
