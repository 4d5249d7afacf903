package endpointagent

import "time"

const (
	// outcomeWindow is the length of a counting window. The failure percentage covers
	// the current and the previous window.
	outcomeWindow = 1200 * time.Millisecond
	// minOutcomes is the minimum number of outcomes for a failure percentage.
	minOutcomes = 6
	// failureThresholdPercent is the lowest percentage of failures at which an endpoint
	// is reported as failing. The percentage is rounded down to a multiple of it, so
	// that the reported value does not change with each request.
	failureThresholdPercent = 20
	// recoverySuccesses is the number of consecutive successes that resets the
	// failure percentage to 0.
	recoverySuccesses = 8
	// failureExpiry is the time without a failure after which the failure percentage
	// is reset to 0.
	failureExpiry = 6 * time.Second
)

// outcomeStats computes an endpoint's failure percentage from request outcomes alone,
// over the current and the previous window. Once the percentage is set, it stays the
// same until recoverySuccesses or failureExpiry resets it.
type outcomeStats struct {
	windowStart time.Time
	// successes and failures hold the counts of the current window at index 0 and
	// those of the previous window at index 1.
	successes, failures [2]int
	// failurePercent is a multiple of failureThresholdPercent, or 0 if the endpoint is
	// not failing.
	failurePercent       int
	lastFailure          time.Time
	consecutiveSuccesses int
}

// record counts one outcome and updates the failure percentage.
func (s *outcomeStats) record(success bool, now time.Time) {
	s.rotate(now)
	if success {
		s.successes[0]++
		s.consecutiveSuccesses++
	} else {
		s.failures[0]++
		s.consecutiveSuccesses, s.lastFailure = 0, now
	}
	if s.failurePercent == 0 {
		s.updateFailurePercent()
	} else if s.consecutiveSuccesses >= recoverySuccesses {
		*s = outcomeStats{windowStart: now}
	}
}

// rotate starts a new window if the current one has ended. The ended window becomes the
// previous one unless it has expired as well.
func (s *outcomeStats) rotate(now time.Time) {
	switch age := now.Sub(s.windowStart); {
	case age < outcomeWindow:
	case age < 2*outcomeWindow:
		s.successes[1], s.failures[1] = s.successes[0], s.failures[0]
		s.successes[0], s.failures[0] = 0, 0
		s.windowStart = now
	default:
		s.successes, s.failures = [2]int{}, [2]int{}
		s.windowStart = now
	}
}

// updateFailurePercent sets the failure percentage if there are enough outcomes and the
// percentage of failures reaches the threshold. At least one outcome must have been
// counted.
func (s *outcomeStats) updateFailurePercent() {
	failures := s.failures[0] + s.failures[1]
	total := failures + s.successes[0] + s.successes[1]
	if percent := 100 * failures / total; total >= minOutcomes && percent >= failureThresholdPercent {
		s.failurePercent = percent / failureThresholdPercent * failureThresholdPercent
	}
}

// expire resets the statistics of a failing endpoint if failureExpiry has passed since
// its last failure.
func (s *outcomeStats) expire(now time.Time) {
	if s.failurePercent > 0 && now.Sub(s.lastFailure) > failureExpiry {
		*s = outcomeStats{windowStart: now}
	}
}
