package proxy

import (
	"sync"
	"time"
)

const (
	// minTailSamples is how many requests of a route must have ended before its
	// slow tail counts as known.
	minTailSamples = 50
	// Each quicker request lowers a route's tail by their difference divided by
	// tailDecayDivisor: a slow one counts for some hundreds of requests.
	tailDecayDivisor = 256
)

// responseTimes keeps the slow tail of each route's response times. A mean
// would not do: a few in a hundred requests may take many times as long. The
// zero value is ready for use.
type responseTimes struct {
	mu     sync.Mutex
	routes map[string]*responseTail
}

type responseTail struct {
	samples int
	slowest time.Duration
}

// record takes in how long a request took, whether or not it got an endpoint's
// answer; one that was refused does not count.
func (r *responseTimes) record(route string, took time.Duration) {
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
	if took >= tail.slowest {
		tail.slowest = took
		return
	}
	tail.slowest -= (tail.slowest - took) / tailDecayDivisor
}

// tail gives the route's slow tail; false means that too little is known.
func (r *responseTimes) tail(route string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tail := r.routes[route]
	if tail == nil || tail.samples < minTailSamples {
		return 0, false
	}
	return tail.slowest, true
}
