package memnet

import (
	"errors"
	"io"
	"net"
	"testing"

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
