package loadestimate

import (
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// demand is what one node sends on one route to one service.
type demand struct {
	// origin is the index of the node.
	origin  int
	route   string
	kind    string
	service string
	// rate is in requests a second, latencyMs their mean latency.
	rate          float64
	latencyMs     float64
	bulk          bool
	latencyTarget time.Duration
}

// demandEndpoint names an endpoint that serves a demand, by the demand's index.
type demandEndpoint struct {
	demand   int
	endpoint string
}

// demandsOf adds up the measured flows to demands, and returns each demand's rate
// at each endpoint with them.
func demandsOf(origins []Origin) ([]demand, map[demandEndpoint]float64) {
	type routeService struct{ route, service string }
	var demands []demand
	rates := map[demandEndpoint]float64{}
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
			// Until all flows are added up, latencyMs holds the sum over requests.
			demands[index].latencyMs += flow.PerS * flow.WorkMs
			demands[index].rate += flow.PerS
			rates[demandEndpoint{index, flow.Endpoint}] += flow.PerS
		}
	}
	for i := range demands {
		demands[i].latencyMs /= max(demands[i].rate, minDivisor)
	}
	return demands, rates
}

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

// routeLoad is what all nodes send on one route.
type routeLoad struct {
	// rate is in requests a second, workMs the sum of their latencies.
	rate   float64
	workMs float64
}

// meanMs is the mean latency of the route's requests.
func (l routeLoad) meanMs() float64 { return l.workMs / l.rate }

func routeLoads(demands []demand) map[string]routeLoad {
	loads := map[string]routeLoad{}
	for _, d := range demands {
		load := loads[d.route]
		loads[d.route] = routeLoad{rate: load.rate + d.rate, workMs: load.workMs + d.latencyMs*d.rate}
	}
	return loads
}
