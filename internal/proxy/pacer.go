package proxy

import (
	"container/heap"
	"io"
	"sync"
	"time"
)

const (
	// pacedShare is the share of the link's rate at which large bodies are
	// written; the rest is for small ones and for what the link adds.
	pacedShare = 0.91
	// chunkBytes is how much of a large body is written at once; bodies up to that
	// size are small.
	chunkBytes = 16 << 10
	// agingShare is how much a waiting body gains on later ones, in shares of what
	// the link carries meanwhile.
	agingShare = 0.5
	// stallAllowance is how much longer than twice its time a body may hold the
	// link before it counts as stalled.
	stallAllowance = 150 * time.Millisecond
)

// Pacer shares a machine's link: large bodies are written one after the other,
// shorter ones first unless a longer one has waited, in pieces and at a little
// less than the link's rate, so that small responses don't stand behind them. It
// is safe for concurrent use; a nil Pacer writes at once.
type Pacer struct {
	bytesPerSecond float64
	started        time.Time

	mu sync.Mutex
	// free is when the link has carried what was reserved.
	free time.Time
	// busy tells that a large body holds the link.
	busy    bool
	waiting bodyQueue
	// largeBytes is the size of all large bodies that wait or hold the link.
	largeBytes int
}

// queuedBody is a large body that waits for the link.
type queuedBody struct {
	rank float64
	// turn is closed when the link is the body's.
	turn chan struct{}
	// index is the body's place in the queue, removed once it has left it.
	index int
}

const removed = -1

// bodyQueue is a heap of bodies, lowest rank first.
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
	body.index = removed
	return body
}

// NewPacer returns a pacer for a link of that rate, or nil where it is not
// known.
func NewPacer(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{bytesPerSecond: mbps * 1e6 / 8 * pacedShare, started: time.Now()}
}

// transferTime is how long the link takes for so many bytes.
func (p *Pacer) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}

// reserve takes the link for so many bytes and returns how long to wait before
// they are written.
func (p *Pacer) reserve(bytes int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now)
	p.free = p.free.Add(p.transferTime(bytes))
	return wait
}

// backlog is how long a large body would wait now.
func (p *Pacer) backlog(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.free.Sub(now), 0) + p.transferTime(p.largeBytes)
}

// acquire waits until the link is a large body's, or until the deadline. Calling
// what it returns gives the link on; that happens by itself where the other side
// takes nothing.
func (p *Pacer) acquire(bytes int, deadline time.Time) (release func()) {
	if body := p.join(bytes); body != nil && !p.awaitTurn(body, deadline) {
		p.leave(bytes)
		return func() {}
	}
	passOn := sync.OnceFunc(func() { p.passOn(bytes) })
	stalled := time.AfterFunc(2*p.transferTime(bytes)+stallAllowance, passOn)
	return func() {
		stalled.Stop()
		passOn()
	}
}

// join takes the link for a large body if it is free, and else returns the body
// as it waits for it.
func (p *Pacer) join(bytes int) *queuedBody {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largeBytes += bytes
	if !p.busy {
		p.busy = true
		return nil
	}
	age := time.Since(p.started).Seconds() * p.bytesPerSecond * agingShare
	body := &queuedBody{rank: float64(bytes) + age, turn: make(chan struct{})}
	heap.Push(&p.waiting, body)
	return body
}

// leave forgets a body that no longer waits.
func (p *Pacer) leave(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largeBytes -= bytes
}

// passOn gives the link to the next body that waits.
func (p *Pacer) passOn(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largeBytes -= bytes
	if len(p.waiting) == 0 {
		p.busy = false
		return
	}
	close(heap.Pop(&p.waiting).(*queuedBody).turn)
}

// awaitTurn tells whether the body's turn came before the deadline.
func (p *Pacer) awaitTurn(body *queuedBody, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-body.turn:
		return true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if body.index == removed {
		return true
	}
	heap.Remove(&p.waiting, body.index)
	return false
}

// write writes b; a small body takes its share of the link and does not wait.
// After the deadline, what is left is written at once.
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
