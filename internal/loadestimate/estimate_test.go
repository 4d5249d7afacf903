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

// testRoute is a route on which each node of the simulation sends requests.
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
	// testZones are the zones of the sending nodes.
	testZones = []string{"a", "b", "c", "a"}
)

// fixedStepSimulation simulates a mesh in steps of 1 ms. Its distributions of
// arrivals and service times differ from those of the package, so that the tests do
// not compare an estimate with its own model.
type fixedStepSimulation struct {
	random *rand.Rand
	// stepMs is the index of the current step, and the time in milliseconds.
	stepMs int
	steps  int
	// latencyFactors scales the service times by endpoint ID.
	latencyFactors map[string]float64
	balancers      []*loadbalancer.Balancer
	endpoints      map[string]*fixedStepEndpoint
	// requestCounts and latencySumsMs cover the requests that end after the first
	// quarter.
	requestCounts map[flowKey]float64
	latencySumsMs map[flowKey]float64
}

// fixedStepEndpoint is an endpoint that serves one request per slot and queues the
// others.
type fixedStepEndpoint struct {
	node           string
	slots          int
	latencyMs      float64
	running, queue []*fixedStepRequest
}

// fixedStepRequest is a queued or running request; remainingMs is its remaining
// service time.
type fixedStepRequest struct {
	flow        flowKey
	endpoint    *loadbalancer.Endpoint
	remainingMs float64
	startMs     int
}

// flowKey identifies a flow by the indexes of its origin and its route and by the
// endpoint's ID.
type flowKey struct {
	origin, route int
	endpoint      string
}

// measureFlows simulates a mesh for a number of steps of 1 ms and returns the flows
// that its nodes measure after the first quarter. latencyFactors scales the
// service times by endpoint ID.
func measureFlows(endpoints []*meshpb.Endpoint, latencyFactors map[string]float64, seed int64, steps int) []Origin {
	s := &fixedStepSimulation{random: rand.New(rand.NewSource(seed)), steps: steps, latencyFactors: latencyFactors, endpoints: map[string]*fixedStepEndpoint{},
		requestCounts: map[flowKey]float64{}, latencySumsMs: map[flowKey]float64{}}
	for _, zone := range testZones {
		b := loadbalancer.New(zone, testRemoteWeight, testBulkWeight)
		b.SetRandomAndClock(s.random.Float64, s.now)
		b.ApplyView(&meshpb.View{Version: 1, Endpoints: endpoints})
		s.balancers = append(s.balancers, b)
	}
	for _, e := range endpoints {
		s.endpoints[e.Id] = &fixedStepEndpoint{node: e.Node, slots: int(e.Slots), latencyMs: 60}
	}
	for ; s.stepMs < steps; s.stepMs++ {
		s.generateArrivals()
		for id, e := range s.endpoints {
			s.advanceEndpoint(id, e)
		}
	}
	return s.measuredOrigins()
}

func (s *fixedStepSimulation) now() int64 { return int64(s.stepMs) * int64(time.Millisecond) }

// generateArrivals adds the requests that arrive in the current step. Arrival rates
// vary by 30% around the mean of their route; service times are log-normal with the
// mean latency of the route times the endpoint's factor.
func (s *fixedStepSimulation) generateArrivals() {
	for origin := range testZones {
		for route, r := range testRoutes {
			if s.random.Float64() > r.perSecond*(1+0.3*math.Sin(float64(s.stepMs)/900))/1000 {
				continue
			}
			endpoint := s.balancers[origin].Pick(loadbalancer.Criteria{Service: "s", Bulk: false, LatencyTarget: 0})
			if endpoint == nil {
				continue
			}
			endpoint.BeginAttempt()
			id := endpoint.ID()
			remainingMs := r.latencyMs * s.latencyFactors[id] * math.Exp(0.5*s.random.NormFloat64()-0.125)
			e := s.endpoints[id]
			e.queue = append(e.queue, &fixedStepRequest{flowKey{origin, route, id}, endpoint, remainingMs, s.stepMs})
		}
	}
}

// advanceEndpoint serves the running requests for one step, reports the load after
// each completion and starts queued requests in free slots.
func (s *fixedStepSimulation) advanceEndpoint(id string, e *fixedStepEndpoint) {
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.remainingMs--; r.remainingMs > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		latencyMs := float64(s.stepMs - r.startMs)
		e.latencyMs += (latencyMs - e.latencyMs) / 16
		r.endpoint.EndAttempt()
		r.endpoint.SetLoad(len(e.running)+len(e.queue)-1, time.Duration(e.latencyMs)*time.Millisecond, s.now())
		if s.stepMs > s.steps/4 {
			s.requestCounts[r.flow]++
			s.latencySumsMs[r.flow] += latencyMs
		}
	}
	e.running = unfinished
	for len(e.queue) > 0 && len(e.running) < e.slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// measuredOrigins returns the measured flows of each node.
