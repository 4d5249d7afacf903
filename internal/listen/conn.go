package listen

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keptHeaderTimeout is the timeout for the rest of a request header if the connection was
// evicted after the start of the header had been read.
const keptHeaderTimeout = 3 * time.Second

// connState is the state of a connection in a Limiter.
type connState = int32

const (
	// stateWaiting: no request is in progress; the connection is in Limiter.waiting.
	stateWaiting connState = iota
	// stateBusy: a request is in progress.
	stateBusy
	// stateEvicted: the read deadline was set to the past, so that the server closes the
	// connection unless it has read the start of a request before.
	stateEvicted
	// stateClosed: the connection no longer counts toward the limit.
	stateClosed
)

// limitedListener is a net.Listener whose connections count toward a limit.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits until the limit permits another connection, and then for one.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.limiter.acquire()
	connection, err := l.Listener.Accept()
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	if err != nil {
		l.limiter.release()
		return nil, err
	}
	c := &limitedConn{Conn: connection, limiter: l.limiter, waitingSince: time.Now()}
	l.limiter.waiting.add(c)
	return c, nil
}

// limitedConn is a connection that counts toward a limit.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	// state is modified with limiter.mu held.
	state atomic.Int32

	// These fields are guarded by limiter.mu.
	waitingSince   time.Time
	previous, next *limitedConn
}

// NetConn returns the connection that c wraps, for package connstate.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. The first bytes of a request make the connection busy.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markBusyIfWaiting()
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	switch c.state.Swap(stateClosed) {
	case stateClosed:
		return err
	case stateWaiting:
		c.limiter.waiting.remove(c)
	case stateBusy:
		c.limiter.busy--
	case stateEvicted:
		c.limiter.evicted--
	}
	c.limiter.release()
	return err
}

// markWaiting records that the connection waits for its next request.
func (c *limitedConn) markWaiting() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state.Load() != stateBusy {
		return
	}
	c.state.Store(stateWaiting)
	c.waitingSince = time.Now()
	c.limiter.waiting.add(c)
	c.limiter.busy--
	c.limiter.notifyFreed()
}

// markBusyIfWaiting records that a request is in progress. If the connection was evicted
// after the start of the request had been read, the eviction is undone.
func (c *limitedConn) markBusyIfWaiting() {
	if state := c.state.Load(); state == stateBusy || state == stateClosed {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	switch c.state.Load() {
	case stateWaiting:
		c.limiter.waiting.remove(c)
	case stateEvicted:
		c.limiter.evicted--
		// After the first request of a connection, the server replaces this deadline.
		_ = c.Conn.SetReadDeadline(time.Now().Add(keptHeaderTimeout))
	default:
		return
	}
	c.state.Store(stateBusy)
	c.limiter.busy++
}

// hasUnreadBytes reports whether the socket of the connection has received bytes that were
// not read yet. It returns false for a connection that is not a socket.
func hasUnreadBytes(connection net.Conn) bool {
	withDescriptor, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(descriptor uintptr) {
		n, _, err := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// waitingList is a list of connections in the order in which they were added.
type waitingList struct{ first, last *limitedConn }

// add appends a connection that is in no list.
func (l *waitingList) add(c *limitedConn) {
	c.previous, c.next = l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

// remove removes a connection that is in the list.
func (l *waitingList) remove(c *limitedConn) {
	if c.previous == nil {
		l.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		l.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.previous, c.next = nil, nil
}
