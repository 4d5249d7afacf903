package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one direction of a buffered connection. Of the bytes that were written and not
// read, the first window bytes have been received; as many more wait at the sender.
// Closing the sending side is received after all bytes, as with TCP.
type stream struct {
	mu sync.Mutex
	// changed is signaled when a field changes or a deadline passes.
	changed sync.Cond
	window  int
	unread  []byte
	// writeClosed is set when the sending side is closed, readClosed when the receiving
	// side is.
	writeClosed, readClosed     bool
	readDeadline, writeDeadline deadline
	// userTimeout is TCP_USER_TIMEOUT of the sender: the connection breaks once bytes have
	// waited at the sender for so long and none was read. 0 means never.
	userTimeout time.Duration
	// progressed is the time at which bytes began to wait at the sender, or at which some
	// were read since then.
	progressed time.Time
	// timedOut is set once the user timeout of the connection has passed.
	timedOut bool
	// reverse is the other direction of the connection.
	reverse *stream
}

// deadline is the time at which an operation fails; zero means never.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// passed reports whether the deadline has passed.
func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newStream(window int) *stream {
	s := &stream{window: window}
	s.changed.L = &s.mu
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.readClosed:
			return 0, io.ErrClosedPipe
		case s.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(s.unread) > 0:
			n := copy(p, s.unread)
			s.unread = s.unread[n:]
			s.progressed = time.Now()
			s.changed.Broadcast()
			return n, nil
		case s.timedOut:
			return 0, syscall.ECONNRESET
		case s.writeClosed:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for {
		switch {
		case s.readClosed || s.writeClosed:
			return written, io.ErrClosedPipe
		case s.timedOut:
			return written, syscall.ETIMEDOUT
		case s.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, 2*s.window-len(s.unread))
		if n > 0 && len(s.unread) <= s.window && len(s.unread)+n > s.window {
			s.progressed = time.Now()
			s.checkProgress(s.userTimeout)
		}
		s.unread = append(s.unread, p[written:written+n]...)
		written += n
		s.changed.Broadcast()
		if written == len(p) {
			return written, nil
		}
		s.changed.Wait()
	}
}

// checkProgress breaks the connection after the given time if the user timeout has passed
// by then, and else checks again when it may have.
func (s *stream) checkProgress(after time.Duration) {
	if after <= 0 {
		return
	}
	time.AfterFunc(after, func() {
		if s.timeOut() {
			s.reverse.set(func() { s.reverse.timedOut = true })
		}
	})
}

// timeOut breaks the stream if its user timeout has passed, and reports whether it has.
func (s *stream) timeOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unread) <= s.window || s.userTimeout == 0 {
		return false
	}
	left := s.userTimeout - time.Since(s.progressed)
	if left > 0 {
		s.checkProgress(left)
		return false
	}
	s.timedOut = true
	s.changed.Broadcast()
	return true
}

// set sets a field of the stream and wakes the operations that wait.
func (s *stream) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.changed.Broadcast()
}

// setDeadline sets one of the stream's deadlines.
func (s *stream) setDeadline(d *deadline, at time.Time) {
	s.set(func() {
		if d.timer != nil {
			d.timer.Stop()
		}
		*d = deadline{at: at}
		if !at.IsZero() {
			d.timer = time.AfterFunc(time.Until(at), func() { s.set(func() {}) })
		}
	})
}

// state returns the number of received bytes that are unread, and whether the end of the
// stream has been received.
func (s *stream) state() (unread int, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(len(s.unread), s.window), s.writeClosed && len(s.unread) <= s.window
}

// bufferedConn is one end of a buffered connection. It implements connstate.Reporter and,
// like the connections of package rpc, ExtendUserTimeout.
type bufferedConn struct {
	incoming, outgoing *stream
	// userTimeout is that of the connection's dialer.
	userTimeout time.Duration
}

// newBufferedPipe returns both ends of a connection that buffers bytes; see
// Network.Window and Network.UserTimeout.
func newBufferedPipe(window int, userTimeout time.Duration) (client, server net.Conn) {
	a, b := newStream(window), newStream(window)
	a.reverse, b.reverse = b, a
	b.userTimeout = userTimeout
	return &bufferedConn{incoming: a, outgoing: b, userTimeout: userTimeout}, &bufferedConn{incoming: b, outgoing: a}
}

// ExtendUserTimeout extends TCP_USER_TIMEOUT of this end; 0 restores that of the dialer.
func (c *bufferedConn) ExtendUserTimeout(timeout time.Duration) {
	c.outgoing.set(func() {
		c.outgoing.userTimeout = max(timeout, c.userTimeout)
		c.outgoing.checkProgress(c.outgoing.userTimeout)
	})
}

// Read implements net.Conn. The error is io.EOF after the peer has closed the connection.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.incoming.read(p) }

// Write implements net.Conn.
func (c *bufferedConn) Write(p []byte) (int, error) { return c.outgoing.write(p) }

// Close implements net.Conn. The peer can still read what was written before.
func (c *bufferedConn) Close() error {
	c.outgoing.set(func() { c.outgoing.writeClosed = true })
	c.incoming.set(func() { c.incoming.readClosed = true })
	return nil
}

// PeerClosed implements connstate.Reporter.
func (c *bufferedConn) PeerClosed() bool {
	_, ended := c.incoming.state()
	return ended
}

// UnreadBytes implements connstate.Reporter.
func (c *bufferedConn) UnreadBytes() int {
	unread, _ := c.incoming.state()
	return unread
}

// SetDeadline implements net.Conn.
func (c *bufferedConn) SetDeadline(t time.Time) error {
	c.incoming.setDeadline(&c.incoming.readDeadline, t)
	c.outgoing.setDeadline(&c.outgoing.writeDeadline, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *bufferedConn) SetReadDeadline(t time.Time) error {
	c.incoming.setDeadline(&c.incoming.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *bufferedConn) SetWriteDeadline(t time.Time) error {
	c.outgoing.setDeadline(&c.outgoing.writeDeadline, t)
	return nil
}

// LocalAddr implements net.Conn.
func (c *bufferedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *bufferedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
