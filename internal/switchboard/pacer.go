package switchboard

import (
	"io"
	"sync"
	"time"
)

// Pacer shares a machine's link: large bodies are written in pieces at a little
// less than the link's rate, so that small answers don't stand behind them.
type Pacer struct {
	perS float64
	mu   sync.Mutex
	next time.Time
}

const (
	paceShare = 0.91
	piece     = 16 << 10
)

// NewPacer makes a pacer for a link, or none where its rate is not known.
func NewPacer(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{perS: mbps * 1e6 / 8 * paceShare}
}

// turn takes n bytes of the link and tells how long to wait for them.
func (p *Pacer) turn(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	w := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(n) / p.perS * float64(time.Second)))
	return w
}

// behind is how long a large body would wait now.
func (p *Pacer) behind(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.next.Sub(now), 0)
}

// write writes b; a small one takes its share of the link and does not wait.
func (p *Pacer) write(w io.Writer, b []byte) error {
	if p == nil || len(b) <= piece {
		if p != nil {
			p.turn(len(b), time.Now())
		}
		_, err := w.Write(b)
		return err
	}
	for len(b) > 0 {
		n := min(len(b), piece)
		if d := p.turn(n, time.Now()); d > 0 {
			time.Sleep(d)
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