func (s *fixedStepSimulation) measuredOrigins() []Origin {
	var origins []Origin
	seconds := float64(s.steps) * 0.75 / 1000
	for i, zone := range testZones {
		origin := Origin{Node: fmt.Sprint("n", i), Zone: zone, RemoteWeight: testRemoteWeight, BulkWeight: testBulkWeight}
		for j, route := range testRoutes {
			for id, e := range s.endpoints {
				key := flowKey{i, j, id}
				if s.requestCounts[key] == 0 {
					continue
				}
				origin.Flows = append(origin.Flows, &meshpb.Flow{Route: route.name, Kind: route.kind, Service: "s", Endpoint: id, Node: e.node,
					PerS: s.requestCounts[key] / seconds, WorkMs: s.latencySumsMs[key] / s.requestCounts[key]})
			}
		}
		origins = append(origins, origin)
	}
	return origins
}

// newTestEndpoints returns four endpoints, e0 to e3, and the latency factors of
// these and of a fifth one, e4.
func newTestEndpoints() ([]*meshpb.Endpoint, map[string]float64) {
	var endpoints []*meshpb.Endpoint
	for i, zone := range []string{"a", "b", "c", "b"} {
		endpoints = append(endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Zone: zone, Slots: 8, State: "up", Node: fmt.Sprint("n", i), Inbound: "x"})
	}
	return endpoints, map[string]float64{"e0": 0.7, "e1": 1, "e2": 1.4, "e3": 1, "e4": 1}
}

// The predicted shares per route must agree with a separate simulation of the
// retirement, in which requests do move.
func TestRunPredictsMovesAfterRetirement(t *testing.T) {
	endpoints, latencyFactors := newTestEndpoints()
	before := measureFlows(endpoints, latencyFactors, 1, 60000)
	estimate, err := Run(before, endpoints, Change{Retire: "n1"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	after := measureFlows(append(append([]*meshpb.Endpoint{}, endpoints[:1]...), endpoints[2:]...), latencyFactors, 2, 60000)
	for _, deviation := range Check(estimate, after) {
		t.Logf("%+v", deviation)
		qt.Check(t, math.Abs(deviation.Forecast-deviation.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Measured > 0.15, qt.IsTrue)
	}
}

// The predicted shares per route must agree with a separate simulation of the
// addition.
func TestRunPredictsMovesAfterAddition(t *testing.T) {
	endpoints, latencyFactors := newTestEndpoints()
	before := measureFlows(endpoints, latencyFactors, 3, 60000)
	add := &meshpb.Endpoint{Id: "e4", Service: "s", Zone: "c", Slots: 8, State: "up", Node: "n4", Inbound: "x"}
	estimate, err := Run(before, endpoints, Change{Add: add}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	deviations := Check(estimate, measureFlows(append(append([]*meshpb.Endpoint{}, endpoints...), add), latencyFactors, 4, 60000))
	qt.Assert(t, len(deviations), qt.Equals, 2)
	for _, deviation := range deviations {
		t.Logf("%+v", deviation)
		qt.Check(t, math.Abs(deviation.Forecast-deviation.Measured) < 0.08, qt.IsTrue, qt.Commentf("%+v", deviation))
		qt.Check(t, deviation.Difference < 0.1, qt.IsTrue, qt.Commentf("%+v", deviation))
	}
}

// The retired endpoint belongs to a service without traffic, so every predicted
// move is an error of the estimate; up to 8% of a route's rate are tolerated.
func TestRunPredictsNoMovesAfterRetirementOfIdleEndpoint(t *testing.T) {
	endpoints, latencyFactors := newTestEndpoints()
	before := measureFlows(endpoints, latencyFactors, 5, 30000)
	idle := &meshpb.Endpoint{Id: "z", Service: "other", Zone: "a", Slots: 1, State: "up", Node: "n9"}
	estimate, err := Run(before, append(endpoints, idle), Change{Retire: "z"}, Options{Duration: 120 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	for _, summary := range estimate.Summaries {
		qt.Check(t, summary.Moved < 0.08*summary.Rate, qt.IsTrue, qt.Commentf("%+v", summary))
	}
}

func TestRunRejectsUnknownNamesAndMissingFlows(t *testing.T) {
	endpoints, latencyFactors := newTestEndpoints()
	before := measureFlows(endpoints, latencyFactors, 5, 30000)
	_, err := Run(before, endpoints, Change{Retire: "nobody"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no node or endpoint.*")
	_, err = Run(nil, endpoints, Change{Retire: "n1"}, Options{Duration: time.Second})
	qt.Check(t, err, qt.ErrorMatches, ".*no flows.*")
}
