package proxy

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// pace is how much longer than usual an endpoint took, 1 being usual; what was
// learnt fades.
type pace struct {
	mu sync.Mutex
	x  float64
	at int64
}

const paceFades = float64(4 * time.Second)

func (p *pace) of(now int64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faded(now)
}

func (p *pace) faded(now int64) float64 {
	if p.x == 0 {
		return 1
	}
	return 1 + (p.x-1)*math.Exp(-float64(now-p.at)/paceFades)
}

func (p *pace) note(ratio float64, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.faded(now)
	p.x, p.at = max(x+(min(ratio, 20)-x)*0.3, 0.2), now
}

// blame counts an endpoint's good and bad answers to this node over two spans.
type blame struct {
	mu        sync.Mutex
	span      int64
	good, bad [2]uint32
}

const blameSpan = int64(1500 * time.Millisecond)

func (b *blame) turn(now int64) {
	n := now / blameSpan
	switch {
	case n == b.span:
	case n == b.span+1:
		b.good[1], b.bad[1], b.good[0], b.bad[0] = b.good[0], b.bad[0], 0, 0
	default:
		b.good, b.bad = [2]uint32{}, [2]uint32{}
	}
	b.span = n
}

func (b *blame) note(ok bool, now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	if ok {
		b.good[0]++
	} else {
		b.bad[0]++
	}
}

func (b *blame) sum(now int64) (good, bad uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	return b.good[0] + b.good[1], b.bad[0] + b.bad[1]
}

// Blames tells the master of the endpoints that answered this node badly, and
// of what grey ones answered it.
func (p *Balancer) FailureReports() []*meshpb.FailureReport {
	now := p.clock()
	var out []*meshpb.FailureReport
	for _, y := range p.cur.Load().by {
		for _, r := range y.all {
			g, b := r.blame.sum(now)
			if b > 0 || r.grey && g > 0 {
				out = append(out, &meshpb.FailureReport{Endpoint: r.id, Successes: g, Failures: b})
			}
		}
	}
	slices.SortFunc(out, func(a, b *meshpb.FailureReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}
