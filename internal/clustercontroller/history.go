package clustercontroller

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// stateRank orders states from down through draining to up. A user state caps states
// of a higher rank.
var stateRank = map[lifecycle.State]int{
	lifecycle.Down:        0,
	lifecycle.Maintenance: 0,
	lifecycle.Retired:     1,
	lifecycle.Draining:    1,
	lifecycle.Up:          2,
}

// historyRules holds the thresholds for unreachable nodes and crash-looping endpoints.
// Options documents each of them.
type historyRules struct {
	crashWindow      time.Duration
	crashLimit       int
	pollFailureLimit int
	unreachableAfter time.Duration
}

// nodeHistory is the master's record of one node: its last report, and what its
// earlier reports and polls showed.
type nodeHistory struct {
	// state is the node's last report.
	state *meshpb.NodeState

	// lastContact is the time at which the node last reported, or later when a takeover
	// or the end of a pause restarted the wait for its next report. It is on the clock
	// of Options.Now.
	lastContact time.Duration
	// pollFailures counts failed polls in a row.
	pollFailures int
	reachable    bool

	// endpointID identifies the running endpoint; it is "" once that drains or is gone.
	endpointID string
	// warmingUp is true if the endpoint was warming up at its last report.
	warmingUp bool
	// awaitingWarmup is true after an endpoint crashed during its warm-up. Its
	// replacement is down until it is warm.
	awaitingWarmup bool
	// crashes holds the times of recent crashes, oldest first.
	crashes []time.Duration
	// crashLooping is true once the endpoint has crashed too often. It is down until
	// an operator sets the node to up.
	crashLooping bool

	// lastEndpoint is the last endpoint that the node reported, or the one of the last
	// view. Only a reported one can have announced its shutdown: the view does not
	// contain the reason why an endpoint is draining.
	lastEndpoint *meshpb.Endpoint
	// restoredFromView is true for a while after a takeover if the last view had an
	// endpoint of this node. If all nodes have just restarted, the node may not have
	// found its endpoint again yet, and lastEndpoint counts until it has.
	restoredFromView bool
}

// knownEndpoint returns the endpoint that the node reports. If there is none and
// restoredFromView is set, it returns lastEndpoint.
func (h *nodeHistory) knownEndpoint() *meshpb.Endpoint {
	if e := h.state.GetEndpoint(); e.GetId() != "" || !h.restoredFromView {
		return e
	}
	return h.lastEndpoint
}

// returned reports whether a node reports as ready the endpoint that it last reported as
// draining or gone. Neither is ever taken back by an endpoint, but a node that was restarted
// does not remember it, and a heartbeat from before may arrive late.
func (h *nodeHistory) returned(endpoint *meshpb.Endpoint) bool {
	return h.lastEndpoint.GetAnnouncedShutdown() && endpoint.GetId() == h.lastEndpoint.Id && !announcedShutdown(endpoint)
}

// recordReport updates the history with a state that the node reported. An endpoint that
// has returned keeps the state that it had.
func (h *nodeHistory) recordReport(state *meshpb.NodeState, now time.Duration, rules historyRules) {
	if h.returned(state.Endpoint) {
		state = proto.Clone(state).(*meshpb.NodeState)
		state.Endpoint.State = h.lastEndpoint.State
	}
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
	if id != "" && announcedShutdown(endpoint) {
		h.endpointID, h.warmingUp = "", false
		h.lastEndpoint = proto.Clone(endpoint).(*meshpb.Endpoint)
		h.lastEndpoint.AnnouncedShutdown = true
	}
	h.state = state
	h.lastContact, h.pollFailures, h.reachable = now, 0, true
}

// announcedShutdown reports whether an endpoint is draining or gone, so that its
// replacement by another one does not count as a crash.
func announcedShutdown(endpoint *meshpb.Endpoint) bool {
	if endpoint == nil {
		return false
	}
	state := lifecycle.State(endpoint.State)
	return state == lifecycle.Draining || state == lifecycle.Gone
}

// recordCrash records that an endpoint ended without announcing it.
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

// clearCrashes removes all effects of earlier crashes, so that the endpoint can be up
// again.
func (h *nodeHistory) clearCrashes() {
	h.crashLooping, h.awaitingWarmup, h.crashes = false, false, nil
}

// recordPollFailure records a failed poll. The node becomes unreachable once enough
// polls in a row have failed and its last contact is old enough.
func (h *nodeHistory) recordPollFailure(now time.Duration, rules historyRules) {
	h.pollFailures++
	if h.pollFailures >= rules.pollFailureLimit && now-h.lastContact >= rules.unreachableAfter {
		h.reachable = false
	}
}

// officialState returns the state that the view gives a node's endpoint: the reported
// state, lowered to Down if the history requires it and capped by the user state. It
// is Up, Draining or Down.
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
