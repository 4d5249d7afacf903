package proxy

import (
	"sync"
	"time"
)

const (
	// A new response time counts for 1/averageDivisor in a route's exponential
	// moving average.
	averageDivisor = 16
	// A request is taken for a first attempt by its client if its timeout is more
	// than firstAttemptNumerator/firstAttemptDenominator of the longest timeout
	// seen on its route.
	firstAttemptNumerator   = 19
	firstAttemptDenominator = 20
)

// routeStats tracks the longest timeout and the average response time of each
// route. A request with a shorter timeout than the longest is probably a client's
// retry, or was made while serving another request whose deadline it inherits.
// The zero value is ready to use.
type routeStats struct {
	mu             sync.Mutex
	longestTimeout map[string]time.Duration
	averages       map[string]time.Duration
}

// recordDuration adds the duration of an answered attempt to the route's average.
func (s *routeStats) recordDuration(route string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.averages == nil {
		s.averages = map[string]time.Duration{}
	}
	average, ok := s.averages[route]
	if !ok {
		average = duration
	}
	s.averages[route] = average + (duration-average)/averageDivisor
}

// average returns the route's average response time, or 0 if it is unknown.
func (s *routeStats) average(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.averages[route]
}

// isFirstSeen reports whether a request with the given timeout is probably not a
// retry by its client, and updates the route's longest timeout.
func (s *routeStats) isFirstSeen(route string, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.longestTimeout == nil {
		s.longestTimeout = map[string]time.Duration{}
	}
	if timeout >= s.longestTimeout[route] {
		s.longestTimeout[route] = timeout
		return true
	}
	return timeout > s.longestTimeout[route]*firstAttemptNumerator/firstAttemptDenominator
}
