package routeconfig

import (
	"net"
	"strings"
)

type Weighted struct {
	Service int
	Upto    float64
}

type Route struct {
	Binding
	Ways  []Weighted
	Total float64
}

// Table is compiled once and never changed afterwards.
type Table struct {
	Version  uint64
	Services []Service
	Limits   Limits
	Routes   int
	index    map[string]int
	hosts    map[string]map[string]*Route
}

func Compile(c Doc) *Table {
	t := &Table{Version: c.Version, Limits: DefaultLimits(), index: map[string]int{}, hosts: map[string]map[string]*Route{}}
	for _, it := range c.Items {
		switch it.Variant {
		case varService:
			t.index[it.Name] = len(t.Services)
			t.Services = append(t.Services, it.Service)
		case varLimits:
			t.Limits = it.Limits
		}
	}
	for _, it := range c.Items {
		if it.Variant != varBinding {
			continue
		}
		r := &Route{Binding: it.Binding}
		for _, s := range r.Split {
			r.Total += s.Weight
			r.Ways = append(r.Ways, Weighted{t.index[s.Service], r.Total})
		}
		m := t.hosts[r.Host]
		if m == nil {
			m = map[string]*Route{}
			t.hosts[r.Host] = m
		}
		m[r.Prefix] = r
		t.Routes++
	}
	return t
}

func HostOf(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 {
		if n, _, err := net.SplitHostPort(h); err == nil {
			h = n
		}
	}
	return strings.ToLower(h)
}

// Find takes the raw path: the longest prefix that begins it wins.
func (t *Table) Find(host, path string) *Route {
	m := t.hosts[HostOf(host)]
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

func (t *Table) Service(n string) (int, bool) {
	i, ok := t.index[n]
	return i, ok
}

// Pick gives the service for a draw in [0, 1).
func (r *Route) Pick(x float64) (int, bool) {
	x *= r.Total
	for _, w := range r.Ways {
		if x < w.Upto {
			return w.Service, true
		}
	}
	return 0, false
}

// Allowed names the services that the route may use now.
func (t *Table) Allowed(r *Route) []string {
	var out []string
	last := 0.0
	for _, w := range r.Ways {
		if w.Upto > last {
			out = append(out, t.Services[w.Service].Name)
		}
		last = w.Upto
	}
	return out
}
