package clustercontroller

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// A configuration without an acknowledgement is sent again by another way while the
// first sending still runs. Two waits and a call must fit into 2 s, the shortest
// time that a site gives its nodes to apply a version.
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
func (m *Master) SetConfig(c *meshpb.Config) {
	if c.GetVersion() > m.config.version {
		m.config = configState{version: c.Version, packed: c.Packed, patches: c.Patches}
	}
	if !m.leadership.active {
		return
	}
	for name, h := range m.histories {
		m.sendConfig(name, h)
	}
}

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (m *Master) ConfigVersion() uint64 { return m.config.version }

// patchesFrom returns the patches from a version to the one in force. It is nil if
// there are none, or if they are larger than the complete configuration.
func (c *configState) patchesFrom(version uint64) [][]byte {
	var patches [][]byte
	size := 0
	for _, p := range c.patches {
		if p.BaseVersion == version || patches != nil {
			patches = append(patches, p.Patch)
			size += len(p.Patch)
		}
	}
	if size > len(c.packed) {
		return nil
	}
	return patches
}

// sendConfig sends a node the patches from what it holds to the configuration in
// force, or all of it, unless it holds that or it is under way.
func (m *Master) sendConfig(name string, h *nodeHistory) {
	if !m.checkLease() {
		return
	}
	p := m.progressOf(name)
	now := m.options.Now()
	if !m.needsConfig(p, h, now) || m.awaitsReport(p, now) {
		return
	}
	q := m.configRequest(p)
	p.configInFlight, p.configSentAt, p.sentFullConfig = true, now, q.BaseVersion == 0
	p.configAttempt++
	attempt := p.configAttempt
	relayOffset := p.unansweredAttempts % relayChoices
	p.unansweredAttempts++
	key := batchKey{kind: configBatch, baseVersion: q.BaseVersion, version: q.Version, patches: len(q.Patches), full: len(q.Data) > 0, relayOffset: relayOffset}
	m.enqueue(key, &meshpb.RelayRequest{Config: q}, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr}, func(a *meshpb.RelayAck) {
		now := m.options.Now()
		p.recordConfigAck(q, a.GetConfig(), attempt == p.configAttempt, now)
		if a.GetConfig() != nil && attempt == p.configAttempt && m.leadership.active {
			m.sendConfig(name, h)
		}
	})
}

func (m *Master) needsConfig(p *nodeProgress, h *nodeHistory, now time.Duration) bool {
	if m.config.version == 0 || p.configVersion >= m.config.version || h.state.GetAddr() == "" {
		return false
	}
	return now >= p.retryConfigAt && (!p.configInFlight || p.configOverdue(h, now))
}

// awaitsReport tells that a node has not been heard under this epoch and may still
// be soon: what it holds is guessed only after that.
func (m *Master) awaitsReport(p *nodeProgress, now time.Duration) bool {
	if p.incarnation != "" {
		return false
	}
	wait := m.options.PollGrace/2 + 3*m.relayedSendTime()
	if len(m.config.patches) > 0 && !p.needsFullConfig {
		wait = m.relayedSendTime()
	}
	return now-m.leadership.since < wait
}

// configRequest holds the patches from what a node holds to the configuration in
// force, or all of it where there are none.
func (m *Master) configRequest(p *nodeProgress) *meshpb.DeliverConfigRequest {
	q := &meshpb.DeliverConfigRequest{Epoch: m.leadership.epoch, Version: m.config.version}
	patches := m.config.patches
	switch {
	case p.needsFullConfig:
	case p.configVersion > 0:
		if q.Patches = m.config.patchesFrom(p.configVersion); q.Patches != nil {
			q.BaseVersion = p.configVersion
		}
	case p.incarnation == "" && len(patches) > 0:
		// Most likely the node has the one before.
		last := patches[len(patches)-1]
		q.BaseVersion, q.Patches = last.BaseVersion, [][]byte{last.Patch}
	}
	if q.BaseVersion == 0 {
		q.Data = m.config.packed
	}
	return q
}

// recordConfigAck notes what came of a sending; r is nil if nothing was heard, and
// newest tells that no other was begun since.
func (p *nodeProgress) recordConfigAck(q *meshpb.DeliverConfigRequest, r *meshpb.DeliverConfigResponse, newest bool, now time.Duration) {
	if r != nil {
		p.configVersion = max(p.configVersion, r.Version)
		p.configAckedAt = now
	}
	if !newest {
		return
	}
	p.configInFlight = false
	if r == nil {
		p.retryConfigAt = now + configFailureBackoff
		return
	}
	p.unansweredAttempts = 0
	p.needsFullConfig = !r.Ok && (r.Version == 0 || r.Version == q.BaseVersion || q.BaseVersion == 0)
	if !r.Ok {
		p.retryConfigAt = now + configRefusalBackoff
	}
}

// configOverdue tells that a node which answers polls has left the last sending
// unanswered for so long that it is to be sent by another way.
func (p *nodeProgress) configOverdue(h *nodeHistory, now time.Duration) bool {
	wait := patchRetryAfter
	if p.sentFullConfig {
		wait = fullConfigRetryAfter
	}
	return h.reachable && now-p.configSentAt >= wait
}

// hasConfig tells that a node has acknowledged this configuration, or a newer one,
// by another way meanwhile.
func (m *Master) hasConfig(name string, q *meshpb.DeliverConfigRequest) bool {
	p := m.progress[name]
	return q != nil && p != nil && p.configVersion >= q.Version
}
