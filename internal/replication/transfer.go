package replication

import "corkcove/internal/rpc/meshpb"

// maxSuccessorLag is how many entries a preferred owner's replica may lack for a
// transfer to begin: it must catch up while no calls are taken.
const maxSuccessorLag = 64

// Leave begins to transfer all that this member owns. Where a learner waits for a
// place, it is given this member's before LeaveComplete.
func (r *Replica) Leave() { r.leaving, r.heartbeatDue = true, true }

// LeaveComplete tells that a member that leaves owns nothing any more and, if a
// learner could take its place, that this has happened.
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

// maybeTransfer begins a transfer if this member can't go on as the shard's owner,
// or if another one is preferred.
func (r *Replica) maybeTransfer(s *shard) {
	if !s.ownership.serving {
		return
	}
	successor := ""
	if r.mustTransfer(s) {
		successor = r.firstHealthyOther(s)
	} else if r.mayTransferToPreferred(s) {
		successor = r.preferredOwner(s.id)
	}
	if successor != "" {
		r.beginTransfer(s, successor)
	}
}

func (r *Replica) mustTransfer(s *shard) bool {
	stalled := r.diskStalled() && r.now()-s.ownership.began > r.options.minimumStalledOwnership()
	return r.leaving || r.disk.failed || stalled
}

// firstHealthyOther is the id of the member that comes next in the order for the
// shard, empty if none can own it.
func (r *Replica) firstHealthyOther(s *shard) string {
	for _, id := range r.membersByPreference(s.id) {
		if id != r.self.Id && r.isHealthy(id) {
			return id
		}
	}
	return ""
}

// mayTransferToPreferred tells that the preferred owner is another, healthy for
// long enough, and nearly caught up. One shard is transferred at a time.
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

// beginTransfer stops taking calls, so that the successor can catch up.
func (r *Replica) beginTransfer(s *shard, successor string) {
	s.role, s.roleSince = transferring, r.now()
	s.ownership.successor = successor
	if p := r.peers[successor]; p != nil {
		r.replicateTo(p)
	}
	r.maybeCompleteTransfer(s)
}

// maybeCompleteTransfer gives up the shard and names the successor to all, once
// the successor holds all and every call has been answered.
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
	ended := []*meshpb.Watermark{{Shard: uint32(s.id), Epoch: s.log.epoch}}
	r.stepDown(s, s.log.epoch, "ownership transferred")
	s.lease.grantedUntil, s.election.notBefore = 0, r.now()+r.options.predecessorBackoff()
	for _, p := range r.voters {
		request := &meshpb.TransferOwnershipRequest{Watermarks: ended, Successor: successor, Header: r.header(p)}
		r.transport.TransferOwnership(p.member, request, func(*meshpb.TransferOwnershipResponse) {})
	}
}

// HandleTransferOwnership takes the word of an owner that it has given up shards.
// The leases granted to it end; if this member is the successor, it becomes a
// candidate without a pre-vote.
func (r *Replica) HandleTransferOwnership(request *meshpb.TransferOwnershipRequest) *meshpb.TransferOwnershipResponse {
	header := request.Header
	if header.To != r.self.Id || header.Membership != r.membership.Version || !r.isMember() {
		return &meshpb.TransferOwnershipResponse{}
	}
	var offered []*shard
	for _, ended := range request.Watermarks {
		s := r.shards[ended.Shard]
		if s.vote != (vote{ended.Epoch, header.From.Id}) {
			continue
		}
		s.lease.grantedUntil, s.lease.endedEpoch = 0, ended.Epoch
		if request.Successor != r.self.Id {
			s.election.notBefore = r.now() + r.options.nonSuccessorBackoff()
		} else if s.role == follower && !r.disk.failed {
			offered = append(offered, s)
		}
	}
	r.startElections(offered)
	return &meshpb.TransferOwnershipResponse{Ok: true}
}
