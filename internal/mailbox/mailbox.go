// Package mailbox confines state to one goroutine.
//
// The goroutine that calls Run owns the state. All others reach it only by
// functions that they post to the mailbox; these run one after the other, in the
// order in which they were posted, so that the state needs no lock. A function
// must not wait: while it runs, nothing else does.
package mailbox

import (
	"context"
	"sync"
	"time"
)

// capacity is how many functions may wait before Post blocks: more than all
// calls in flight of a core member with hundreds of nodes.
const capacity = 4096

// Mailbox holds the functions that wait for their goroutine. It is safe for
// concurrent use.
type Mailbox struct {
	functions chan func()
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a mailbox. Its functions wait until Run is called.
func New() *Mailbox {
	return &Mailbox{functions: make(chan func(), capacity), closed: make(chan struct{})}
}

// Post has function run on the mailbox's goroutine. It blocks while the mailbox
// is full. After Close, function may or may not run.
func (m *Mailbox) Post(function func()) {
	select {
	case m.functions <- function:
	case <-m.closed:
	}
}

// Close ends Run. What has not run yet is dropped.
func (m *Mailbox) Close() {
	m.closeOnce.Do(func() { close(m.closed) })
}

// Run runs the posted functions, and onTick every interval, until Close.
func (m *Mailbox) Run(interval time.Duration, onTick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case function := <-m.functions:
			function()
		case <-ticker.C:
			onTick()
		case <-m.closed:
			return
		}
	}
}

// Call runs function on the mailbox's goroutine and waits for its result. It is
// false if the mailbox was closed first: function may or may not have run. It
// must not be called on that goroutine itself.
func Call[R any](m *Mailbox, function func() R) (result R, ok bool) {
	results := make(chan R, 1)
	m.Post(func() { results <- function() })
	select {
	case result = <-results:
		return result, true
	case <-m.closed:
		return result, false
	}
}

// CallAsync runs function on the mailbox's goroutine and waits until function,
// or something that it has started, calls reply, at most once. It is false if
// ctx ended or the mailbox was closed first: function may or may not have run.
func CallAsync[R any](ctx context.Context, m *Mailbox, function func(reply func(R))) (result R, ok bool) {
	results := make(chan R, 1)
	m.Post(func() {
		function(func(r R) { results <- r })
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
