package proxy

import (
	"sync"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// flowBuckets is the number of buckets of the window: five complete ones, which
	// are reported and cover 10 s, and the current one.
	flowBuckets = 6
	// flowBucketDuration is the time that one bucket covers.
	flowBucketDuration = 2 * time.Second
)

// flowKey identifies a flow: the answered attempts that are counted together.
type flowKey struct {
	route         string
	kind          routeconfig.RouteKind
	service       string
	endpoint      string
	node          string
	latencyTarget time.Duration
}

// flowTotal is the number of answered attempts and their total duration.
type flowTotal struct {
	attempts int
	duration time.Duration
}

// FlowMeter counts the answered attempts of the last 10 s by route and endpoint,
// and sums up their durations. It is safe for concurrent use.
type FlowMeter struct {
	now     func() time.Time
	started time.Time

	mu sync.Mutex
	// bucket is the number of the current bucket, counted from started.
	bucket int64
	// buckets is a ring, indexed by the bucket's number modulo flowBuckets.
	buckets [flowBuckets]map[flowKey]flowTotal
}

// NewFlowMeter returns an empty meter that uses now as its clock.
func NewFlowMeter(now func() time.Time) *FlowMeter { return &FlowMeter{now: now, started: now()} }

// advance clears the buckets that have left the window and returns the number of
// the current bucket. The caller must hold m.mu.
func (m *FlowMeter) advance() int64 {
	bucket := int64(m.now().Sub(m.started) / flowBucketDuration)
	for ; m.bucket < bucket; m.bucket++ {
		m.buckets[(m.bucket+1)%flowBuckets] = nil
		if bucket-m.bucket > flowBuckets {
			m.bucket = bucket - flowBuckets
		}
	}
	return bucket
}

// add counts one answered attempt in the current bucket.
func (m *FlowMeter) add(key flowKey, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.advance() % flowBuckets
	if m.buckets[i] == nil {
		m.buckets[i] = map[flowKey]flowTotal{}
	}
	total := m.buckets[i][key]
	m.buckets[i][key] = flowTotal{total.attempts + 1, total.duration + duration}
}

// Report returns the flows of the complete buckets, with their rates and average
// durations, and the time that these buckets cover. Until the first bucket is
// complete it returns nil and 0.
func (m *FlowMeter) Report() ([]*meshpb.Flow, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.advance()
	span := time.Duration(min(current, flowBuckets-1)) * flowBucketDuration
	if span == 0 {
		return nil, 0
	}
	var flows []*meshpb.Flow
	for key, total := range m.totals(current % flowBuckets) {
		flows = append(flows, &meshpb.Flow{
			Route:           key.route,
			Kind:            key.kind.String(),
			Service:         key.service,
			Endpoint:        key.endpoint,
			Node:            key.node,
			LatencyTargetMs: uint64(key.latencyTarget / time.Millisecond),
			PerS:            float64(total.attempts) / span.Seconds(),
			WorkMs:          float64(total.duration.Milliseconds()) / float64(total.attempts),
		})
	}
	return flows, span
}

// totals adds up all buckets except the one at index current.
func (m *FlowMeter) totals(current int64) map[flowKey]flowTotal {
	totals := map[flowKey]flowTotal{}
	for i, bucket := range m.buckets {
		if int64(i) == current {
			continue
		}
		for key, total := range bucket {
			sum := totals[key]
			totals[key] = flowTotal{sum.attempts + total.attempts, sum.duration + total.duration}
		}
	}
	return totals
}
