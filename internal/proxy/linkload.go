package proxy

import (
	"math"
	"sync"
	"time"
)

// sentSpan is over what time sent bytes count: what was sent that long ago
// counts 1/e.
const sentSpan = 600 * time.Millisecond

// sentRate is how much this node sent over the last moments. The zero value is
// ready for use.
type sentRate struct {
	mu      sync.Mutex
	bytes   float64
	updated time.Time
}

func (r *sentRate) add(bytes int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = r.decayed(now) + float64(bytes)
	r.updated = now
}

func (r *sentRate) decayed(now time.Time) float64 {
	return r.bytes * math.Exp(-float64(now.Sub(r.updated))/float64(sentSpan))
}

func (r *sentRate) bytesPerSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayed(now) / sentSpan.Seconds()
}

const (
	// sentPercent is the percentage that a link counts as full that carries its
	// whole rate: bursts are longer than sentSpan.
	sentPercent = 60
	// backlogPerPercent is the backlog at the pacer that counts as one percent:
	// with half a second the link is full.
	backlogPerPercent = 5 * time.Millisecond
	fullPercent       = 100
)

// linkPercent is how full this machine's link is, in percent; 0 where its rate
// is not known.
func (n *Inbound) linkPercent() int {
	rate := n.options.LinkMbps
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	sent := int(sentPercent * n.sent.bytesPerSecond(now) * 8 / (rate * 1e6))
	backlog := int(n.options.Pacer.backlog(now) / backlogPerPercent)
	return min(max(sent, backlog), fullPercent)
}
