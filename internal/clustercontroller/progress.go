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
	// withoutView tells that the node has no view at all.
	withoutView  bool
	viewInFlight bool

	configVersion  uint64
	configInFlight bool
	// needsFullConfig tells that patches can't be applied there.
	needsFullConfig bool
	// sentFullConfig tells that the last sending was a complete configuration.
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
	progress := m.progress[name]
	if progress == nil {
		progress = &nodeProgress{}
		m.progress[name] = progress
	}
	return progress
}

// updateProgress notes what a node says that it holds.
func (m *Master) updateProgress(name string, state *meshpb.NodeState) {
	progress := m.progress[name]
	if progress != nil && progress.incarnation == "" {
		// An earlier incarnation may have acknowledged before.
		progress.incarnation, progress.viewVersion, progress.configVersion = state.Incarnation, 0, 0
	}
	if progress == nil || progress.incarnation != state.Incarnation {
		progress = &nodeProgress{incarnation: state.Incarnation}
		m.progress[name] = progress
	}
	if m.options.Now()-progress.configAckedAt > relayCallTimeout {
		// No acknowledgement is newer than this report.
		progress.configVersion = 0
	}
	progress.configVersion = max(progress.configVersion, state.ConfigVersion)
	progress.withoutView = state.ViewVersion == 0
	if state.ViewEpoch == m.leadership.epoch {
		progress.viewVersion = max(progress.viewVersion, state.ViewVersion)
	}
}

// sendUpdates sends a node what it has not yet acknowledged.
func (m *Master) sendUpdates(name string, history *nodeHistory) {
	m.sendConfig(name, history)
	m.sendView(name, history)
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
