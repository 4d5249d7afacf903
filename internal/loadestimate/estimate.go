package loadestimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/rpc/meshpb"
)

// Error is the class of all errors that this package returns.
var Error = errs.Class("loadestimate")

const (
	// calibrationRounds is the number of simulations of the current endpoints that
	// calibrate their service times.
	calibrationRounds = 4
	// shareSmoothing is added to the numerator and the denominator of the ratio of
	// simulated shares, so that a share near zero does not inflate the rate that
	// the ratio scales.
	shareSmoothing = 0.03
	// minListedRate is the lowest predicted rate, in requests per second, at which
	// an endpoint without measured requests is listed in the estimate.
	minListedRate = 0.005
	// minDivisor is the lower bound for divisors, which prevents a division by zero.
	minDivisor = 1e-9
)

// Origin is a node that sends requests, with the settings of its load balancer
// and the flows that it measured.
type Origin struct {
	// Node is the node's name, Zone the zone it is in.
	Node string
	Zone string
	// RemoteWeight and BulkWeight are the factors by which the load balancer
	// multiplies the score of endpoints in other zones: BulkWeight for bulk
	// requests, RemoteWeight for all others.
	RemoteWeight float64
	BulkWeight   float64
	// Flows are the requests that the node sends, by route and endpoint.
	Flows []*meshpb.Flow
}

// Change describes the change to estimate: the retirement of a node or an
// endpoint, the addition of an endpoint, or both.
type Change struct {
	// Retire is the name of a node, whose endpoints are all retired, or the ID of
	// an endpoint. Empty: nothing is retired.
	Retire string `json:"retire,omitempty"`
	// Add is the endpoint to add; its service and slots must be set. Nil: none is
	// added.
	Add *meshpb.Endpoint `json:"add,omitempty"`
}

