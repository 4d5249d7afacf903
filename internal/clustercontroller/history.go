package clustercontroller

import (
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// stateRank orders states: a user state caps a higher one.
var stateRank = map[lifecycle.State]int{
	lifecycle.Down:        0,
	lifecycle.Maintenance: 0,
	lifecycle.Retired:     1,
	lifecycle.Draining:    1,
	lifecycle.Up:          2,
}

// historyRules say when a node is unreachable and an endpoint crashes too often;
// see Options.
type historyRules struct {
	crashWindow      time.Duration
	crashLimit       int
	pollFailureLimit int
	unreachableAfter time.Duration
}

// nodeHistory is what the master remembers of one node beside its last report.
type nodeHistory struct {
	// state is the node's last report.
	state *meshpb.NodeState

	lastContact  time.Duration
	pollFailures int
	reachable    bool

	// endpointID is the incarnation that runs, "" once it drains or is gone.
	endpointID string
	// warmingUp tells that the endpoint's last report was during its warm-up.
	warmingUp bool
	// awaitingWarmup tells that an endpoint crashed during its warm-up; the next is
	// down until it is warm.
	awaitingWarmup bool
	crashes        []time.Duration
	// crashLooping tells that it crashed too often; it is down until an operator sets
	// it to up.
	crashLooping bool

	// lastEndpoint is the last endpoint that the node reported.
	lastEndpoint *meshpb.Endpoint
	// restoredFromView tells that lastEndpoint comes from the last view, and the node,
	// just started like all others, may not have found it again yet.
	restoredFromView bool
}

// knownEndpoint is the endpoint that the node reports, or that the last view
// showed.
func (h *nodeHistory) knownEndpoint() *meshpb.Endpoint {
	if e := h.state.GetEndpoint(); e.GetId() != "" || !h.restoredFromView {
		return e
	}
	return h.lastEndpoint
}

// recordReport merges a node's own state into its history.
func (h *nodeHistory) recordReport(state *meshpb.NodeState, now time.Duration, rules historyRules) {
	endpoint := state.Endpoint
	id := endpoint.GetId()
	if id != "" && h.endpointID != "" && id != h.endpointID {
		h.recordCrash(now, rules)
	}
	if id != "" {
		h.endpointID = id
		h.warmingUp = endpoint.WarmupMs > 0
		if !h.warmingUp && endpoint.Healthy {
			h.awaitingWarmup = false
		}
		h.lastEndpoint = endpoint
	}
	if endsOrderly(endpoint) {
		h.endpointID, h.warmingUp = "", false
	}
	h.state = state
	h.lastContact, h.pollFailures, h.reachable = now, 0, true
}

// endsOrderly tells that an endpoint has announced its end, so that another one in
// its place is no crash.
func endsOrderly(endpoint *meshpb.Endpoint) bool {
	if endpoint == nil {
		return false
	}
	state := lifecycle.State(endpoint.State)
	return state == lifecycle.Draining || state == lifecycle.Gone
}

// recordCrash notes that an endpoint ended without deregistering.
func (h *nodeHistory) recordCrash(now time.Duration, rules historyRules) {
	if h.warmingUp {
		h.awaitingWarmup = true
	}
	h.endpointID, h.warmingUp = "", false
	recent := h.crashes[:0]
	for _, at := range h.crashes {
		if now-at < rules.crashWindow {
			recent = append(recent, at)
		}
	}
	h.crashes = append(recent, now)
	if len(h.crashes) >= rules.crashLimit {
		h.crashLooping = true
	}
}

// forgetCrashes lets the endpoint be up again.
func (h *nodeHistory) forgetCrashes() {
	h.crashLooping, h.awaitingWarmup, h.crashes = false, false, nil
}

func (h *nodeHistory) recordPollFailure(now time.Duration, rules historyRules) {
	h.pollFailures++
	if h.pollFailures >= rules.pollFailureLimit && now-h.lastContact >= rules.unreachableAfter {
		h.reachable = false
	}
}

// officialState is the state that the view gives a node's endpoint: what was
// reported, lowered by history, capped by the user state. It is Up, Draining or
// Down.
func (h *nodeHistory) officialState(user lifecycle.State) lifecycle.State {
	endpoint := h.knownEndpoint()
	if endpoint.GetId() == "" || !h.reachable || h.crashLooping || h.awaitingWarmup {
		return lifecycle.Down
	}
	state := lifecycle.Down
	switch {
	case lifecycle.State(h.state.State) == lifecycle.Stopping:
		state = lifecycle.Draining
	case lifecycle.State(endpoint.State) == lifecycle.Draining:
		state = lifecycle.Draining
	case lifecycle.State(endpoint.State) == lifecycle.Ready && endpoint.Healthy:
		state = lifecycle.Up
	}
	if rank, ok := stateRank[user]; ok && stateRank[state] > rank {
		state = user
	}
	switch state {
	case lifecycle.Maintenance:
		return lifecycle.Down
	case lifecycle.Retired:
		return lifecycle.Draining
	}
	return state
}
