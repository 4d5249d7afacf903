package loadestimate

import (
	"cmp"
	"math"
	"slices"
)

// Deviation compares, for one route, the share of requests that an estimate
// predicted to move with the share that did. All shares are between 0 and 1,
// rounded to three decimals.
type Deviation struct {
	// Route is the route's name, Kind its kind as text.
	Route string `json:"binding"`
	Kind  string `json:"kind"`
	// Forecast and Measured are the predicted and the observed share of requests
	// that go to another endpoint than before the change.
	Forecast float64 `json:"foretold"`
	Measured float64 `json:"measured"`
	// Difference is the share of requests that reached another endpoint than
	// predicted: half the sum of the differences over all endpoints.
	Difference float64 `json:"off"`
}

// Check compares an estimate with the flows measured after the change. It returns
// one deviation per route, sorted by route; routes without measured flows or
// without predicted requests are left out.
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
			measured.add(flow.Route, estimatedID(flow.Endpoint, known, estimate.Change), flow.PerS)
		}
	}
	var out []Deviation
	for route, kind := range kinds {
		if measured.totals[route] == 0 || after.totals[route] == 0 {
			continue
		}
		d := routeDeviation(route, before, after, measured)
		d.Kind = kind
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Deviation) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// estimatedID returns the ID under which an endpoint appears in the estimate. An
// endpoint that the estimate does not contain is taken to be the added one, whose
// real ID was not known when the estimate was made.
func estimatedID(endpoint string, known map[string]bool, change Change) string {
	if !known[endpoint] && change.Add != nil && change.Add.Id != "" {
		return change.Add.Id
	}
	return endpoint
}

// routeDeviation compares the predicted and the measured shares of one route; it
// leaves Kind empty.
func routeDeviation(route string, before, after, measured endpointShares) Deviation {
	d := Deviation{Route: route}
	endpoints := map[string]bool{}
	for id := range after.rates[route] {
		endpoints[id] = true
	}
	for id := range measured.rates[route] {
		endpoints[id] = true
	}
	for id := range endpoints {
		shareBefore, forecastShare, measuredShare := before.share(route, id), after.share(route, id), measured.share(route, id)
		d.Forecast += max(shareBefore-forecastShare, 0)
		d.Measured += max(shareBefore-measuredShare, 0)
		d.Difference += math.Abs(forecastShare-measuredShare) / 2
	}
	d.Forecast, d.Measured, d.Difference = round(d.Forecast), round(d.Measured), round(d.Difference)
	return d
}

// endpointShares accumulates request rates by route and endpoint, and the total
// of each route.
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

// share returns the endpoint's fraction of the route's requests. It is NaN if the
// route has no requests.
func (s endpointShares) share(route, endpoint string) float64 {
	return s.rates[route][endpoint] / s.totals[route]
}
