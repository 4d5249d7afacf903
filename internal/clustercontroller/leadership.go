package clustercontroller

import (
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// rejoinTimeout is how long after a takeover a restarted node has to find its
// endpoint again: slightly more than one endpoint heartbeat.
const rejoinTimeout = 2 * time.Second

// leadership tells whether this member is the master, and under which epoch.
type leadership struct {
	active bool
	// suspended is set while the lease on shard 0 is not held; nothing is sent then.
	suspended bool
	epoch     uint64
	// since is the time at which this member became the master.
	since time.Duration
	// rejoining is set while endpoints of the stored view that their nodes have not
	// reported again keep the state that the view gave them.
	rejoining bool
}

// activeInEpoch tells whether this member is still the master under an epoch.
func (l leadership) activeInEpoch(epoch uint64) bool { return l.active && l.epoch == epoch }

// BecomeMaster makes this member the master under the epoch of shard 0. It starts
// from the state stored in that shard: the last view, the user states by node name
// and the configuration, together with the current membership.
func (m *Master) BecomeMaster(epoch uint64, stored *meshpb.View, userStates map[string]string, config *meshpb.Config, membership *meshpb.Membership) {
	now := m.options.Now()
	if stored.GetVersion() > m.views.current.Version {
		if stored.Epoch != m.leadership.epoch {
			m.forgetNodesNotIn(stored)
		}
		m.views.current = stored
	}
	m.options.Log.Info("became master", "epoch", epoch, "view", m.views.current.Version, "version", config.GetVersion())
	m.leadership = leadership{active: true, epoch: epoch, since: now, rejoining: true}
	m.userStates, m.membership = userStates, membership
	m.progress = map[string]*nodeProgress{}
	m.merge.changedAt = now
	m.views = viewState{current: m.views.current, lastAttemptAt: now}
	m.hotKeys.current = m.views.current.HotKeys
	m.hotKeys.tracker.Restore(m.views.current.HotKeys, now)
	m.restoreEndpoints(m.views.current, now)
	m.restoreAddresses(m.views.current, now)
	m.pollAllOnce()
	m.mergeStates()
	m.SetConfig(config)
}

// forgetNodesNotIn removes the nodes that are missing from a view of another
// master. Most of them have ended since this member was last the master, and polls to
// them would delay the polls to the others. A running node that was not in that view
// registers by itself once that master's poll ends.
func (m *Master) forgetNodesNotIn(view *meshpb.View) {
	inView := make(map[string]bool, len(view.NodeAddresses)+len(view.Endpoints))
	for _, a := range view.NodeAddresses {
		name, _ := parseNodeAddress(a)
		inView[name] = true
	}
	for _, e := range view.Endpoints {
		inView[e.Node] = true
	}
	for name := range m.histories {
		if !inView[name] {
			delete(m.histories, name)
		}
	}
}

// restoreEndpoints uses the endpoints of the stored view as the nodes' state until
// the nodes have answered a poll. A node that this member knows from an earlier term
// as the master keeps its history.
func (m *Master) restoreEndpoints(view *meshpb.View, now time.Duration) {
	m.listedEndpoints = nil
	for _, e := range view.Endpoints {
		if e.Node == "" {
			m.listedEndpoints = append(m.listedEndpoints, e)
			continue
		}
		history := m.histories[e.Node]
		if history == nil {
			history = historyFromEndpoint(e)
			m.histories[e.Node] = history
		}
		history.lastContact, history.pollFailures, history.reachable, history.restoredFromView = now, 0, true, true
	}
}

// historyFromEndpoint returns the history of a node that is known only from its
// endpoint in the stored view.
func historyFromEndpoint(endpoint *meshpb.Endpoint) *nodeHistory {
	state := endpoint.State
	if lifecycle.State(state) == lifecycle.Up {
		state = string(lifecycle.Ready)
	}
	reported := &meshpb.Endpoint{Id: endpoint.Id, Service: endpoint.Service, Addr: endpoint.Addr, Zone: endpoint.Zone, Slots: endpoint.Slots,
		State: state, Healthy: true, SoftwareVersion: endpoint.SoftwareVersion}
	return &nodeHistory{
		state:        &meshpb.NodeState{Name: endpoint.Node, Inbound: endpoint.Inbound, Endpoint: reported},
		endpointID:   endpoint.Id,
		lastEndpoint: reported,
	}
}

// restoreAddresses restores the nodes' addresses from the stored view, so that they
// can be polled before they register.
func (m *Master) restoreAddresses(view *meshpb.View, now time.Duration) {
	for _, a := range view.NodeAddresses {
		name, addr := parseNodeAddress(a)
		history := m.histories[name]
		if history == nil {
			history = &nodeHistory{state: &meshpb.NodeState{Name: name}, lastContact: now}
			m.histories[name] = history
		}
		if history.state.Addr == "" {
			history.state.Addr = addr
		}
	}
}

// SetStoredVersions sets the versions and digests of the view and configuration
// stored in shard 0. It is called before BecomeMaster.
func (m *Master) SetStoredVersions(versions *meshpb.StoredVersions) { m.storedVersions = versions }

// StepDown stops acting as the master and stops all polling. The node histories are
// kept in case this member becomes the master again.
func (m *Master) StepDown() {
	if !m.leadership.active {
		return
	}
	m.storedVersions = nil
	m.options.Log.Info("stepped down as master", "epoch", m.leadership.epoch)
	m.leadership.active = false
	m.stopAllPolling()
}

// IsMaster tells whether this member is the master. It does not check whether the
// lease is held.
func (m *Master) IsMaster() bool { return m.leadership.active }

// checkLease tells whether the lease on shard 0 is held. While it is not, all
// polling stops, so that the nodes look for another master; polling resumes once the
// lease is held again.
func (m *Master) checkLease() bool {
	held := m.options.HoldsLease == nil || m.options.HoldsLease()
	if m.leadership.active && held == m.leadership.suspended {
		if held {
			m.resume()
		} else {
			m.suspend()
		}
	}
	return held
}

func (m *Master) suspend() {
	m.options.Log.Warn("paused as master: lease not held", "shard", 0, "epoch", m.leadership.epoch)
	m.leadership.suspended = true
	m.stopAllPolling()
}

// resume restarts polling. Every node counts as just heard from, so that the time
// without the lease does not make nodes unreachable.
func (m *Master) resume() {
	m.leadership.suspended = false
	for _, history := range m.histories {
		history.lastContact = m.options.Now()
	}
	m.pollAllOnce()
}

// endRejoining drops endpoints restored from the stored view that their nodes have
// not reported again within rejoinTimeout of the takeover.
func (m *Master) endRejoining(now time.Duration) {
	if !m.leadership.rejoining || now-m.leadership.since <= rejoinTimeout {
		return
	}
	m.leadership.rejoining = false
	for _, history := range m.histories {
		history.restoredFromView = false
	}
	m.scheduleMerge()
}
