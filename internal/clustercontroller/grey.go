package clustercontroller

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	maxOutlierShare       = 0.4
	outlierFailurePercent = 20
	minReportedFailures   = 3
	baseEjectionTime      = 2500 * time.Millisecond
	maxEjectionTime       = 10 * time.Second
	minRecoverySuccesses  = 4
)

// shade marks endpoints grey that answer badly beside their peers, at most a
// bounded share of a service: where most are ill, none is better than another.
func markOutliers(endpoints []*meshpb.Endpoint, failurePercents map[string]uint32) []*meshpb.Endpoint {
	indexesByService := map[string][]int{}
	for i, e := range endpoints {
		if e.State == Up {
			indexesByService[e.Service] = append(indexesByService[e.Service], i)
		}
	}
	marked := endpoints
	copied := false
	for _, indexes := range indexesByService {
		sorted := make([]uint32, len(indexes))
		for k, i := range indexes {
			sorted[k] = failurePercents[endpoints[i].Id]
		}
		slices.Sort(sorted)
		median := sorted[len(sorted)/2]
		var worst []int
		for _, i := range indexes {
			if x := failurePercents[endpoints[i].Id]; x >= outlierFailurePercent && x > 2*median {
				worst = append(worst, i)
			}
		}
		slices.SortFunc(worst, func(a, b int) int {
			if c := cmp.Compare(failurePercents[endpoints[b].Id], failurePercents[endpoints[a].Id]); c != 0 {
				return c
			}
			return cmp.Compare(endpoints[a].Id, endpoints[b].Id)
		})
		for _, i := range worst[:min(len(worst), int(maxOutlierShare*float64(len(indexes))))] {
			if !copied {
				marked, copied = slices.Clone(endpoints), true
			}
			e := endpoints[i]
			marked[i] = &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: e.State, WarmupMs: e.WarmupMs,
				SoftwareVersion: e.SoftwareVersion, Node: e.Node, Inbound: e.Inbound, Healthy: e.Healthy, FailurePercent: e.FailurePercent, Outlier: true}
		}
	}
	return marked
}

// verdict is what the master holds of an endpoint that several nodes dial.
type ejection struct {
	failurePercent uint32
	since          time.Duration
	duration       time.Duration
}

// verdicts joins what the nodes blame on each endpoint. One found ill rests,
// longer each time; it is well again once answers to the nodes' few tries are
// good, or its rest is over.
type ejections map[string]*ejection

func (e ejections) update(histories map[string]*nodeHistory, now time.Duration) map[string]uint32 {
	reports := map[string]*meshpb.FailureReport{}
	for _, h := range histories {
		if !h.reachable {
			continue
		}
		for _, b := range h.state.GetFailureReports() {
			s := reports[b.Endpoint]
			if s == nil {
				s = &meshpb.FailureReport{}
				reports[b.Endpoint] = s
			}
			s.Successes += b.Successes
			s.Failures += b.Failures
		}
	}
	failurePercents := map[string]uint32{}
	for id, b := range reports {
		v := e[id]
		if n := b.Successes + b.Failures; b.Failures >= minReportedFailures && 100*b.Failures/n >= outlierFailurePercent {
			if v == nil {
				v = &ejection{duration: baseEjectionTime}
				e[id] = v
			} else if v.failurePercent == 0 {
				v.duration = min(2*v.duration, maxEjectionTime)
			}
			if v.failurePercent == 0 {
				v.since = now
			}
			v.failurePercent = max(100*b.Failures/n, v.failurePercent)
		} else if v != nil && v.failurePercent > 0 && b.Failures == 0 && b.Successes >= minRecoverySuccesses {
			v.failurePercent, v.since = 0, now
		}
	}
	for id, v := range e {
		switch {
		case v.failurePercent > 0 && now-v.since > v.duration:
			v.failurePercent, v.since = 0, now
		case v.failurePercent == 0 && now-v.since > 4*maxEjectionTime:
			delete(e, id)
		}
		if v.failurePercent > 0 {
			failurePercents[id] = v.failurePercent
		}
	}
	return failurePercents
}
