package retry

import "time"

const (
	// minShortWait is the minimum limit of a short queue wait, unless the request
	// itself has less time.
	minShortWait = 10 * time.Millisecond
	// minHedgeDelay and minSlowThreshold keep small delays on very fast routes from
	// causing hedged attempts or counting as endpoint failures.
	minHedgeDelay    = 200 * time.Millisecond
	minSlowThreshold = 500 * time.Millisecond
	// slowFactor is the multiple of the mean latency from which an attempt without
	// a response counts as an endpoint failure.
	slowFactor = 4
)

// QueueWait holds what determines how long a request may wait in the queue of an
// endpoint.
type QueueWait struct {
	// LatencyTarget is the time within which requests on the route should be
	// answered, 0 if the route has none.
	LatencyTarget time.Duration
	// Elapsed is the time since the request came in, Remaining the time until its
	// deadline.
	Elapsed, Remaining time.Duration
	// MeanLatency is the mean latency of the route, 0 if it is not known.
	MeanLatency time.Duration
	// FirstSeen means that the client has not sent this request before.
	FirstSeen bool
	// ShortWait means that another endpoint may be tried if this one rejects the
	// request.
	ShortWait bool
}

// Limit returns how long the request may wait in the queue. The result may be
// negative.
func (w QueueWait) Limit() time.Duration {
	limit := w.Remaining/2 - w.MeanLatency
	if w.FirstSeen && w.LatencyTarget > 0 {
		limit = min(w.Remaining-w.MeanLatency, w.LatencyTarget-w.Elapsed-w.MeanLatency/2)
	}
	if w.ShortWait {
		limit = min(limit, max(w.MeanLatency/2, minShortWait))
	}
	return limit
}

// SlowThreshold returns how long an attempt on a route with the mean latency may
// go without a response before that counts as a failure of the endpoint.
func SlowThreshold(meanLatency time.Duration) time.Duration {
	return max(slowFactor*meanLatency, minSlowThreshold)
}

// HedgeDelay returns how long the first attempt on a route with the mean latency
// may go without a response before a hedged attempt is sent. Most long requests
// take long on any endpoint, so the delay is well above the mean latency.
func HedgeDelay(meanLatency time.Duration) time.Duration {
	return min(max(5*meanLatency/2, minHedgeDelay), SlowThreshold(meanLatency))
}
