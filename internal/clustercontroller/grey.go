package clustercontroller

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	mostGrey  = 0.4
	greyFrom  = 20
	blameFew  = 3
	greyRest  = 2500 * time.Millisecond
	greyWorst = 10 * time.Second
	greyGood  = 4
)

// shade marks endpoints grey that answer badly beside their peers, at most a
// bounded share of a service: where most are ill, none is better than another.
func shade(es []*meshpb.Endpoint, ill map[string]uint32) []*meshpb.Endpoint {
	by := map[string][]int{}
	for i, e := range es {
		if e.State == Up {
			by[e.Service] = append(by[e.Service], i)
		}
	}
	out := es
	copied := false
	for _, ix := range by {
		at := make([]uint32, len(ix))
		for k, i := range ix {
			at[k] = ill[es[i].Id]
		}
		slices.Sort(at)
		median := at[len(at)/2]
		var worst []int
		for _, i := range ix {
			if x := ill[es[i].Id]; x >= greyFrom && x > 2*median {
				worst = append(worst, i)
			}
		}
		slices.SortFunc(worst, func(a, b int) int {
			if c := cmp.Compare(ill[es[b].Id], ill[es[a].Id]); c != 0 {
				return c
			}
			return cmp.Compare(es[a].Id, es[b].Id)
		})
		for _, i := range worst[:min(len(worst), int(mostGrey*float64(len(ix))))] {
			if !copied {
				out, copied = slices.Clone(es), true
			}
			e := es[i]
			out[i] = &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: e.State, WarmupMs: e.WarmupMs,
				SoftwareVersion: e.SoftwareVersion, Node: e.Node, Inbound: e.Inbound, Healthy: e.Healthy, FailurePercent: e.FailurePercent, Outlier: true}
		}
	}
	return out
}

// verdict is what the master holds of an endpoint that several nodes dial.
type verdict struct {
	ill   uint32
	since time.Duration
	rest  time.Duration
}

// verdicts joins what the nodes blame on each endpoint. One found ill rests,
// longer each time; it is well again once answers to the nodes' few tries are
// good, or its rest is over.
type verdicts map[string]*verdict

func (vs verdicts) judge(hs map[string]*history, now time.Duration) map[string]uint32 {
	sum := map[string]*meshpb.FailureReport{}
	for _, h := range hs {
		if !h.reached {
			continue
		}
		for _, b := range h.state.GetFailureReports() {
			s := sum[b.Endpoint]
			if s == nil {
				s = &meshpb.FailureReport{}
				sum[b.Endpoint] = s
			}
			s.Successes += b.Successes
			s.Failures += b.Failures
		}
	}
	out := map[string]uint32{}
	for id, b := range sum {
		v := vs[id]
		if n := b.Successes + b.Failures; b.Failures >= blameFew && 100*b.Failures/n >= greyFrom {
			if v == nil {
				v = &verdict{rest: greyRest}
				vs[id] = v
			} else if v.ill == 0 {
				v.rest = min(2*v.rest, greyWorst)
			}
			if v.ill == 0 {
				v.since = now
			}
			v.ill = max(100*b.Failures/n, v.ill)
		} else if v != nil && v.ill > 0 && b.Failures == 0 && b.Successes >= greyGood {
			v.ill, v.since = 0, now
		}
	}
	for id, v := range vs {
		switch {
		case v.ill > 0 && now-v.since > v.rest:
			v.ill, v.since = 0, now
		case v.ill == 0 && now-v.since > 4*greyWorst:
			delete(vs, id)
		}
		if v.ill > 0 {
			out[id] = v.ill
		}
	}
	return out
}
