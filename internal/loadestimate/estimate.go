package loadestimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/rpc/meshpb"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loadestimate")

const (
	// calibrationRounds is how often the present is simulated to calibrate how
	// fast endpoints work.
	calibrationRounds = 4
	// shareSmoothing is added to both simulated shares that a rate is scaled by, so
	// that a share hardly seen does not blow it up.
	shareSmoothing = 0.03
	// minListedRate is the rate after the change, in requests per second, from
	// which an endpoint that has none before is listed.
	minListedRate = 0.005
	// minDivisor keeps a quotient of measured sums finite.
	minDivisor = 1e-9
)

// Origin is one node that sends requests, with its load balancer's settings and
// the flows that it measured.
type Origin struct {
	Node string
	Zone string
	// RemoteWeight and BulkWeight are the load balancer's settings of these names.
	RemoteWeight float64
	BulkWeight   float64
	Flows        []*meshpb.Flow
}

// Change is what is to be estimated: the retirement of a node or endpoint by
// name, the addition of an endpoint, or both.
type Change struct {
	Retire string           `json:"retire,omitempty"`
	Add    *meshpb.Endpoint `json:"add,omitempty"`
}

// EndpointRate is how many requests a second one node sends on one route to one
// endpoint, before the change and after.
type EndpointRate struct {
	From     string  `json:"from"`
	Route    string  `json:"binding"`
	Kind     string  `json:"kind"`
	Service  string  `json:"service"`
	Endpoint string  `json:"endpoint"`
	Node     string  `json:"node"`
	Before   float64 `json:"now"`
	After    float64 `json:"then"`
}

// RouteSummary is how many requests a second one node sends on one route, and how
// many of them go to another endpoint after the change.
type RouteSummary struct {
	From  string  `json:"from"`
	Route string  `json:"binding"`
	Kind  string  `json:"kind"`
	Rate  float64 `json:"rate"`
	Moved float64 `json:"moved"`
}

// Estimate is what a change would move, stored as JSON until the change is made.
type Estimate struct {
	Change        Change         `json:"change"`
	EndpointRates []EndpointRate `json:"rows"`
	Summaries     []RouteSummary `json:"sums"`
}

// Options are how the flows are simulated.
type Options struct {
	// Duration is the simulated time.
	Duration time.Duration
	// Seed determines all random choices.
	Seed int64
}

// Run estimates what the change would move, for endpoints as a view has them.
func Run(origins []Origin, endpoints []*meshpb.Endpoint, change Change, options Options) (Estimate, error) {
	changed, err := applyChange(endpoints, change)
	if err != nil {
		return Estimate{}, err
	}
	demands, rates := demandsOf(origins)
	if len(demands) == 0 {
		return Estimate{}, Error.New("no flows are known yet; there must have been traffic for some seconds")
	}
	before, latencies := calibrate(origins, demands, endpoints, options)
	after := simulate(origins, demands, changed, latencies, options)
	e := &estimator{
		origins:      origins,
		demands:      demands,
		rates:        rates,
		nodeOf:       endpointNodes(endpoints, changed),
		stays:        endpointSet(changed),
		sharesBefore: before,
		sharesAfter:  after.shares,
		estimate:     Estimate{Change: change},
	}
	for i := range demands {
		e.add(i)
	}
	e.sort()
	return e.estimate, nil
}

// applyChange returns the endpoints as they are after the change.
func applyChange(endpoints []*meshpb.Endpoint, change Change) ([]*meshpb.Endpoint, error) {
	out := slices.Clone(endpoints)
	if change.Retire != "" {
		out = slices.DeleteFunc(out, func(e *meshpb.Endpoint) bool { return e.Id == change.Retire || e.Node == change.Retire })
		if len(out) == len(endpoints) {
			return nil, Error.New("no node or endpoint %q is in the view", change.Retire)
		}
	}
	if change.Add != nil {
		if change.Add.Slots == 0 || change.Add.Service == "" {
			return nil, Error.New("an endpoint to add needs a service and slots")
		}
		out = append(out, change.Add)
	}
	return out, nil
}

func endpointNodes(lists ...[]*meshpb.Endpoint) map[string]string {
	out := map[string]string{}
	for _, endpoints := range lists {
		for _, e := range endpoints {
			out[e.Id] = e.Node
		}
	}
	return out
}

func endpointSet(endpoints []*meshpb.Endpoint) map[string]bool {
	out := map[string]bool{}
	for _, e := range endpoints {
		out[e.Id] = true
	}
	return out
}

// estimator turns simulated shares into rates.
type estimator struct {
	origins []Origin
	demands []demand
	// rates are the measured ones.
	rates map[demandEndpoint]float64
	// nodeOf has the endpoints of before and after, stays those of after.
	nodeOf       map[string]string
	stays        map[string]bool
	sharesBefore map[demandEndpoint]float64
	sharesAfter  map[demandEndpoint]float64
	estimate     Estimate
}

// add estimates one demand.
func (e *estimator) add(index int) {
	d := e.demands[index]
	after := e.ratesAfter(index)
	summary := RouteSummary{From: e.origins[d.origin].Node, Route: d.route, Kind: d.kind, Rate: round(d.rate)}
	for id, rateAfter := range after {
		rateBefore := e.rates[demandEndpoint{index, id}]
		if rateBefore == 0 && rateAfter < minListedRate {
			continue
		}
		summary.Moved += max(rateBefore-rateAfter, 0)
		e.estimate.EndpointRates = append(e.estimate.EndpointRates, EndpointRate{
			From:     summary.From,
			Route:    d.route,
			Kind:     d.kind,
			Service:  d.service,
			Endpoint: id,
			Node:     e.nodeOf[id],
			Before:   round(rateBefore),
			After:    round(rateAfter),
		})
	}
	summary.Moved = round(summary.Moved)
	e.estimate.Summaries = append(e.estimate.Summaries, summary)
}

// ratesAfter estimates a demand's rate at each endpoint; together they are the
// demand's.
func (e *estimator) ratesAfter(index int) map[string]float64 {
	rates := map[string]float64{}
	total := 0.0
	for id := range e.nodeOf {
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

// rateAfter scales the measured rate by the change of the simulated share; where
// nothing was measured it is the simulated share itself.
func (e *estimator) rateAfter(index int, id string) float64 {
	key := demandEndpoint{index, id}
	switch {
	case !e.stays[id]:
		return 0
	case e.rates[key] > 0:
		return e.rates[key] * (e.sharesAfter[key] + shareSmoothing) / (e.sharesBefore[key] + shareSmoothing)
	}
	return e.sharesAfter[key] * e.demands[index].rate
}

func (e *estimator) sort() {
	slices.SortFunc(e.estimate.EndpointRates, func(a, b EndpointRate) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	slices.SortFunc(e.estimate.Summaries, func(a, b RouteSummary) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route))
	})
}

// round keeps three decimals, which is what the simulation is good for.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
