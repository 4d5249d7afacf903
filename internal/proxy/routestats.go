package proxy

import (
	"sync"
	"time"
)

const (
	// usualTimeSpan is the divisor of the moving average of a route's response
	// times.
	usualTimeSpan = 16
	// A request counts as a first attempt if its timeout is above this share of the
	// longest one seen on its route.
	firstAttemptNumerator   = 19
	firstAttemptDenominator = 20
)

// routeStats keeps the longest time that clients of each route had: a request
// with less has been tried before, or is part of another. It also keeps how long
// the route's requests usually take. The zero value is ready for use.
type routeStats struct {
	mu             sync.Mutex
	longestTimeout map[string]time.Duration
	usualTime      map[string]time.Duration
}

func (s *routeStats) recordAnswer(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usualTime == nil {
		s.usualTime = map[string]time.Duration{}
	}
	usual, ok := s.usualTime[route]
	if !ok {
		usual = took
	}
	s.usualTime[route] = usual + (took-usual)/usualTimeSpan
}

// usual returns how long the route's requests usually take, 0 if that is not
// known.
func (s *routeStats) usual(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usualTime[route]
}

// isFirstSeen tells whether a request with that timeout is probably one that its
// client has not tried before.
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
