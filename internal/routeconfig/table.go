package routeconfig

import (
	"net"
	"strings"
)

// SplitTarget is one service of a compiled route's split.
type SplitTarget struct {
	// Service is the index of the service in Table.Services.
	Service int
	// CumulativeWeight is the sum of the weights up to and including this service's.
	CumulativeWeight float64
}

// CompiledRoute is a route whose split refers to the services of a table.
type CompiledRoute struct {
	Route
	// Targets are in the order of the route's split, with ascending cumulative weight.
	Targets []SplitTarget
	// TotalWeight is the sum of all weights of the split.
	TotalWeight float64
}

// Table looks up routes and services. It is immutable and safe for concurrent use.
type Table struct {
	// Version is the version of the configuration.
	Version uint64
	// Services are in the order of the configuration.
	Services []Service
	// Limits are the configured limits, with defaults for those not configured.
	Limits Limits
	// RouteCount is the number of routes.
	RouteCount int

	// serviceIndexes maps the name of a service to its index in Services.
	serviceIndexes map[string]int
	// routes maps a host and then a path prefix to a route.
	routes map[string]map[string]*CompiledRoute
}

// Compile returns the table of a configuration, which must be valid.
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
	byPrefix[route.PathPrefix] = compiled
	t.RouteCount++
}

// NormalizeHost removes the port from a Host header and converts it to lower case.
func NormalizeHost(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// Match returns the route for a request's Host header and raw path, or nil if there is
// none. Of several routes whose prefixes match, it returns the one with the longest.
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

// ServiceIndex returns the index of a service in Services, or false if it is unknown.
func (t *Table) ServiceIndex(name string) (int, bool) {
	i, ok := t.serviceIndexes[name]
	return i, ok
}

// PickService selects a service in proportion to the weights and returns its index in
// Table.Services, or false if all weights are 0. draw is a number in [0, 1); it
// determines the selection.
func (r *CompiledRoute) PickService(draw float64) (int, bool) {
	draw *= r.TotalWeight
	for _, target := range r.Targets {
		if draw < target.CumulativeWeight {
			return target.Service, true
		}
	}
	return 0, false
}

// ActiveServices returns the names of the route's services whose weight is above 0.
func (t *Table) ActiveServices(r *CompiledRoute) []string {
	var names []string
	previous := 0.0
	for _, target := range r.Targets {
		if target.CumulativeWeight > previous {
			names = append(names, t.Services[target.Service].Name)
		}
		previous = target.CumulativeWeight
	}
	return names
}
