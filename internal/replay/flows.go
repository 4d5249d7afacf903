package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"corkcove/internal/proxy/retry"
	"corkcove/internal/rpc/meshpb"
)

// Flow identifies requests that are counted together.
type Flow struct {
	// Route is a route's name, or unmatchedRoute. Kind is the kind of the route, as in
	// the configuration.
	Route string `json:"route"`
	Kind  string `json:"kind"`
	// Origin is the zone where the requests begin, or the node if flows are separated
	// by node.
	Origin string `json:"origin"`
}

// String returns the flow in the form that text reports use.
func (f Flow) String() string { return f.Route + " " + f.Kind + " from " + f.Origin }

// compare orders flows by route, kind and origin.
func (f Flow) compare(other Flow) int {
	return cmp.Or(cmp.Compare(f.Route, other.Route), cmp.Compare(f.Kind, other.Kind), cmp.Compare(f.Origin, other.Origin))
}

// unmatchedRoute is the route name of requests that match no route.
const unmatchedRoute = "(none)"

// originOf returns the Flow.Origin of a node's requests.
func originOf(node *meshpb.RequestRecordsResponse, byNode bool) string {
	if byNode {
		return node.Node
	}
	return node.Zone
}

// forwarding is how one request was or would be forwarded.
type forwarding struct {
	// service and node are the destination's, or noDestination.
	service string
	node    string
	// path is noDestination, withinZone or acrossZones.
	path string
	// attempts is the number of attempts that reached an endpoint.
	attempts int
}

// Values of a forwarding's fields. Forecast files contain them as keys, so they must
// not change.
const (
	noDestination = "(nowhere)"
	withinZone    = "in its zone"
	acrossZones   = "to another zone"
)

// endpointLocations maps endpoint IDs to the nodes and zones of the endpoints.
type endpointLocations struct {
	node map[string]string
	zone map[string]string
}

// locateEndpoints collects the locations from all views of the recording. An endpoint
// without a node counts as a node of its own.
func locateEndpoints(recording *meshpb.ReplayFile) endpointLocations {
	l := endpointLocations{node: map[string]string{}, zone: map[string]string{}}
	for _, view := range recording.Views {
		for _, endpoint := range view.Endpoints {
			l.node[endpoint.Id] = cmp.Or(endpoint.Node, endpoint.Id)
			l.zone[endpoint.Id] = endpoint.Zone
		}
	}
	return l
}

// simulatedForwarding returns how a simulated request that began in the zone was
// forwarded.
func (l endpointLocations) simulatedForwarding(result *Result, zone string) forwarding {
	var d destination
	for _, attempt := range result.Attempts {
		d.addAttempt(attempt.Service, attempt.Endpoint, attempt.outcome)
	}
	return l.resolve(d, zone)
}

// recordedForwarding returns how a recorded request that began in the zone was
// forwarded. Attempts with an unknown outcome are ignored.
func (l endpointLocations) recordedForwarding(record *meshpb.RequestRecord, zone string) forwarding {
	var d destination
	for _, attempt := range record.Attempts {
		if outcome, ok := retry.ParseOutcome(attempt.Outcome); ok {
			d.addAttempt(attempt.Service, attempt.Endpoint, outcome)
		}
	}
	return l.resolve(d, zone)
}

// resolve looks up the destination's node and compares its zone with the one where
// the request began.
func (l endpointLocations) resolve(d destination, zone string) forwarding {
	f := forwarding{service: cmp.Or(d.service, noDestination), node: noDestination, path: noDestination, attempts: d.attempts}
	if d.endpoint == "" {
		return f
	}
	f.node, f.path = cmp.Or(l.node[d.endpoint], d.endpoint), acrossZones
	if l.zone[d.endpoint] == zone {
		f.path = withinZone
	}
	return f
}

// destination is the endpoint that answered a request, or the first one that it
// reached if none answered, and the number of attempts that reached an endpoint.
type destination struct {
	service  string
	endpoint string
	attempts int
}

// addAttempt counts an attempt unless its outcome says that it did not reach the
// endpoint.
func (d *destination) addAttempt(service, endpoint string, outcome retry.Outcome) {
	if outcome == retry.Rejected || outcome == retry.Unreachable {
		return
	}
	d.attempts++
	if d.endpoint == "" || outcome == retry.Answered {
		d.service, d.endpoint = service, endpoint
	}
}

// blockLengthUs is the length, in microseconds, of the blocks of time into which
// Shares divides requests to measure overdispersion.
const blockLengthUs = int64(1e6)

