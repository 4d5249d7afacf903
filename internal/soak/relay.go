package soak

import (
	"context"
	"errors"
	"net"
	"strconv"
)

// relayBufferSize is the number of bytes that a relay reads at once.
const relayBufferSize = 16 << 10

// relay passes on the connections that other members make to a member, as its links
// allow. It attributes a connection to the member whose process made it.
type relay struct {
	target *member
	links  *links
	// sender returns the name of the member that made a connection.
	sender    func(*net.TCPConn) string
	listeners []net.Listener
}

// startRelay listens at the member's address. The relay ends with ctx.
func startRelay(ctx context.Context, target *member, l *links, sender func(*net.TCPConn) string) error {
	r := &relay{target: target, links: l, sender: sender}
	for _, port := range []int{internalPort, controlPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(target.ip, strconv.Itoa(port)))
		if err != nil {
			r.close()
			return err
		}
		r.listeners = append(r.listeners, listener)
		go r.accept(ctx, listener, net.JoinHostPort(target.bindIP, strconv.Itoa(port)))
	}
	context.AfterFunc(ctx, r.close)
	return nil
}

func (r *relay) close() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
}

func (r *relay) accept(ctx context.Context, listener net.Listener, target string) {
	for {
		incoming, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.connect(ctx, incoming.(*net.TCPConn), target)
		}
	}
}

// connect relays one connection until both directions have ended.
func (r *relay) connect(ctx context.Context, incoming *net.TCPConn, target string) {
	defer func() { _ = incoming.Close() }()
	sender := r.sender(incoming)
	if sender == "" {
		return
	}
	there := link{sender, r.target.name}
	back := link{there.to, there.from}
	if r.links.wait(ctx, there) != nil {
		return
	}
	dialed, err := net.Dial("tcp", target)
	if err != nil {
		// The member does not listen: its port refuses connections.
		_ = incoming.SetLinger(0)
		return
	}
	outgoing := dialed.(*net.TCPConn)
	defer func() { _ = outgoing.Close() }()
	stop := context.AfterFunc(ctx, func() { _, _ = incoming.Close(), outgoing.Close() })
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.copy(ctx, there, outgoing, incoming)
	}()
	r.copy(ctx, back, incoming, outgoing)
	<-ended
}

// copy passes on bytes in one direction, and then its end: a closed connection is closed
// and a reset one is reset.
func (r *relay) copy(ctx context.Context, direction link, to, from *net.TCPConn) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if r.links.wait(ctx, direction) != nil {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if isReset(err) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		_ = to.CloseWrite()
		return
	}
}
