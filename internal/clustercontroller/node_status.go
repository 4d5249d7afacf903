package clustercontroller

import (
	"fmt"
	"sort"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// The values of NodeStatus.Why: why a node's official state is lower than the state
// that it reports. They are sent to the tools and are part of the output of
// `corkcove status`, so their wording must not change.
const (
	reasonUnreachable = "does not answer polls"
	// reasonCrashLooping: the endpoint crashed too often and stays down until an
	// operator sets the node to up.
	reasonCrashLooping = "set out: ended too often"
	// reasonAwaitingWarmup: the endpoint crashed during its warm-up; the next one is
	// down until it is warm.
	reasonAwaitingWarmup = "died cold; down until warm"
	// reasonEdge: the node is an edge, which has no endpoint of its own.
	reasonEdge = "an edge: no endpoint beside it"
	// reasonNoEndpoint: the sidecar has reported no endpoint.
	reasonNoEndpoint = "no endpoint known"
	reasonUnhealthy  = "endpoint unsound"
	// reasonFailing takes the percentage of requests that failed recently. It does not
	// lower the official state.
	reasonFailing = "failed %d%% of late"
)

// NodeStatuses returns what the master knows of each node, ordered by name,
// including why its official state is lower than the one that it reports.
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

// reason returns why the official state is lower than the reported one, or that
// requests fail; "" if neither is so. The user state is not considered.
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
