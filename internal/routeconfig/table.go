package routeconfig

import (
	"net"
	"strings"
)

// SplitTarget is a service of a route's split.
type SplitTarget struct {
	// Service is the service's index in the table.
	Service int
	// UpperBound is the sum of the weights up to this service's.
	UpperBound float64
}

// CompiledRoute is a route as the table has it.
type CompiledRoute struct {
	Route
	// Targets stand in the order of the route's split, by rising upper bound.
	Targets     []SplitTarget
	TotalWeight float64
}

// Table finds routes and services. It is never changed once it is compiled, and
// safe for concurrent use.
type Table struct {
	Version    uint64
	Services   []Service
	Limits     Limits
	RouteCount int

	serviceIndexes map[string]int
	// routes are found by host and path prefix.
	routes map[string]map[string]*CompiledRoute
}

// Compile makes the table of a valid configuration.
func Compile(config Config) *Table {
	t := &Table{
		Version: config.Version, Limits: DefaultLimits(),
		serviceIndexes: map[string]int{}, routes: map[string]map[string]*CompiledRoute{},
	}
	for _, r := range config.Resources {
		switch r.Variant {
		case variantService:
			t.serviceIndexes[r.Name] = len(t.Services)
			t.Services = append(t.Services, r.Service)
		case variantLimits:
			t.Limits = r.Limits
		}
	}
	for _, r := range config.Resources {
		if r.Variant == variantRoute {
			t.addRoute(r.Route)
		}
	}
	return t
}

func (t *Table) addRoute(route Route) {
	compiled := &CompiledRoute{Route: route}
	for _, s := range route.Split {
		compiled.TotalWeight += s.Weight
		compiled.Targets = append(compiled.Targets, SplitTarget{t.serviceIndexes[s.Service], compiled.TotalWeight})
	}
	byPrefix := t.routes[route.Host]
	if byPrefix == nil {
		byPrefix = map[string]*CompiledRoute{}
		t.routes[route.Host] = byPrefix
	}
	byPrefix[route.Prefix] = compiled
	t.RouteCount++
}

// NormalizeHost takes the port off a Host header and puts it in lower case.
func NormalizeHost(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// Match finds the route of a request by its Host header and raw path: the
// longest prefix that the path begins with wins. nil if there is none.
func (t *Table) Match(host, path string) *CompiledRoute {
	byPrefix := t.routes[NormalizeHost(host)]
	if byPrefix == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] != '/' {
			continue
		}
		if route := byPrefix[path[:i]]; route != nil {
			return route
		}
	}
	return nil
}

// ServiceIndex is where a service stands in Services.
func (t *Table) ServiceIndex(name string) (int, bool) {
	i, ok := t.serviceIndexes[name]
	return i, ok
}

// PickService chooses a service by weight, for a random draw in [0, 1); false
// if all weights are 0.
func (r *CompiledRoute) PickService(draw float64) (int, bool) {
	draw *= r.TotalWeight
	for _, target := range r.Targets {
		if draw < target.UpperBound {
			return target.Service, true
		}
	}
	return 0, false
}

// ActiveServices names the route's services with a weight above 0.
func (t *Table) ActiveServices(r *CompiledRoute) []string {
	var names []string
	below := 0.0
	for _, target := range r.Targets {
		if target.UpperBound > below {
			names = append(names, t.Services[target.Service].Name)
		}
		below = target.UpperBound
	}
	return names
}
