package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// sendHeartbeats asks the peers to renew the leases of the shards that this member
// serves. It skips members whose leases replication has just renewed, unless a
// heartbeat was requested explicitly, and peers with a heartbeat in flight. Answers
// of learners do not count toward a lease.
func (r *Replica) sendHeartbeats() {
	watermarks := r.watermarks()
	requested := r.heartbeatDue
	r.heartbeatDue = false
	for _, p := range r.replicationTargets() {
		if p.heartbeatInFlight || !requested && r.isVoter(p) && r.replicationRenewedLeases(p) {
			continue
		}
		r.sendHeartbeat(p, watermarks)
	}
}

// watermarks returns the commit watermark of each shard that this member serves.
func (r *Replica) watermarks() []*meshpb.Watermark {
	var watermarks []*meshpb.Watermark
	for _, s := range r.shards {
		if s.role == owner && s.ownership.serving {
			watermarks = append(watermarks, &meshpb.Watermark{
				Shard:     uint32(s.id),
				Epoch:     s.log.epoch,
				Version:   s.ownership.commit,
				Committed: s.ownership.replicatedMembership,
			})
		}
	}
	return watermarks
}

func (r *Replica) sendHeartbeat(p *peer, watermarks []*meshpb.Watermark) {
	sentAt := r.now()
	p.heartbeatInFlight, p.lastHeartbeat = true, sentAt
	request := &meshpb.RenewLeasesRequest{Header: r.header(p), Watermarks: watermarks, Healthy: r.isHealthy(r.self.Id)}
	r.transport.RenewLeases(p.member, request, func(response *meshpb.RenewLeasesResponse) {
		p.heartbeatInFlight = false
		if response == nil || response.Id != p.member.Id {
			return
		}
		r.handleHeartbeatResponse(p, sentAt, response)
	})
}

func (r *Replica) handleHeartbeatResponse(p *peer, sentAt time.Duration, response *meshpb.RenewLeasesResponse) {
	r.recordContact(p, response.Healthy, response.Leaving)
	if response.Membership != r.membership.Version {
		r.offerMembership(p.member, response.Membership)
		return
	}
	for _, id := range response.Granted {
		r.recordLease(p, r.shards[id], sentAt)
	}
	for _, superseded := range response.Superseded {
		if s := r.shards[superseded.Shard]; superseded.Epoch > s.log.epoch && s.isOwned() {
			r.stepDown(s, superseded.Epoch, "a member voted in a higher epoch")
		}
	}
}

// replicationRenewedLeases reports whether replication that the peer acknowledged has
// recently renewed every lease that a heartbeat would renew.
func (r *Replica) replicationRenewedLeases(p *peer) bool {
	now, interval := r.now(), r.options.HeartbeatInterval
	if now-p.lastHeartbeat >= maxIntervalsWithoutHeartbeat*interval || now-p.lastContact >= interval {
		return false
	}
	servedShards := 0
	for _, s := range r.shards {
		if s.role == owner && s.ownership.serving {
			servedShards++
			if now-p.progress[s.id].leaseStart >= interval {
				return false
			}
		}
	}
	return servedShards > 0
}

// HandleRenewLeases handles another member's heartbeat: it renews the leases of the
// shards for whose owner this member voted.
func (r *Replica) HandleRenewLeases(request *meshpb.RenewLeasesRequest) *meshpb.RenewLeasesResponse {
	header := request.Header
	response := &meshpb.RenewLeasesResponse{
		Membership: r.membership.Version,
		Healthy:    r.isHealthy(r.self.Id),
		Member:     r.isMember(),
		Id:         r.self.Id,
		Leaving:    r.leaving,
	}
	if header.To != r.self.Id {
		return response
	}
	if header.Membership != r.membership.Version {
		r.offerMembership(header.From, header.Membership)
		return response
	}
	p := r.peers[header.From.Id]
	if p == nil || header.NotReceiving {
		return response
	}
	r.recordContact(p, request.Healthy, header.Leaving)
	for _, watermark := range request.Watermarks {
		r.handleWatermark(header.From.Id, watermark, response)
	}
	return response
}

// handleWatermark processes the commit watermark that the sender reports for a shard
// it owns. It renews the sender's lease if this member voted for the sender, and
// reports the shard as superseded if this member voted in a higher epoch.
func (r *Replica) handleWatermark(senderID string, watermark *meshpb.Watermark, response *meshpb.RenewLeasesResponse) {
	s := r.shards[watermark.Shard]
	if watermark.Epoch == s.log.epoch {
		s.catchUp.advance(watermark.Version, s.log.synced, r.now())
	}
	switch {
	case watermark.Epoch <= s.lease.endedEpoch:
	case watermark.Epoch == s.vote.epoch && s.vote.candidate == senderID:
		r.grantLease(s)
		response.Granted = append(response.Granted, watermark.Shard)
		r.membershipChange.recordReplicated(s, watermark.Committed)
	case watermark.Epoch > s.vote.epoch:
		s.lease.ownerHint, s.lease.ownerHintUntil = senderID, r.now()+r.options.ownerHintDuration()
		s.election.epoch = max(s.election.epoch, watermark.Epoch)
	case watermark.Epoch < s.vote.epoch:
		response.Superseded = append(response.Superseded, &meshpb.Watermark{Shard: watermark.Shard, Epoch: s.vote.epoch})
	}
}

// advance records that the owner has committed all entries up to version. Entries
// that were committed at the previous heartbeat have had time to arrive: if they are
// synced here, the replica is caught up.
func (c *catchUpState) advance(version, synced uint64, now time.Duration) {
	if synced >= min(c.watermark, version) {
		c.caughtUpAt = now
	}
	c.watermark = version
}
