package soak

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoSocket reports that the kernel knows no such socket.
var errNoSocket = errors.New("no such socket")

// Layout of the messages of the kernel's socket diagnosis (linux/inet_diag.h).
const (
	netlinkHeaderSize = 16
	// diagRequestSize is the size of struct inet_diag_req_v2.
	diagRequestSize = 56
	// diagRequestStates and diagRequestID are offsets in it: the mask of the socket states
	// and struct inet_diag_sockid.
	diagRequestStates = 4
	diagRequestID     = 8
	// diagAnswerInode is the offset of the inode in struct inet_diag_msg.
	diagAnswerInode = 68
	// sockDiagByFamily is the type of both messages.
	sockDiagByFamily = 20
	// Offsets in struct inet_diag_sockid.
	idSourcePort, idDestinationPort, idSource, idDestination, idCookie = 0, 2, 4, 20, 40
	anyState, anyCookie                                                = 0xffffffff, 0xffffffff
)

// isReset reports whether a connection was reset by its peer.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// socketInode returns the inode of the IPv4 TCP socket with these addresses. Reading it
// from /proc/net/tcp would take longer the more sockets there are.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	descriptor, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(descriptor) }()
	if err := unix.Sendto(descriptor, diagRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(descriptor, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < netlinkHeaderSize+diagAnswerInode+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(answer[netlinkHeaderSize+diagAnswerInode:]), nil
}

// diagRequest returns the message that asks for one socket.
func diagRequest(local, remote *net.TCPAddr) []byte {
	message := make([]byte, netlinkHeaderSize+diagRequestSize)
	binary.NativeEndian.PutUint32(message[0:], uint32(len(message)))
	binary.NativeEndian.PutUint16(message[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(message[6:], unix.NLM_F_REQUEST)
	request := message[netlinkHeaderSize:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagRequestStates:], anyState)
	id := request[diagRequestID:]
	binary.BigEndian.PutUint16(id[idSourcePort:], uint16(local.Port))
	binary.BigEndian.PutUint16(id[idDestinationPort:], uint16(remote.Port))
	copy(id[idSource:], local.IP.To4())
	copy(id[idDestination:], remote.IP.To4())
	binary.NativeEndian.PutUint32(id[idCookie:], anyCookie)
	binary.NativeEndian.PutUint32(id[idCookie+4:], anyCookie)
	return message
}

// hasSocket reports whether the process has the socket with that inode open.
func hasSocket(pid int, inode uint32) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	descriptors, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	wanted := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	for _, d := range descriptors {
		if target, err := os.Readlink(filepath.Join(directory, d.Name())); err == nil && target == wanted {
			return true
		}
	}
	return false
}
