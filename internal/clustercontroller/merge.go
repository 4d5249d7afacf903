package clustercontroller

import (
	"sort"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// endpointMerge is the result of the last merge of the nodes' states and the
// platform's list, and what the next one needs.
type endpointMerge struct {
	// pending tells that a merge is scheduled.
	pending   bool
	endpoints []*meshpb.Endpoint
	// changedAt is when endpoints last changed for the nodes.
	changedAt          time.Duration
	ejections          ejections
	ejectionsUpdatedAt time.Duration
}

// scheduleMerge has the states merged soon, once for all that is heard meanwhile.
func (m *Master) scheduleMerge() {
	if m.merge.pending {
		return
	}
	m.merge.pending = true
	time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.mergeStates) })
}

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

// failurePercents has the share of requests that endpoints fail, by id: by what
// their own nodes say, or for listed ones, which have none, by what those that call
// them say.
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

// refreshEjections has the states merged once in a view interval while endpoints
// are ejected, since ejections end by time.
func (m *Master) refreshEjections(now time.Duration) {
	if len(m.merge.ejections) > 0 && now-m.merge.ejectionsUpdatedAt > m.options.ViewInterval {
		m.merge.ejectionsUpdatedAt = now
		m.scheduleMerge()
	}
}

// mergeEndpoints merges what the nodes report of their endpoints with the endpoints
// that the platform lists, ordered by id. Those that are down are left out.
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

// endpointsDiffer tells whether the nodes would act on the difference.
func endpointsDiffer(a, b []*meshpb.Endpoint) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if endpointDiffers(a[i], b[i]) {
			return true
		}
	}
	return false
}

func endpointDiffers(x, y *meshpb.Endpoint) bool {
	return x.Id != y.Id || x.State != y.State || x.Slots != y.Slots ||
		x.Inbound != y.Inbound || x.Addr != y.Addr || x.Outlier != y.Outlier || x.Service != y.Service ||
		(x.WarmupMs > 0) != (y.WarmupMs > 0)
}
