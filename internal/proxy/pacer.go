package proxy

import (
	"container/heap"
	"io"
	"sync"
	"time"
)

// Pacer shares a machine's link: large bodies are written one after the other,
// shorter ones first unless a longer one has waited, in pieces and at a little
// less than the link's rate, so that small answers don't stand behind them.
type Pacer struct {
	perS  float64
	t0    time.Time
	mu    sync.Mutex
	next  time.Time
	busy  bool
	queue bodies
	bytes int
}

const (
	paceShare = 0.91
	piece     = 16 << 10
	// ages is how much a waiting body gains on later ones, in shares of what the
	// link carries meanwhile.
	ages  = 0.5
	stuck = 150 * time.Millisecond
)

type body struct {
	key float64
	ch  chan bool
	ix  int
}

type bodies []*body

func (q bodies) Len() int           { return len(q) }
func (q bodies) Less(i, j int) bool { return q[i].key < q[j].key }
func (q bodies) Swap(i, j int)      { q[i], q[j] = q[j], q[i]; q[i].ix, q[j].ix = i, j }
func (q *bodies) Push(x any)        { b := x.(*body); b.ix = len(*q); *q = append(*q, b) }
func (q *bodies) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	x.ix = -1
	return x
}

// NewPacer makes a pacer for a link, or none where its rate is not known.
func NewPacer(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{perS: mbps * 1e6 / 8 * paceShare, t0: time.Now()}
}

func (p *Pacer) takes(n int) time.Duration {
	return time.Duration(float64(n) / p.perS * float64(time.Second))
}

// turn takes n bytes of the link and tells how long to wait for them.
func (p *Pacer) turn(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	w := p.next.Sub(now)
	p.next = p.next.Add(p.takes(n))
	return w
}

// behind is how long a large body would wait now.
func (p *Pacer) behind(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.next.Sub(now), 0) + p.takes(p.bytes)
}

// enter waits for a large body's place on the link, until due; it is given up by
// calling what comes back, or by itself where the other side takes nothing.
func (p *Pacer) enter(n int, due time.Time) func() {
	p.mu.Lock()
	p.bytes += n
	if p.busy {
		b := &body{key: float64(n) + time.Since(p.t0).Seconds()*p.perS*ages, ch: make(chan bool)}
		heap.Push(&p.queue, b)
		p.mu.Unlock()
		if !p.await(b, due) {
			p.mu.Lock()
			p.bytes -= n
			p.mu.Unlock()
			return func() {}
		}
	} else {
		p.busy = true
		p.mu.Unlock()
	}
	leave := sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.bytes -= n
		if len(p.queue) == 0 {
			p.busy = false
			return
		}
		close(heap.Pop(&p.queue).(*body).ch)
	})
	t := time.AfterFunc(2*p.takes(n)+stuck, leave)
	return func() {
		t.Stop()
		leave()
	}
}

// await tells whether b's place came before it was due.
func (p *Pacer) await(b *body, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-b.ch:
		return true
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.ix < 0 {
		return true
	}
	heap.Remove(&p.queue, b.ix)
	return false
}

// write writes b; a small one takes its share of the link and does not wait.
// Once it is due, it goes out at once.
func (p *Pacer) write(w io.Writer, b []byte, due time.Time) error {
	if p == nil || len(b) <= piece {
		if p != nil {
			p.turn(len(b), time.Now())
		}
		_, err := w.Write(b)
		return err
	}
	defer p.enter(len(b), due)()
	for len(b) > 0 {
		n := min(len(b), piece)
		if d := min(p.turn(n, time.Now()), time.Until(due)); d > 0 {
			time.Sleep(d)
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
