package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// maxReplicateBytes is the size from which on no more goes into a request. One
// state or entry may be larger.
const maxReplicateBytes = 256 << 10

// unknownPosition is what no replica holds, so that the full state goes.
var unknownPosition = position{version: 1 << 63}

// replicateToLagging sends entries to the peers that didn't get them at once:
// those that a majority doesn't need, at intervals, and all if a majority is slow.
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

// commitIsSlow tells that an owned shard waits for more replicas.
func (r *Replica) commitIsSlow(s *shard) bool {
	if !s.isOwned() {
		return false
	}
	if s.role == transferring || !s.ownership.serving {
		return true
	}
	return s.ownership.commit < s.log.version && r.now()-s.ownership.uncommittedSince > r.options.slowReplicationThreshold()
}

// replicateTo sends the peer what its replicas lack, unless a request is under
// way.
func (r *Replica) replicateTo(p *peer) {
	now := r.now()
	if p.replicateInFlight || now < p.replicateNotBefore || r.learner {
		return
	}
	p.lastReplicate = now
	request, complete := r.missingAt(p)
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
		if !response.NotReceiving {
			r.recordRefusedEpochChanges(p, request, response)
		}
		if more || slices.Contains(r.preferredPeers, p) {
			r.replicateTo(p)
		}
	})
}

// missingAt collects what the peer's replicas of the owned shards lack, and tells
// whether all of it went in.
func (r *Replica) missingAt(p *peer) (request *meshpb.ReplicateRequest, complete bool) {
	batch := replicateBatch{request: &meshpb.ReplicateRequest{}}
	for _, s := range r.shards {
		if !s.isOwned() {
			continue
		}
		if batch.full() || !r.addMissing(&batch, s, &p.progress[s.id]) {
			return batch.request, false
		}
	}
	return batch.request, true
}

// replicateBatch is a request that is being filled.
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

// addEntries tells whether all entries went in.
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

// addMissing adds what a replica of the shard lacks: what takes it to this epoch if
// it is at another, then the entries that follow; or the full state where the log
// doesn't reach back. It tells whether all of it went in.
func (r *Replica) addMissing(batch *replicateBatch, s *shard, replica *progress) bool {
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

// assumedPosition is what the replica reported to the owner of this epoch, or else
// most probably holds: all of the epoch before.
func (p *progress) assumedPosition(s *shard) position {
	if p.reportedTo == s.log.epoch {
		return p.reported
	}
	return s.log.lastEpochEnd()
}

// report notes what the replica holds, as reported to the owner of the shard's
// epoch.
func (p *progress) report(s *shard, have position) {
	p.reported, p.reportedTo = have, s.log.epoch
}

// handleReplicateAck takes in what the peer says of one shard that was replicated
// to it, and tells whether there is more to replicate at once.
func (r *Replica) handleReplicateAck(p *peer, ack *meshpb.ReplicateAck, sentAt time.Duration) (more bool) {
	s := r.shards[ack.Shard]
	if ack.Promised >= s.vote.epoch && ack.Promised > 0 && s.isOwned() {
		r.stepDown(s, ack.Promised, "a replica follows another owner")
		return false
	}
	if ack.Epoch != s.log.epoch || !s.isOwned() {
		return false
	}
	replica := &p.progress[s.id]
	if ack.Gap {
		replica.acked = position{}
		replica.report(s, position{ack.HaveEpoch, ack.HaveVersion})
		if ack.Promised > 0 {
			p.replicateNotBefore = r.now() + r.options.refusedReplicateBackoff()
		}
		return ack.Promised == 0
	}
	replica.acked = position{ack.Epoch, ack.Version}
	replica.leaseFrom = max(replica.leaseFrom, sentAt)
	r.advanceCommit(s)
	r.renewLease(s)
	return false
}

// recordRefusedEpochChanges notes the epoch changes of which the peer said nothing,
// or that its replica would go on from just there: it knows no epoch changes, as a
// member of an earlier release, and gets full states.
func (r *Replica) recordRefusedEpochChanges(p *peer, request *meshpb.ReplicateRequest, response *meshpb.ReplicateResponse) {
	for _, change := range request.EpochChanges {
		if !refused(change, response.Acks) {
			continue
		}
		if s := r.shards[change.Shard]; change.Epoch == s.log.epoch {
			p.progress[s.id].report(s, unknownPosition)
			p.replicateNotBefore = r.now() + r.options.refusedReplicateBackoff()
		}
	}
}

func refused(change *meshpb.EpochChange, acks []*meshpb.ReplicateAck) bool {
	i := slices.IndexFunc(acks, func(ack *meshpb.ReplicateAck) bool { return ack.Shard == change.Shard })
	if i < 0 {
		return true
	}
	ack := acks[i]
	return ack.Gap && ack.Promised == 0 && ack.HaveEpoch == change.FromEpoch && ack.HaveVersion == change.FromVersion
}
