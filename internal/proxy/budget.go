package proxy

import (
	"sync"
	"time"
)

const budgetBuckets = 10

// used is what one node saw and spent on one service in the last window.
type used struct {
	at    int64
	asked [budgetBuckets]float64
	spent [budgetBuckets]float64
	sumA  float64
	sumS  float64
}

// Budget pays for second arrivals at endpoints, service by service. A node
// spends at most its share of the slack and of what its own requests of the
// last window allow, so that the sum over all nodes stays under the zone's
// bound whatever their number; half of both is left for repeats that others
// cause and for nodes that come and go. A node that has just started grows into
// its share over one window.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	bucket time.Duration
	since  time.Duration
	nodes  func() int
	now    func() time.Duration
	mu     sync.Mutex
	by     map[string]*used
}

func NewBudget(ratio, slack float64, window time.Duration, nodes func() int, now func() time.Duration) *Budget {
	return &Budget{ratio: ratio / 2, slack: slack / 2, window: max(window, budgetBuckets), bucket: max(window/budgetBuckets, 1), since: now(), nodes: nodes, now: now, by: map[string]*used{}}
}

func (b *Budget) turn(service string) *used {
	u := b.by[service]
	n := int64(b.now() / b.bucket)
	if u == nil {
		u = &used{at: n}
		b.by[service] = u
	}
	if n-u.at >= budgetBuckets {
		*u = used{at: n}
	}
	for ; u.at < n; u.at++ {
		i := (u.at + 1) % budgetBuckets
		u.sumA -= u.asked[i]
		u.sumS -= u.spent[i]
		u.asked[i], u.spent[i] = 0, 0
	}
	return u
}

// Earn notes a request for the service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	u := b.turn(service)
	u.asked[u.at%budgetBuckets]++
	u.sumA++
	b.mu.Unlock()
}

func (b *Budget) left(u *used) float64 {
	grown := min(float64(b.now()-b.since)/float64(b.window), 1)
	return b.ratio*u.sumA + grown*b.slack/float64(max(b.nodes(), 1)) - u.sumS
}

func (b *Budget) TrySpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.turn(service)
	if b.left(u) < 1 {
		return false
	}
	u.spent[u.at%budgetBuckets]++
	u.sumS++
	return true
}

// Afford tells whether a second arrival could be paid for now.
func (b *Budget) CanSpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.turn(service)) >= 1
}

// spare tells whether more than half of the allowance is left: what may wait
// must not spend what failures will need.
func (b *Budget) spare(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.turn(service)
	l := b.left(u)
	return l >= 1 && l > u.sumS
}

// Left is the balance as the recorder keeps it.
func (b *Budget) Balance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.turn(service))
}

// refund gives back what was spent on an arrival that did not take place.
func (b *Budget) refund(service string) {
	b.mu.Lock()
	u := b.turn(service)
	u.spent[u.at%budgetBuckets]--
	u.sumS--
	b.mu.Unlock()
}
