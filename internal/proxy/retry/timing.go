package retry

import "time"

const (
	// minShortWait is the least time that a request waits in a queue that it
	// should not wait in for long.
	minShortWait = 10 * time.Millisecond
	// minHedgeDelay and minSlowLimit keep very quick routes from hedging or
	// blaming endpoints at each small delay.
	minHedgeDelay = 200 * time.Millisecond
	minSlowLimit  = 500 * time.Millisecond
	// slowFactor is how many times the usual response time an endpoint may be
	// silent.
	slowFactor = 4
)

// QueueWait describes a request that may have to wait in an endpoint's queue.
type QueueWait struct {
	// Target is the time within which the route's requests should be answered.
	Target time.Duration
	// Passed is how long the request has been under way, Remaining how long its
	// client still waits.
	Passed, Remaining time.Duration
	// Usual is how long the route's requests usually take.
	Usual time.Duration
	// FirstSeen tells that the client has not tried this request before.
	FirstSeen bool
	// Short tells that other endpoints may be asked after this one.
	Short bool
}

// Limit returns how long the request may stand in the queue. It may be negative.
func (w QueueWait) Limit() time.Duration {
	limit := w.Remaining/2 - w.Usual
	if w.FirstSeen && w.Target > 0 {
		limit = min(w.Remaining-w.Usual, w.Target-w.Passed-w.Usual/2)
	}
	if w.Short {
		limit = min(limit, max(w.Usual/2, minShortWait))
	}
	return limit
}

// SlowLimit returns how long an endpoint may be silent before that counts as
// a failure, on a route whose requests usually take that long.
func SlowLimit(usual time.Duration) time.Duration {
	return max(slowFactor*usual, minSlowLimit)
}

// HedgeDelay returns how long a first attempt may be silent before a second goes
// out beside it. Most long requests are long wherever they run, so it is well
// past the usual time.
func HedgeDelay(usual time.Duration) time.Duration {
	return min(max(5*usual/2, minHedgeDelay), SlowLimit(usual))
}
