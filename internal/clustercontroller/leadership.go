package clustercontroller

import (
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// rejoinTimeout is how long after a takeover a node that has lost its memory may
// take to find its endpoint: a heartbeat and a little more.
const rejoinTimeout = 2 * time.Second

// leadership is whether, and under which epoch, this member is the master.
type leadership struct {
	active bool
	// suspended while the lease on shard 0 is not certain: nothing is sent.
	suspended bool
	epoch     uint64
	since     time.Duration
	// rejoining while endpoints that their nodes have not found again count as they
	// were in the last view.
	rejoining bool
}

// is tells whether this member is still the master under an epoch.
func (l leadership) is(epoch uint64) bool { return l.active && l.epoch == epoch }

// BecomeMaster makes this member the master under the epoch of shard 0, with what
// that shard keeps: the last view that was published, the user states by node, the
// configuration and the membership.
func (m *Master) BecomeMaster(epoch uint64, stored *meshpb.View, userStates map[string]string, config *meshpb.Config, membership *meshpb.Membership) {
	now := m.options.Now()
	if stored.GetVersion() > m.views.current.Version {
		if stored.Epoch != m.leadership.epoch {
			m.forgetNodesWithout(stored)
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

// forgetNodesWithout removes the nodes that a view of another master lacks: most
// have ended since this member led last, and polls to them would hold up those to
// the others. A node that runs and was not in that view registers by itself, once
// that master's poll ends.
func (m *Master) forgetNodesWithout(view *meshpb.View) {
	named := make(map[string]bool, len(view.NodeAddresses)+len(view.Endpoints))
	for _, a := range view.NodeAddresses {
		name, _ := parseNodeAddress(a)
		named[name] = true
	}
	for _, e := range view.Endpoints {
		named[e.Node] = true
	}
	for name := range m.histories {
		if !named[name] {
			delete(m.histories, name)
		}
	}
}

// restoreEndpoints takes the endpoints of the last view as the nodes' state until
// these have answered a poll.
func (m *Master) restoreEndpoints(view *meshpb.View, now time.Duration) {
	m.listedEndpoints = nil
	for _, e := range view.Endpoints {
		if e.Node == "" {
			m.listedEndpoints = append(m.listedEndpoints, e)
			continue
		}
		history := m.histories[e.Node]
		if history == nil {
			history = restoredHistory(e)
			m.histories[e.Node] = history
		}
		history.lastContact, history.pollFailures, history.reachable, history.restoredFromView = now, 0, true, true
	}
}

func restoredHistory(endpoint *meshpb.Endpoint) *nodeHistory {
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

// restoreAddresses finds the nodes of the last view.
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

// SetStoredVersions names what shard 0 keeps; it is called before BecomeMaster.
func (m *Master) SetStoredVersions(versions *meshpb.StoredVersions) { m.storedVersions = versions }

// StepDown ends what BecomeMaster began. What is known of the nodes stays for the
// next time.
func (m *Master) StepDown() {
	if !m.leadership.active {
		return
	}
	m.storedVersions = nil
	m.options.Log.Info("stepped down as master", "epoch", m.leadership.epoch)
	m.leadership.active = false
	m.stopAllPolling()
}

// IsMaster tells whether this member is the master. That its lease is certain is
// not said with it.
func (m *Master) IsMaster() bool { return m.leadership.active }

// checkLease tells whether the lease on shard 0 is certain. It stops all polls while
// it is not, so that the nodes look for another master, and takes them up again
// after.
func (m *Master) checkLease() bool {
	certain := m.options.HoldsLease == nil || m.options.HoldsLease()
	if m.leadership.active && certain == m.leadership.suspended {
		if certain {
			m.resume()
		} else {
			m.suspend()
		}
	}
	return certain
}

func (m *Master) suspend() {
	m.options.Log.Warn("paused as master: lease not certain", "shard", 0, "epoch", m.leadership.epoch)
	m.leadership.suspended = true
	m.stopAllPolling()
}

func (m *Master) resume() {
	m.leadership.suspended = false
	for _, history := range m.histories {
		history.lastContact = m.options.Now()
	}
	m.pollAllOnce()
}

// endRejoining stops, a while after a takeover, to show endpoints that their nodes
// have not found again.
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
