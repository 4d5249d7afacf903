package controlapi

import (
	"context"
	"sync/atomic"
)

// A configuration takes about ten times its size while it is read and checked:
// one above bulkBodyBytes is checked alone, and the bodies of all changes under
// way have maxPendingBodyBytes in all.
const (
	bulkBodyBytes       = 512 << 10
	maxPendingBodyBytes = 48 << 20
)

// bodyLimiter bounds the memory that configuration changes under way take.
type bodyLimiter struct {
	pending atomic.Int64
	// bulkTurn holds a token while a large configuration is checked.
	bulkTurn chan struct{}
}

func newBodyLimiter() bodyLimiter { return bodyLimiter{bulkTurn: make(chan struct{}, 1)} }

// reserve counts a body of the announced size among those under way, if there
// is room; release gives the room back. A body of unknown size, below 0, may be
// as large as any.
func (l *bodyLimiter) reserve(size int64) (release func(), ok bool) {
	if size < 0 || size > maxConfigBytes {
		size = maxConfigBytes
	}
	release = func() { l.pending.Add(-size) }
	if l.pending.Add(size) > maxPendingBodyBytes {
		release()
		return nil, false
	}
	return release, true
}

// waitForTurn waits until no other large configuration is being checked;
// smaller ones need no turn.
func (l *bodyLimiter) waitForTurn(ctx context.Context, size int) (release func(), ok bool) {
	if size <= bulkBodyBytes {
		return func() {}, true
	}
	select {
	case l.bulkTurn <- struct{}{}:
		return func() { <-l.bulkTurn }, true
	case <-ctx.Done():
		return nil, false
	}
}
