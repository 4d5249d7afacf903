package proxy

import (
	"sync"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// flowBuckets and flowBucketSpan make up the window that flows are counted
	// over: 10 s of past buckets, and the one under way.
	flowBuckets    = 6
	flowBucketSpan = 2 * time.Second
)

// flowKey is what answered attempts are counted by.
type flowKey struct {
	route    string
	kind     routeconfig.RouteKind
	service  string
	endpoint string
	node     string
	target   time.Duration
}

type flowTotal struct {
	count int
	took  time.Duration
}

// FlowMeter counts the answered attempts of the last seconds by route and
// endpoint. It is safe for concurrent use.
type FlowMeter struct {
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	bucket  int64
	buckets [flowBuckets]map[flowKey]flowTotal
}

// NewFlowMeter returns a meter that takes the time from now.
func NewFlowMeter(now func() time.Time) *FlowMeter { return &FlowMeter{now: now, started: now()} }

// advance empties the buckets that the window has left behind and returns the
// number of the one under way.
func (m *FlowMeter) advance() int64 {
	bucket := int64(m.now().Sub(m.started) / flowBucketSpan)
	for ; m.bucket < bucket; m.bucket++ {
		m.buckets[(m.bucket+1)%flowBuckets] = nil
		if bucket-m.bucket > flowBuckets {
			m.bucket = bucket - flowBuckets
		}
	}
	return bucket
}

func (m *FlowMeter) add(key flowKey, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.advance() % flowBuckets
	if m.buckets[i] == nil {
		m.buckets[i] = map[flowKey]flowTotal{}
	}
	total := m.buckets[i][key]
	m.buckets[i][key] = flowTotal{total.count + 1, total.took + took}
}

// Report returns the flows of the buckets that are past, and the time that these
// span.
func (m *FlowMeter) Report() ([]*meshpb.Flow, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.advance()
	span := time.Duration(min(current, flowBuckets-1)) * flowBucketSpan
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
			LatencyTargetMs: uint64(key.target / time.Millisecond),
			PerS:            float64(total.count) / span.Seconds(),
			WorkMs:          float64(total.took.Milliseconds()) / float64(total.count),
		})
	}
	return flows, span
}

// totals adds up all buckets but the current one.
func (m *FlowMeter) totals(current int64) map[flowKey]flowTotal {
	totals := map[flowKey]flowTotal{}
	for i, bucket := range m.buckets {
		if int64(i) == current {
			continue
		}
		for key, total := range bucket {
			sum := totals[key]
			totals[key] = flowTotal{sum.count + total.count, sum.took + total.took}
		}
	}
	return totals
}
