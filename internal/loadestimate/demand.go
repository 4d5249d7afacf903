package loadestimate

import (
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// demand is the traffic that one node sends on one route to one service.
type demand struct {
	// origin is the index of the sending node.
	origin  int
	route   string
	kind    string
	service string
	// rate is in requests per second, latencyMs is their mean latency.
	rate          float64
	latencyMs     float64
	bulk          bool
	latencyTarget time.Duration
}

// demandEndpointKey identifies an endpoint that serves a demand, by the demand's
// index and the endpoint's ID.
type demandEndpointKey struct {
	demand   int
	endpoint string
}

// aggregateFlows sums the measured flows into demands. It also returns the rate of
// each demand at each endpoint, in requests per second.
func aggregateFlows(origins []Origin) ([]demand, map[demandEndpointKey]float64) {
	type routeService struct{ route, service string }
	var demands []demand
	rates := map[demandEndpointKey]float64{}
	for i, origin := range origins {
		indexes := map[routeService]int{}
		for _, flow := range origin.Flows {
			key := routeService{flow.Route, flow.Service}
			index, known := indexes[key]
			if !known {
				index = len(demands)
				indexes[key] = index
				demands = append(demands, newDemand(i, flow))
			}
			// In this loop latencyMs holds a sum weighted by rate; the loop below
			// turns it into the mean.
			demands[index].latencyMs += flow.PerS * flow.WorkMs
			demands[index].rate += flow.PerS
			rates[demandEndpointKey{index, flow.Endpoint}] += flow.PerS
		}
	}
	for i := range demands {
		demands[i].latencyMs /= max(demands[i].rate, minDivisor)
	}
	return demands, rates
}

// newDemand returns a demand with the properties of a flow, without its rate and
// latency.
func newDemand(origin int, flow *meshpb.Flow) demand {
	kind, known := routeconfig.ParseRouteKind(flow.Kind)
	return demand{
		origin:        origin,
		route:         flow.Route,
		kind:          flow.Kind,
		service:       flow.Service,
		bulk:          known && kind.Bulk(),
		latencyTarget: time.Duration(flow.LatencyTargetMs) * time.Millisecond,
	}
}

// routeLoad is the traffic of all nodes on one route.
type routeLoad struct {
	// rate is in requests per second. latencyMsPerS is the sum of the latencies of
	// one second's requests, in milliseconds.
	rate          float64
	latencyMsPerS float64
}

// meanMs returns the mean latency of the route's requests in milliseconds.
func (l routeLoad) meanMs() float64 { return l.latencyMsPerS / l.rate }

// routeLoads sums the demands by route.
func routeLoads(demands []demand) map[string]routeLoad {
	loads := map[string]routeLoad{}
	for _, d := range demands {
		load := loads[d.route]
		loads[d.route] = routeLoad{rate: load.rate + d.rate, latencyMsPerS: load.latencyMsPerS + d.latencyMs*d.rate}
	}
	return loads
}
