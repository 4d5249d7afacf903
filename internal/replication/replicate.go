package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// maxReplicateBytes is the encoded size, in bytes, above which nothing more is added
// to a Replicate request. The last state, epoch change or entry may exceed it, since
// none of them is split.
const maxReplicateBytes = 256 << 10

// unknownPosition is a position that no log contains. A peer for which it is recorded is
// sent the full state of the shard, because no epoch change can start from it.
var unknownPosition = position{version: 1 << 63}

// replicateToLagging replicates to all members and learners, to each of them once per
// HeartbeatInterval, or on every tick while a commit is slow. Only the members that
// rankPeers prefers are sent each entry immediately; the others would fall behind.
func (r *Replica) replicateToLagging() {
	now := r.now()
	slow := slices.ContainsFunc(r.shards, r.commitIsSlow)
	for _, p := range r.replicationTargets() {
		if slow || now-p.lastReplicate >= r.options.HeartbeatInterval {
			r.replicateTo(p)
		}
	}
	r.rankPeers()
}

// commitIsSlow reports whether the owner of s should replicate to more members than
// the preferred peers: during a takeover or a transfer, and when an entry has been
// uncommitted for longer than slowReplicationThreshold.
func (r *Replica) commitIsSlow(s *shard) bool {
	if !s.isOwned() {
		return false
	}
	if s.role == transferring || !s.ownership.serving {
		return true
	}
	return s.ownership.commit < s.log.version && r.now()-s.ownership.uncommittedSince > r.options.slowReplicationThreshold()
}

// replicateTo sends the peer what its replicas lack. It does nothing while a request
// to the peer is in flight, during the backoff after a failed or rejected request, and
// on a learner.
func (r *Replica) replicateTo(p *peer) {
	now := r.now()
	if p.replicateInFlight || now < p.replicateNotBefore || r.learner {
		return
	}
	p.lastReplicate = now
	request, complete := r.buildReplicateRequest(p)
	if len(request.States)+len(request.Entries)+len(request.EpochChanges) == 0 {
		return
	}
	request.Header = r.header(p)
	p.replicateInFlight = true
	r.transport.Replicate(p.member, request, func(response *meshpb.ReplicateResponse) {
		p.replicateInFlight = false
		if response == nil {
			p.replicateNotBefore = r.now() + replicateRetryInterval
			return
		}
		if !response.Member || response.Membership != r.membership.Version {
			p.replicateNotBefore = r.now() + replicateRetryInterval
			r.offerMembership(p.member, response.Membership)
			return
		}
		r.recordContact(p, response.Healthy, p.leaving)
		more := !complete
		for _, ack := range response.Acks {
			if r.handleReplicateAck(p, ack, now) {
				more = true
			}
		}
		// With NotReceiving set the peer processed none of the request.
		if !response.NotReceiving {
			r.recordIgnoredEpochChanges(p, request, response)
		}
		if more || slices.Contains(r.preferredPeers, p) {
			r.replicateTo(p)
		}
	})
}

// buildReplicateRequest collects what the peer's replicas of the owned shards lack.
// complete is false if maxReplicateBytes left some of it out.
func (r *Replica) buildReplicateRequest(p *peer) (request *meshpb.ReplicateRequest, complete bool) {
	batch := replicateBatch{request: &meshpb.ReplicateRequest{}}
	for _, s := range r.shards {
		if !s.isOwned() {
			continue
		}
		if batch.full() || !r.addShardUpdate(&batch, s, &p.progress[s.id]) {
			return batch.request, false
		}
	}
	return batch.request, true
}

// replicateBatch is a Replicate request under construction and its size so far.
type replicateBatch struct {
	request *meshpb.ReplicateRequest
	bytes   int
}

func (b *replicateBatch) full() bool { return b.bytes > maxReplicateBytes }

func (b *replicateBatch) addState(state *meshpb.ShardState) {
	b.bytes += proto.Size(state)
	b.request.States = append(b.request.States, state)
}

func (b *replicateBatch) addEpochChange(change *meshpb.EpochChange) {
	b.bytes += proto.Size(change)
	b.request.EpochChanges = append(b.request.EpochChanges, change)
}

