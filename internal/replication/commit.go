package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// pendingCall is a call of Execute whose outcome is not known yet.
type pendingCall struct {
	// version must be committed under epoch for the call to succeed.
	version uint64
	epoch   uint64
	// changed is true if the call appended an entry.
	changed bool
	// deadline is the time at which the call fails, in the time of Options.Now.
	deadline time.Duration
	callback func(error)
}

// fail ends the call with ErrOutcomeUnknown if it appended an entry, which may still
// be committed, and with ErrUnavailable otherwise.
func (c pendingCall) fail() {
	if c.changed {
		c.callback(ErrOutcomeUnknown)
		return
	}
	c.callback(ErrUnavailable)
}

// Execute runs function on the shard's state machine if this member serves the shard,
// then applies and replicates the change that function returns, if any. function must
// not modify content itself.
//
// callback is called once, possibly before Execute returns. It gets nil when everything
// that function read and changed is committed; a call without a change also needs the
// lease to be valid at that time. Otherwise it gets ErrNotOwner or ErrUnavailable, which
// promise that nothing was done, ErrInvalidChange, which promises the same but for any
// member, or ErrOutcomeUnknown. A call that is not decided within RequestTimeout fails
// at the next tick.
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
		if err := r.propose(s, change); err != nil {
			callback(err)
			return
		}
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

// propose appends the change to the owner's log as a new entry and replicates it to the
// preferred peers. If the change cannot be encoded, propose does nothing and returns an
// error that wraps ErrInvalidChange.
func (r *Replica) propose(s *shard, change *meshpb.Change) error {
	entry := &meshpb.Entry{Shard: uint32(s.id), Epoch: s.log.epoch, Version: s.log.version + 1, Change: change}
	// An entry that is applied must be encodable, or it could neither be stored nor sent.
	data, err := encodeRecord(&meshpb.Record{Entry: entry})
	if err != nil {
		r.options.Log.Warn("refused a change that cannot be encoded", "shard", s.id, "error", err)
		return ErrInvalidChange
	}
	s.append(entry, r.now())
	r.reportEntryProgress(ProgressProposed, s, entry.Epoch, entry.Version, change)
	r.persistEncoded(data, func(err error) {
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
	return nil
}

// resolvePending completes, in order, the pending calls whose outcome is known or whose
// deadline has passed. It stops at the first call that is still undecided.
func (r *Replica) resolvePending(s *shard) {
	now := r.now()
	for len(s.ownership.pending) > 0 {
		call := s.ownership.pending[0]
		ownershipLost := !s.isOwned() || s.log.epoch != call.epoch
		succeeded := s.ownership.commit >= call.version && (call.changed || now < s.ownership.leaseUntil)
		switch {
		case ownershipLost:
			s.ownership.pending = s.ownership.pending[1:]
			call.fail()
		case succeeded:
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

// advanceCommit recomputes, at the owner, the version that a majority of the members has
// on disk, and acts on what has become committed: it begins to serve, records the
// membership as replicated, completes pending calls and may complete a transfer.
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

// syncedVersions returns, for each member, the version up to which its replica is on
// disk in the owner's epoch, and 0 for a replica at another epoch.
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

// beginServing makes a new owner accept calls. It is called once a majority holds the
// content that the epoch began with.
func (r *Replica) beginServing(s *shard) {
	s.ownership.serving = true
	r.options.Log.Info("became shard owner", "shard", s.id, "epoch", s.log.epoch, "version", s.ownership.minimumCommit)
	r.renewLease(s)
	if r.options.OnOwnershipChange != nil {
		r.options.OnOwnershipChange(s.id, true, s.log.epoch)
	}
}
