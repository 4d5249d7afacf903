package replay

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"corkcove/internal/proxy/retry"
	"corkcove/internal/rpc/meshpb"
)

const (
	// unknownLatency is assumed for a route that the recording has no answered
	// attempt of.
	unknownLatency = 50 * time.Millisecond
	// minRelativeLatency keeps an endpoint that answered at once from scaling
	// others' latencies to nothing.
	minRelativeLatency = 0.05
	// outcomeWindowUs is how far around a moment recorded outcomes are taken for
	// what would happen then, in microseconds.
	outcomeWindowUs = int64(time.Second / time.Microsecond)
	// minWindowOutcomes is how many outcomes the window must have before failures
	// are drawn from it.
	minWindowOutcomes = 3
)

// endpointModel stands in for one endpoint: its slots, its queue, and what the
// recording tells of its latency and its failures.
type endpointModel struct {
	slots   int
	running int
	// queue holds attempts that wait for a slot, oldest first.
	queue []func()
	// relativeLatency is its latency over the mean of the same routes at all
	// endpoints.
	relativeLatency float64
	// outcomes are the recorded ones, in order of time.
	outcomes []recordedOutcome
	// direct tells that nodes send to the endpoint itself and not to an agent
	// beside it, so that nobody but the endpoint limits its queue.
	direct bool
}

// recordedOutcome is how one recorded attempt at an endpoint ended.
type recordedOutcome struct {
	timeUs  int64
	outcome retry.Outcome
	code    int
	tookUs  int64
}

func (o recordedOutcome) failed() bool {
	switch o.outcome {
	case retry.Failed, retry.TimedOut, retry.Unreachable:
		return true
	case retry.Answered:
		return o.code >= http.StatusInternalServerError
	}
	return false
}

// release frees a slot and starts the attempt that has waited longest.
func (e *endpointModel) release() {
	e.running--
	if len(e.queue) > 0 && e.running < e.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
}

// load counts the attempts that run or wait.
func (e *endpointModel) load() int { return e.running + len(e.queue) }

// queueWait estimates how long one more attempt would wait for a slot.
func (e *endpointModel) queueWait(latency time.Duration) time.Duration {
	return time.Duration(len(e.queue)+1) * latency / time.Duration(e.slots)
}

// outcomesAround returns how many recorded outcomes lie around a time, and those
// of them that are failures.
func (e *endpointModel) outcomesAround(timeUs int64) (total int, failures []recordedOutcome) {
	byTime := func(o recordedOutcome, t int64) int { return cmp.Compare(o.timeUs, t) }
	first, _ := slices.BinarySearchFunc(e.outcomes, timeUs-outcomeWindowUs, byTime)
	for _, o := range e.outcomes[first:] {
		if o.timeUs >= timeUs+outcomeWindowUs {
			break
		}
		total++
		if o.failed() {
			failures = append(failures, o)
		}
	}
	return total, failures
}

// trafficModel is what a recording tells of endpoints and routes.
type trafficModel struct {
	endpoints map[string]*endpointModel
	// routeLatency is the mean latency of a route's answered attempts.
	routeLatency map[string]time.Duration
}

func (m *trafficModel) endpoint(id string) *endpointModel {
	e := m.endpoints[id]
	if e == nil {
		e = &endpointModel{slots: 1, relativeLatency: 1}
		m.endpoints[id] = e
	}
	return e
}

// newTrafficModel learns from the recording how fast endpoints answer, when they
// failed, and how many slots they have.
func newTrafficModel(recording *meshpb.ReplayFile) (*trafficModel, error) {
	m := &trafficModel{endpoints: map[string]*endpointModel{}, routeLatency: map[string]time.Duration{}}
	latencies := newLatencySums()
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if err := m.learnOutcomes(record, latencies); err != nil {
				return nil, err
			}
		}
	}
	m.setLatencies(latencies)
	for _, e := range m.endpoints {
		slices.SortFunc(e.outcomes, func(a, b recordedOutcome) int { return cmp.Compare(a.timeUs, b.timeUs) })
	}
	m.learnSlots(recording.Views)
	return m, nil
}

func (m *trafficModel) learnOutcomes(record *meshpb.RequestRecord, latencies *latencySums) error {
	for _, attempt := range record.Attempts {
		outcome, ok := retry.ParseOutcome(attempt.Outcome)
		if !ok {
			return Error.New("record %s has an attempt with the unknown outcome %q", record.Id, attempt.Outcome)
		}
		e := m.endpoint(attempt.Endpoint)
		e.direct = e.direct || attempt.Node == ""
		e.outcomes = append(e.outcomes, recordedOutcome{record.AtUs + attempt.AtUs, outcome, int(attempt.Code), attempt.TookUs})
		if answeredWell(attempt, outcome) {
			latencies.add(attempt.Endpoint, record.Route, microseconds(attempt.TookUs))
		}
	}
	return nil
}

// answeredWell tells that the attempt's latency is that of normal work.
func answeredWell(attempt *meshpb.Attempt, outcome retry.Outcome) bool {
	return outcome == retry.Answered && attempt.Code < http.StatusInternalServerError
}

func (m *trafficModel) setLatencies(latencies *latencySums) {
	for route, sum := range latencies.routes {
		m.routeLatency[route] = sum.total / time.Duration(sum.count)
	}
	type ratio struct{ relative, count float64 }
	ratios := map[string]ratio{}
	for key, sum := range latencies.endpoints {
		r := ratios[key.endpoint]
		r.relative += float64(sum.total) / float64(max(m.routeLatency[key.route], 1))
		r.count += float64(sum.count)
		ratios[key.endpoint] = r
	}
	for id, r := range ratios {
		m.endpoints[id].relativeLatency = max(r.relative/r.count, minRelativeLatency)
	}
}

func (m *trafficModel) learnSlots(views []*meshpb.View) {
	for _, view := range views {
		for _, endpoint := range view.Endpoints {
			e := m.endpoint(endpoint.Id)
			e.slots = max(int(endpoint.Slots), 1)
			e.direct = endpoint.Inbound == ""
		}
	}
}

type latencySum struct {
	count int
	total time.Duration
}

func (s latencySum) plus(d time.Duration) latencySum { return latencySum{s.count + 1, s.total + d} }

type endpointRoute struct{ endpoint, route string }

// latencySums adds up the latencies of answered attempts.
type latencySums struct {
	routes    map[string]latencySum
	endpoints map[endpointRoute]latencySum
}

func newLatencySums() *latencySums {
	return &latencySums{routes: map[string]latencySum{}, endpoints: map[endpointRoute]latencySum{}}
}

func (s *latencySums) add(endpoint, route string, latency time.Duration) {
	key := endpointRoute{endpoint, route}
	s.routes[route] = s.routes[route].plus(latency)
	s.endpoints[key] = s.endpoints[key].plus(latency)
}

// microseconds converts the recording's unit of time.
func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// seconds converts the recording's unit of time to that of reports.
func seconds(us int64) float64 { return float64(us) / 1e6 }
