package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// DiskHealthy tells that the disk took the last record.
func (r *Replica) DiskHealthy() bool { return !r.disk.failed }

// Membership is the membership that this process goes by; the caller must not
// change it.
func (r *Replica) Membership() *meshpb.Membership { return r.membership }

// Self is this process as the membership names it; the caller must not change it.
func (r *Replica) Self() *meshpb.Member { return r.self }

// StateMachine is the content of a shard as far as this member has it, which may
// be behind, or not committed.
func (r *Replica) StateMachine(shard int) StateMachine { return r.shards[shard].stateMachine }

// IsLearner tells that this process is outside the membership.
func (r *Replica) IsLearner() bool { return !r.isMember() }

// CommittedVersion is the last version of the shard that its owner knows to be
// committed.
func (r *Replica) CommittedVersion(shard int) uint64 { return r.shards[shard].ownership.commit }

// Epoch is the epoch of this member's replica of the shard.
func (r *Replica) Epoch(shard int) uint64 { return r.shards[shard].log.epoch }

// PromisedEpoch is the epoch in which this member last voted for the shard.
func (r *Replica) PromisedEpoch(shard int) uint64 { return r.shards[shard].vote.epoch }

// LeaseGranted tells whether a lease that this member granted to the owner of the
// shard under that epoch runs now.
func (r *Replica) LeaseGranted(shard int, epoch uint64) bool {
	s := r.shards[shard]
	return s.vote.epoch == epoch && r.now() < s.lease.grantedUntil
}

// OwnedEpoch returns the epoch of this member's replica of the shard, and whether
// this member serves the shard under a lease now.
func (r *Replica) OwnedEpoch(shard int) (epoch uint64, owned bool) {
	s := r.shards[shard]
	return s.log.epoch, s.role == owner && s.ownership.serving && r.now() < s.ownership.leaseUntil
}

// Owner returns the member that this one believes to own the shard, false if it
// knows none.
func (r *Replica) Owner(shard int) (*meshpb.Member, bool) {
	s := r.shards[shard]
	if s.isOwned() {
		return r.self, true
	}
	id := s.vote.candidate
	if r.now() < s.lease.hintUntil {
		id = s.lease.hint
	} else if r.now() >= s.lease.grantedUntil {
		return nil, false
	}
	if id == r.self.Id || id == "" || r.learner {
		return nil, false
	}
	for _, m := range r.membership.Members {
		if m.Id == id {
			return m, true
		}
	}
	return nil, false
}

// HoldsMasterLease tells whether this member serves the master shard under a
// lease now. It may be called on any goroutine.
func (r *Replica) HoldsMasterLease() bool {
	return int64(r.now()) < r.published.masterLeaseUntil.Load()
}

// MasterEpoch is the epoch under which this member last served the master shard.
// It may be called on any goroutine.
func (r *Replica) MasterEpoch() uint64 { return r.published.masterEpoch.Load() }

// InContact tells whether this member has heard the one at address of late. It
// may be called on any goroutine.
func (r *Replica) InContact(address string) bool {
	contacts := r.published.contacts.Load()
	return contacts != nil && (*contacts)[address]
}

func (r *Replica) publishContacts() {
	contacts := map[string]bool{}
	for _, p := range r.voters {
		if r.inContact(p) {
			contacts[p.member.Addr] = true
		}
	}
	r.published.contacts.Store(&contacts)
}

// ShardStatuses tells what this member knows of each shard; of those it owns, also
// how far the replicas are, and how many members may be lost with the rest still
// a majority that holds all that is committed.
func (r *Replica) ShardStatuses() []*meshpb.ShardStatus {
	var statuses []*meshpb.ShardStatus
	for _, s := range r.shards {
		status := &meshpb.ShardStatus{Shard: uint32(s.id), Epoch: s.log.epoch, Version: s.log.version}
		if m, ok := r.Owner(s.id); ok {
			status.Owner = m.Addr
		}
		if s.isOwned() {
			r.addOwnerStatus(s, status)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (r *Replica) addOwnerStatus(s *shard, status *meshpb.ShardStatus) {
	status.Owned = true
	status.Committed = s.ownership.commit
	status.LeaseMs = int64(max(s.ownership.leaseUntil-r.now(), 0) / time.Millisecond)
	complete := 1
	for _, p := range r.replicationTargets() {
		replica := r.replicaStatus(s, p)
		acked := p.progress[s.id].acked.version
		if replica.Reached && replica.Known && acked >= s.ownership.commit && !replica.Learner {
			complete++
		}
		status.Copies = append(status.Copies, replica)
	}
	status.MayLose = int32(complete - r.quorum())
}

func (r *Replica) replicaStatus(s *shard, p *peer) *meshpb.ReplicaStatus {
	acked := p.progress[s.id].acked
	status := &meshpb.ReplicaStatus{
		Addr:    p.member.Addr,
		Learner: !r.isVoter(p),
		Reached: r.inContact(p),
		Sound:   p.healthy,
		Leaving: p.leaving,
		Known:   acked.epoch == s.log.epoch,
		Behind:  s.log.version,
	}
	if status.Known {
		status.Behind = s.log.version - min(acked.version, s.log.version)
	}
	return status
}
