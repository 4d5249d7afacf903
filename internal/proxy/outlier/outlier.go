// Package outlier keeps what one node observed of an endpoint: how many of its
// recent responses succeeded and failed, and how much slower than usual it was.
// The cluster controller merges these observations and marks endpoints as
// outliers; this package decides nothing. Its types are safe for concurrent use,
// and their zero values are ready for use. Times are nanoseconds of any clock
// that does not run backwards.
package outlier

import (
	"math"
	"sync"
	"time"
)

const (
	// slownessDecay is the time in which what was learnt of an endpoint's
	// slowness falls to 1/e.
	slownessDecay = float64(4 * time.Second)
	// slownessWeight is how much one response counts against those before it.
	slownessWeight = 0.3
	// maxRatio bounds how much a single response counts.
	maxRatio = 20
	// minRatio keeps one quick response from drawing all requests.
	minRatio = 0.2
)

// Slowness is a moving average of the ratio between an endpoint's response
// times and the usual ones of the route; 1 is usual. It decays towards 1.
type Slowness struct {
	mu      sync.Mutex
	ratio   float64
	updated int64
}

// Ratio returns the average ratio, decayed until now.
func (s *Slowness) Ratio(now int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now)
}

func (s *Slowness) decayed(now int64) float64 {
	if s.ratio == 0 {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp(-float64(now-s.updated)/slownessDecay)
}

// Record adds the ratio of one response.
func (s *Slowness) Record(ratio float64, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	average := s.decayed(now)
	average += (min(ratio, maxRatio) - average) * slownessWeight
	s.ratio, s.updated = max(average, minRatio), now
}

// windowSpan is how long one of the two counting windows lasts.
const windowSpan = int64(1500 * time.Millisecond)

// Counter counts successes and failures in the current window and the one
// before it.
type Counter struct {
	mu        sync.Mutex
	window    int64
	successes [2]uint32
	failures  [2]uint32
}

func (c *Counter) advance(now int64) {
	window := now / windowSpan
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

// Record counts one response.
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

// Totals returns the counts of both windows.
func (c *Counter) Totals(now int64) (successes, failures uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	return c.successes[0] + c.successes[1], c.failures[0] + c.failures[1]
}
