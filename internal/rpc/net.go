package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("trunk")

func Dialer(wait, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   wait,
		KeepAlive: 5 * time.Second,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
			})
		},
	}
}

func Transport(wait, silence, idle time.Duration, perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(wait, silence).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idle,
		MaxConnsPerHost:     0,
		WriteBufferSize:     8 << 10,
		ReadBufferSize:      8 << 10,
	}
}

// Watched is a transport whose idle streams are probed, so that a peer that has
// lost its power is found within a few seconds though nothing is sent to it.
func Watched(wait, silence, idle time.Duration, perHost int) *http.Transport {
	t := Transport(wait, silence, idle, perHost)
	d := Dialer(wait, silence)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 1500 * time.Millisecond, Interval: time.Second, Count: 2}
	t.DialContext = d.DialContext
	return t
}

// Lines keeps the typed user agents of the other processes by address.
type Lines struct {
	hc  *http.Client
	mu  sync.Mutex
	exs map[string]meshpb.Exchange
	cts map[string]meshpb.Control
	nds map[string]meshpb.Node
	trs map[string]meshpb.Tracer
}

func NewLines(hc *http.Client) *Lines {
	return &Lines{hc: hc, exs: map[string]meshpb.Exchange{}, cts: map[string]meshpb.Control{}, nds: map[string]meshpb.Node{}, trs: map[string]meshpb.Tracer{}}
}

func line[T any](l *Lines, m map[string]T, addr string, mk func(string, meshpb.HTTPClient) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := m[addr]
	if !ok {
		c = mk("http://"+addr, l.hc)
		m[addr] = c
	}
	return c
}

func (l *Lines) Exchange(a string) meshpb.Exchange {
	return line(l, l.exs, a, func(u string, h meshpb.HTTPClient) meshpb.Exchange { return meshpb.NewExchangeProtobufClient(u, h) })
}

func (l *Lines) Control(a string) meshpb.Control {
	return line(l, l.cts, a, func(u string, h meshpb.HTTPClient) meshpb.Control { return meshpb.NewControlProtobufClient(u, h) })
}

func (l *Lines) Node(a string) meshpb.Node {
	return line(l, l.nds, a, func(u string, h meshpb.HTTPClient) meshpb.Node { return meshpb.NewNodeProtobufClient(u, h) })
}

func (l *Lines) Tracer(a string) meshpb.Tracer {
	return line(l, l.trs, a, func(u string, h meshpb.HTTPClient) meshpb.Tracer { return meshpb.NewTracerProtobufClient(u, h) })
}

// Call runs one call within d.
func Call[Q, R any](d time.Duration, f func(context.Context, Q) (R, error), q Q) (R, error) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	return f(ctx, q)
}

// PutNode stands a node in for the one at an address.
func (l *Lines) PutNode(addr string, n meshpb.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nds[addr] = n
}

// PutControl stands a core member in for the one at an address.
func (l *Lines) PutControl(addr string, c meshpb.Control) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cts[addr] = c
}
