package rpc

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpKeepAlive is the interval of TCP keep-alive probes on idle connections.
	tcpKeepAlive = 5 * time.Second
	// socketBuffer is the size in bytes of a connection's read and write buffers.
	socketBuffer = 8 << 10

	// A peer without power is found on an idle connection after
	// watchedIdle + watchedProbes*watchedInterval.
	watchedIdle     = 1500 * time.Millisecond
	watchedInterval = time.Second
	watchedProbes   = 2
)

// Dialer returns a dialer that gives up a connection attempt after
// dialTimeout, and a connection whose sent data stays unacknowledged by the
// peer for userTimeout (TCP_USER_TIMEOUT, RFC 5482).
func Dialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: tcpKeepAlive,
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) {
				milliseconds := int(userTimeout / time.Millisecond)
				// Without this option the kernel's own timeout bounds the connection.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
			})
		},
	}
}

// Transport returns a transport for calls to peers: see Dialer for dialTimeout
// and userTimeout. Idle connections, idlePerHost of them at most for each host,
// are closed after idleTimeout.
func Transport(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(dialTimeout, userTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     socketBuffer,
		ReadBufferSize:      socketBuffer,
	}
}

// Watched is Transport with keep-alive probes on idle connections, so that a
// peer that lost its power is found within a few seconds though nothing is sent
// to it.
func Watched(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	transport := Transport(dialTimeout, userTimeout, idleTimeout, idlePerHost)
	dialer := Dialer(dialTimeout, userTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     watchedIdle,
		Interval: watchedInterval,
		Count:    watchedProbes,
	}
	transport.DialContext = dialer.DialContext
	return transport
}
