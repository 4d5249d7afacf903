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

// testRoute is a route that each node of the stepped mesh sends requests on.
type testRoute struct {
	name, kind string
	perSecond  float64
	latencyMs  float64
}

const (
	testRemoteWeight = 1.3
	testBulkWeight   = 2.5
)

var (
	testRoutes = []testRoute{{"browse", "pure", 30, 60}, {"pay", "effectful", 12, 110}}
	// testZones are the zones of the nodes that send.
	testZones = []string{"a", "b", "c", "a"}
)

// steppedMesh is a mesh in steps of a millisecond, with its own arrivals and its
// own spread of work, so that an estimate is held against something else than
// itself.
type steppedMesh struct {
	random    *rand.Rand
	stepMs    int
	steps     int
	slow      map[string]float64
	balancers []*loadbalancer.Balancer
	endpoints map[string]*steppedEndpoint
	count     map[flowKey]float64
	tookMs    map[flowKey]float64
}

type steppedEndpoint struct {
	node           string
	slots          int
	latencyMs      float64
	running, queue []*steppedRequest
}

type steppedRequest struct {
	flow     flowKey
	endpoint *loadbalancer.Endpoint
	leftMs   float64
	startMs  int
}

// flowKey names a flow by the indexes of its origin and its route.
type flowKey struct {
	origin, route int
	endpoint      string
}

// measureFlows runs a stepped mesh for a number of milliseconds and returns the
// flows that its nodes measure after the first quarter.
func measureFlows(endpoints []*meshpb.Endpoint, slow map[string]float64, seed int64, steps int) []Origin {
	m := &steppedMesh{random: rand.New(rand.NewSource(seed)), steps: steps, slow: slow, endpoints: map[string]*steppedEndpoint{},
		count: map[flowKey]float64{}, tookMs: map[flowKey]float64{}}
	for _, zone := range testZones {
		b := loadbalancer.New(zone, testRemoteWeight, testBulkWeight)
		b.SetRandomAndClock(m.random.Float64, m.now)
		b.ApplyView(&meshpb.View{Version: 1, Endpoints: endpoints})
		m.balancers = append(m.balancers, b)
	}
	for _, e := range endpoints {
		m.endpoints[e.Id] = &steppedEndpoint{node: e.Node, slots: int(e.Slots), latencyMs: 60}
	}
	for ; m.stepMs < steps; m.stepMs++ {
		m.arrivals()
		for id, e := range m.endpoints {
			m.work(id, e)
		}
	}
	return m.origins()
}

func (m *steppedMesh) now() int64 { return int64(m.stepMs) * int64(time.Millisecond) }

func (m *steppedMesh) arrivals() {
	for origin := range testZones {
		for route, r := range testRoutes {
			if m.random.Float64() > r.perSecond*(1+0.3*math.Sin(float64(m.stepMs)/900))/1000 {
				continue
			}
			endpoint := m.balancers[origin].Pick(loadbalancer.Criteria{Service: "s", Bulk: false, LatencyTarget: 0})
			if endpoint == nil {
				continue
			}
			endpoint.BeginAttempt()
			id := endpoint.ID()
			leftMs := r.latencyMs * m.slow[id] * math.Exp(0.5*m.random.NormFloat64()-0.125)
			e := m.endpoints[id]
			e.queue = append(e.queue, &steppedRequest{flowKey{origin, route, id}, endpoint, leftMs, m.stepMs})
		}
	}
}

