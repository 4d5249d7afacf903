package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in the sliding window of a Budget.
	windowBuckets = 10
	// headroomDivisor divides the configured ratio and slack. The remainder is
	// headroom for retries from other sources and for nodes that join or leave.
	headroomDivisor = 2
)

// serviceUsage counts the requests and retries of one node for one service in a
// sliding window.
type serviceUsage struct {
	// bucket is the number of the current bucket since time zero of the clock.
	bucket        int64
	requests      [windowBuckets]float64
	retries       [windowBuckets]float64
	totalRequests float64
	totalRetries  float64
}

// Budget limits retries and hedged attempts per service. In any window, a node may
// spend a ratio of its own requests plus an equal share of the slack, so that all
// nodes together stay within the limit for the zone, however many they are. Half
// of the ratio and of the slack is kept as headroom for retries from other sources
// and for nodes that join or leave. After a start, a node's share of the slack
// grows linearly over one window, so that the limit also holds while nodes join
// and restart. A Budget is safe for concurrent use.
type Budget struct {
	ratio          float64
	slack          float64
	window         time.Duration
	bucketDuration time.Duration
	startedAt      time.Duration
	nodeCount      func() int
	now            func() time.Duration

	mu       sync.Mutex
	services map[string]*serviceUsage
}

// NewBudget returns the budget of one node. Over any window, the retries of all
// nodes are limited to ratio times their requests plus slack, which is a number
// of attempts. nodeCount returns the number of nodes that share the slack. now
// returns the time of a monotonic clock with an arbitrary zero.
func NewBudget(ratio, slack float64, window time.Duration, nodeCount func() int, now func() time.Duration) *Budget {
	return &Budget{
		ratio:          ratio / headroomDivisor,
		slack:          slack / headroomDivisor,
		window:         max(window, windowBuckets),
		bucketDuration: max(window/windowBuckets, 1),
		startedAt:      now(),
		nodeCount:      nodeCount,
		now:            now,
		services:       map[string]*serviceUsage{},
	}
}

// usage returns the counts for a service, after clearing the buckets that have
// left the window. The caller holds mu.
func (b *Budget) usage(service string) *serviceUsage {
	u := b.services[service]
	bucket := int64(b.now() / b.bucketDuration)
	if u == nil {
		u = &serviceUsage{bucket: bucket}
		b.services[service] = u
	}
	if bucket-u.bucket >= windowBuckets {
		*u = serviceUsage{bucket: bucket}
	}
	for ; u.bucket < bucket; u.bucket++ {
		i := (u.bucket + 1) % windowBuckets
		u.totalRequests -= u.requests[i]
		u.totalRetries -= u.retries[i]
		u.requests[i], u.retries[i] = 0, 0
	}
	return u
}

// balance returns how many more attempts the usage allows. The caller holds mu.
func (b *Budget) balance(u *serviceUsage) float64 {
	rampUp := min(float64(b.now()-b.startedAt)/float64(b.window), 1)
	return b.ratio*u.totalRequests + rampUp*b.slack/float64(max(b.nodeCount(), 1)) - u.totalRetries
}

// RecordRequest counts a request to the service, which adds to the balance. A
// request counts once, however many attempts it takes.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service)
	u.requests[u.bucket%windowBuckets]++
	u.totalRequests++
}

// Spend charges one attempt and reports whether the balance allowed it. If not,
// nothing is charged.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service)
	if b.balance(u) < 1 {
		return false
	}
	u.retries[u.bucket%windowBuckets]++
	u.totalRetries++
	return true
}

// CanSpend reports whether Spend would succeed now.
func (b *Budget) CanSpend(service string) bool {
	return b.Balance(service) >= 1
}

// canSpendOnHedge reports whether more than half of the allowance is left. Hedged
// attempts are optional and must not use up what retries after failures need.
func (b *Budget) canSpendOnHedge(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service)
	balance := b.balance(u)
	return balance >= 1 && balance > u.totalRetries
}

// Balance returns how many more attempts to the service the budget allows now. The
// result may be fractional or negative.
func (b *Budget) Balance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(b.usage(service))
}

// refund reverses the charge for an attempt that did not reach its endpoint.
func (b *Budget) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service)
	u.retries[u.bucket%windowBuckets]--
	u.totalRetries--
}
