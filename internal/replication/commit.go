package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// pendingCall is a call of Execute whose outcome isn't known yet.
type pendingCall struct {
	// version must be committed for the call to succeed, under the same epoch.
	version uint64
	epoch   uint64
	// changed tells that the call made an entry.
	changed  bool
	deadline time.Duration
	callback func(error)
}

// fail says what is promised of a call that didn't succeed.
func (c pendingCall) fail() {
	if c.changed {
		c.callback(ErrOutcomeUnknown)
		return
	}
	c.callback(ErrUnavailable)
}

// Execute runs function on the shard's content if this member serves the shard.
// The change that function returns, if any, is applied and replicated. callback
// is called with nil once all that function saw and did is committed, and was
// read under the lease; else with ErrNotOwner, ErrUnavailable or
// ErrOutcomeUnknown, after RequestTimeout at the latest.
func (r *Replica) Execute(shard int, function func(content StateMachine, now time.Duration) *meshpb.Change, callback func(error)) {
	s := r.shards[shard]
	now := r.now()
	if s.role != owner {
		callback(ErrNotOwner)
		return
	}
	if !s.ownership.serving || now >= s.ownership.leaseUntil {
		callback(ErrUnavailable)
		return
	}
	change := function(s.stateMachine, now)
	if change != nil {
		r.propose(s, change)
	}
	s.ownership.pending = append(s.ownership.pending, pendingCall{
		version:  s.log.version,
		epoch:    s.log.epoch,
		changed:  change != nil,
		deadline: now + r.options.RequestTimeout,
		callback: callback,
	})
	r.resolvePending(s)
}

// propose makes an entry of the change, at the owner, and replicates it.
func (r *Replica) propose(s *shard, change *meshpb.Change) {
	entry := &meshpb.Entry{Shard: uint32(s.id), Epoch: s.log.epoch, Version: s.log.version + 1, Change: change}
	s.append(entry, r.now())
	r.reportEntryProgress(ProgressProposed, s, entry.Epoch, entry.Version, change)
	r.persist(&meshpb.Record{Entry: entry}, func(err error) {
		if err == nil && s.log.epoch == entry.Epoch && s.log.synced+1 >= entry.Version {
			s.log.recordSynced(entry.Version)
			r.reportEntryProgress(ProgressSynced, s, entry.Epoch, entry.Version, change)
			r.advanceCommit(s)
		}
	})
	if s.ownership.commit+1 >= s.log.version {
		s.ownership.uncommittedSince = r.now()
	}
	for _, p := range r.preferredPeers {
		r.replicateTo(p)
	}
}

// resolvePending ends the calls whose outcome is known, in their order.
func (r *Replica) resolvePending(s *shard) {
	now := r.now()
	for len(s.ownership.pending) > 0 {
		call := s.ownership.pending[0]
		lost := !s.isOwned() || s.log.epoch != call.epoch
		done := s.ownership.commit >= call.version && (call.changed || now < s.ownership.leaseUntil)
		switch {
		case lost:
			s.ownership.pending = s.ownership.pending[1:]
			call.fail()
		case done:
			s.ownership.pending = s.ownership.pending[1:]
			call.callback(nil)
		case now >= call.deadline:
			s.ownership.pending = s.ownership.pending[1:]
			call.fail()
		default:
			return
		}
	}
}

// advanceCommit works out, at the owner, up to where a majority holds the shard.
func (r *Replica) advanceCommit(s *shard) {
	if !s.isOwned() {
		return
	}
	commit := quorumValue(r.syncedVersions(s), r.quorum())
	if commit < s.ownership.minimumCommit {
		return
	}
	if !s.ownership.serving {
		r.beginServing(s)
	}
	if s.ownership.replicatedMembership != r.membership.Version {
		s.ownership.replicatedMembership = r.membership.Version
		r.membershipChange.recordReplicated(s, r.membership.Version)
		r.heartbeatDue = true
	}
	if commit > s.ownership.commit {
		s.ownership.commit = commit
		r.reportEntryProgress(ProgressCommitted, s, s.log.epoch, commit, nil)
		r.resolvePending(s)
		if r.options.OnCommit != nil {
			r.options.OnCommit(s.id)
		}
	}
	if s.role == transferring {
		r.maybeCompleteTransfer(s)
	}
}

// syncedVersions are the versions up to which the members have the shard on disk
// under this owner's epoch.
func (r *Replica) syncedVersions(s *shard) []uint64 {
	versions := make([]uint64, 0, len(r.membership.Members))
	for _, m := range r.membership.Members {
		var version uint64
		if m.Id == r.self.Id {
			version = s.log.synced
		} else if p := r.peers[m.Id]; p != nil && p.progress[s.id].acked.epoch == s.log.epoch {
			version = p.progress[s.id].acked.version
		}
		versions = append(versions, version)
	}
	return versions
}

// beginServing lets a new owner take calls: a majority holds what its epoch began
// with.
func (r *Replica) beginServing(s *shard) {
	s.ownership.serving = true
	r.options.Log.Info("became shard owner", "shard", s.id, "epoch", s.log.epoch, "version", s.ownership.minimumCommit)
	r.renewLease(s)
	if r.options.OnOwnershipChange != nil {
		r.options.OnOwnershipChange(s.id, true, s.log.epoch)
	}
}
