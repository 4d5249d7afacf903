package listen

import (
	"net"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// socketPair returns two connected sockets.
func socketPair(t *testing.T) (ends [2]net.Conn) {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "socket")
		ends[i], err = net.FileConn(file)
		qt.Assert(t, err, qt.IsNil)
		_ = file.Close()
		t.Cleanup(func() { _ = ends[i].Close() })
	}
	return ends
}

// Guards against evicting a connection on which a request has just arrived.
func TestUnreadBytesAreSeenAndNotConsumed(t *testing.T) {
	ends := socketPair(t)
	qt.Assert(t, hasUnreadBytes(ends[0]), qt.IsFalse)
	_, err := ends[1].Write([]byte("G"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hasUnreadBytes(ends[0]), qt.IsTrue)
	qt.Assert(t, hasUnreadBytes(ends[0]), qt.IsTrue)
	received := make([]byte, 2)
	n, err := ends[0].Read(received)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(received[:n]), qt.Equals, "G")
	qt.Assert(t, hasUnreadBytes(ends[0]), qt.IsFalse)
}
