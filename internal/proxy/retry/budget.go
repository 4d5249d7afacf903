package retry

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is how many parts the budget's window is counted in.
	budgetBuckets = 10
	// A node spends ratio and slack divided by reservedDivisor; the rest is for
	// retries that others cause and for nodes that come and go.
	reservedDivisor = 2
)

// serviceUse is what one node sent and spent on one service in the last window.
type serviceUse struct {
	bucket      int64
	requests    [budgetBuckets]float64
	retries     [budgetBuckets]float64
	requestsSum float64
	retriesSum  float64
}

// Budget pays for retries and hedged attempts, service by service. A node
// spends at most its share of the slack and of what its own requests of the
// last window allow, so that the sum over all nodes stays under the zone's
// bound whatever their number; half of both is left for retries that others
// cause and for nodes that come and go. A node that has just started grows into
// its share over one window. A Budget is safe for concurrent use.
type Budget struct {
	ratio      float64
	slack      float64
	window     time.Duration
	bucketSpan time.Duration
	started    time.Duration
	nodes      func() int
	now        func() time.Duration

	mu       sync.Mutex
	services map[string]*serviceUse
}

// NewBudget returns the budget of one node. Over any window, the retries of all
// nodes stay under ratio times their requests plus slack; nodes returns how many
// nodes share that, and now the time on any clock that does not run backwards.
func NewBudget(ratio, slack float64, window time.Duration, nodes func() int, now func() time.Duration) *Budget {
	return &Budget{
		ratio:      ratio / reservedDivisor,
		slack:      slack / reservedDivisor,
		window:     max(window, budgetBuckets),
		bucketSpan: max(window/budgetBuckets, 1),
		started:    now(),
		nodes:      nodes,
		now:        now,
		services:   map[string]*serviceUse{},
	}
}

// use returns a service's counts, with the buckets emptied that have left the
// window.
func (b *Budget) use(service string) *serviceUse {
	u := b.services[service]
	bucket := int64(b.now() / b.bucketSpan)
	if u == nil {
		u = &serviceUse{bucket: bucket}
		b.services[service] = u
	}
	if bucket-u.bucket >= budgetBuckets {
		*u = serviceUse{bucket: bucket}
	}
	for ; u.bucket < bucket; u.bucket++ {
		i := (u.bucket + 1) % budgetBuckets
		u.requestsSum -= u.requests[i]
		u.retriesSum -= u.retries[i]
		u.requests[i], u.retries[i] = 0, 0
	}
	return u
}

func (b *Budget) balance(u *serviceUse) float64 {
	grown := min(float64(b.now()-b.started)/float64(b.window), 1)
	return b.ratio*u.requestsSum + grown*b.slack/float64(max(b.nodes(), 1)) - u.retriesSum
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(service)
	u.requests[u.bucket%budgetBuckets]++
	u.requestsSum++
}

// Spend pays for one more attempt and tells whether the balance allowed it.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(service)
	if b.balance(u) < 1 {
		return false
	}
	u.retries[u.bucket%budgetBuckets]++
	u.retriesSum++
	return true
}

// CanSpend tells whether one more attempt could be paid for now.
func (b *Budget) CanSpend(service string) bool {
	return b.Balance(service) >= 1
}

// canSpendOnHedge tells whether more than half of the allowance is left: what
// may wait must not spend what failures will need.
func (b *Budget) canSpendOnHedge(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(service)
	balance := b.balance(u)
	return balance >= 1 && balance > u.retriesSum
}

// Balance returns how many attempts could be paid for now.
func (b *Budget) Balance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(b.use(service))
}

// refund gives back what was spent on an attempt that did not reach its
// endpoint.
func (b *Budget) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.use(service)
	u.retries[u.bucket%budgetBuckets]--
	u.retriesSum--
}
