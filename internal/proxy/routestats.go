package proxy

import (
	"sync"
	"time"
)

const (
	// usualTimeSpan is over how many answers the usual time of a route moves.
	usualTimeSpan = 16
	// A request counts as a first try if it has more than firstTryShare of the
	// longest time that clients of its route had: firstTryShare is 19/20.
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
