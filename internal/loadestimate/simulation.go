package loadestimate

import (
	"container/heap"
	"math/rand"
	"time"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc/meshpb"
)

const (
	// warmUpShare is the part of the simulated time that is not counted.
	warmUpShare = 1.0 / 4
	// initialLatencyMs is what an endpoint is taken to need before it has answered.
	initialLatencyMs = 50
	// latencyWeight is how much of an endpoint's moving average one answer makes up.
	latencyWeight = 1.0 / 16
	// Work is spread evenly from minWorkFactor to minWorkFactor+1 of its mean.
	minWorkFactor = 0.5
	// viewVersion is that of the only view in a simulation.
	viewVersion = 1
)

// event is the arrival of a request of a demand, or the end of one at an
// endpoint.
type event struct {
	// at and arrivedAt are in seconds from the simulation's start.
	at        float64
	arrivedAt float64
	demand    int
	endpoint  *loadbalancer.Endpoint
	ends      bool
}

// eventHeap orders events by time.
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

// endpointModel is one endpoint: a queue with as many servers as it has slots.
type endpointModel struct {
	slots   int
	running int
	queue   []event
	// latencyMs is the moving average that it reports to load balancers.
	latencyMs       float64
	relativeLatency float64
}

// simulationResult is what a simulation measured after its warm-up.
type simulationResult struct {
	// shares are the part of each demand that went to each endpoint.
	shares    map[demandEndpoint]float64
	latencies relativeLatencies
}

// simulation plays demands against endpoints in virtual time.
type simulation struct {
	demands   []demand
	loads     map[string]routeLoad
	balancers []*loadbalancer.Balancer
	endpoints map[string]*endpointModel
	random    *rand.Rand
	events    eventHeap
	// now, countFrom and end are in seconds from the start.
	now       float64
	countFrom float64
	end       float64

	arrivals map[demandEndpoint]float64
	totals   []float64
	// tookMs adds up the latencies of requests by endpoint, expectedMs the means of
	// their routes.
	tookMs     map[string]float64
	expectedMs map[string]float64
}

// simulate plays the demands against the endpoints for the options' duration.
func simulate(origins []Origin, demands []demand, endpoints []*meshpb.Endpoint, latencies relativeLatencies, options Options) simulationResult {
	s := &simulation{
		demands:    demands,
		loads:      routeLoads(demands),
		random:     rand.New(rand.NewSource(options.Seed + 1)),
		end:        options.Duration.Seconds(),
		countFrom:  options.Duration.Seconds() * warmUpShare,
		arrivals:   map[demandEndpoint]float64{},
		totals:     make([]float64, len(demands)),
		tookMs:     map[string]float64{},
		expectedMs: map[string]float64{},
	}
	s.addBalancers(origins, endpoints)
	s.addEndpoints(endpoints, latencies)
	s.run()
	return s.result()
}

func (s *simulation) addBalancers(origins []Origin, endpoints []*meshpb.Endpoint) {
	view := &meshpb.View{Version: viewVersion, Endpoints: endpoints}
	for _, origin := range origins {
		b := loadbalancer.New(origin.Zone, origin.RemoteWeight, origin.BulkWeight).SetLocalNode(origin.Node)
		b.SetRandomAndClock(s.random.Float64, s.nowNanoseconds)
		b.ApplyView(view)
		s.balancers = append(s.balancers, b)
	}
}

func (s *simulation) addEndpoints(endpoints []*meshpb.Endpoint, latencies relativeLatencies) {
	s.endpoints = map[string]*endpointModel{}
	for _, e := range endpoints {
		s.endpoints[e.Id] = &endpointModel{
			slots:           max(int(e.Slots), 1),
			latencyMs:       initialLatencyMs,
			relativeLatency: latencies.of(e, endpoints),
		}
	}
}

func (s *simulation) nowNanoseconds() int64 { return int64(s.now * float64(time.Second)) }

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
		case e.ends:
			s.finish(e)
		case e.at <= s.end:
			s.arrive(e)
		}
	}
}

// scheduleArrival draws when the demand's next request arrives.
func (s *simulation) scheduleArrival(index int) {
	heap.Push(&s.events, event{at: s.now + s.random.ExpFloat64()/s.demands[index].rate, demand: index})
}

// arrive sends a request to the endpoint that its node's load balancer chooses.
func (s *simulation) arrive(e event) {
	s.scheduleArrival(e.demand)
	d := s.demands[e.demand]
	endpoint := s.balancers[d.origin].Pick(loadbalancer.Criteria{Service: d.service, Bulk: d.bulk, LatencyTarget: d.latencyTarget})
	if endpoint == nil {
		return
	}
	if e.at > s.countFrom {
		s.arrivals[demandEndpoint{e.demand, endpoint.ID()}]++
		s.totals[e.demand]++
	}
	endpoint.BeginAttempt()
	e.endpoint, e.arrivedAt = endpoint, e.at
	model := s.endpoints[endpoint.ID()]
	if model.running >= model.slots {
		model.queue = append(model.queue, e)
		return
	}
	s.start(e, model)
}

// start draws how long the request takes, and schedules its end.
func (s *simulation) start(e event, model *endpointModel) {
	model.running++
	mean := s.loads[s.demands[e.demand].route].meanMs()
	seconds := mean * model.relativeLatency * (minWorkFactor + s.random.Float64()) / 1000
	heap.Push(&s.events, event{at: s.now + seconds, demand: e.demand, endpoint: e.endpoint, ends: true, arrivedAt: e.arrivedAt})
}

// finish ends a request and starts the one that has waited longest.
func (s *simulation) finish(e event) {
	id := e.endpoint.ID()
	model := s.endpoints[id]
	model.running--
	tookMs := (e.at - e.arrivedAt) * 1000
	if e.arrivedAt > s.countFrom {
		s.tookMs[id] += tookMs
		s.expectedMs[id] += s.loads[s.demands[e.demand].route].meanMs()
	}
	model.latencyMs += (tookMs - model.latencyMs) * latencyWeight
	latency := time.Duration(model.latencyMs * float64(time.Millisecond))
	e.endpoint.EndAttempt()
	e.endpoint.SetLoad(model.running+len(model.queue), latency, s.nowNanoseconds())
	if len(model.queue) > 0 && model.running < model.slots {
		next := model.queue[0]
		model.queue = model.queue[1:]
		s.start(next, model)
	}
}

func (s *simulation) result() simulationResult {
	r := simulationResult{shares: map[demandEndpoint]float64{}, latencies: relativeLatencies{}}
	for key, n := range s.arrivals {
		r.shares[key] = n / s.totals[key.demand]
	}
	for id, ms := range s.tookMs {
		r.latencies[id] = ms / max(s.expectedMs[id], minDivisor)
	}
	return r
}
