package proxy

import (
	"sync"
	"time"
)

const (
	// minTailSamples is how many requests of a route must have ended before its
	// tail latency is considered known.
	minTailSamples = 50
	// Each faster request lowers a route's peak by the difference divided by
	// tailDecayDivisor, so that a slow request has an effect for some hundreds of
	// requests.
	tailDecayDivisor = 256
)

// responseTimes tracks the tail latency of each route. A mean would be too low,
// since a few percent of the requests may take many times as long. The zero value
// is ready to use.
type responseTimes struct {
	mu     sync.Mutex
	routes map[string]*responseTail
}

// responseTail is the tail latency of one route.
type responseTail struct {
	samples int
	// peak is the decaying maximum of the response times.
	peak time.Duration
}

// record adds the duration of a request, whether or not an endpoint responded.
// Callers don't record requests that were refused.
func (r *responseTimes) record(route string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = map[string]*responseTail{}
	}
	tail := r.routes[route]
	if tail == nil {
		tail = &responseTail{}
		r.routes[route] = tail
	}
	tail.samples++
	if duration >= tail.peak {
		tail.peak = duration
		return
	}
	tail.peak -= (tail.peak - duration) / tailDecayDivisor
}

// tailLatency returns the route's tail latency, or false if there are fewer than
// minTailSamples samples.
func (r *responseTimes) tailLatency(route string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tail := r.routes[route]
	if tail == nil || tail.samples < minTailSamples {
		return 0, false
	}
	return tail.peak, true
}
