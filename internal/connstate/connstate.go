// Package connstate reports the state of a connection that reading from it reveals only
// later: whether the peer has closed it, and how many received bytes are unread.
//
// An http.Server detects that the client of a request has disconnected only once the
// request's body has been read to its end. The end of a TCP connection is received after
// all data, so with unread data no read reports it, but the kernel knows it.
//
// The package has no state. Its functions are safe for concurrent use, also while the
// connection is read, written or closed.
package connstate

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reporter is implemented by connections that are not sockets but know their state.
type Reporter interface {
	// PeerClosed reports whether the peer has closed the connection or its sending side.
	PeerClosed() bool
	// UnreadBytes returns the number of bytes that were received and not read yet.
	UnreadBytes() int
}

// wrapper is implemented by connections that wrap another one.
type wrapper interface{ NetConn() net.Conn }

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// ConnContext is the hook of http.Server of the same name. With it, FromContext returns
// the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// FromContext returns the connection on which the request with the context was received,
// or nil if its server does not use ConnContext.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return c
}

// PeerClosed reports whether the peer has closed the connection or its sending side, even
// if received bytes are unread, or whether the connection was reset. It returns false if
// the state of the connection is not known, such as that of a connection closed locally.
func PeerClosed(c net.Conn) bool {
	c = unwrap(c)
	if reporter, ok := c.(Reporter); ok {
		return reporter.PeerClosed()
	}
	closed := false
	control(c, func(descriptor int) {
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&ended != 0
	})
	return closed
}

// UnreadBytes returns the number of bytes that the connection has received and that were
// not read yet. It returns 0 if the number is not known.
func UnreadBytes(c net.Conn) int {
	c = unwrap(c)
	if reporter, ok := c.(Reporter); ok {
		return reporter.UnreadBytes()
	}
	unread := 0
	control(c, func(descriptor int) {
		if n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// unwrap returns the innermost connection that c wraps, or c itself.
func unwrap(c net.Conn) net.Conn {
	for {
		w, ok := c.(wrapper)
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}

// control calls f with the file descriptor of the connection, unless it has none or is
// closed. The descriptor is valid until f returns.
func control(c net.Conn, f func(descriptor int)) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
}
