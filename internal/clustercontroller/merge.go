// Package supervisor is the cluster controller: it gathers node states, merges
// them with what it remembers, and broadcasts a stamped view.
package clustercontroller

import (
	"sort"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("supervisor")

const (
	Up          = "up"
	Draining    = "draining"
	Down        = "down"
	Maintenance = "maintenance"
	Retired     = "retired"
)

var caps = map[string]int{Down: 0, Maintenance: 0, Retired: 1, Draining: 1, Up: 2}

// UserState tells whether an operator may set s.
func ValidUserState(s string) bool { return s == Up || s == Maintenance || s == Retired || s == Down }

// history is what the master remembers of one node beside its last report.
type history struct {
	state    *meshpb.NodeState
	seen     time.Duration
	fails    int
	reached  bool
	endpoint string
	cold     bool
	crashes  []time.Duration
	unproven bool
	setOut   bool
	last     *meshpb.Endpoint
	// kept: the last view showed last, and the node, just started like all others,
	// may not have found it again yet.
	kept bool
}

// known is the endpoint that the node reports, or had a moment ago.
func (h *history) known() *meshpb.Endpoint {
	if e := h.state.GetEndpoint(); e.GetId() != "" || !h.kept {
		return e
	}
	return h.last
}

type rules struct {
	window time.Duration
	limit  int
	fails  int
	silent time.Duration
}

// report merges a node's own account into its history.
func (h *history) report(n *meshpb.NodeState, now time.Duration, r rules) {
	id := n.Endpoint.GetId()
	if id != "" && h.endpoint != "" && id != h.endpoint {
		h.lost(now, r)
	}
	if id != "" {
		h.endpoint = id
		h.cold = n.Endpoint.WarmupMs > 0
		if !h.cold && n.Endpoint.Healthy {
			h.unproven = false
		}
	}
	if e := n.Endpoint; e != nil && (e.State == Draining || e.State == "gone") {
		h.endpoint, h.cold = "", false
	}
	if id != "" {
		h.last = n.Endpoint
	}
	h.state, h.seen, h.fails, h.reached = n, now, 0, true
}

// lost notes that an endpoint ended without signing off.
func (h *history) lost(now time.Duration, r rules) {
	if h.cold {
		h.unproven = true
	}
	h.endpoint, h.cold = "", false
	keep := h.crashes[:0]
	for _, t := range h.crashes {
		if now-t < r.window {
			keep = append(keep, t)
		}
	}
	h.crashes = append(keep, now)
	if len(h.crashes) >= r.limit {
		h.setOut = true
	}
}

func (h *history) missed(now time.Duration, r rules) {
	h.fails++
	if h.fails >= r.fails && now-h.seen >= r.silent {
		h.reached = false
	}
}

// official is the state that the view gives a node's endpoint: what was
// reported, lowered by history, capped by the user state.
func (h *history) official(user string) string {
	e := h.known()
	if e.GetId() == "" || !h.reached {
		return Down
	}
	s := Down
	switch {
	case h.state.State == "stopping":
		s = Draining
	case e.State == Draining:
		s = Draining
	case e.State == "ready" && e.Healthy:
		s = Up
	}
	if h.setOut || h.unproven {
		s = Down
	}
	if c, ok := caps[user]; ok && caps[s] > c {
		s = user
	}
	if s == Maintenance {
		s = Down
	}
	if s == Retired {
		s = Draining
	}
	return s
}

// compose merges what the nodes report of their endpoints with the endpoints
// that the platform lists.
func compose(hs map[string]*history, users map[string]string, listed []*meshpb.Endpoint) []*meshpb.Endpoint {
	out := append([]*meshpb.Endpoint(nil), listed...)
	for n, h := range hs {
		s := h.official(users[n])
		if s == Down {
			continue
		}
		e := h.known()
		out = append(out, &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: s,
			WarmupMs: e.WarmupMs, SoftwareVersion: e.SoftwareVersion, Node: n, Inbound: h.state.Inbound, Healthy: e.Healthy, FailurePercent: e.FailurePercent})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// matters tells whether the nodes would act on the difference.
func matters(a, b []*meshpb.Endpoint) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		x, y := a[i], b[i]
		if x.Id != y.Id || x.State != y.State || x.Slots != y.Slots || x.Inbound != y.Inbound || x.Addr != y.Addr || x.Outlier != y.Outlier || x.Service != y.Service ||
			(x.WarmupMs > 0) != (y.WarmupMs > 0) {
			return true
		}
	}
	return false
}
