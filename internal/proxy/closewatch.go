package proxy

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/connstate"
	"corkcove/internal/logring"
)

const (
	// closeCheckInterval is the interval at which a closeWatch checks the connection. Two
	// nodes in turn detect a client's close, and together they must cancel the request at
	// the endpoint within half a second.
	closeCheckInterval = 100 * time.Millisecond
	// maxReadAhead limits how many bytes of a request's body are read ahead.
	maxReadAhead = 512 << 10
	// maxTotalReadAhead limits how many bytes of bodies a chain has read ahead.
	maxTotalReadAhead = 16 << 20
	// minReadAhead is the minimum number of unread bytes for reading ahead.
	minReadAhead = 4 << 10
	// chunkedReadAheadDivisor divides the number of unread bytes of a chunked body to get
	// the number of bytes that can be read ahead without waiting for the client. A chunk
	// of one byte has five bytes of framing.
	chunkedReadAheadDivisor = 8
)

// errPeerClosed is the cause of contexts canceled because the peer has closed the
// connection of the request.
var errPeerClosed = errors.New("the peer has closed the connection")

// closeWatch cancels a pending request when its peer closes the connection although a
// part of the request's body is unread. net/http detects a close only once the whole body
// has been read, and a body can wait in the sockets for as long as its request waits. A
// nil *closeWatch never detects a close.
type closeWatch struct {
	connection net.Conn
	pending    *pendingRequest
	log        logring.Logger
	// readAhead, if not nil, reads some of the body, given how many bytes are unread. It
	// reports whether it read any.
	readAhead func(unread int) bool
	// detected is set once the peer has closed the connection.
	detected atomic.Bool
}

// newCloseWatch returns a watch for a request, or nil if its connection is not known.
func newCloseWatch(request *http.Request, pending *pendingRequest, log logring.Logger) *closeWatch {
	connection := connstate.FromContext(request.Context())
	if connection == nil {
		return nil
	}
	return &closeWatch{connection: connection, pending: pending, log: log}
}

// detectClose reports whether the peer has closed the connection, and cancels the request
// if it has.
func (w *closeWatch) detectClose() bool {
	if w == nil || !connstate.PeerClosed(w.connection) {
		return false
	}
	if !w.detected.Swap(true) {
		w.log.Info("peer disconnected before its request was read", "route", w.pending.route, "age", time.Since(w.pending.started))
		w.pending.cancel(errPeerClosed)
	}
	return true
}

// start checks the connection periodically, until the peer has closed it or the returned
// function is called. That function waits until the check has ended.
func (w *closeWatch) start() (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		w.run(stopping)
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

func (w *closeWatch) run(stopping <-chan struct{}) {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopping:
			return
		case <-ticker.C:
		}
		if w.detectClose() {
			return
		}
		for w.readAhead != nil && w.readAhead(connstate.UnreadBytes(w.connection)) {
		}
	}
}

// readAheadBudget limits how many bytes of bodies are read ahead in total. The zero value
// is ready to use.
type readAheadBudget struct{ used atomic.Int64 }

// reserve reserves n bytes and reports whether the budget allows it.
func (b *readAheadBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= maxTotalReadAhead {
		return true
	}
	b.release(n)
	return false
}

// release returns n reserved bytes.
func (b *readAheadBudget) release(n int) { b.used.Add(-int64(n)) }
