package endpointagent

import "time"

const (
	// outcomeWindow is one of the two spans of time over which outcomes count.
	outcomeWindow = 1200 * time.Millisecond
	// minOutcomes is how many outcomes it takes to judge.
	minOutcomes = 6
	// failureThreshold is the share of failures, in percent, from which an endpoint
	// counts as failing; the share is reported in steps of it, so that it does not
	// change with each request.
	failureThreshold = 20
	// recoverySuccesses in a row end a verdict.
	recoverySuccesses = 8
	// failureExpiry ends a verdict after so long without a failure.
	failureExpiry = 6 * time.Second
)

// outcomeStats judges an endpoint by its answers alone, over the current and the
// previous window. A verdict ends after a row of successes, or once no failure
// has been seen for a while.
type outcomeStats struct {
	windowStart         time.Time
	successes, failures [2]int
	// failurePercent is the verdict, 0 while the endpoint does well enough.
	failurePercent int
	lastFailure    time.Time
	successStreak  int
}

func (s *outcomeStats) record(success bool, now time.Time) {
	s.rotate(now)
	if success {
		s.successes[0]++
		s.successStreak++
	} else {
		s.failures[0]++
		s.successStreak, s.lastFailure = 0, now
	}
	if s.failurePercent == 0 {
		s.judge()
	} else if s.successStreak >= recoverySuccesses {
		*s = outcomeStats{windowStart: now}
	}
}

// rotate begins a new window when the current one is over.
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

func (s *outcomeStats) judge() {
	failures := s.failures[0] + s.failures[1]
	total := failures + s.successes[0] + s.successes[1]
	if percent := 100 * failures / total; total >= minOutcomes && percent >= failureThreshold {
		s.failurePercent = percent / failureThreshold * failureThreshold
	}
}

// expire ends a verdict that no recent failure upholds.
func (s *outcomeStats) expire(now time.Time) {
	if s.failurePercent > 0 && now.Sub(s.lastFailure) > failureExpiry {
		*s = outcomeStats{windowStart: now}
	}
}
