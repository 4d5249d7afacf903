// Package outlier collects what one node observes of an endpoint: how many of its
// recent responses succeeded and failed, and how its response times compare with
// the usual ones. The cluster controller merges the observations of all nodes and
// marks endpoints as outliers; this package makes no such decisions. Its types are
// safe for concurrent use, and their zero values are ready to use. Times are
// nanoseconds of any monotonic clock.
package outlier

import (
	"math"
	"sync"
	"time"
)

const (
	// slownessDecayTime is the time, in ns, in which the difference between the
	// average ratio and 1 decays to 1/e.
	slownessDecayTime = float64(4 * time.Second)
	// slownessWeight is the weight of a new response in the moving average.
	slownessWeight = 0.3
	// maxRatio is the upper bound of a recorded ratio, which limits the effect of a
	// single response.
	maxRatio = 20
	// minRatio is the lower bound of the average. It keeps one fast response from
	// attracting all requests to its endpoint.
	minRatio = 0.2
)

// Slowness is an exponential moving average of the ratio between an endpoint's
// response times and the usual response times of the routes. A ratio of 1 is usual;
// higher is slower. Without new responses the average decays towards 1.
type Slowness struct {
	mu sync.Mutex
	// ratio is the average as of updated, or 0 before the first response.
	ratio   float64
	updated int64
}

// Ratio returns the average ratio, decayed until now. It is 1 before the first
// response.
func (s *Slowness) Ratio(now int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now)
}

// decayed returns the average decayed until now. The caller must hold s.mu.
func (s *Slowness) decayed(now int64) float64 {
	if s.ratio == 0 {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp(-float64(now-s.updated)/slownessDecayTime)
}

// Record adds the ratio of one response, received at now, to the average.
func (s *Slowness) Record(ratio float64, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	average := s.decayed(now)
	average += (min(ratio, maxRatio) - average) * slownessWeight
	s.ratio, s.updated = max(average, minRatio), now
}

// windowDuration is the length of each of a Counter's two windows, in ns.
const windowDuration = int64(1500 * time.Millisecond)

// Counter counts an endpoint's successes and failures in the current window and the
// previous one.
type Counter struct {
	mu sync.Mutex
	// window is the number of the current window.
	window int64
	// successes and failures hold the counts of the current window at index 0 and
	// those of the previous one at index 1.
	successes [2]uint32
	failures  [2]uint32
}

// advance makes the window that contains now the current one. The caller must hold
// c.mu.
func (c *Counter) advance(now int64) {
	window := now / windowDuration
	switch window {
	case c.window:
	case c.window + 1:
		c.successes = [2]uint32{0, c.successes[0]}
		c.failures = [2]uint32{0, c.failures[0]}
	default:
		c.successes, c.failures = [2]uint32{}, [2]uint32{}
	}
	c.window = window
}

// Record counts one response, received at now.
func (c *Counter) Record(success bool, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if success {
		c.successes[0]++
	} else {
		c.failures[0]++
	}
}

// Totals returns the sums of the current window and the previous one.
func (c *Counter) Totals(now int64) (successes, failures uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	return c.successes[0] + c.successes[1], c.failures[0] + c.failures[1]
}
