package soak

import (
	"context"
	"sync"
)

// link is one direction between two members, by their names.
type link struct{ from, to string }

// links holds the state of the links between members. Bytes on a held link wait and are
// delivered once it is open again, as TCP delivers them after a cut. A link may be held by
// several overlapping faults. It is safe for concurrent use.
type links struct {
	mu sync.Mutex
	// held counts the faults that hold a link.
	held map[link]int
	// changed is closed, and replaced, whenever a link is opened.
	changed chan struct{}
}

func newLinks() *links { return &links{held: map[link]int{}, changed: make(chan struct{})} }

// hold holds a link until open is called.
func (l *links) hold(held link) (open func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[held]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held[held]--
		close(l.changed)
		l.changed = make(chan struct{})
	})
}

// wait waits until the link is open or ctx ends.
func (l *links) wait(ctx context.Context, waited link) error {
	for {
		l.mu.Lock()
		open, changed := l.held[waited] == 0, l.changed
		l.mu.Unlock()
		if open {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