const (
	// maxOverdispersion is the upper bound of Shares.Overdispersion.
	maxOverdispersion = 8
	// minExpectedCount is the expected number of requests that a category and all
	// others together must each have in a block for the block to contribute to the
	// category's chi-square statistic.
	minExpectedCount = 2
	// minDegreesOfFreedom is the number of contributions, summed over categories and
	// blocks, below which the statistic is ignored.
	minDegreesOfFreedom = 4
)

// Shares counts the requests of a flow by destination, by whether the destination is in
// the zone of the origin, and by number of attempts. Forecast files contain it.
type Shares struct {
	// Requests is the total. Each map counts every request once.
	Requests int `json:"requests"`
	// Service and Node count by destination, Path by whether the destination is in
	// the zone of the origin, Attempts by the number of attempts that reached an
	// endpoint.
	Service  map[string]int `json:"service"`
	Node     map[string]int `json:"node"`
	Path     map[string]int `json:"path"`
	Attempts map[string]int `json:"attempts"`
	// Overdispersion is the ratio between the variance of the shares over time and
	// the variance of independent requests, from 1 to maxOverdispersion.
	Overdispersion float64 `json:"clump"`

	// blocks counts requests by block of time and blockCell. It is not stored.
	blocks map[int64]map[blockCell]int
}

// blockCell is the category by which the requests of a block of time are counted: the
// destination's service and whether the destination is in the zone of the origin.
type blockCell struct{ service, path string }

func newShares() *Shares {
	return &Shares{
		Service:        map[string]int{},
		Node:           map[string]int{},
		Path:           map[string]int{},
		Attempts:       map[string]int{},
		Overdispersion: 1,
		blocks:         map[int64]map[blockCell]int{},
	}
}

// add counts a request that began at timeUs.
func (s *Shares) add(f forwarding, timeUs int64) {
	s.Requests++
	s.Service[f.service]++
	s.Node[f.node]++
	s.Path[f.path]++
	s.Attempts[attemptsLabel(f.attempts)]++
	block := timeUs / blockLengthUs
	if s.blocks[block] == nil {
		s.blocks[block] = map[blockCell]int{}
	}
	s.blocks[block][blockCell{f.service, f.path}]++
}

// attemptsLabel returns the key in Shares.Attempts. Forecast files contain it, so it
// must not change.
func attemptsLabel(n int) string {
	if n > 2 {
		return "3 or more"
	}
	return fmt.Sprint(n)
}

// setOverdispersion sets Overdispersion to the chi-square statistic of the shares in
// all blocks of time, divided by its degrees of freedom.
func (s *Shares) setOverdispersion() {
	totals := map[blockCell]int{}
	for _, block := range s.blocks {
		for cell, n := range block {
			totals[cell] += n
		}
	}
	chiSquare, degreesOfFreedom := 0.0, 0.0
	for cell, n := range totals {
		c, df := s.chiSquare(cell, float64(n)/float64(s.Requests))
		chiSquare += c
		degreesOfFreedom += df
	}
	if degreesOfFreedom >= minDegreesOfFreedom {
		s.Overdispersion = min(max(chiSquare/degreesOfFreedom, 1), maxOverdispersion)
	}
}

// chiSquare returns the chi-square statistic of one category, which has the given
// share of all requests: the sum over the blocks of the squared difference between
// its actual and expected count, divided by the binomial variance.
func (s *Shares) chiSquare(cell blockCell, share float64) (sum, degreesOfFreedom float64) {
	if share == 0 || share == 1 {
		return 0, 0
	}
	for _, block := range s.blocks {
		total := 0
		for _, n := range block {
			total += n
		}
		expected := float64(total) * share
		if expected < minExpectedCount || float64(total)-expected < minExpectedCount {
			continue
		}
		difference := float64(block[cell]) - expected
		sum += difference * difference / (expected * (1 - share))
		degreesOfFreedom++
	}
	return sum, degreesOfFreedom
}

// maxListedShares is the number of shares that sharesText lists before it summarizes
// the others. A single remaining share is listed too.
const maxListedShares = 3

// sharesText formats a distribution in percent of total, largest share first.
func sharesText(counts map[string]int, total int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var out []string
	for i, name := range names {
		if i == maxListedShares && len(names) > maxListedShares+1 {
			out = append(out, fmt.Sprintf("%d others", len(names)-i))
			break
		}
		out = append(out, fmt.Sprintf("%s %.0f%%", name, 100*float64(counts[name])/float64(max(total, 1))))
	}
	return strings.Join(out, ", ")
}
