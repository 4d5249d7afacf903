package clustercontroller

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// A configuration without an acknowledgement is sent again by another way while the
// first sending still runs. Two waits and a call must fit into 2 s, the shortest
// time that a deployment gives its nodes to apply a version.
const (
	// patchRetryAfter is twice what a relay waits for its next node.
	patchRetryAfter = 2 * relayIdleTimeout
	// fullConfigRetryAfter leaves a large configuration time on a full link.
	fullConfigRetryAfter = 1500 * time.Millisecond
	// relayChoices is how many relays take turns for one node, so that sendings to many
	// nodes still go together.
	relayChoices = 3
	// configFailureBackoff and configRefusalBackoff are the waits after a sending that
	// nothing was heard of, and one that the node could not apply.
	configFailureBackoff = 100 * time.Millisecond
	configRefusalBackoff = 50 * time.Millisecond
)

// configState is the configuration in force.
type configState struct {
	version uint64
	// packed is the complete configuration, compressed.
	packed []byte
	// patches lead from some earlier versions to this one, in order.
	patches []*meshpb.ConfigPatch
}

// SetConfig takes a newly committed configuration, and a master sends it to all
// nodes at once.
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

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (m *Master) ConfigVersion() uint64 { return m.config.version }

// patchesFrom returns the patches from a version to the one in force. It is nil if
// there are none, or if they are larger than the complete configuration.
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

// sendConfig sends a node the patches from what it holds to the configuration in
// force, or all of it, unless it holds that or it is under way.
func (m *Master) sendConfig(name string, history *nodeHistory) {
	if !m.checkLease() {
		return
	}
	progress := m.progressOf(name)
	now := m.options.Now()
	if !m.needsConfig(progress, history, now) || m.awaitsReport(progress, now) {
		return
	}
	request := m.configRequest(progress)
	progress.configInFlight, progress.configSentAt, progress.sentFullConfig = true, now, request.BaseVersion == 0
	progress.configAttempt++
	attempt := progress.configAttempt
	relayOffset := progress.unansweredAttempts % relayChoices
	progress.unansweredAttempts++
	key := batchKey{kind: configBatch, baseVersion: request.BaseVersion, version: request.Version, patches: len(request.Patches), full: len(request.Data) > 0, relayOffset: relayOffset}
	m.enqueue(key, &meshpb.RelayRequest{Config: request}, &meshpb.RelayTarget{Name: name, Addr: history.state.Addr}, func(ack *meshpb.RelayAck) {
		now := m.options.Now()
		progress.recordConfigAck(request, ack.GetConfig(), attempt == progress.configAttempt, now)
		if ack.GetConfig() != nil && attempt == progress.configAttempt && m.leadership.active {
			m.sendConfig(name, history)
		}
	})
}

func (m *Master) needsConfig(progress *nodeProgress, history *nodeHistory, now time.Duration) bool {
	if m.config.version == 0 || progress.configVersion >= m.config.version || history.state.GetAddr() == "" {
		return false
	}
	return now >= progress.retryConfigAt && (!progress.configInFlight || progress.configOverdue(history, now))
}

// awaitsReport tells that a node has not been heard under this epoch and may still
// be soon: what it holds is guessed only after that.
func (m *Master) awaitsReport(progress *nodeProgress, now time.Duration) bool {
	if progress.incarnation != "" {
		return false
	}
	wait := m.options.PollGrace/2 + 3*m.relayedSendTime()
	if len(m.config.patches) > 0 && !progress.needsFullConfig {
		wait = m.relayedSendTime()
	}
	return now-m.leadership.since < wait
}

// configRequest holds the patches from what a node holds to the configuration in
// force, or all of it where there are none.
func (m *Master) configRequest(progress *nodeProgress) *meshpb.DeliverConfigRequest {
	request := &meshpb.DeliverConfigRequest{Epoch: m.leadership.epoch, Version: m.config.version}
	patches := m.config.patches
	switch {
	case progress.needsFullConfig:
	case progress.configVersion > 0:
		if request.Patches = m.config.patchesFrom(progress.configVersion); request.Patches != nil {
			request.BaseVersion = progress.configVersion
		}
	case progress.incarnation == "" && len(patches) > 0:
		// Most likely the node has the one before.
		last := patches[len(patches)-1]
		request.BaseVersion, request.Patches = last.BaseVersion, [][]byte{last.Patch}
	}
	if request.BaseVersion == 0 {
		request.Data = m.config.packed
	}
	return request
}

// recordConfigAck notes what came of a sending; response is nil if nothing was
// heard, and
// newest tells that no other was begun since.
func (p *nodeProgress) recordConfigAck(request *meshpb.DeliverConfigRequest, response *meshpb.DeliverConfigResponse, newest bool, now time.Duration) {
	if response != nil {
		p.configVersion = max(p.configVersion, response.Version)
		p.configAckedAt = now
	}
	if !newest {
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

// configOverdue tells that a node which answers polls has left the last sending
// unanswered for so long that it is to be sent by another way.
func (p *nodeProgress) configOverdue(history *nodeHistory, now time.Duration) bool {
	wait := patchRetryAfter
	if p.sentFullConfig {
		wait = fullConfigRetryAfter
	}
	return history.reachable && now-p.configSentAt >= wait
}

// hasConfig tells that a node has acknowledged this configuration, or a newer one,
// by another way meanwhile.
func (m *Master) hasConfig(name string, request *meshpb.DeliverConfigRequest) bool {
	progress := m.progress[name]
	return request != nil && progress != nil && progress.configVersion >= request.Version
}
