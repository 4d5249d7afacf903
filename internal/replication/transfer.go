package replication

import "corkcove/internal/rpc/meshpb"

// maxSuccessorLag is the maximum number of entries that the preferred owner's replica
// may lack when a transfer to it begins. The shard accepts no calls while the replica
// catches up.
const maxSuccessorLag = 64

// Leave begins the graceful departure of this member: it transfers the ownership of all
// its shards and asks to be replaced by a learner, if there is one. LeaveComplete
// reports when that is finished.
func (r *Replica) Leave() { r.leaving, r.heartbeatDue = true, true }

// LeaveComplete reports whether a leaving member may exit: it owns no shards and, if a
// learner was available to replace it, has been removed from the membership, and the
// remaining members hold all shards.
func (r *Replica) LeaveComplete() bool {
	for _, s := range r.shards {
		if s.isOwned() {
			return false
		}
	}
	if r.join.leaveConfirmed {
		return true
	}
	return r.isMember() && len(r.learners) == 0 && len(r.membership.Members) <= int(r.membership.Size)
}

// maybeTransfer begins a transfer if this member cannot remain the shard's owner, or
// if another member is the preferred owner.
func (r *Replica) maybeTransfer(s *shard) {
	if !s.ownership.serving {
		return
	}
	successor := ""
	if r.mustTransfer(s) {
		successor = r.healthySuccessor(s)
	} else if r.mayTransferToPreferred(s) {
		successor = r.preferredOwner(s.id)
	}
	if successor != "" {
		r.beginTransfer(s, successor)
	}
}

// mustTransfer reports whether this member must give up the shard: it is leaving, its
// disk failed, or its disk is stalled. A stalled disk does not count until the
// ownership is older than minimumStalledOwnership, because a new owner writes a lot at
// first.
func (r *Replica) mustTransfer(s *shard) bool {
	stalled := r.diskStalled() && r.now()-s.ownership.startedAt > r.options.minimumStalledOwnership()
	return r.leaving || r.disk.failed || stalled
}

// healthySuccessor returns the id of the first healthy other member in the shard's
// order of preference, or "" if there is none.
func (r *Replica) healthySuccessor(s *shard) string {
	for _, id := range r.membersByPreference(s.id) {
		if id != r.self.Id && r.isHealthy(id) {
			return id
		}
	}
	return ""
}

// mayTransferToPreferred reports whether the shard can move to its preferred owner: the
// membership is complete, this member has owned the shard for minimumOwnership, and the
// preferred owner is another member that has been healthy for minimumSuccessorHealthyTime and
// has almost caught up. Only one shard is transferred at a time.
func (r *Replica) mayTransferToPreferred(s *shard) bool {
	if len(r.membership.Members) < int(r.membership.Size) {
		return false
	}
	now := r.now()
	preferred := r.preferredOwner(s.id)
	if preferred == "" || preferred == r.self.Id || now-s.roleSince < r.options.minimumOwnership() {
		return false
	}
	p := r.peers[preferred]
	acked := p.progress[s.id].acked
	if now-p.healthySince < r.options.minimumSuccessorHealthyTime() || acked.epoch != s.log.epoch || acked.version+maxSuccessorLag < s.log.version {
		return false
	}
	for _, other := range r.shards {
		if other.role == transferring {
			return false
		}
	}
	return true
}

// beginTransfer stops accepting calls for the shard, so that the successor can catch up.
func (r *Replica) beginTransfer(s *shard, successor string) {
	s.role, s.roleSince = transferring, r.now()
	s.ownership.successor = successor
	if p := r.peers[successor]; p != nil {
		r.replicateTo(p)
	}
	r.maybeCompleteTransfer(s)
}

// maybeCompleteTransfer gives up the ownership and announces the successor to all
// members, once everything is committed, the successor's replica holds all of it, and
// every pending call has been answered.
func (r *Replica) maybeCompleteTransfer(s *shard) {
	successor := s.ownership.successor
	p := r.peers[successor]
	if p == nil || s.ownership.commit < s.log.version {
		return
	}
	acked := p.progress[s.id].acked
	if acked.epoch != s.log.epoch || acked.version < s.log.version {
		return
	}
	r.resolvePending(s)
	if len(s.ownership.pending) > 0 {
		return
	}
	r.options.Log.Info("transferred shard ownership", "shard", s.id, "epoch", s.log.epoch, "peer", successor)
	watermarks := []*meshpb.Watermark{{Shard: uint32(s.id), Epoch: s.log.epoch}}
	r.stepDown(s, s.log.epoch, "ownership transferred")
	s.lease.grantedUntil, s.election.notBefore = 0, r.now()+r.options.predecessorBackoff()
	for _, p := range r.voters {
		request := &meshpb.TransferOwnershipRequest{Watermarks: watermarks, Successor: successor, Header: r.header(p)}
		r.transport.TransferOwnership(p.member, request, func(*meshpb.TransferOwnershipResponse) {})
	}
}

// HandleTransferOwnership processes an owner's notice that it has given up shards. This
// member ends the leases that it granted to the owner. If it is the successor, it starts
// elections without a pre-vote; otherwise it starts none for nonSuccessorBackoff.
func (r *Replica) HandleTransferOwnership(request *meshpb.TransferOwnershipRequest) *meshpb.TransferOwnershipResponse {
	header := request.Header
	if header.To != r.self.Id || header.Membership != r.membership.Version || !r.isMember() {
		return &meshpb.TransferOwnershipResponse{}
	}
	var toElect []*shard
	for _, watermark := range request.Watermarks {
		s := r.shards[watermark.Shard]
		if s.vote != (vote{watermark.Epoch, header.From.Id}) {
			continue
		}
		s.lease.grantedUntil, s.lease.endedEpoch = 0, watermark.Epoch
		if request.Successor != r.self.Id {
			s.election.notBefore = r.now() + r.options.nonSuccessorBackoff()
		} else if s.role == follower && !r.disk.failed {
			toElect = append(toElect, s)
		}
	}
	r.startElections(toElect)
	return &meshpb.TransferOwnershipResponse{Ok: true}
}
