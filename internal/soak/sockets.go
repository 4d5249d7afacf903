package soak

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// socketTable lists the TCP sockets of the system, one per line after a header.
const socketTable = "/proc/net/tcp"

// Columns of socketTable.
const (
	localAddressColumn = 1
	inodeColumn        = 9
)

// isReset reports whether a connection was reset by its peer.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// socketInode returns the inode of the socket that is bound to a local port and belongs
// to a process, or "" if there is none. Sockets that no process has open have inode 0.
func socketInode(port int) string {
	table, err := os.Open(socketTable)
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeColumn && strings.HasSuffix(fields[localAddressColumn], suffix) && fields[inodeColumn] != "0" {
			return fields[inodeColumn]
		}
	}
	return ""
}

// hasSocket reports whether the process has the socket with that inode open.
func hasSocket(pid int, inode string) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	descriptors, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(filepath.Join(directory, d.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
