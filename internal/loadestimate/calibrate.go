package loadestimate

import (
	"math"

	"corkcove/internal/rpc/meshpb"
)

// relativeLatencies are how long endpoints take over the mean of their routes, by
// endpoint.
type relativeLatencies map[string]float64

// of returns an endpoint's relative latency; one that was not measured is taken
// to be like the others of its service.
func (l relativeLatencies) of(endpoint *meshpb.Endpoint, all []*meshpb.Endpoint) float64 {
	if latency, ok := l[endpoint.Id]; ok {
		return latency
	}
	return l.meanOf(endpoint.Service, all)
}

// meanOf is the mean over a service's endpoints, each counted once.
func (l relativeLatencies) meanOf(service string, all []*meshpb.Endpoint) float64 {
	sum, n := 0.0, 0.0
	for _, e := range all {
		if latency, ok := l[e.Id]; ok && e.Service == service {
			sum += latency
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// measuredLatencies are those that the nodes measured; they hold what requests
// wait for a slot.
func measuredLatencies(origins []Origin, demands []demand) relativeLatencies {
	loads := routeLoads(demands)
	took, expected := map[string]float64{}, map[string]float64{}
	for _, origin := range origins {
		for _, flow := range origin.Flows {
			load := loads[flow.Route]
			took[flow.Endpoint] += flow.PerS * flow.WorkMs
			expected[flow.Endpoint] += flow.PerS * load.workMs / load.rate
		}
	}
	out := relativeLatencies{}
	for id, ms := range took {
		out[id] = ms / max(expected[id], minDivisor)
	}
	return out
}

// calibrate simulates the present until its latencies come near the measured
// ones. It returns the shares of the last simulation, and the latencies that
// endpoints work with when nothing waits.
func calibrate(origins []Origin, demands []demand, endpoints []*meshpb.Endpoint, options Options) (map[demandEndpoint]float64, relativeLatencies) {
	measured := measuredLatencies(origins, demands)
	latencies := measured
	var shares map[demandEndpoint]float64
	for range calibrationRounds {
		result := simulate(origins, demands, endpoints, latencies, options)
		shares = result.shares
		latencies = latencies.corrected(measured, result.latencies)
	}
	return shares, latencies
}

// corrected goes half the way, as a ratio, from the simulated latencies to the
// measured ones.
func (l relativeLatencies) corrected(measured, simulated relativeLatencies) relativeLatencies {
	out := relativeLatencies{}
	for id, latency := range l {
		out[id] = latency
		if simulated[id] > 0 {
			out[id] = latency * math.Sqrt(measured[id]/simulated[id])
		}
	}
	return out
}
