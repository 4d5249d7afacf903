package listen

import (
	"net"
	"net/http"
	"sync"
	"time"

	"corkcove/internal/connstate"
)

const (
	// minEvictionAge is the minimum time since a connection's last response, or since it
	// was accepted, for an eviction. Before, the server may still replace the deadline by
	// which it is evicted.
	minEvictionAge = 100 * time.Millisecond
	// slotRetryInterval is the interval at which a limiter at its limit tries to evict a
	// connection.
	slotRetryInterval = 20 * time.Millisecond
	// saturatedAfter is the minimum time at the limit, with no connection to evict, for a
	// limiter to count as saturated.
	saturatedAfter = time.Second
)

// Limiter limits the file descriptors used for connections of clients. A connection
// counts as one descriptor, and as two while a request is in progress, which needs an
// upstream connection too. At the limit, the connection that has been idle longest is
// evicted. If all connections have requests in progress, new clients wait in the queue of
// the listening socket until one is closed.
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
	// evicted counts the connections that were evicted and are not closed yet.
	evicted int
	// waiting contains the connections without a request in progress, the one that has
	// been idle longest first.
	waiting waitingList
	// fullSince is the time at which Accept began to wait for a free descriptor, or zero
	// if it does not wait.
	fullSince time.Time
}

// NewLimiter returns a limiter for at least one connection.
func NewLimiter(descriptors int) *Limiter {
	return &Limiter{limit: max(descriptors, 2), freed: make(chan struct{}, 1)}
}

// Listen returns a listener whose connections count toward the limit. The http.Server that
// serves them must use connstate.ConnContext and the limiter's ConnState and Handler. Each
// error of Accept, such as a lack of descriptors, evicts an idle connection.
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

// Handler returns a handler that marks a request's connection as busy and calls h. This is
// needed for pipelined requests: the server reads such a request together with the one
// before it, and reports no change of state.
func (m *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connection, ok := connstate.FromContext(r.Context()).(*limitedConn); ok {
			connection.markBusyIfWaiting()
		}
		h.ServeHTTP(w, r)
	})
}

// acquire waits until there is a descriptor for another connection.
func (m *Limiter) acquire() {
	for !m.tryAcquire() {
		m.makeRoom()
		select {
		case <-m.freed:
		case <-time.After(slotRetryInterval):
			// A connection that was evicted may not have been closed.
			m.evict()
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

// makeRoom evicts a connection unless those that are being closed make enough room.
func (m *Limiter) makeRoom() {
	m.mu.Lock()
	enough := m.open-m.evicted+m.busy < m.limit
	m.mu.Unlock()
	if !enough {
		m.evict()
	}
}

// evict makes the server close the connection that has been idle longest and has received
// no unread bytes. It does nothing if there is no such connection.
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
		m.evicted++
		// The read of the server fails, and the server closes the connection. An error
		// means that the connection has been closed.
		_ = c.Conn.SetReadDeadline(now)
		return
	}
}
