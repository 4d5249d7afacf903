package clustercontroller

import (
	"fmt"
	"sort"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// Why a node's official state is lower than what it reports, as status shows it.
const (
	reasonUnreachable    = "does not answer polls"
	reasonCrashLooping   = "set out: ended too often"
	reasonAwaitingWarmup = "died cold; down until warm"
	reasonEdge           = "an edge: no endpoint beside it"
	reasonNoEndpoint     = "no endpoint known"
	reasonUnhealthy      = "endpoint unsound"
	reasonFailing        = "failed %d%% of late"
)

// NodeStatuses tells what the master knows of each node, ordered by name, and why a
// state was lowered.
func (m *Master) NodeStatuses() []*meshpb.NodeStatus {
	var statuses []*meshpb.NodeStatus
	for name, h := range m.histories {
		e := h.state.GetEndpoint()
		user := m.userStates[name]
		statuses = append(statuses, &meshpb.NodeStatus{
			Name:     name,
			Addr:     h.state.GetAddr(),
			Zone:     h.state.GetZone(),
			Service:  h.state.GetService(),
			Endpoint: e.GetId(),
			Reported: e.GetState(),
			Official: string(h.officialState(lifecycle.State(user))),
			User:     user,
			Slots:    e.GetSlots(),
			Reached:  h.reachable,
			Why:      h.reason(),
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}

// reason says what lowers the official state, "" for nothing.
func (h *nodeHistory) reason() string {
	e := h.state.GetEndpoint()
	switch {
	case !h.reachable:
		return reasonUnreachable
	case h.crashLooping:
		return reasonCrashLooping
	case h.awaitingWarmup:
		return reasonAwaitingWarmup
	case e == nil && h.state.GetService() == "":
		return reasonEdge
	case e == nil:
		return reasonNoEndpoint
	case !e.Healthy:
		return reasonUnhealthy
	case e.FailurePercent > 0:
		return fmt.Sprintf(reasonFailing, e.FailurePercent)
	}
	return ""
}
