package loadestimate

import (
	"container/heap"
	"math/rand"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc/meshpb"
)

const (
	// warmUpShare is the fraction of the simulated time that is excluded from the
	// results.
	warmUpShare = 1.0 / 4
	// initialLatencyMs is the initial value of an endpoint's moving average, before
	// its first response.
	initialLatencyMs = 50
	// latencyWeight is the weight of one response in an endpoint's exponentially
	// weighted moving average of latencies.
	latencyWeight = 1.0 / 16
	// minServiceTimeFactor is the lower bound of service times, relative to their
	// mean. They are uniformly distributed up to minServiceTimeFactor+1.
	minServiceTimeFactor = 0.5
	// viewVersion is the version of the only view in a simulation.
	viewVersion = 1
)

// event is the arrival of a request of a demand, or its completion at an
// endpoint.
type event struct {
	// at is the time at which the event occurs, arrivedAt when the request arrived. Both
	// are in seconds from the start of the simulation.
	at        float64
	arrivedAt float64
	// demand is the index of the request's demand.
	demand       int
	endpoint     *loadbalancer.Endpoint
	isCompletion bool
}

// eventHeap is a min-heap of events by time.
type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// endpointModel models an endpoint as a first-in, first-out queue with one server
// per slot.
type endpointModel struct {
	slots   int
	running int
	queue   []event
	// latencyMs is the moving average that the endpoint reports to load balancers.
	latencyMs float64
	// relativeLatency is the endpoint's mean service time, relative to the mean
	// latency of a request's route.
	relativeLatency float64
}

// simulationResult holds the measurements of a simulation after its warm-up.
type simulationResult struct {
	// shares are the fractions of each demand that went to each endpoint.
	shares    map[demandEndpointKey]float64
	latencies relativeLatencies
}

// simulation is a discrete-event simulation of demands, load balancers and
// endpoints.
type simulation struct {
	demands   []demand
	loads     map[string]routeLoad
	balancers []*loadbalancer.Balancer
	endpoints map[string]*endpointModel
	random    *rand.Rand
	events    eventHeap
	// now, warmUpEnd and end are in seconds from the start of the simulation.
	now       float64
	warmUpEnd float64
	end       float64

	// arrivals counts requests by demand and endpoint, arrivalTotals by demand.
	arrivals      map[demandEndpointKey]float64
	arrivalTotals []float64
	// latencySumsMs holds the sum of request latencies by endpoint, expectedSumsMs
	// the sum of the mean latencies of the same requests' routes.
	latencySumsMs  map[string]float64
	expectedSumsMs map[string]float64
}

// simulate runs a simulation of the demands and the endpoints. Arrivals end after
// options.Duration, and the requests in progress then are completed.
func simulate(origins []Origin, demands []demand, endpoints []*meshpb.Endpoint, latencies relativeLatencies, options Options) simulationResult {
	s := &simulation{
		demands:        demands,
		loads:          routeLoads(demands),
		random:         rand.New(rand.NewSource(options.Seed + 1)),
		end:            options.Duration.Seconds(),
		warmUpEnd:      options.Duration.Seconds() * warmUpShare,
		arrivals:       map[demandEndpointKey]float64{},
		arrivalTotals:  make([]float64, len(demands)),
		latencySumsMs:  map[string]float64{},
		expectedSumsMs: map[string]float64{},
	}
	s.addBalancers(origins, endpoints)
	s.addEndpoints(endpoints, latencies)
	s.run()
	return s.result()
}

// addBalancers creates the load balancer of each origin, which uses the
// simulation's random numbers and clock.
func (s *simulation) addBalancers(origins []Origin, endpoints []*meshpb.Endpoint) {
	view := &meshpb.View{Version: viewVersion, Endpoints: endpoints}
	for _, origin := range origins {
		b := loadbalancer.New(origin.Zone, origin.RemoteWeight, origin.BulkWeight).SetLocalNode(origin.Node)
		b.SetRandomAndClock(s.random.Float64, s.nowNanoseconds)
		b.ApplyView(view)
		s.balancers = append(s.balancers, b)
	}
}

