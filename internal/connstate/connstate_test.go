package connstate

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// largeBody exceeds the buffers of an http.Server.
	largeBody = 100_000
	// waitLimit is the time after which a state that was not reached fails a test.
	waitLimit = 10 * time.Second
)

// connect returns both ends of a TCP connection on the loopback interface.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// waitFor waits until the condition is true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}

// Guards against a client that has left unnoticed, because its request is still unread.
func TestPeerClosedIsSeenBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(client *net.TCPConn) error{
		"closed":            (*net.TCPConn).Close,
		"write side closed": (*net.TCPConn).CloseWrite,
		"reset": func(client *net.TCPConn) error {
			if err := client.SetLinger(0); err != nil {
				return err
			}
			return client.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			body := make([]byte, largeBody)
			qt.Assert(t, server.SetReadBuffer(2*largeBody), qt.IsNil)
			_, err := client.Write(body)
			qt.Assert(t, err, qt.IsNil)
			waitFor(t, func() bool { return UnreadBytes(server) > 0 })
			qt.Assert(t, PeerClosed(server), qt.IsFalse)
			qt.Assert(t, end(client), qt.IsNil)
			waitFor(t, func() bool { return PeerClosed(server) })
			if name != "reset" {
				qt.Assert(t, UnreadBytes(server), qt.Equals, largeBody)
			}
		})
	}
}

func TestPeerClosedIsSeenWithoutUnreadBytes(t *testing.T) {
	client, server := connect(t)
	qt.Assert(t, PeerClosed(server), qt.IsFalse)
	qt.Assert(t, UnreadBytes(server), qt.Equals, 0)
	qt.Assert(t, client.Close(), qt.IsNil)
	waitFor(t, func() bool { return PeerClosed(server) })
}

// wrappedConn is a connection that wraps another one.
type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

func TestStateOfAWrappedConnection(t *testing.T) {
	client, server := connect(t)
	wrapped := wrappedConn{wrappedConn{server}}
	qt.Assert(t, client.Close(), qt.IsNil)
	waitFor(t, func() bool { return PeerClosed(wrapped) })
}

func TestUnknownState(t *testing.T) {
	pipe, _ := net.Pipe()
	qt.Assert(t, pipe.Close(), qt.IsNil)
	_, closed := connect(t)
	qt.Assert(t, closed.Close(), qt.IsNil)
	for _, c := range []net.Conn{pipe, closed, nil} {
		qt.Check(t, PeerClosed(c), qt.IsFalse)
		qt.Check(t, UnreadBytes(c), qt.Equals, 0)
	}
	qt.Assert(t, FromContext(context.Background()), qt.IsNil)
	qt.Assert(t, FromContext(ConnContext(context.Background(), pipe)), qt.Equals, pipe)
}
