package proxy

import (
	"sync"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	flowBuckets = 6
	flowBucket  = 2 * time.Second
)

type flow struct {
	binding  string
	kind     routeconfig.RouteKind
	service  string
	endpoint string
	node     string
	aim      time.Duration
}

type count struct {
	n    int
	took time.Duration
}

// Flows counts the answered dispatches of the last seconds.
type FlowMeter struct {
	mu  sync.Mutex
	now func() time.Time
	t0  time.Time
	at  int64
	bs  [flowBuckets]map[flow]count
}

func NewFlowMeter(now func() time.Time) *FlowMeter { return &FlowMeter{now: now, t0: now()} }

func (f *FlowMeter) turn() int64 {
	n := int64(f.now().Sub(f.t0) / flowBucket)
	for ; f.at < n; f.at++ {
		f.bs[(f.at+1)%flowBuckets] = nil
		if n-f.at > flowBuckets {
			f.at = n - flowBuckets
		}
	}
	return n
}

func (f *FlowMeter) add(k flow, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.turn() % flowBuckets
	if f.bs[i] == nil {
		f.bs[i] = map[flow]count{}
	}
	c := f.bs[i][k]
	f.bs[i][k] = count{c.n + 1, c.took + took}
}

// Report gives the flows of the whole buckets that are past.
func (f *FlowMeter) Report() ([]*meshpb.Flow, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.turn()
	span := time.Duration(min(n, flowBuckets-1)) * flowBucket
	if span == 0 {
		return nil, 0
	}
	sum := map[flow]count{}
	for i, b := range f.bs {
		if int64(i) == n%flowBuckets {
			continue
		}
		for k, c := range b {
			s := sum[k]
			sum[k] = count{s.n + c.n, s.took + c.took}
		}
	}
	var out []*meshpb.Flow
	for k, c := range sum {
		out = append(out, &meshpb.Flow{Route: k.binding, Kind: k.kind.String(), Service: k.service, Endpoint: k.endpoint, Node: k.node, LatencyTargetMs: uint64(k.aim / time.Millisecond),
			PerS: float64(c.n) / span.Seconds(), WorkMs: float64(c.took.Milliseconds()) / float64(c.n)})
	}
	return out, span
}
