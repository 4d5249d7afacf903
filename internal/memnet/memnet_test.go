package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func noWrap(server net.Conn) net.Conn { return server }

func TestDialConnectsToListener(t *testing.T) {
	var n Network
	l := n.Listen("a")
	received := make(chan string)
	go func() {
		server, err := l.Accept()
		if err != nil {
			received <- err.Error()
			return
		}
		b, _ := io.ReadAll(server)
		received <- string(b)
	}()
	client, err := n.Dial("a", noWrap)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(client, "hello")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, client.Close(), qt.IsNil)
	qt.Assert(t, <-received, qt.Equals, "hello")
}

func TestDialWithoutListenerIsRefused(t *testing.T) {
	var n Network
	_, err := n.Dial("a", noWrap)
	qt.Assert(t, err, qt.ErrorMatches, "dial.*refused")
}

func TestCloseClosesListenersAndConnections(t *testing.T) {
	var n Network
	l := n.Listen("a")
	accepted := make(chan net.Conn)
	go func() {
		server, _ := l.Accept()
		accepted <- server
	}()
	client, err := n.Dial("a", noWrap)
	qt.Assert(t, err, qt.IsNil)
	<-accepted
	n.Close()
	_, err = client.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = l.Accept()
	qt.Assert(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
	_, err = n.Dial("a", noWrap)
	qt.Assert(t, err, qt.ErrorMatches, "dial.*refused")
}

// connectBuffered returns both ends of a connection with the given window.
func connectBuffered(t *testing.T, window int) (client, server net.Conn) {
	t.Helper()
	n := Network{Window: window}
	l := n.Listen("a")
	accepted := make(chan net.Conn, 1)
	go func() {
		server, _ := l.Accept()
		accepted <- server
	}()
	client, err := n.Dial("a", noWrap)
	qt.Assert(t, err, qt.IsNil)
	return client, <-accepted
}

func TestBufferedConnectionEndsAfterItsBytes(t *testing.T) {
	client, server := connectBuffered(t, 4)
	_, err := io.WriteString(client, "eight by")
	qt.Assert(t, err, qt.IsNil)
	state := server.(*bufferedConn)
	qt.Assert(t, state.UnreadBytes(), qt.Equals, 4)
	qt.Assert(t, client.Close(), qt.IsNil)
	qt.Assert(t, state.PeerClosed(), qt.IsFalse)
	read := make([]byte, 4)
	_, err = io.ReadFull(server, read)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state.PeerClosed(), qt.IsTrue)
	rest, err := io.ReadAll(server)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(read)+string(rest), qt.Equals, "eight by")
	_, err = io.WriteString(server, "x")
	qt.Assert(t, errors.Is(err, io.ErrClosedPipe), qt.IsTrue)
}

func TestBufferedConnectionBreaksAfterItsUserTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := newBufferedPipe(2, time.Second)
		write := func() (time.Duration, error) {
			started := time.Now()
			_, err := io.WriteString(client, "more than both ends hold")
			return time.Since(started), err
		}
		timeouts := client.(interface{ ExtendUserTimeout(time.Duration) })
		timeouts.ExtendUserTimeout(time.Minute)
		go func() {
			time.Sleep(30 * time.Second)
			_, _ = server.Read(make([]byte, 1))
			timeouts.ExtendUserTimeout(0)
		}()
		took, err := write()
		qt.Assert(t, took, qt.Equals, 31*time.Second)
		qt.Assert(t, errors.Is(err, syscall.ETIMEDOUT), qt.IsTrue)
		_, err = client.Read(make([]byte, 1))
		qt.Assert(t, err, qt.IsNotNil)
	})
}

func TestBufferedConnectionBlocksUntilItsDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connectBuffered(t, 1)
		qt.Assert(t, client.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
		started := time.Now()
		n, err := io.WriteString(client, "full")
		qt.Assert(t, n, qt.Equals, 2)
		qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		_, err = client.Read(make([]byte, 1))
		qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		qt.Assert(t, time.Since(started), qt.Equals, time.Second)
		qt.Assert(t, client.SetDeadline(time.Time{}), qt.IsNil)
		go func() {
			time.Sleep(time.Second)
			_, _ = io.ReadFull(server, make([]byte, 3))
		}()
		_, err = io.WriteString(client, "x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(started), qt.Equals, 2*time.Second)
	})
}
