package soak

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEcho starts a member's listener that answers each line with the same line.
func startEcho(t *testing.T, target *member) {
	t.Helper()
	listener, err := net.Listen("tcp", target.controlAddress())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(connection)
				for lines.Scan() {
					_, _ = connection.Write(append(lines.Bytes(), '\n'))
				}
				_ = connection.Close()
			}()
		}
	}()
}

// Bytes on a held link must wait and be delivered later, in the held direction alone, and
// the end of a connection must follow them.
func TestHeldLinkDeliversLate(t *testing.T) {
	target := &member{name: "b", ip: "127.9.1.1", bindIP: "127.9.1.101"}
	startEcho(t, target)
	l := newLinks()
	qt.Assert(t, startRelay(t.Context(), target, l, func(*net.TCPConn) string { return "a" }), qt.IsNil)
	connection, err := net.Dial("tcp", "127.9.1.1:7700")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	for _, held := range []link{{"a", "b"}, {"b", "a"}} {
		openFirst, openSecond := l.hold(held), l.hold(held)
		_, err = connection.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
		openFirst()
		qt.Assert(t, connection.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
		_, err = answers.ReadString('\n')
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("one fault still holds the link"))
		openSecond()
		qt.Assert(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		line, err := answers.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, line, qt.Equals, "line\n")
	}
	qt.Assert(t, connection.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, err = answers.ReadString('\n')
	qt.Assert(t, err, qt.ErrorMatches, "EOF")
}

// Guards against connections whose sender is not found: faults of links would not apply.
func TestSocketsAreAttributedToTheirProcess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	local, remote := connection.LocalAddr().(*net.TCPAddr), connection.RemoteAddr().(*net.TCPAddr)
	inode, err := socketInode(local, remote)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hasSocket(os.Getpid(), inode), qt.IsTrue)
	qt.Assert(t, hasSocket(os.Getpid(), inode+1<<30), qt.IsFalse)
	_, err = socketInode(&net.TCPAddr{IP: local.IP, Port: 1}, remote)
	qt.Assert(t, err, qt.ErrorIs, errNoSocket)
}
