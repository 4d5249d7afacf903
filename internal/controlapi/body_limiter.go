package controlapi

import (
	"context"
	"sync/atomic"
)

// Parsing and checking a configuration takes about ten times its size in memory.
const (
	// largeBodyBytes is the size above which a configuration is checked alone.
	largeBodyBytes = 512 << 10
	// maxPendingBodyBytes bounds the total size of the bodies of all configuration
	// changes in progress.
	maxPendingBodyBytes = 48 << 20
)

// bodyLimiter bounds the memory used by configuration changes in progress. It is safe
// for concurrent use.
type bodyLimiter struct {
	// pending is the total size in bytes of the reserved bodies.
	pending atomic.Int64
	// largeBodySem is a semaphore. It holds one element while a large configuration is
	// checked.
	largeBodySem chan struct{}
}

func newBodyLimiter() bodyLimiter { return bodyLimiter{largeBodySem: make(chan struct{}, 1)} }

// reserve reserves memory for a body of the given Content-Length until release is
// called. It returns false if the limit is reached. A negative size means that the size
// is unknown; it reserves maxConfigBytes, the largest size allowed.
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

// acquireLargeBody waits until no other large configuration is being checked, and
// excludes others until release is called. It returns false if ctx ends first. A body of
// at most largeBodyBytes does not wait.
func (l *bodyLimiter) acquireLargeBody(ctx context.Context, size int) (release func(), ok bool) {
	if size <= largeBodyBytes {
		return func() {}, true
	}
	select {
	case l.largeBodySem <- struct{}{}:
		return func() { <-l.largeBodySem }, true
	case <-ctx.Done():
		return nil, false
	}
}
