package rpc

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// userTimeoutOf returns TCP_USER_TIMEOUT of a connection.
func userTimeoutOf(t *testing.T, c *Conn) time.Duration {
	t.Helper()
	raw, err := c.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	milliseconds := 0
	controlErr := raw.Control(func(fd uintptr) {
		milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	qt.Assert(t, controlErr, qt.IsNil)
	qt.Assert(t, err, qt.IsNil)
	return time.Duration(milliseconds) * time.Millisecond
}

// dialThrough returns a connection of a transport.
func dialThrough(t *testing.T, transport *http.Transport) *Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialed.Close() })
	return dialed.(*Conn)
}

func TestUserTimeoutOfASocketIsExtendedAndRestored(t *testing.T) {
	const dialed = 600 * time.Millisecond
	c := dialThrough(t, NewTransport(time.Second, dialed, time.Minute, 1))
	for _, step := range []struct{ extendTo, expected time.Duration }{
		{0, dialed}, {5 * time.Second, 5 * time.Second}, {time.Millisecond, dialed}, {time.Minute, time.Minute}, {0, dialed},
	} {
		c.ExtendUserTimeout(step.extendTo)
		qt.Assert(t, userTimeoutOf(t, c), qt.Equals, step.expected)
	}
}

func TestDefaultUserTimeoutOfTheKernelIsKept(t *testing.T) {
	c := dialThrough(t, NewTransport(time.Second, 0, time.Minute, 1))
	c.ExtendUserTimeout(time.Second)
	qt.Assert(t, userTimeoutOf(t, c), qt.Equals, time.Duration(0))
}
