package clustercontroller

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// A configuration that was not acknowledged is sent again over another path while the
// first call is still running. Two waits and a call must fit into 2 s, the shortest
// time that a deployment allows its nodes to apply a version.
const (
	// patchRetryAfter is how long patches may stay unacknowledged before they are sent
	// again: twice the time that a relay waits for the next acknowledgement.
	patchRetryAfter = 2 * relayIdleTimeout
	// fullConfigRetryAfter is the same for a complete configuration. It leaves time to
	// transfer a large configuration over a saturated link.
	fullConfigRetryAfter = 1500 * time.Millisecond
	// relaysPerNode is how many relays are tried in turn for one node. Each turn needs
	// a separate batch, so a small number keeps requests to many nodes together.
	relaysPerNode = 3
	// configFailureBackoff is the wait after an attempt without a response.
	configFailureBackoff = 100 * time.Millisecond
	// configRefusalBackoff is the wait after a node failed to apply a configuration.
	configRefusalBackoff = 50 * time.Millisecond
)

// configState is the current configuration.
type configState struct {
	version uint64
	// packed is the complete configuration, compressed.
	packed []byte
	// patches lead from an earlier version to this one, each from the version before
	// it, oldest first.
	patches []*meshpb.ConfigPatch
}

// SetConfig makes a newly committed configuration the current one, unless it is
// older. If this member is the master, it starts sending the current configuration
// to all nodes immediately.
func (m *Master) SetConfig(config *meshpb.Config) {
	if config.GetVersion() > m.config.version {
		m.config = configState{version: config.Version, packed: config.Packed, patches: config.Patches}
	}
	if !m.leadership.active {
		return
	}
	for name, history := range m.histories {
		m.sendConfig(name, history)
	}
}

// ConfigVersion returns the version of the current configuration, or 0 if there is
// none.
func (m *Master) ConfigVersion() uint64 { return m.config.version }

// patchesFrom returns the patches that lead from a version to the current one. It
// returns nil if there are none, or if together they are larger than the complete
// configuration.
func (c *configState) patchesFrom(version uint64) [][]byte {
	var patches [][]byte
	size := 0
	for _, patch := range c.patches {
		if patch.BaseVersion == version || patches != nil {
			patches = append(patches, patch.Patch)
			size += len(patch.Patch)
		}
	}
	if size > len(c.packed) {
		return nil
	}
	return patches
}

// sendConfig updates a node to the current configuration, with patches if possible.
// It does nothing if the node has that configuration or an attempt to send it is in
// flight and not overdue.
func (m *Master) sendConfig(name string, history *nodeHistory) {
	if !m.checkLease() {
		return
	}
	progress := m.progressOf(name)
	now := m.options.Now()
	if !m.needsConfig(progress, history, now) || m.awaitingFirstReport(progress, now) {
		return
	}
	request := m.buildConfigRequest(progress)
	progress.configInFlight, progress.configSentAt, progress.sentFullConfig = true, now, request.BaseVersion == 0
	progress.configAttempt++
	attempt := progress.configAttempt
	relayOffset := progress.unansweredAttempts % relaysPerNode
	progress.unansweredAttempts++
	key := batchKey{kind: configBatch, baseVersion: request.BaseVersion, version: request.Version, patchCount: len(request.Patches), fullConfig: len(request.Data) > 0, relayOffset: relayOffset}
	m.enqueue(key, &meshpb.RelayRequest{Config: request}, &meshpb.RelayTarget{Name: name, Addr: history.state.Addr}, func(ack *meshpb.RelayAck) {
		now := m.options.Now()
		progress.recordConfigAck(request, ack.GetConfig(), attempt == progress.configAttempt, now)
		if ack.GetConfig() != nil && attempt == progress.configAttempt && m.leadership.active {
			m.sendConfig(name, history)
		}
	})
}

// needsConfig reports whether a node lacks the current configuration and may be sent
// it now.
func (m *Master) needsConfig(progress *nodeProgress, history *nodeHistory, now time.Duration) bool {
	if m.config.version == 0 || progress.configVersion >= m.config.version || history.state.GetAddr() == "" {
		return false
	}
	return now >= progress.retryConfigAt && (!progress.configInFlight || progress.configOverdue(history, now))
}

// awaitingFirstReport reports whether a node has not yet answered a poll in this
// epoch but may still do so soon. Until then the master does not guess which
// version the node holds.
func (m *Master) awaitingFirstReport(progress *nodeProgress, now time.Duration) bool {
	if progress.incarnation != "" {
		return false
	}
	wait := m.options.PollGrace/2 + 3*m.relayedSendTime()
	if len(m.config.patches) > 0 && !progress.needsFullConfig {
		wait = m.relayedSendTime()
	}
	return now-m.leadership.since < wait
}

// buildConfigRequest returns a request with the patches that lead from a node's
// version to the current one, or with the complete configuration if there are none.
func (m *Master) buildConfigRequest(progress *nodeProgress) *meshpb.DeliverConfigRequest {
	request := &meshpb.DeliverConfigRequest{Epoch: m.leadership.epoch, Version: m.config.version}
	patches := m.config.patches
	switch {
	case progress.needsFullConfig:
	case progress.configVersion > 0:
		if request.Patches = m.config.patchesFrom(progress.configVersion); request.Patches != nil {
			request.BaseVersion = progress.configVersion
		}
	case progress.incarnation == "" && len(patches) > 0:
		// The node's version is unknown, but most likely it is the previous one.
		last := patches[len(patches)-1]
		request.BaseVersion, request.Patches = last.BaseVersion, [][]byte{last.Patch}
	}
	if request.BaseVersion == 0 {
		request.Data = m.config.packed
	}
	return request
}

// recordConfigAck records the result of an attempt to send a configuration. response
// is nil if none arrived; latest is true if no other attempt was started since.
func (p *nodeProgress) recordConfigAck(request *meshpb.DeliverConfigRequest, response *meshpb.DeliverConfigResponse, latest bool, now time.Duration) {
	if response != nil {
		p.configVersion = max(p.configVersion, response.Version)
		p.configAckedAt, p.ackedIncarnation = now, response.Incarnation
	}
	if !latest {
		return
	}
	p.configInFlight = false
	if response == nil {
		p.retryConfigAt = now + configFailureBackoff
		return
	}
	p.unansweredAttempts = 0
	p.needsFullConfig = !response.Ok && (response.Version == 0 || response.Version == request.BaseVersion || request.BaseVersion == 0)
	if !response.Ok {
		p.retryConfigAt = now + configRefusalBackoff
	}
}

// configOverdue reports whether a node answers polls but has not acknowledged the
// last attempt for so long that the configuration must be sent over another path.
func (p *nodeProgress) configOverdue(history *nodeHistory, now time.Duration) bool {
	wait := patchRetryAfter
	if p.sentFullConfig {
		wait = fullConfigRetryAfter
	}
	return history.reachable && now-p.configSentAt >= wait
}

// hasConfig reports whether a node has acknowledged the requested configuration or a
// newer one, for example over another path. It is false if request is nil.
func (m *Master) hasConfig(name string, request *meshpb.DeliverConfigRequest) bool {
	progress := m.progress[name]
	return request != nil && progress != nil && progress.configVersion >= request.Version
}