// addEntries adds entries until the batch is full. It reports whether it added all.
func (b *replicateBatch) addEntries(entries []*meshpb.Entry) bool {
	for _, entry := range entries {
		if b.full() {
			return false
		}
		b.bytes += proto.Size(entry)
		b.request.Entries = append(b.request.Entries, entry)
	}
	return true
}

// addShardUpdate adds what a replica of the shard lacks: an epoch change if the replica
// is at another epoch, followed by the entries after it; or the full state if the log
// no longer holds these entries. It reports whether all of it was added.
func (r *Replica) addShardUpdate(batch *replicateBatch, s *shard, replica *progress) bool {
	version := replica.acked.version
	if replica.acked.epoch != s.log.epoch {
		change := s.epochChangeFrom(replica.assumedPosition(s))
		if change == nil {
			batch.addState(r.snapshot(s))
			return true
		}
		batch.addEpochChange(change)
		version = s.ownership.startVersion
	}
	entries, ok := s.log.entriesAfter(position{s.log.epoch, version})
	if !ok {
		batch.addState(r.snapshot(s))
		return true
	}
	return batch.addEntries(entries)
}

// assumedPosition returns the position that the replica reported to the owner of the
// current epoch. Without a report it returns the end of the previous epoch, which is
// what an up-to-date replica holds.
func (p *progress) assumedPosition(s *shard) position {
	if p.reportedInEpoch == s.log.epoch {
		return p.reported
	}
	return s.log.lastEpochEnd()
}

// setReported records the position that the replica reported to the owner of the
// shard's current epoch.
func (p *progress) setReported(s *shard, have position) {
	p.reported, p.reportedInEpoch = have, s.log.epoch
}

// handleReplicateAck processes the peer's acknowledgement for one shard. sentAt is the
// time at which the request was sent; the lease that the peer granted counts from then.
// more reports whether to replicate again immediately.
func (r *Replica) handleReplicateAck(p *peer, ack *meshpb.ReplicateAck, sentAt time.Duration) (more bool) {
	s := r.shards[ack.Shard]
	if ack.Promised >= s.vote.epoch && ack.Promised > 0 && s.isOwned() {
		r.stepDown(s, ack.Promised, "a peer voted for another owner")
		return false
	}
	if ack.Epoch != s.log.epoch || !s.isOwned() {
		return false
	}
	replica := &p.progress[s.id]
	if ack.Gap {
		replica.acked = position{}
		replica.setReported(s, position{ack.HaveEpoch, ack.HaveVersion})
		if ack.Promised > 0 {
			p.replicateNotBefore = r.now() + r.options.refusedReplicateBackoff()
		}
		return ack.Promised == 0
	}
	replica.acked = position{ack.Epoch, ack.Version}
	replica.leaseStart = max(replica.leaseStart, sentAt)
	r.advanceCommit(s)
	r.renewLease(s)
	return false
}

// recordIgnoredEpochChanges makes later requests contain the full state of each shard
// whose epoch change the peer ignored, after a backoff. A member of an earlier release
// ignores epoch changes because it does not know the message.
func (r *Replica) recordIgnoredEpochChanges(p *peer, request *meshpb.ReplicateRequest, response *meshpb.ReplicateResponse) {
	for _, change := range request.EpochChanges {
		if !epochChangeIgnored(change, response.Acks) {
			continue
		}
		if s := r.shards[change.Shard]; change.Epoch == s.log.epoch {
			p.progress[s.id].setReported(s, unknownPosition)
			p.replicateNotBefore = r.now() + r.options.refusedReplicateBackoff()
		}
	}
}

// epochChangeIgnored reports whether the acknowledgements show that the peer did not
// process the epoch change: no acknowledgement is for its shard, or the one that is
// reports missing entries although the replica is at the position from which the change
// starts.
func epochChangeIgnored(change *meshpb.EpochChange, acks []*meshpb.ReplicateAck) bool {
	i := slices.IndexFunc(acks, func(ack *meshpb.ReplicateAck) bool { return ack.Shard == change.Shard })
	if i < 0 {
		return true
	}
	ack := acks[i]
	return ack.Gap && ack.Promised == 0 && ack.HaveEpoch == change.FromEpoch && ack.HaveVersion == change.FromVersion
}
