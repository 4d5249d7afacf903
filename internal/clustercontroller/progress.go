package clustercontroller

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// nodeProgress is what the master knows that one incarnation of a node holds, and
// what is under way to it.
type nodeProgress struct {
	// incarnation is "" until the node has answered a poll of this master.
	incarnation string
	viewVersion uint64
	// withoutView: the node has no view at all.
	withoutView  bool
	viewInFlight bool

	configVersion  uint64
	configInFlight bool
	// needsFullConfig: patches can't be applied there.
	needsFullConfig bool
	// sentFullConfig: the last sending was a complete configuration.
	sentFullConfig bool
	// retryConfigAt is when a configuration may be sent again after a failure.
	retryConfigAt time.Duration
	configSentAt  time.Duration
	// configAckedAt is when any configuration was last acknowledged.
	configAckedAt time.Duration
	// configAttempt numbers all sendings; unansweredAttempts counts those since the
	// last acknowledgement.
	configAttempt      uint64
	unansweredAttempts int
}

func (m *Master) progressOf(name string) *nodeProgress {
	p := m.progress[name]
	if p == nil {
		p = &nodeProgress{}
		m.progress[name] = p
	}
	return p
}

// updateProgress notes what a node says that it holds.
func (m *Master) updateProgress(name string, n *meshpb.NodeState) {
	p := m.progress[name]
	if p != nil && p.incarnation == "" {
		// An earlier incarnation may have acknowledged before.
		p.incarnation, p.viewVersion, p.configVersion = n.Incarnation, 0, 0
	}
	if p == nil || p.incarnation != n.Incarnation {
		p = &nodeProgress{incarnation: n.Incarnation}
		m.progress[name] = p
	}
	if m.options.Now()-p.configAckedAt > relayCallTimeout {
		// No acknowledgement is newer than this report.
		p.configVersion = 0
	}
	p.configVersion = max(p.configVersion, n.ConfigVersion)
	p.withoutView = n.ViewVersion == 0
	if n.ViewEpoch == m.leadership.epoch {
		p.viewVersion = max(p.viewVersion, n.ViewVersion)
	}
}

// sendUpdates sends a node what it has not yet acknowledged.
func (m *Master) sendUpdates(name string, h *nodeHistory) {
	m.sendConfig(name, h)
	m.sendView(name, h)
}

// directSendTime is how long a small core machine takes to call all nodes once.
// After a takeover polls go first, then configurations, then the view.
func (m *Master) directSendTime() time.Duration {
	return time.Duration(len(m.histories)) * m.options.SendTimePerNode
}

// relayedSendTime is how long it takes to send the same to all nodes through relays.
func (m *Master) relayedSendTime() time.Duration {
	if len(m.histories) <= maxDirectNodes {
		return m.directSendTime()
	}
	return m.directSendTime() / time.Duration(len(m.availableRelays())+1)
}

// takeoverTime is how long a new master hears nodes before its first view.
func (m *Master) takeoverTime() time.Duration {
	return max(m.options.TakeoverDelay, 2*m.relayedSendTime())
}
