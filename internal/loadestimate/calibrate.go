package loadestimate

import (
	"math"

	"corkcove/internal/rpc/meshpb"
)

// relativeLatencies maps the ID of an endpoint to the ratio of its latency to the
// mean latency of the routes that it serves.
type relativeLatencies map[string]float64

// forEndpoint returns the relative latency of an endpoint. For an endpoint
// without measurements it returns the mean over its service.
func (l relativeLatencies) forEndpoint(endpoint *meshpb.Endpoint, all []*meshpb.Endpoint) float64 {
	if latency, ok := l[endpoint.Id]; ok {
		return latency
	}
	return l.serviceMean(endpoint.Service, all)
}

// serviceMean returns the unweighted mean over the measured endpoints of a service,
// or 1 if none was measured.
func (l relativeLatencies) serviceMean(service string, all []*meshpb.Endpoint) float64 {
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

// measuredLatencies returns the relative latencies that the nodes measured. They
// include the time that requests wait for a slot.
func measuredLatencies(origins []Origin, demands []demand) relativeLatencies {
	loads := routeLoads(demands)
	latencySums, expectedSums := map[string]float64{}, map[string]float64{}
	for _, origin := range origins {
		for _, flow := range origin.Flows {
			load := loads[flow.Route]
			latencySums[flow.Endpoint] += flow.PerS * flow.WorkMs
			expectedSums[flow.Endpoint] += flow.PerS * load.latencyMsPerS / load.rate
		}
	}
	out := relativeLatencies{}
	for id, ms := range latencySums {
		out[id] = ms / max(expectedSums[id], minDivisor)
	}
	return out
}

// calibrate simulates the current endpoints calibrationRounds times and adjusts
// their service times after each round, so that the simulated latencies approach
// the measured ones. It returns the shares of the last simulation and the
// calibrated relative latencies, which exclude the time spent in the queue.
func calibrate(origins []Origin, demands []demand, endpoints []*meshpb.Endpoint, options Options) (map[demandEndpointKey]float64, relativeLatencies) {
	measured := measuredLatencies(origins, demands)
	latencies := measured
	var shares map[demandEndpointKey]float64
	for range calibrationRounds {
		result := simulate(origins, demands, endpoints, latencies, options)
		shares = result.shares
		latencies = latencies.adjusted(measured, result.latencies)
	}
	return shares, latencies
}

// adjusted returns the latencies scaled by the square root of measured over
// simulated, which closes half of the gap on a logarithmic scale. An endpoint
// without a simulated latency keeps its value.
func (l relativeLatencies) adjusted(measured, simulated relativeLatencies) relativeLatencies {
	out := relativeLatencies{}
	for id, latency := range l {
		out[id] = latency
		if simulated[id] > 0 {
			out[id] = latency * math.Sqrt(measured[id]/simulated[id])
		}
	}
	return out
}