// EndpointRate is the rate of requests that one node sends on one route to one
// endpoint, before and after the change.
type EndpointRate struct {
	// OriginNode is the name of the sending node.
	OriginNode string `json:"from"`
	// Route is the route's name, Kind its kind as text, Service the service that
	// the requests go to.
	Route   string `json:"binding"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Endpoint is the endpoint's ID, Node the node it is on.
	Endpoint string `json:"endpoint"`
	Node     string `json:"node"`
	// Before is the measured rate and After the predicted one, in requests per
	// second.
	Before float64 `json:"now"`
	After  float64 `json:"then"`
}

// RouteSummary is the rate of requests that one node sends on one route to one
// service, and the rate that goes to another endpoint after the change.
type RouteSummary struct {
	// OriginNode is the name of the sending node.
	OriginNode string `json:"from"`
	// Route is the route's name, Kind its kind as text.
	Route string `json:"binding"`
	Kind  string `json:"kind"`
	// Rate is the measured rate, and Moved the part of it that goes to another
	// endpoint after the change. Both are in requests per second.
	Rate  float64 `json:"rate"`
	Moved float64 `json:"moved"`
}

// Estimate predicts the effect of a change. It is stored as JSON, so that Check
// can compare it with the flows measured after the change.
type Estimate struct {
	Change Change `json:"change"`
	// EndpointRates are sorted by origin node, route and endpoint.
	EndpointRates []EndpointRate `json:"rows"`
	// Summaries are sorted by origin node and route.
	Summaries []RouteSummary `json:"sums"`
}

// Options configure the simulation.
type Options struct {
	// Duration is the simulated time of each run, including the warm-up.
	Duration time.Duration
	// Seed seeds the random number generator of the simulation.
	Seed int64
}

// Run estimates the effect of a change on the requests that the origins send.
// endpoints are the current ones, as in a view. Run returns an error if no flows
// are given, if no endpoint matches change.Retire, or if change.Add has no service
// or no slots.
func Run(origins []Origin, endpoints []*meshpb.Endpoint, change Change, options Options) (Estimate, error) {
	changed, err := applyChange(endpoints, change)
	if err != nil {
		return Estimate{}, err
	}
	demands, rates := aggregateFlows(origins)
	if len(demands) == 0 {
		return Estimate{}, Error.New("no flows reported yet: nodes report flows after some seconds of traffic")
	}
	before, latencies := calibrate(origins, demands, endpoints, options)
	after := simulate(origins, demands, changed, latencies, options)
	e := &estimator{
		origins:        origins,
		demands:        demands,
		measuredRates:  rates,
		nodes:          nodesByEndpoint(endpoints, changed),
		endpointsAfter: endpointIDs(changed),
		sharesBefore:   before,
		sharesAfter:    after.shares,
		estimate:       Estimate{Change: change},
	}
	for i := range demands {
		e.addDemand(i)
	}
	e.sort()
	return e.estimate, nil
}

// applyChange returns the endpoints after the change; it does not modify its
// argument.
func applyChange(endpoints []*meshpb.Endpoint, change Change) ([]*meshpb.Endpoint, error) {
	out := slices.Clone(endpoints)
	if change.Retire != "" {
		out = slices.DeleteFunc(out, func(e *meshpb.Endpoint) bool { return e.Id == change.Retire || e.Node == change.Retire })
		if len(out) == len(endpoints) {
			return nil, Error.New("no node or endpoint named %q in the view", change.Retire)
		}
	}
	if change.Add != nil {
		if change.Add.Slots == 0 || change.Add.Service == "" {
			return nil, Error.New("endpoint to add: service %q with %d slots: both must be set", change.Add.Service, change.Add.Slots)
		}
		out = append(out, change.Add)
	}
	return out, nil
}

// nodesByEndpoint maps the IDs of all endpoints in the lists to their nodes.
func nodesByEndpoint(lists ...[]*meshpb.Endpoint) map[string]string {
	out := map[string]string{}
	for _, endpoints := range lists {
		for _, e := range endpoints {
			out[e.Id] = e.Node
		}
	}
	return out
}

// endpointIDs returns the set of the endpoints' IDs.
func endpointIDs(endpoints []*meshpb.Endpoint) map[string]bool {
	out := map[string]bool{}
	for _, e := range endpoints {
		out[e.Id] = true
	}
	return out
}

// estimator converts simulated shares into predicted rates.
type estimator struct {
	origins []Origin
	demands []demand
	// measuredRates are in requests per second.
	measuredRates map[demandEndpointKey]float64
	// nodes maps the endpoints before and after the change to their nodes;
	// endpointsAfter contains only the endpoints after the change.
	nodes          map[string]string
	endpointsAfter map[string]bool
	// sharesBefore and sharesAfter are the simulated shares.
	sharesBefore map[demandEndpointKey]float64
	sharesAfter  map[demandEndpointKey]float64
	// estimate is the result under construction.
	estimate Estimate
}

// addDemand appends the predicted rates and the summary of one demand to the
// estimate.
func (e *estimator) addDemand(index int) {
	d := e.demands[index]
	after := e.ratesAfter(index)
	summary := RouteSummary{OriginNode: e.origins[d.origin].Node, Route: d.route, Kind: d.kind, Rate: round(d.rate)}
	for id, rateAfter := range after {
		rateBefore := e.measuredRates[demandEndpointKey{index, id}]
		if rateBefore == 0 && rateAfter < minListedRate {
			continue
		}
		summary.Moved += max(rateBefore-rateAfter, 0)
		e.estimate.EndpointRates = append(e.estimate.EndpointRates, EndpointRate{
			OriginNode: summary.OriginNode,
			Route:      d.route,
			Kind:       d.kind,
			Service:    d.service,
			Endpoint:   id,
			Node:       e.nodes[id],
			Before:     round(rateBefore),
			After:      round(rateAfter),
		})
	}
	summary.Moved = round(summary.Moved)
	e.estimate.Summaries = append(e.estimate.Summaries, summary)
}

// ratesAfter predicts the rate of a demand at each endpoint. The rates are
// normalized: their sum is the demand's rate, unless all are 0.
func (e *estimator) ratesAfter(index int) map[string]float64 {
	rates := map[string]float64{}
	total := 0.0
	for id := range e.nodes {
		rates[id] = e.rateAfter(index, id)
		total += rates[id]
	}
	if total == 0 {
		return rates
	}
	for id := range rates {
		rates[id] *= e.demands[index].rate / total
	}
	return rates
}

// rateAfter predicts the rate of a demand at one endpoint, before normalization:
// the measured rate scaled by the change of the simulated share. At an endpoint
// without measured requests it is the simulated share of the demand's rate, at a
// retired endpoint 0.
func (e *estimator) rateAfter(index int, id string) float64 {
	key := demandEndpointKey{index, id}
	switch {
	case !e.endpointsAfter[id]:
		return 0
	case e.measuredRates[key] > 0:
		return e.measuredRates[key] * (e.sharesAfter[key] + shareSmoothing) / (e.sharesBefore[key] + shareSmoothing)
	}
	return e.sharesAfter[key] * e.demands[index].rate
}

// sort puts the rows of the estimate in a fixed order.
func (e *estimator) sort() {
	slices.SortFunc(e.estimate.EndpointRates, func(a, b EndpointRate) int {
		return cmp.Or(cmp.Compare(a.OriginNode, b.OriginNode), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	slices.SortFunc(e.estimate.Summaries, func(a, b RouteSummary) int {
		return cmp.Or(cmp.Compare(a.OriginNode, b.OriginNode), cmp.Compare(a.Route, b.Route))
	})
}

// round rounds to three decimals; the simulation is not more accurate than that.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
