package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// DiskHealthy reports whether the disk accepts writes: none has failed since the last
// successful checkpoint.
func (r *Replica) DiskHealthy() bool { return !r.disk.failed }

// Membership returns the membership that is in use at this process. The caller must
// not modify it.
func (r *Replica) Membership() *meshpb.Membership { return r.membership }

// Self returns this process as a member, with its id. The caller must not modify it.
func (r *Replica) Self() *meshpb.Member { return r.self }

// StateMachine returns the content of this member's replica of the shard. It may lag
// behind the owner's, and may include changes that are not committed.
func (r *Replica) StateMachine(shard int) StateMachine { return r.shards[shard].stateMachine }

// IsLearner reports whether this process is outside the membership.
func (r *Replica) IsLearner() bool { return !r.isMember() }

// CommittedVersion returns the version up to which the shard is committed, as known
// at its owner. At other members it is out of date, or 0.
func (r *Replica) CommittedVersion(shard int) uint64 { return r.shards[shard].ownership.commit }

// Epoch returns the epoch of this member's replica of the shard.
func (r *Replica) Epoch(shard int) uint64 { return r.shards[shard].log.epoch }

// PromisedEpoch returns the epoch of this member's last vote for the shard, 0 if it
// has not voted.
func (r *Replica) PromisedEpoch(shard int) uint64 { return r.shards[shard].vote.epoch }

// LeaseGranted reports whether a lease that this member granted to the owner of the
// shard at that epoch is valid now.
func (r *Replica) LeaseGranted(shard int, epoch uint64) bool {
	s := r.shards[shard]
	return s.vote.epoch == epoch && r.now() < s.lease.grantedUntil
}

// OwnedEpoch returns the epoch of this member's replica of the shard, and whether
// this member now serves the shard under a valid lease.
func (r *Replica) OwnedEpoch(shard int) (epoch uint64, owned bool) {
	s := r.shards[shard]
	return s.log.epoch, s.role == owner && s.ownership.serving && r.now() < s.ownership.leaseUntil
}

// Owner returns the member that this process believes to own the shard, which may be
// itself. It returns false if none is known.
func (r *Replica) Owner(shard int) (*meshpb.Member, bool) {
	s := r.shards[shard]
	if s.isOwned() {
		return r.self, true
	}
	id := s.vote.candidate
	if r.now() < s.lease.ownerHintUntil {
		id = s.lease.ownerHint
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

// HoldsMasterLease reports whether this member now serves the master shard under a
// valid lease. It may be called on any goroutine.
func (r *Replica) HoldsMasterLease() bool {
	return int64(r.now()) < r.published.masterLeaseUntil.Load()
}

// MasterEpoch returns the epoch at which this member last served the master shard, 0
// if it never did. It may be called on any goroutine.
func (r *Replica) MasterEpoch() uint64 { return r.published.masterEpoch.Load() }

// InContact reports whether this member had recently heard from the member at address
// (host:port) when it last sent heartbeats. It may be called on any goroutine.
func (r *Replica) InContact(address string) bool {
	contacts := r.published.contacts.Load()
	return contacts != nil && (*contacts)[address]
}

// publishContacts stores the members that are in contact now for InContact.
func (r *Replica) publishContacts() {
	contacts := map[string]bool{}
	for _, p := range r.voters {
		if r.inContact(p) {
			contacts[p.member.Addr] = true
		}
	}
	r.published.contacts.Store(&contacts)
}

// ShardStatuses returns the status of each shard as known at this member. For the
// shards that it owns, this includes the progress of the other replicas, and how many
// members may be lost while the rest is a majority that holds every committed change.
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

// addOwnerStatus sets the fields of status that only the shard's owner knows.
func (r *Replica) addOwnerStatus(s *shard, status *meshpb.ShardStatus) {
	status.Owned = true
	status.Committed = s.ownership.commit
	status.LeaseMs = int64(max(s.ownership.leaseUntil-r.now(), 0) / time.Millisecond)
	caughtUp := 1 // this member
	for _, p := range r.replicationTargets() {
		replica := r.replicaStatus(s, p)
		acked := p.progress[s.id].acked.version
		if replica.Reached && replica.Known && acked >= s.ownership.commit && !replica.Learner {
			caughtUp++
		}
		status.Copies = append(status.Copies, replica)
	}
	status.MayLose = int32(caughtUp - r.quorum())
}

// replicaStatus returns the status of the peer's replica of an owned shard.
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
