package loadestimate

import (
	"cmp"
	"math"
	"slices"
)

// Deviation holds, for one route, the share of requests that an estimate moves
// beside the share that moved.
type Deviation struct {
	Route string `json:"binding"`
	Kind  string `json:"kind"`
	// Forecast and Measured are the shares of requests that go to another endpoint.
	Forecast float64 `json:"foretold"`
	Measured float64 `json:"measured"`
	// Difference is the share of requests that are not at the endpoint that they
	// were forecast for.
	Difference float64 `json:"off"`
}

// Check holds an estimate against the flows that were measured after the change.
func Check(estimate Estimate, origins []Origin) []Deviation {
	before, after, measured := newEndpointShares(), newEndpointShares(), newEndpointShares()
	kinds := map[string]string{}
	known := map[string]bool{}
	for _, rate := range estimate.EndpointRates {
		before.add(rate.Route, rate.Endpoint, rate.Before)
		after.add(rate.Route, rate.Endpoint, rate.After)
		kinds[rate.Route] = rate.Kind
		known[rate.Endpoint] = true
	}
	for _, origin := range origins {
		for _, flow := range origin.Flows {
			measured.add(flow.Route, estimatedName(flow.Endpoint, known, estimate.Change), flow.PerS)
		}
	}
	var out []Deviation
	for route, kind := range kinds {
		if measured.totals[route] == 0 || after.totals[route] == 0 {
			continue
		}
		d := deviation(route, before, after, measured)
		d.Kind = kind
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Deviation) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// estimatedName takes an endpoint that the estimate does not have for the one
// that was to be added, whose name was not known then.
func estimatedName(endpoint string, known map[string]bool, change Change) string {
	if !known[endpoint] && change.Add != nil && change.Add.Id != "" {
		return change.Add.Id
	}
	return endpoint
}

func deviation(route string, before, after, measured endpointShares) Deviation {
	d := Deviation{Route: route}
	endpoints := map[string]bool{}
	for id := range after.rates[route] {
		endpoints[id] = true
	}
	for id := range measured.rates[route] {
		endpoints[id] = true
	}
	for id := range endpoints {
		was, forecast, got := before.share(route, id), after.share(route, id), measured.share(route, id)
		d.Forecast += max(was-forecast, 0)
		d.Measured += max(was-got, 0)
		d.Difference += math.Abs(forecast-got) / 2
	}
	d.Forecast, d.Measured, d.Difference = round(d.Forecast), round(d.Measured), round(d.Difference)
	return d
}

// endpointShares adds up rates by route and endpoint.
type endpointShares struct {
	rates  map[string]map[string]float64
	totals map[string]float64
}

func newEndpointShares() endpointShares {
	return endpointShares{rates: map[string]map[string]float64{}, totals: map[string]float64{}}
}

func (s endpointShares) add(route, endpoint string, rate float64) {
	if s.rates[route] == nil {
		s.rates[route] = map[string]float64{}
	}
	s.rates[route][endpoint] += rate
	s.totals[route] += rate
}

func (s endpointShares) share(route, endpoint string) float64 {
	return s.rates[route][endpoint] / s.totals[route]
}
