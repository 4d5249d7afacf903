package loadestimate

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc/meshpb"
)

// live is a mesh in steps of a millisecond, with its own arrivals and its own
// spread of work, so that an estimate is held against something else than
// itself.
func live(es []*meshpb.Endpoint, speed map[string]float64, seed int64, span int) []Origin {
	rng := rand.New(rand.NewSource(seed))
	type req struct {
		o, b int
		seat *loadbalancer.Endpoint
		left float64
		t0   int
	}
	type kind struct {
		binding, kind string
		perS, ms      float64
	}
	ks := []kind{{"browse", "pure", 30, 60}, {"pay", "effectful", 12, 110}}
	zones := []string{"a", "b", "c", "a"}
	now := int64(0)
	var ps []*loadbalancer.Balancer
	for _, s := range zones {
		p := loadbalancer.New(s, 1.3, 2.5)
		p.SetRandomAndClock(rng.Float64, func() int64 { return now })
		p.ApplyView(&meshpb.View{Version: 1, Endpoints: es})
		ps = append(ps, p)
	}
	run, queue, work := map[string][]*req{}, map[string][]*req{}, map[string]float64{}
	slots := map[string]int{}
	node := map[string]string{}
	for _, e := range es {
		slots[e.Id], work[e.Id], node[e.Id] = int(e.Slots), 60, e.Node
	}
	n := map[string]float64{}
	took := map[string]float64{}
	for t := 0; t < span; t++ {
		now = int64(t) * int64(time.Millisecond)
		for o := range zones {
			for b, k := range ks {
				if rng.Float64() > k.perS*(1+0.3*math.Sin(float64(t)/900))/1000 {
					continue
				}
				s := ps[o].Pick(loadbalancer.Criteria{Service: "s", Bulk: false, Target: 0})
				if s == nil {
					continue
				}
				s.BeginAttempt()
				queue[s.ID()] = append(queue[s.ID()], &req{o, b, s, k.ms * speed[s.ID()] * math.Exp(0.5*rng.NormFloat64()-0.125), t})
			}
		}
		for id := range slots {
			keep := run[id][:0]
			for _, r := range run[id] {
				if r.left--; r.left > 0 {
					keep = append(keep, r)
					continue
				}
				work[id] += (float64(t-r.t0) - work[id]) / 16
				r.seat.EndAttempt()
				r.seat.SetLoad(len(run[id])+len(queue[id])-1, time.Duration(work[id])*time.Millisecond, now)
				if t > span/4 {
					k := fmt.Sprint(r.o, " ", r.b, " ", id)
					n[k]++
					took[k] += float64(t - r.t0)
				}
			}
			run[id] = keep
			for len(queue[id]) > 0 && len(run[id]) < slots[id] {
				run[id] = append(run[id], queue[id][0])
				queue[id] = queue[id][1:]
			}
		}
	}
	var out []Origin
	for o, s := range zones {
		x := Origin{Node: fmt.Sprint("n", o), Zone: s, RemoteWeight: 1.3, BulkWeight: 2.5}
		for b, k := range ks {
			for id := range slots {
				q := fmt.Sprint(o, " ", b, " ", id)
				if n[q] > 0 {
					x.Flows = append(x.Flows, &meshpb.Flow{Route: k.binding, Kind: k.kind, Service: "s", Endpoint: id, Node: node[id],
						PerS: n[q] / (float64(span) * 0.75 / 1000), WorkMs: took[q] / n[q]})
				}
			}
		}
		out = append(out, x)
	}
	return out
}

func four() ([]*meshpb.Endpoint, map[string]float64) {
	var es []*meshpb.Endpoint
	for i, s := range []string{"a", "b", "c", "b"} {
		es = append(es, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Zone: s, Slots: 8, State: "up", Node: fmt.Sprint("n", i), Inbound: "x"})
	}
	return es, map[string]float64{"e0": 0.7, "e1": 1, "e2": 1.4, "e3": 1, "e4": 1}
}

func TestEstimateOfARetirementMatchesWhatMoved(t *testing.T) {
	es, sp := four()
	before := live(es, sp, 1, 60000)
	e, err := Run(before, es, Change{Retire: "n1"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	after := live(append(append([]*meshpb.Endpoint{}, es[:1]...), es[2:]...), sp, 2, 60000)
	for _, v := range Check(e, after) {
		t.Logf("%+v", v)
		qt.Check(t, math.Abs(v.Forecast-v.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", v))
		qt.Check(t, v.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", v))
		qt.Check(t, v.Measured > 0.15, qt.IsTrue)
	}
}

func TestEstimateOfAnAdditionMatchesWhatMoved(t *testing.T) {
	es, sp := four()
	before := live(es, sp, 3, 60000)
	add := &meshpb.Endpoint{Id: "e4", Service: "s", Zone: "c", Slots: 8, State: "up", Node: "n4", Inbound: "x"}
	e, err := Run(before, es, Change{Add: add}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	vs := Check(e, live(append(append([]*meshpb.Endpoint{}, es...), add), sp, 4, 60000))
	qt.Assert(t, len(vs), qt.Equals, 2)
	for _, v := range vs {
		t.Logf("%+v", v)
		qt.Check(t, math.Abs(v.Forecast-v.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", v))
		qt.Check(t, v.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", v))
	}
}

func TestNothingMovesWhereNothingChanges(t *testing.T) {
	es, sp := four()
	before := live(es, sp, 5, 30000)
	idle := &meshpb.Endpoint{Id: "z", Service: "other", Zone: "a", Slots: 1, State: "up", Node: "n9"}
	e, err := Run(before, append(es, idle), Change{Retire: "z"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	for _, s := range e.Summaries {
		qt.Check(t, s.Moved < 0.08*s.Rate, qt.IsTrue, qt.Commentf("%+v", s))
	}
	_, err = Run(before, es, Change{Retire: "nobody"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no node or endpoint.*")
	_, err = Run(nil, es, Change{Retire: "n1"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no flows.*")
}
