package listen

import (
	"errors"
	"net"
	"sync"
	"time"

	"corkcove/internal/logring"
)

const (
	// minBackoff and maxBackoff limit the pause after an error of Accept. It doubles with
	// each error in a row.
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
	// failingAfter is the minimum duration of a series of errors for the listener to
	// count as failing. Clients wait out a shorter one in the queue of the socket.
	failingAfter = time.Second
	// failureExpiry is the age of the last error at which the listener no longer counts
	// as failing: the current call of Accept waits for a client instead of failing.
	failureExpiry = 2 * maxBackoff
)

// Retrying is a net.Listener whose Accept returns an error only if the listener is closed.
// After other errors Accept retries with a backoff, because their causes are temporary: a
// lack of file descriptors or buffers, or a client that has disconnected.
type Retrying struct {
	net.Listener
	log logring.Logger
	// onError, if set, is called after each error.
	onError func()

	mu sync.Mutex
	// firstError and lastError are the times of the first and the last error since a
	// connection was accepted. They are zero if there was none.
	firstError, lastError time.Time
}

// Retry returns a listener that accepts the connections of l. It logs the first error of
// a series, and the first success after it.
func Retry(l net.Listener, log logring.Logger) *Retrying { return &Retrying{Listener: l, log: log} }

// Accept waits for the next connection. The error is net.ErrClosed.
func (l *Retrying) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		connection, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recordSuccess()
			return connection, nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		}
		l.recordError(err)
		if l.onError != nil {
			l.onError()
		}
		time.Sleep(backoff)
	}
}

// Failing reports whether Accept has been returning errors for at least failingAfter and
// still does.
func (l *Retrying) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastError.Sub(l.firstError) >= failingAfter && time.Since(l.lastError) < failureExpiry
}

func (l *Retrying) recordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastError = time.Now()
	if !l.firstError.IsZero() {
		return
	}
	l.firstError = l.lastError
	l.log.Warn("failed to accept connections", "address", l.Addr(), "error", err)
}

func (l *Retrying) recordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstError.IsZero() {
		return
	}
	l.log.Info("accepts connections again", "address", l.Addr(), "duration", l.lastError.Sub(l.firstError))
	l.firstError, l.lastError = time.Time{}, time.Time{}
}
