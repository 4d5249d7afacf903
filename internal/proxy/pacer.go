package proxy

import (
	"container/heap"
	"io"
	"sync"
	"time"
)

const (
	// pacedRateShare is the share of the link's rate at which large bodies are
	// written. The rest is left for small bodies and for the overhead of the link's
	// protocols.
	pacedRateShare = 0.91
	// chunkBytes is the size of the chunks in which large bodies are written. Bodies
	// up to this size count as small.
	chunkBytes = 16 << 10
	// agingFactor is how fast a waiting body gains priority over bodies that arrive
	// later, as a fraction of the bytes that the link carries in the meantime.
	agingFactor = 0.5
	// stallMargin is added to twice the transfer time of a body to get the time after
	// which its transfer counts as stalled.
	stallMargin = 150 * time.Millisecond
)

// Pacer schedules the writes of response bodies on a machine's network link, so that
// small responses do not queue behind large ones. Large bodies are written one after
// the other, in chunks and slightly below the link's rate. Shorter ones go first, but
// the priority of a body rises while it waits. Pacer is safe for concurrent use; a
// nil Pacer writes everything immediately.
type Pacer struct {
	bytesPerSecond float64
	started        time.Time

	mu sync.Mutex
	// idleAt is the time at which the link will have carried all reserved bytes.
	idleAt time.Time
	// busy is set while a large body holds the link.
	busy bool
	// waiting are the large bodies that wait for the link.
	waiting bodyQueue
	// pendingLargeBytes is the total size of the large bodies that hold the link or
	// wait for it.
	pendingLargeBytes int
}

// queuedBody is a large body that waits for the link.
type queuedBody struct {
	// rank is the size in bytes plus an offset that grows with the time of arrival.
	rank float64
	// granted is closed when the body gets the link.
	granted chan struct{}
	// index is the body's index in the queue, or notQueued after its removal.
	index int
}

// notQueued is the index of a body that was removed from the queue.
const notQueued = -1

// bodyQueue implements heap.Interface. The body with the lowest rank comes first.
type bodyQueue []*queuedBody

func (q bodyQueue) Len() int           { return len(q) }
func (q bodyQueue) Less(i, j int) bool { return q[i].rank < q[j].rank }
func (q bodyQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *bodyQueue) Push(x any) {
	body := x.(*queuedBody)
	body.index = len(*q)
	*q = append(*q, body)
}

func (q *bodyQueue) Pop() any {
	last := len(*q) - 1
	body := (*q)[last]
	*q = (*q)[:last]
	body.index = notQueued
	return body
}

// NewPacer returns a pacer for a link with a rate of mbps Mbit/s, or nil if mbps is
// not positive, which means that the rate is not known.
func NewPacer(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{bytesPerSecond: mbps * 1e6 / 8 * pacedRateShare, started: time.Now()}
}

// transferTime returns how long the link takes to carry the given number of bytes
// at the paced rate.
func (p *Pacer) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}

// reserve reserves link time for the given number of bytes, after all earlier
// reservations, and returns how long to wait before writing them.
func (p *Pacer) reserve(bytes int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleAt.Before(now) {
		p.idleAt = now
	}
	wait := p.idleAt.Sub(now)
	p.idleAt = p.idleAt.Add(p.transferTime(bytes))
	return wait
}

// backlog returns how long a large body that arrived now would wait for the link:
// the time to carry all reserved bytes and all pending large bodies. It is 0 for a
// nil Pacer.
func (p *Pacer) backlog(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.idleAt.Sub(now), 0) + p.transferTime(p.pendingLargeBytes)
}

// acquire waits until a large body gets the link or the deadline passes. The caller
// calls release after writing the body. If the body has stalled because the
// receiver does not read, the link is released without that call.
func (p *Pacer) acquire(bytes int, deadline time.Time) (release func()) {
	if body := p.acquireOrEnqueue(bytes); body != nil && !p.waitForGrant(body, deadline) {
		p.removePending(bytes)
		return func() {}
	}
	grantNext := sync.OnceFunc(func() { p.grantNext(bytes) })
	stallTimer := time.AfterFunc(2*p.transferTime(bytes)+stallMargin, grantNext)
	return func() {
		stallTimer.Stop()
		grantNext()
	}
}

// acquireOrEnqueue gives a large body the link and returns nil if the link is not
// busy. Otherwise it queues the body and returns its entry.
func (p *Pacer) acquireOrEnqueue(bytes int) *queuedBody {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingLargeBytes += bytes
	if !p.busy {
		p.busy = true
		return nil
	}
	arrivalOffset := time.Since(p.started).Seconds() * p.bytesPerSecond * agingFactor
	body := &queuedBody{rank: float64(bytes) + arrivalOffset, granted: make(chan struct{})}
	heap.Push(&p.waiting, body)
	return body
}

// removePending subtracts a body that is no longer waiting from the pending bytes.
func (p *Pacer) removePending(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingLargeBytes -= bytes
}

// grantNext ends a body's hold on the link and grants the link to the waiting body
// with the lowest rank, if any.
func (p *Pacer) grantNext(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingLargeBytes -= bytes
	if len(p.waiting) == 0 {
		p.busy = false
		return
	}
	close(heap.Pop(&p.waiting).(*queuedBody).granted)
}

// waitForGrant reports whether the body got the link before the deadline. If not,
// it removes the body from the queue.
func (p *Pacer) waitForGrant(body *queuedBody, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-body.granted:
		return true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if body.index == notQueued {
		// The link was granted after the timer had fired.
		return true
	}
	heap.Remove(&p.waiting, body.index)
	return false
}

// write writes the body b to w. A small body is written immediately, and its bytes
// are reserved so that large bodies make room for it. A large body waits for the
// link and is written in chunks at the paced rate; after the deadline, the rest is
// written without waiting. The error is that of w.
func (p *Pacer) write(w io.Writer, b []byte, deadline time.Time) error {
	if p == nil || len(b) <= chunkBytes {
		if p != nil {
			p.reserve(len(b), time.Now())
		}
		_, err := w.Write(b)
		return err
	}
	defer p.acquire(len(b), deadline)()
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		if wait := min(p.reserve(n, time.Now()), time.Until(deadline)); wait > 0 {
			time.Sleep(wait)
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
