package clustercontroller

import (
	"sort"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// endpointMerge holds the result of the last merge of node reports and endpoints that
// the platform lists, and the state that the next merge needs.
type endpointMerge struct {
	// pending is set while a merge is scheduled.
	pending bool
	// endpoints is the merged list, ordered by id.
	endpoints []*meshpb.Endpoint
	// changedAt is the time at which something that nodes act on last changed: the
	// merged endpoints or the width of a hot key. Options.SettleTime counts from it.
	changedAt time.Duration
	ejections ejections
	// ejectionsRefreshedAt is the time at which refreshEjections last scheduled a merge.
	ejectionsRefreshedAt time.Duration
}

// scheduleMerge schedules a merge after batchWindow, so that all reports that arrive
// until then are merged at once.
func (m *Master) scheduleMerge() {
	if m.merge.pending {
		return
	}
	m.merge.pending = true
	time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.mergeStates) })
}

// mergeStates recomputes the endpoints of the mesh and marks the outliers. The result
// replaces the last one only if it differs in something that nodes act on.
func (m *Master) mergeStates() {
	m.merge.pending = false
	if !m.leadership.active {
		return
	}
	merged := mergeEndpoints(m.histories, m.userStates, m.listedEndpoints)
	merged = markOutliers(merged, m.failurePercents(merged))
	if endpointsDiffer(merged, m.merge.endpoints) {
		m.merge.endpoints = merged
		m.merge.changedAt = m.options.Now()
	}
}

// failurePercents returns, by endpoint id, the percentage of requests that an endpoint
// fails; endpoints without failures may be missing. The percentage comes from the
// endpoint's own node. Endpoints that the platform lists have no node; these have a
// percentage while they are ejected because of what the nodes that call them report.
func (m *Master) failurePercents(endpoints []*meshpb.Endpoint) map[string]uint32 {
	percents := map[string]uint32{}
	if len(m.listedEndpoints) > 0 {
		percents = m.merge.ejections.update(m.histories, m.options.Now())
	}
	for _, e := range endpoints {
		if e.FailurePercent > 0 {
			percents[e.Id] = e.FailurePercent
		}
	}
	return percents
}

// refreshEjections schedules a merge once per view interval while ejections are
// recorded, because they expire without any new report from a node.
func (m *Master) refreshEjections(now time.Duration) {
	if len(m.merge.ejections) > 0 && now-m.merge.ejectionsRefreshedAt > m.options.ViewInterval {
		m.merge.ejectionsRefreshedAt = now
		m.scheduleMerge()
	}
}

// mergeEndpoints merges the endpoints that nodes report with those that the platform
// lists, and returns them ordered by id. Reported endpoints whose official state is
// Down are left out.
func mergeEndpoints(histories map[string]*nodeHistory, userStates map[string]string, listed []*meshpb.Endpoint) []*meshpb.Endpoint {
	merged := append([]*meshpb.Endpoint(nil), listed...)
	for name, history := range histories {
		state := history.officialState(lifecycle.State(userStates[name]))
		if state == lifecycle.Down {
			continue
		}
		endpoint := history.knownEndpoint()
		merged = append(merged, &meshpb.Endpoint{
			Id:              endpoint.Id,
			Service:         endpoint.Service,
			Addr:            endpoint.Addr,
			Zone:            endpoint.Zone,
			Slots:           endpoint.Slots,
			State:           string(state),
			WarmupMs:        endpoint.WarmupMs,
			SoftwareVersion: endpoint.SoftwareVersion,
			Node:            name,
			Inbound:         history.state.Inbound,
			Healthy:         endpoint.Healthy,
			FailurePercent:  endpoint.FailurePercent,
		})
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].Id < merged[j].Id })
	return merged
}

// endpointsDiffer reports whether two lists, both ordered by id, differ in something
// that nodes act on.
func endpointsDiffer(a, b []*meshpb.Endpoint) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if endpointChanged(a[i], b[i]) {
			return true
		}
	}
	return false
}

// endpointChanged reports whether two versions of an endpoint differ in something that
// nodes act on. For the remaining warm-up time it matters only whether it is zero.
func endpointChanged(x, y *meshpb.Endpoint) bool {
	return x.Id != y.Id || x.State != y.State || x.Slots != y.Slots ||
		x.Inbound != y.Inbound || x.Addr != y.Addr || x.Outlier != y.Outlier || x.Service != y.Service ||
		(x.WarmupMs > 0) != (y.WarmupMs > 0)
}
