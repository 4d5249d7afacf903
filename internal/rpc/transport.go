package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
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
			setUserTimeout(conn, userTimeout)
			return nil
		},
	}
}

// Conn is a TCP connection whose user timeout can be extended. It is safe for concurrent use.
type Conn struct {
	*net.TCPConn
	// dialed is the user timeout that the connection was dialed with, current the one in
	// force.
	dialed  time.Duration
	mu      sync.Mutex
	current time.Duration
}

// ExtendUserTimeout extends the time after which the connection is closed if sent data
// remains unacknowledged or the peer's receive window remains closed. 0 restores the timeout
// that the connection was dialed with. It does nothing if that is the kernel's default.
func (c *Conn) ExtendUserTimeout(timeout time.Duration) {
	timeout = max(timeout, c.dialed)
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout == c.current || c.dialed == 0 {
		return
	}
	c.current = timeout
	if raw, err := c.SyscallConn(); err == nil {
		setUserTimeout(raw, timeout)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket. A failure is ignored: the previous
// timeout, at first the kernel's default, then remains in force.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}

// dialConn returns a dial function whose TCP connections are of type *Conn.
func dialConn(dialer *net.Dialer, userTimeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if socket, ok := c.(*net.TCPConn); ok && err == nil {
			return &Conn{TCPConn: socket, dialed: userTimeout, current: userTimeout}, nil
		}
		return c, err
	}
}

// NewTransport returns a transport for calls to peers; see NewDialer for
// dialTimeout and userTimeout. Its connections are of type *Conn. It keeps at most
// idlePerHost idle connections per host and closes them after idleTimeout.
func NewTransport(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dialConn(NewDialer(dialTimeout, userTimeout), userTimeout),
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
