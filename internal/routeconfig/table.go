package routeconfig

import (
	"net"
	"strings"
)

type SplitTarget struct {
	Service    int
	UpperBound float64
}

type CompiledRoute struct {
	Route
	Targets     []SplitTarget
	TotalWeight float64
}

// Table is compiled once and never changed afterwards.
type Table struct {
	Version    uint64
	Services   []Service
	Limits     Limits
	RouteCount int
	index      map[string]int
	hosts      map[string]map[string]*CompiledRoute
}

func Compile(c Config) *Table {
	t := &Table{Version: c.Version, Limits: DefaultLimits(), index: map[string]int{}, hosts: map[string]map[string]*CompiledRoute{}}
	for _, it := range c.Resources {
		switch it.Variant {
		case varService:
			t.index[it.Name] = len(t.Services)
			t.Services = append(t.Services, it.Service)
		case varLimits:
			t.Limits = it.Limits
		}
	}
	for _, it := range c.Resources {
		if it.Variant != varBinding {
			continue
		}
		r := &CompiledRoute{Route: it.Route}
		for _, s := range r.Split {
			r.TotalWeight += s.Weight
			r.Targets = append(r.Targets, SplitTarget{t.index[s.Service], r.TotalWeight})
		}
		m := t.hosts[r.Host]
		if m == nil {
			m = map[string]*CompiledRoute{}
			t.hosts[r.Host] = m
		}
		m[r.Prefix] = r
		t.RouteCount++
	}
	return t
}

func NormalizeHost(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 {
		if n, _, err := net.SplitHostPort(h); err == nil {
			h = n
		}
	}
	return strings.ToLower(h)
}

// Find takes the raw path: the longest prefix that begins it wins.
func (t *Table) Match(host, path string) *CompiledRoute {
	m := t.hosts[NormalizeHost(host)]
	if m == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] == '/' {
			if r := m[path[:i]]; r != nil {
				return r
			}
		}
	}
	return nil
}

func (t *Table) ServiceIndex(n string) (int, bool) {
	i, ok := t.index[n]
	return i, ok
}

// Pick gives the service for a draw in [0, 1).
func (r *CompiledRoute) PickService(x float64) (int, bool) {
	x *= r.TotalWeight
	for _, w := range r.Targets {
		if x < w.UpperBound {
			return w.Service, true
		}
	}
	return 0, false
}

// Allowed names the services that the route may use now.
func (t *Table) ActiveServices(r *CompiledRoute) []string {
	var out []string
	last := 0.0
	for _, w := range r.Targets {
		if w.UpperBound > last {
			out = append(out, t.Services[w.Service].Name)
		}
		last = w.UpperBound
	}
	return out
}
