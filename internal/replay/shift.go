package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"corkcove/internal/proxy"
	"corkcove/internal/rpc/meshpb"
)

// Flow names requests that are told apart together: a route, its kind, and the
// zone or the node where they begin.
type Flow struct {
	Route  string `json:"route"`
	Kind   string `json:"kind"`
	Origin string `json:"origin"`
}

func (f Flow) String() string { return f.Route + " " + f.Kind + " from " + f.Origin }

func (f Flow) compare(o Flow) int {
	return cmp.Or(cmp.Compare(f.Route, o.Route), cmp.Compare(f.Kind, o.Kind), cmp.Compare(f.Origin, o.Origin))
}

// way is how one request was carried, or would be.
type way struct {
	service  string
	node     string
	path     string
	attempts int
}

const (
	nowhere = "(nowhere)"
	ownZone = "in its zone"
	farZone = "to another zone"
)

// Shares counts a flow's requests by where they went, on which path, with how
// many attempts.
type Shares struct {
	Requests int            `json:"requests"`
	Service  map[string]int `json:"service"`
	Node     map[string]int `json:"node"`
	Path     map[string]int `json:"path"`
	Attempts map[string]int `json:"attempts"`
	// Clump tells how much more the shares vary from moment to moment than if
	// requests were drawn one by one.
	Overdispersion float64 `json:"clump"`
	blocks         map[int64]map[string]int
}

func newShares() *Shares {
	return &Shares{Service: map[string]int{}, Node: map[string]int{}, Path: map[string]int{}, Attempts: map[string]int{}, blocks: map[int64]map[string]int{}, Overdispersion: 1}
}

func (s *Shares) add(w way, block int64) {
	s.Requests++
	s.Service[w.service]++
	s.Node[w.node]++
	s.Path[w.path]++
	s.Attempts[attemptsWord(w.attempts)]++
	b := s.blocks[block]
	if b == nil {
		b = map[string]int{}
		s.blocks[block] = b
	}
	b[w.service+"\x00"+w.path]++
}

func attemptsWord(n int) string {
	if n > 2 {
		return "3 or more"
	}
	return fmt.Sprint(n)
}

const mostClump = 8

// clump compares the shares of blocks of time with the whole's.
func (s *Shares) clump() {
	all := map[string]int{}
	for _, b := range s.blocks {
		for k, n := range b {
			all[k] += n
		}
	}
	chi, df := 0.0, 0.0
	for k, n := range all {
		p := float64(n) / float64(s.Requests)
		if p == 0 || p == 1 {
			continue
		}
		for _, b := range s.blocks {
			t := 0
			for _, x := range b {
				t += x
			}
			e := float64(t) * p
			if e < 2 || float64(t)-e < 2 {
				continue
			}
			d := float64(b[k]) - e
			chi += d * d / (e * (1 - p))
			df++
		}
	}
	if df >= 4 {
		s.Overdispersion = min(max(chi/df, 1), mostClump)
	}
}

// Shift tells how a flow would be carried otherwise.
type Shift struct {
	Flow
	Requests      int     `json:"requests"`
	OtherNode     int     `json:"otherNode"`
	OtherPath     int     `json:"otherPath"`
	OtherAttempts int     `json:"otherAttempts"`
	Old           *Shares `json:"old"`
	New           *Shares `json:"new"`
}

func (s Shift) moved() bool { return s.OtherNode+s.OtherPath+s.OtherAttempts > 0 }

// atlas tells where endpoints are.
type atlas struct {
	node map[string]string
	zone map[string]string
}

func atlasOf(c *meshpb.ReplayFile) atlas {
	a := atlas{map[string]string{}, map[string]string{}}
	for _, v := range c.Views {
		for _, e := range v.Endpoints {
			a.node[e.Id], a.zone[e.Id] = cmp.Or(e.Node, e.Id), e.Zone
		}
	}
	return a
}

func (a atlas) way(service, endpoint, zone string, attempts int) way {
	w := way{service: cmp.Or(service, nowhere), node: nowhere, path: nowhere, attempts: attempts}
	if endpoint == "" {
		return w
	}
	w.node, w.path = cmp.Or(a.node[endpoint], endpoint), farZone
	if a.zone[endpoint] == zone {
		w.path = ownZone
	}
	return w
}

