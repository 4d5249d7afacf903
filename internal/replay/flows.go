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

// Flow names requests that are counted together: a route, its kind, and the zone
// or the node where they begin.
type Flow struct {
	Route  string `json:"route"`
	Kind   string `json:"kind"`
	Origin string `json:"origin"`
}

// String returns the flow as reports name it.
func (f Flow) String() string { return f.Route + " " + f.Kind + " from " + f.Origin }

func (f Flow) compare(other Flow) int {
	return cmp.Or(cmp.Compare(f.Route, other.Route), cmp.Compare(f.Kind, other.Kind), cmp.Compare(f.Origin, other.Origin))
}

// unmatchedRoute stands for the route of requests that match none.
const unmatchedRoute = "(none)"

// originOf names where a node's requests begin.
func originOf(node *meshpb.RequestRecordsResponse, byNode bool) string {
	if byNode {
		return node.Node
	}
	return node.Zone
}

// forwarding is where one request went, or would go.
type forwarding struct {
	service  string
	node     string
	path     string
	attempts int
}

// Values of a forwarding's service, node and path.
const (
	noDestination = "(nowhere)"
	withinZone    = "in its zone"
	acrossZones   = "to another zone"
)

// endpointLocations tells on which node and in which zone endpoints are.
type endpointLocations struct {
	node map[string]string
	zone map[string]string
}

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

// simulated tells where a simulated request that began in the zone went.
func (l endpointLocations) simulated(result *Result, zone string) forwarding {
	var d destination
	for _, attempt := range result.Attempts {
		d.add(attempt.Service, attempt.Endpoint, attempt.outcome)
	}
	return l.forwarding(d, zone)
}

// recorded tells where a recorded request that began in the zone went.
func (l endpointLocations) recorded(record *meshpb.RequestRecord, zone string) forwarding {
	var d destination
	for _, attempt := range record.Attempts {
		if outcome, ok := retry.ParseOutcome(attempt.Outcome); ok {
			d.add(attempt.Service, attempt.Endpoint, outcome)
		}
	}
	return l.forwarding(d, zone)
}

func (l endpointLocations) forwarding(d destination, zone string) forwarding {
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

// destination is the endpoint that answered a request, else the first that it
// reached, and how many attempts reached one.
type destination struct {
	service  string
	endpoint string
	attempts int
}

func (d *destination) add(service, endpoint string, outcome retry.Outcome) {
	if outcome == retry.Rejected || outcome == retry.Unreachable {
		return
	}
	d.attempts++
	if d.endpoint == "" || outcome == retry.Answered {
		d.service, d.endpoint = service, endpoint
	}
}

// blockUs is the length of the blocks of time whose shares are compared with each
// other, in microseconds.
const blockUs = int64(1e6)

const (
	// maxOverdispersion bounds Shares.Overdispersion.
	maxOverdispersion = 8
	// minExpectedCount is what a cell must be expected to hold to count in the
	// chi-square statistic.
	minExpectedCount = 2
	// minDegreesOfFreedom is how many cells the statistic needs to be used at all.
	minDegreesOfFreedom = 4
)

// Shares counts a flow's requests by where they went, on which path, with how
// many attempts. A forecast stores them.
type Shares struct {
	Requests int            `json:"requests"`
	Service  map[string]int `json:"service"`
	Node     map[string]int `json:"node"`
	Path     map[string]int `json:"path"`
	Attempts map[string]int `json:"attempts"`
	// Overdispersion tells how much more the shares vary from moment to moment
	// than if requests were drawn independently; 1 if they do not.
	Overdispersion float64 `json:"clump"`

	// blocks counts by block of time and by destination.
	blocks map[int64]map[blockCell]int
}

// blockCell is what the counts of a block of time are told apart by.
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
	block := timeUs / blockUs
	if s.blocks[block] == nil {
		s.blocks[block] = map[blockCell]int{}
	}
	s.blocks[block][blockCell{f.service, f.path}]++
}

func attemptsLabel(n int) string {
	if n > 2 {
		return "3 or more"
	}
	return fmt.Sprint(n)
}

// setOverdispersion divides the chi-square statistic of the shares of all blocks
// of time by its degrees of freedom.
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

// chiSquare holds the share of a cell in each block against its share in all.
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

const (
	// maxListedShares is how many shares of a distribution are listed if it has
	// more than one above that.
	maxListedShares = 3
)

// sharesText lists a distribution, largest share first.
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
