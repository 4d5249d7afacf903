package proxy

import (
	"context"
	"net"
	"time"
)

// maxUnpausedBody is the size in bytes up to which a body fits into the receive buffer of
// any peer, so that sending it does not depend on when the peer reads it.
const maxUnpausedBody = 32 << 10

// userTimeoutConn is implemented by the connections of package rpc.
type userTimeoutConn interface {
	// ExtendUserTimeout extends the connection's user timeout (TCP_USER_TIMEOUT); 0
	// restores it.
	ExtendUserTimeout(timeout time.Duration)
}

// extendUserTimeout prepares a connection for sending a body of the given length (negative
// if unknown) until the deadline of ctx. The user timeout detects a peer that does not
// respond, but it also ends the connection to a peer that pauses in reading a large body.
// Such a body is therefore given until the deadline. For any other, the connection's own
// timeout is restored.
func extendUserTimeout(ctx context.Context, connection net.Conn, length int64) {
	c, ok := connection.(userTimeoutConn)
	if !ok {
		return
	}
	if length >= 0 && length <= maxUnpausedBody {
		c.ExtendUserTimeout(0)
		return
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	c.ExtendUserTimeout(time.Until(deadline))
}