// addEndpoints creates the models of the endpoints, at least one slot each.
func (s *simulation) addEndpoints(endpoints []*meshpb.Endpoint, latencies relativeLatencies) {
	s.endpoints = map[string]*endpointModel{}
	for _, e := range endpoints {
		s.endpoints[e.Id] = &endpointModel{
			slots:           max(int(e.Slots), 1),
			latencyMs:       initialLatencyMs,
			relativeLatency: latencies.forEndpoint(e, endpoints),
		}
	}
}

// nowNanoseconds returns the simulated time since the start, in nanoseconds.
func (s *simulation) nowNanoseconds() int64 { return int64(s.now * float64(time.Second)) }

// run processes all events in order of time.
func (s *simulation) run() {
	for i, d := range s.demands {
		if d.rate > 0 {
			s.scheduleArrival(i)
		}
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch {
		case e.isCompletion:
			s.handleCompletion(e)
		case e.at <= s.end:
			s.handleArrival(e)
		}
	}
}

// scheduleArrival schedules the next request of a demand. Times between arrivals
// are exponentially distributed.
func (s *simulation) scheduleArrival(index int) {
	heap.Push(&s.events, event{at: s.now + s.random.ExpFloat64()/s.demands[index].rate, demand: index})
}

// handleArrival sends a request to the endpoint that its origin's load balancer
// chooses, and schedules the next request of the demand. A request for which no
// endpoint is available is dropped.
func (s *simulation) handleArrival(e event) {
	s.scheduleArrival(e.demand)
	d := s.demands[e.demand]
	endpoint := s.balancers[d.origin].Pick(loadbalancer.Criteria{Service: d.service, Bulk: d.bulk, LatencyTarget: d.latencyTarget})
	if endpoint == nil {
		return
	}
	if e.at > s.warmUpEnd {
		s.arrivals[demandEndpointKey{e.demand, endpoint.ID()}]++
		s.arrivalTotals[e.demand]++
	}
	endpoint.BeginAttempt()
	e.endpoint, e.arrivedAt = endpoint, e.at
	model := s.endpoints[endpoint.ID()]
	if model.running >= model.slots {
		model.queue = append(model.queue, e)
		return
	}
	s.startRequest(e, model)
}

// startRequest occupies a slot, draws the request's service time and schedules its
// completion.
func (s *simulation) startRequest(e event, model *endpointModel) {
	model.running++
	mean := s.loads[s.demands[e.demand].route].meanMs()
	seconds := mean * model.relativeLatency * (minServiceTimeFactor + s.random.Float64()) / 1000
	heap.Push(&s.events, event{at: s.now + seconds, demand: e.demand, endpoint: e.endpoint, isCompletion: true, arrivedAt: e.arrivedAt})
}

// handleCompletion releases a request's slot, reports the endpoint's load to the
// load balancer and starts the request that has waited longest.
func (s *simulation) handleCompletion(e event) {
	id := e.endpoint.ID()
	model := s.endpoints[id]
	model.running--
	tookMs := (e.at - e.arrivedAt) * 1000
	if e.arrivedAt > s.warmUpEnd {
		s.latencySumsMs[id] += tookMs
		s.expectedSumsMs[id] += s.loads[s.demands[e.demand].route].meanMs()
	}
	model.latencyMs += (tookMs - model.latencyMs) * latencyWeight
	latency := time.Duration(model.latencyMs * float64(time.Millisecond))
	e.endpoint.EndAttempt()
	e.endpoint.SetLoad(model.running+len(model.queue), latency, s.nowNanoseconds())
	if len(model.queue) > 0 && model.running < model.slots {
		next := model.queue[0]
		model.queue = model.queue[1:]
		s.startRequest(next, model)
	}
}

// result computes shares and relative latencies from the sums.
func (s *simulation) result() simulationResult {
	r := simulationResult{shares: map[demandEndpointKey]float64{}, latencies: relativeLatencies{}}
	for key, n := range s.arrivals {
		r.shares[key] = n / s.arrivalTotals[key.demand]
	}
	for id, ms := range s.latencySumsMs {
		r.latencies[id] = ms / max(s.expectedSumsMs[id], minDivisor)
	}
	return r
}
