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
	// connBufferBytes is the size of a connection's read buffer and of its write
	// buffer.
	connBufferBytes = 8 << 10

	// A peer that lost power is detected on an idle connection after
	// probeIdle + probeCount*probeInterval, which is 3.5s.
	probeIdle     = 1500 * time.Millisecond
	probeInterval = time.Second
	probeCount    = 2
)

// NewDialer returns a dialer that abandons a connection attempt after dialTimeout.
// Its connections are closed when sent data remains unacknowledged for userTimeout
// (TCP_USER_TIMEOUT, RFC 5482); 0 keeps the kernel's default.
func NewDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: tcpKeepAlive,
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) {
				milliseconds := int(userTimeout / time.Millisecond)
				// A failure is ignored: the kernel's default timeout then applies.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
			})
		},
	}
}

// NewTransport returns a transport for calls to peers; see NewDialer for
// dialTimeout and userTimeout. It keeps at most idlePerHost idle connections per
// host and closes them after idleTimeout.
func NewTransport(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         NewDialer(dialTimeout, userTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     connBufferBytes,
		ReadBufferSize:      connBufferBytes,
	}
}

// NewProbingTransport is like NewTransport, but probes idle connections more often,
// so that a peer that lost power is detected within a few seconds even if no calls
// are made to it.
func NewProbingTransport(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	transport := NewTransport(dialTimeout, userTimeout, idleTimeout, idlePerHost)
	dialer := NewDialer(dialTimeout, userTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}
	transport.DialContext = dialer.DialContext
	return transport
}
