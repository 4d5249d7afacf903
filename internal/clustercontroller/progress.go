package clustercontroller

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// nodeProgress records which view and configuration one incarnation of a node is
// known to hold, and which updates to it are in flight.
type nodeProgress struct {
	// incarnation is "" until the node has answered a poll of this master.
	incarnation string
	// viewVersion is the view version that the node is known to hold, 0 if unknown.
	viewVersion uint64
	// withoutView tells that the node has no view at all.
	withoutView  bool
	viewInFlight bool

	// configVersion is the configuration version that the node is known to hold, 0 if
	// unknown.
	configVersion  uint64
	configInFlight bool
	// needsFullConfig tells that the node cannot apply patches and needs a complete
	// configuration.
	needsFullConfig bool
	// sentFullConfig tells that the last attempt sent a complete configuration.
	sentFullConfig bool
	// retryConfigAt is the time at which a configuration may be sent again after a
	// failure.
	retryConfigAt time.Duration
	configSentAt  time.Duration
	// configAckedAt is the time at which the node last acknowledged any configuration.
	configAckedAt time.Duration
	// ackedIncarnation is the incarnation that did so, "" if it is unknown.
	ackedIncarnation string
	// configAttempt numbers all attempts to send a configuration; unansweredAttempts
	// counts those since the last acknowledgement.
	configAttempt      uint64
	unansweredAttempts int
}

// progressOf returns the progress of a node; it creates one if there is none.
func (m *Master) progressOf(name string) *nodeProgress {
	progress := m.progress[name]
	if progress == nil {
		progress = &nodeProgress{}
		m.progress[name] = progress
	}
	return progress
}

// updateProgress records which view and configuration a node reports that it holds.
func (m *Master) updateProgress(name string, state *meshpb.NodeState) {
	progress := m.progress[name]
	if progress != nil && progress.incarnation == "" {
		progress.recordFirstReport(state.Incarnation)
	}
	if progress == nil || progress.incarnation != state.Incarnation {
		progress = &nodeProgress{incarnation: state.Incarnation}
		m.progress[name] = progress
	}
	if m.options.Now()-progress.configAckedAt > relayCallTimeout {
		// This report is newer than every acknowledgement, so it alone counts.
		progress.configVersion = 0
	}
	progress.configVersion = max(progress.configVersion, state.ConfigVersion)
	progress.withoutView = state.ViewVersion == 0
	if state.ViewEpoch == m.leadership.epoch {
		progress.viewVersion = max(progress.viewVersion, state.ViewVersion)
	}
}

// recordFirstReport discards the acknowledgements before a node's first report, which may
// have come from an earlier incarnation. That of a configuration is kept if it is known
// to have come from this one: the report may have been made before it.
func (p *nodeProgress) recordFirstReport(incarnation string) {
	p.incarnation, p.viewVersion = incarnation, 0
	if p.ackedIncarnation != incarnation {
		p.configVersion = 0
	}
}

// sendUpdates sends a node the configuration and the view that it has not yet
// acknowledged.
func (m *Master) sendUpdates(name string, history *nodeHistory) {
	m.sendConfig(name, history)
	m.sendView(name, history)
}

// directSendTime is how long a small core machine takes to call all nodes once
// without relays. After a takeover, polls are sent first, then configurations, then
// the view.
func (m *Master) directSendTime() time.Duration {
	return time.Duration(len(m.histories)) * m.options.SendTimePerNode
}

// relayedSendTime is how long it takes to send one request to all nodes through
// relays.
func (m *Master) relayedSendTime() time.Duration {
	if len(m.histories) <= maxDirectNodes {
		return m.directSendTime()
	}
	return m.directSendTime() / time.Duration(len(m.availableRelays())+1)
}

// takeoverDelay is how long a new master collects poll responses before it makes its
// first view: Options.TakeoverDelay, or longer where there are many nodes.
func (m *Master) takeoverDelay() time.Duration {
	return max(m.options.TakeoverDelay, 2*m.relayedSendTime())
}
