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
	// defaultLatency is assumed for a route without a successful attempt in the
	// recording.
	defaultLatency = 50 * time.Millisecond
	// minRelativeLatency is the lower bound of endpointModel.relativeLatency. It
	// prevents a division by zero, and latencies near zero, for an endpoint that
	// responded almost immediately in the recording.
	minRelativeLatency = 0.05
	// outcomeWindowUs is the time before and after an attempt, in microseconds,
	// within which recorded outcomes determine the failure rate.
	outcomeWindowUs = int64(time.Second / time.Microsecond)
	// minWindowOutcomes is the minimum number of outcomes in the window for failures
	// to be sampled from it.
	minWindowOutcomes = 3
)

// endpointModel models an endpoint by its slots, its queue, and its latency and
// failures in the recording.
type endpointModel struct {
	slots   int
	running int
	// queue holds the attempts that wait for a slot, oldest first.
	queue []func()
	// relativeLatency is the ratio of the endpoint's latency to the mean latency of
	// the same routes at all endpoints.
	relativeLatency float64
	// outcomes are the recorded outcomes, in order of time.
	outcomes []recordedOutcome
	// direct means that nodes send requests to the endpoint itself and not to a
	// sidecar, so that only the endpoint limits its queue.
	direct bool
}

// recordedOutcome is the outcome of a recorded attempt at an endpoint, or a success
// that sampleOutcome assumes for an attempt that is not in the recording.
type recordedOutcome struct {
	// timeUs is the time at which the recorded attempt started, in Unix microseconds,
	// also if sampleOutcome reuses a recorded failure. It is 0 for an assumed success.
	timeUs  int64
	outcome retry.Outcome
	// code is the HTTP status, 0 unless the endpoint answered.
	code   int
	tookUs int64
}

// failed reports whether the attempt counts towards the endpoint's failure rate.
func (o recordedOutcome) failed() bool {
	switch o.outcome {
	case retry.Failed, retry.TimedOut, retry.Unreachable:
		return true
	case retry.Answered:
		return o.code >= http.StatusInternalServerError
	}
	return false
}

// releaseSlot frees a slot and starts the attempt that has waited longest, if any.
func (e *endpointModel) releaseSlot() {
	e.running--
	if len(e.queue) > 0 && e.running < e.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
}

// load returns the number of attempts that are running or queued.
func (e *endpointModel) load() int { return e.running + len(e.queue) }

// queueWait estimates how long another attempt would wait for a slot.
func (e *endpointModel) queueWait(latency time.Duration) time.Duration {
	return time.Duration(len(e.queue)+1) * latency / time.Duration(e.slots)
}

// outcomesAround returns the number of recorded outcomes within outcomeWindowUs of
// a time, and the failures among them.
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

// trafficModel holds the models of endpoints and the latencies of routes that are
// derived from a recording.
type trafficModel struct {
	endpoints map[string]*endpointModel
	// routeLatency is the mean latency of each route's successful attempts.
	routeLatency map[string]time.Duration
}

// endpoint returns the model of the endpoint with the ID. One that the recording
// does not contain gets one slot and average latency.
func (m *trafficModel) endpoint(id string) *endpointModel {
	e := m.endpoints[id]
	if e == nil {
		e = &endpointModel{slots: 1, relativeLatency: 1}
		m.endpoints[id] = e
	}
	return e
}

// newTrafficModel derives the latencies, failures and slots of endpoints from the
// recording. It returns an error if an attempt has an unknown outcome.
func newTrafficModel(recording *meshpb.ReplayFile) (*trafficModel, error) {
	m := &trafficModel{endpoints: map[string]*endpointModel{}, routeLatency: map[string]time.Duration{}}
	latencies := newLatencySums()
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if err := m.addOutcomes(record, latencies); err != nil {
				return nil, err
			}
		}
	}
	m.setLatencies(latencies)
	for _, e := range m.endpoints {
		slices.SortFunc(e.outcomes, func(a, b recordedOutcome) int { return cmp.Compare(a.timeUs, b.timeUs) })
	}
	m.setSlots(recording.Views)
	return m, nil
}

// addOutcomes adds the outcomes of the request's attempts to the models of their
// endpoints, and the latencies of the successful ones to latencies.
func (m *trafficModel) addOutcomes(record *meshpb.RequestRecord, latencies *latencySums) error {
	for _, attempt := range record.Attempts {
		outcome, ok := retry.ParseOutcome(attempt.Outcome)
		if !ok {
			return Error.New("record %s has an attempt with the unknown outcome %q", record.Id, attempt.Outcome)
		}
		e := m.endpoint(attempt.Endpoint)
		e.direct = e.direct || attempt.Node == ""
		e.outcomes = append(e.outcomes, recordedOutcome{record.AtUs + attempt.AtUs, outcome, int(attempt.Code), attempt.TookUs})
		if succeeded(attempt, outcome) {
			latencies.add(attempt.Endpoint, record.Route, microseconds(attempt.TookUs))
		}
	}
	return nil
}

// succeeded reports whether the endpoint responded without a server error, so that
// the attempt's latency is representative.
func succeeded(attempt *meshpb.Attempt, outcome retry.Outcome) bool {
	return outcome == retry.Answered && attempt.Code < http.StatusInternalServerError
}

// setLatencies sets the mean latency of each route and the relative latency of each
// endpoint.
func (m *trafficModel) setLatencies(latencies *latencySums) {
	for route, sum := range latencies.routes {
		m.routeLatency[route] = sum.total / time.Duration(sum.count)
	}
	type relativeSum struct{ total, count float64 }
	sums := map[string]relativeSum{}
	for key, sum := range latencies.endpoints {
		r := sums[key.endpoint]
		r.total += float64(sum.total) / float64(max(m.routeLatency[key.route], 1))
		r.count += float64(sum.count)
		sums[key.endpoint] = r
	}
	for id, r := range sums {
		m.endpoints[id].relativeLatency = max(r.total/r.count, minRelativeLatency)
	}
}

// setSlots sets the slots of endpoints, and whether they are direct, from the last
// of the views that contains them.
func (m *trafficModel) setSlots(views []*meshpb.View) {
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

func (s latencySum) add(d time.Duration) latencySum { return latencySum{s.count + 1, s.total + d} }

type endpointRoute struct{ endpoint, route string }

// latencySums sums the latencies of successful attempts, by route and by endpoint
// and route.
type latencySums struct {
	routes    map[string]latencySum
	endpoints map[endpointRoute]latencySum
}

func newLatencySums() *latencySums {
	return &latencySums{routes: map[string]latencySum{}, endpoints: map[endpointRoute]latencySum{}}
}

func (s *latencySums) add(endpoint, route string, latency time.Duration) {
	key := endpointRoute{endpoint, route}
	s.routes[route] = s.routes[route].add(latency)
	s.endpoints[key] = s.endpoints[key].add(latency)
}

// microseconds converts a time span in microseconds, the unit of recordings.
func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// seconds converts microseconds, the unit of recordings, to seconds, the unit of
// reports.
func seconds(us int64) float64 { return float64(us) / 1e6 }
