// Package mailbox confines state to one goroutine.
//
// The goroutine that calls Run owns the state. Other goroutines access it only
// through functions that they post to the mailbox. These run one at a time, in the
// order in which they were posted, so the state needs no lock. A posted function
// must not block, because nothing else runs until it returns.
package mailbox

import (
	"context"
	"sync"
	"time"
)

// queueCapacity is the number of functions that can be queued before Post blocks.
// It exceeds the number of calls in flight on a core member with hundreds of nodes.
const queueCapacity = 4096

// Mailbox is a queue of functions to run on one goroutine. It is safe for
// concurrent use.
type Mailbox struct {
	queue     chan func()
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns an empty mailbox. Posted functions are queued until Run is called.
func New() *Mailbox {
	return &Mailbox{queue: make(chan func(), queueCapacity), closed: make(chan struct{})}
}

// Post queues fn to run on the mailbox's goroutine. It blocks while the queue is
// full. Once the mailbox is closed, fn may or may not run.
func (m *Mailbox) Post(fn func()) {
	select {
	case m.queue <- fn:
	case <-m.closed:
	}
}

// Close makes Run return. Functions that are still queued are discarded.
func (m *Mailbox) Close() {
	m.closeOnce.Do(func() { close(m.closed) })
}

// Run runs the posted functions, and onTick once per interval, until Close.
func (m *Mailbox) Run(interval time.Duration, onTick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case fn := <-m.queue:
			fn()
		case <-ticker.C:
			onTick()
		case <-m.closed:
			return
		}
	}
}

// Call runs fn on the mailbox's goroutine and returns its result. ok is false if
// the mailbox was closed first; fn may or may not have run in that case. Calling it
// from the mailbox's own goroutine deadlocks.
func Call[R any](m *Mailbox, fn func() R) (result R, ok bool) {
	results := make(chan R, 1)
	m.Post(func() { results <- fn() })
	select {
	case result = <-results:
		return result, true
	case <-m.closed:
		return result, false
	}
}

// CallAsync runs fn on the mailbox's goroutine and waits until reply is called, by
// fn or by something that fn started. reply must be called at most once. ok is false
// if ctx ended or the mailbox was closed first; fn may or may not have run in that
// case.
func CallAsync[R any](ctx context.Context, m *Mailbox, fn func(reply func(R))) (result R, ok bool) {
	results := make(chan R, 1)
	m.Post(func() {
		fn(func(r R) { results <- r })
	})
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	case <-m.closed:
		return result, false
	}
}
