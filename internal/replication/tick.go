package replication

import "time"

// tickState tracks how regularly Tick is called, to detect a lack of CPU time.
type tickState struct {
	lastTick time.Duration
	// lastLateTick is the time of the last tick that came more than HeartbeatInterval
	// after the one before.
	lastLateTick time.Duration
}

// Tick performs all time-driven work: heartbeats, expiry of leases and elections,
// replication to lagging peers, ownership transfers and membership changes. It must be
// called several times per heartbeat interval.
func (r *Replica) Tick() {
	r.recordTick()
	r.retryDisk()
	r.expireLearners()
	if r.learner {
		r.sendJoinRequests()
		return
	}
	r.tickHeartbeat()
	for _, s := range r.shards {
		r.tickShard(s)
	}
	r.replicateToLagging()
	r.startDueElections()
	r.retryVoteRequests()
	r.manageMembership()
}

// recordTick records the time of a tick. A late tick means that the process lacked CPU
// time.
func (r *Replica) recordTick() {
	now := r.now()
	pause := now - r.tickState.lastTick
	if r.tickState.lastTick > 0 && pause > r.options.HeartbeatInterval {
		r.tickState.lastLateTick = now
	}
	if r.tickState.lastTick > 0 && pause > r.options.LeaseDuration {
		r.options.Log.Info("resumed after a pause", "duration", pause)
	}
	r.tickState.lastTick = now
}

func (r *Replica) tickHeartbeat() {
	now := r.now()
	isolated := !r.reachesQuorum()
	if isolated {
		r.lastWithoutQuorum = now
	}
	sinceLast := now - r.lastHeartbeat
	if r.heartbeatDue || sinceLast >= r.options.HeartbeatInterval || isolated && sinceLast >= r.options.isolatedHeartbeatInterval() {
		r.lastHeartbeat = now
		r.sendHeartbeats()
		r.publishContacts()
	}
}

func (r *Replica) tickShard(s *shard) {
	switch s.role {
	case owner:
		r.tickOwner(s)
	case transferring:
		r.tickTransferring(s)
	case candidate:
		r.tickCandidate(s)
	}
}

func (r *Replica) tickOwner(s *shard) {
	r.renewLease(s)
	r.resolvePending(s)
	now := r.now()
	if !s.ownership.serving && now-s.roleSince > r.options.takeoverTimeout() {
		r.stepDown(s, s.log.epoch, "takeover timed out")
		return
	}
	if s.ownership.serving && now > max(s.ownership.leaseUntil, s.roleSince)+r.options.quorumLossTimeout() {
		r.stepDown(s, s.log.epoch, "no lease from a quorum")
		return
	}
	r.maybeTransfer(s)
}

func (r *Replica) tickTransferring(s *shard) {
	r.resolvePending(s)
	now := r.now()
	if now-s.roleSince > r.options.transferTimeout() {
		s.role, s.roleSince = owner, now
	}
}

func (r *Replica) tickCandidate(s *shard) {
	elapsed := r.now() - s.roleSince
	if elapsed > r.options.electionTimeout() || s.election.preVote && elapsed > r.options.preVoteTimeout() {
		r.stepDown(s, s.election.epoch, "election timed out")
	}
}
