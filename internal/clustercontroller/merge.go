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

var stateRank = map[string]int{Down: 0, Maintenance: 0, Retired: 1, Draining: 1, Up: 2}

// UserState tells whether an operator may set s.
func ValidUserState(s string) bool { return s == Up || s == Maintenance || s == Retired || s == Down }

// history is what the master remembers of one node beside its last report.
type nodeHistory struct {
	state          *meshpb.NodeState
	lastContact    time.Duration
	pollFailures   int
	reachable      bool
	endpointID     string
	warmingUp      bool
	crashes        []time.Duration
	awaitingWarmup bool
	crashLooping   bool
	lastEndpoint   *meshpb.Endpoint
	// kept: the last view showed last, and the node, just started like all others,
	// may not have found it again yet.
	restoredFromView bool
}

// known is the endpoint that the node reports, or had a moment ago.
func (h *nodeHistory) knownEndpoint() *meshpb.Endpoint {
	if e := h.state.GetEndpoint(); e.GetId() != "" || !h.restoredFromView {
		return e
	}
	return h.lastEndpoint
}

type historyRules struct {
	crashWindow      time.Duration
	crashLimit       int
	pollFailureLimit int
	unreachableAfter time.Duration
}

// report merges a node's own account into its history.
func (h *nodeHistory) recordReport(n *meshpb.NodeState, now time.Duration, r historyRules) {
	id := n.Endpoint.GetId()
	if id != "" && h.endpointID != "" && id != h.endpointID {
		h.recordCrash(now, r)
	}
	if id != "" {
		h.endpointID = id
		h.warmingUp = n.Endpoint.WarmupMs > 0
		if !h.warmingUp && n.Endpoint.Healthy {
			h.awaitingWarmup = false
		}
	}
	if e := n.Endpoint; e != nil && (e.State == Draining || e.State == "gone") {
		h.endpointID, h.warmingUp = "", false
	}
	if id != "" {
		h.lastEndpoint = n.Endpoint
	}
	h.state, h.lastContact, h.pollFailures, h.reachable = n, now, 0, true
}

// lost notes that an endpoint ended without signing off.
func (h *nodeHistory) recordCrash(now time.Duration, r historyRules) {
	if h.warmingUp {
		h.awaitingWarmup = true
	}
	h.endpointID, h.warmingUp = "", false
	keep := h.crashes[:0]
	for _, t := range h.crashes {
		if now-t < r.crashWindow {
			keep = append(keep, t)
		}
	}
	h.crashes = append(keep, now)
	if len(h.crashes) >= r.crashLimit {
		h.crashLooping = true
	}
}

func (h *nodeHistory) recordPollFailure(now time.Duration, r historyRules) {
	h.pollFailures++
	if h.pollFailures >= r.pollFailureLimit && now-h.lastContact >= r.unreachableAfter {
		h.reachable = false
	}
}

// official is the state that the view gives a node's endpoint: what was
// reported, lowered by history, capped by the user state.
func (h *nodeHistory) officialState(user string) string {
	e := h.knownEndpoint()
	if e.GetId() == "" || !h.reachable {
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
	if h.crashLooping || h.awaitingWarmup {
		s = Down
	}
	if c, ok := stateRank[user]; ok && stateRank[s] > c {
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
func mergeEndpoints(histories map[string]*nodeHistory, userStates map[string]string, listed []*meshpb.Endpoint) []*meshpb.Endpoint {
	out := append([]*meshpb.Endpoint(nil), listed...)
	for n, h := range histories {
		s := h.officialState(userStates[n])
		if s == Down {
			continue
		}
		e := h.knownEndpoint()
		out = append(out, &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: s,
			WarmupMs: e.WarmupMs, SoftwareVersion: e.SoftwareVersion, Node: n, Inbound: h.state.Inbound, Healthy: e.Healthy, FailurePercent: e.FailurePercent})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// matters tells whether the nodes would act on the difference.
func endpointsDiffer(a, b []*meshpb.Endpoint) bool {
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