func (m *steppedMesh) work(id string, e *steppedEndpoint) {
	keep := e.running[:0]
	for _, r := range e.running {
		if r.leftMs--; r.leftMs > 0 {
			keep = append(keep, r)
			continue
		}
		took := float64(m.stepMs - r.startMs)
		e.latencyMs += (took - e.latencyMs) / 16
		r.endpoint.EndAttempt()
		r.endpoint.SetLoad(len(e.running)+len(e.queue)-1, time.Duration(e.latencyMs)*time.Millisecond, m.now())
		if m.stepMs > m.steps/4 {
			m.count[r.flow]++
			m.tookMs[r.flow] += took
		}
	}
	e.running = keep
	for len(e.queue) > 0 && len(e.running) < e.slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

func (m *steppedMesh) origins() []Origin {
	var origins []Origin
	seconds := float64(m.steps) * 0.75 / 1000
	for i, zone := range testZones {
		origin := Origin{Node: fmt.Sprint("n", i), Zone: zone, RemoteWeight: testRemoteWeight, BulkWeight: testBulkWeight}
		for j, route := range testRoutes {
			for id, e := range m.endpoints {
				key := flowKey{i, j, id}
				if m.count[key] == 0 {
					continue
				}
				origin.Flows = append(origin.Flows, &meshpb.Flow{Route: route.name, Kind: route.kind, Service: "s", Endpoint: id, Node: e.node,
					PerS: m.count[key] / seconds, WorkMs: m.tookMs[key] / m.count[key]})
			}
		}
		origins = append(origins, origin)
	}
	return origins
}

// fourEndpoints returns endpoints, and how slow they and a fifth one are.
func fourEndpoints() ([]*meshpb.Endpoint, map[string]float64) {
	var endpoints []*meshpb.Endpoint
	for i, zone := range []string{"a", "b", "c", "b"} {
		endpoints = append(endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Zone: zone, Slots: 8, State: "up", Node: fmt.Sprint("n", i), Inbound: "x"})
	}
	return endpoints, map[string]float64{"e0": 0.7, "e1": 1, "e2": 1.4, "e3": 1, "e4": 1}
}

func TestEstimateOfARetirementMatchesWhatMoved(t *testing.T) {
	endpoints, slow := fourEndpoints()
	before := measureFlows(endpoints, slow, 1, 60000)
	estimate, err := Run(before, endpoints, Change{Retire: "n1"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	after := measureFlows(append(append([]*meshpb.Endpoint{}, endpoints[:1]...), endpoints[2:]...), slow, 2, 60000)
	for _, deviation := range Check(estimate, after) {
		t.Logf("%+v", deviation)
		qt.Check(t, math.Abs(deviation.Forecast-deviation.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Measured > 0.15, qt.IsTrue)
	}
}

func TestEstimateOfAnAdditionMatchesWhatMoved(t *testing.T) {
	endpoints, slow := fourEndpoints()
	before := measureFlows(endpoints, slow, 3, 60000)
	add := &meshpb.Endpoint{Id: "e4", Service: "s", Zone: "c", Slots: 8, State: "up", Node: "n4", Inbound: "x"}
	estimate, err := Run(before, endpoints, Change{Add: add}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	deviations := Check(estimate, measureFlows(append(append([]*meshpb.Endpoint{}, endpoints...), add), slow, 4, 60000))
	qt.Assert(t, len(deviations), qt.Equals, 2)
	for _, deviation := range deviations {
		t.Logf("%+v", deviation)
		qt.Check(t, math.Abs(deviation.Forecast-deviation.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", deviation))
	}
}

func TestNothingMovesWhereNothingChanges(t *testing.T) {
	endpoints, slow := fourEndpoints()
	before := measureFlows(endpoints, slow, 5, 30000)
	idle := &meshpb.Endpoint{Id: "z", Service: "other", Zone: "a", Slots: 1, State: "up", Node: "n9"}
	estimate, err := Run(before, append(endpoints, idle), Change{Retire: "z"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	for _, summary := range estimate.Summaries {
		qt.Check(t, summary.Moved < 0.08*summary.Rate, qt.IsTrue, qt.Commentf("%+v", summary))
	}
	_, err = Run(before, endpoints, Change{Retire: "nobody"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no node or endpoint.*")
	_, err = Run(nil, endpoints, Change{Retire: "n1"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no flows.*")
}
