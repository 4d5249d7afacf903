package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minEvictionAge is how long a connection must have waited for a request before it
	// may be evicted. Until then the server may still be setting its deadline.
	minEvictionAge = 100 * time.Millisecond
	// slotRetryInterval is how often a full limiter looks for a connection to evict.
	slotRetryInterval = 20 * time.Millisecond
	// saturatedAfter is how long a limiter must have been full, with no connection to
	// evict, to count as saturated.
	saturatedAfter = time.Second
)

// Limiter limits the file descriptors that connections of clients take: one for each
// connection, and another one for each that has a request in progress, for the upstream
// connection that the request needs. At the limit, the connection that has waited longest
// for a request is evicted to make room. If all have requests in progress, clients wait
// in the queue of the listening socket until a connection is closed.
//
// Invariant: a connection from which any byte of a request was read is not evicted before
// the response is complete.
type Limiter struct {
	limit int
	// freed receives a value when a descriptor becomes free.
	freed chan struct{}

	mu sync.Mutex
	// open counts the connections and the slot of the next one. busy counts those of
	// them that have a request in progress.
	open, busy int
	// waiting has the connections that wait for a request, longest first.
	waiting waitingList
	// fullSince is since when Accept has waited for a slot; zero if it does not.
	fullSince time.Time
}

// NewLimiter returns a limiter for at least one connection.
func NewLimiter(descriptors int) *Limiter {
	return &Limiter{limit: max(descriptors, 2), freed: make(chan struct{}, 1)}
}

// Listen returns a listener whose connections count toward the limit. They must be served
// by a server to which ConnState, ConnContext and Handler of the limiter apply. If
// accepting fails for a lack of descriptors, a waiting connection is evicted.
func (m *Limiter) Listen(l *Retrying) net.Listener {
	l.onError = m.evict
	return &limitedListener{l, m}
}

// Saturated reports whether no client can connect at present, because all connections
// have had requests in progress for saturatedAfter.
func (m *Limiter) Saturated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.fullSince.IsZero() && time.Since(m.fullSince) >= saturatedAfter
}

// ConnState is the hook of http.Server of the same name.
func (m *Limiter) ConnState(c net.Conn, state http.ConnState) {
	if connection, ok := c.(*limitedConn); ok && state == http.StateIdle {
		connection.markWaiting()
	}
}

// connectionKey is the key of the connection in a request's context.
type connectionKey struct{}

// ConnContext is the hook of http.Server of the same name.
func (m *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Handler returns a handler that passes requests to h and keeps their connections from
// being evicted. Without it, a request that was read together with the one before it
// would go unnoticed.
func (m *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connection, ok := r.Context().Value(connectionKey{}).(*limitedConn); ok {
			connection.markBusyIfWaiting()
		}
		h.ServeHTTP(w, r)
	})
}

// acquire waits until there is a descriptor for another connection.
func (m *Limiter) acquire() {
	for !m.tryAcquire() {
		m.evict()
		select {
		case <-m.freed:
		case <-time.After(slotRetryInterval):
		}
	}
}

// tryAcquire takes a descriptor for another connection and reports whether there was one.
func (m *Limiter) tryAcquire() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open+m.busy >= m.limit {
		if m.fullSince.IsZero() {
			m.fullSince = time.Now()
		}
		return false
	}
	m.fullSince = time.Time{}
	m.open++
	return true
}

// release frees the descriptor of a connection. m.mu must be held.
func (m *Limiter) release() {
	m.open--
	m.notifyFreed()
}

func (m *Limiter) notifyFreed() {
	select {
	case m.freed <- struct{}{}:
	default:
	}
}

// evict makes the server close the connection that has waited longest for a request, and
// of which no unread byte is known. It does nothing if there is none.
func (m *Limiter) evict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for c := m.waiting.first; c != nil && now.Sub(c.waitingSince) >= minEvictionAge; c = c.next {
		if hasUnreadBytes(c.Conn) {
			continue
		}
		m.waiting.remove(c)
		c.state.Store(stateEvicted)
		// The server's read fails, and the server closes the connection. An error means
		// that it is closed already.
		_ = c.Conn.SetReadDeadline(now)
		return
	}
}