// reached tells that a dispatch came to an endpoint.
func reached(f proxy.Outcome) bool { return f != proxy.Rejected && f != proxy.Unreachable }

func (a atlas) played(f *Result, zone string) way {
	service, end, n := "", "", 0
	for _, r := range f.Attempts {
		if reached(r.fate) {
			n++
			if end == "" || r.fate == proxy.Answered {
				service, end = r.Service, r.Endpoint
			}
		}
	}
	return a.way(service, end, zone, n)
}

func (a atlas) carried(t *meshpb.RequestRecord, zone string) way {
	service, end, n := "", "", 0
	for _, d := range t.Attempts {
		if f, ok := proxy.ParseOutcome(d.Outcome); ok && reached(f) {
			n++
			if end == "" || f == proxy.Answered {
				service, end = d.Service, d.Endpoint
			}
		}
	}
	return a.way(service, end, zone, n)
}

// blockUs is the length of the blocks of time that shares are compared over.
const blockUs = int64(1e6)

// flows gathers shifts while requests are judged.
type flows struct {
	atlas
	byNode bool
	from   int64
	m      map[Flow]*Shift
}

func (s *flows) origin(n *meshpb.RequestRecordsResponse) string {
	if s.byNode {
		return n.Node
	}
	return n.Zone
}

func (s *flows) add(n *meshpb.RequestRecordsResponse, t *meshpb.RequestRecord, old, then *Result) {
	if then.quit || old.quit || t.AtUs < s.from {
		return
	}
	k := Flow{cmp.Or(then.Route, old.Route, "(none)"), cmp.Or(then.Kind, old.Kind), s.origin(n)}
	x := s.m[k]
	if x == nil {
		x = &Shift{Flow: k, Old: newShares(), New: newShares()}
		s.m[k] = x
	}
	x.Requests++
	a, b := s.played(old, n.Zone), s.played(then, n.Zone)
	x.Old.add(a, t.AtUs/blockUs)
	x.New.add(b, t.AtUs/blockUs)
	if a.node != b.node {
		x.OtherNode++
	}
	if a.path != b.path || a.service != b.service {
		x.OtherPath++
	}
	if a.attempts != b.attempts {
		x.OtherAttempts++
	}
}

func (s *flows) shifts() []Shift {
	out := make([]Shift, 0, len(s.m))
	for _, x := range s.m {
		x.Old.clump()
		x.New.clump()
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b Shift) int { return a.compare(b.Flow) })
	return out
}

// shares tells a distribution, largest first.
func sharesText(m map[string]int, n int) string {
	ks := slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	var out []string
	for i, k := range ks {
		if i == 3 && len(ks) > 4 {
			out = append(out, fmt.Sprintf("%d others", len(ks)-i))
			break
		}
		out = append(out, fmt.Sprintf("%s %.0f%%", k, 100*float64(m[k])/float64(max(n, 1))))
	}
	return strings.Join(out, ", ")
}

func shiftsText(ss []Shift) string {
	var b strings.Builder
	moved := 0
	for _, s := range ss {
		if s.moved() {
			moved++
		}
	}
	fmt.Fprintf(&b, "\nflows: %d, of which %d would be carried otherwise\n", len(ss), moved)
	if moved == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "%-20s %-10s %-26s %9s %10s %10s %14s  %s\n", "route", "kind", "from", "requests", "other node", "other path", "other attempts", "service, old -> new")
	for _, s := range ss {
		if !s.moved() {
			continue
		}
		p := func(n int) string { return fmt.Sprintf("%d (%.0f%%)", n, 100*float64(n)/float64(s.Requests)) }
		fmt.Fprintf(&b, "%-20s %-10s %-26s %9d %10s %10s %14s  %s -> %s\n", s.Route, s.Kind, s.Origin, s.Requests, p(s.OtherNode), p(s.OtherPath), p(s.OtherAttempts),
			sharesText(s.Old.Service, s.Requests), sharesText(s.New.Service, s.Requests))
	}
	return b.String()
}
