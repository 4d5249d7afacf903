package replication

import "corkcove/internal/rpc/meshpb"

// writeGroup calls a function once a number of asynchronous writes have completed.
type writeGroup struct {
	// outstanding counts the writes in progress, plus one for the code that adds them,
	// which calls done itself after it has added the last one.
	outstanding int
	failed      bool
	// onComplete is called once all writes have completed; failed is true if any failed.
	onComplete func(failed bool)
}

func newWriteGroup(onComplete func(failed bool)) *writeGroup {
	return &writeGroup{outstanding: 1, onComplete: onComplete}
}

// add registers one more write, whose completion must be reported by a call of done.
func (g *writeGroup) add() { g.outstanding++ }

// done reports that a write has completed, with an error if it failed.
func (g *writeGroup) done(err error) {
	g.failed = g.failed || err != nil
	if g.outstanding--; g.outstanding == 0 {
		g.onComplete(g.failed)
	}
}

// incomingReplication is the state of a Replicate request that this member processes.
type incomingReplication struct {
	replica *Replica
	// ownerID is the member id of the sender, the owner of the shards.
	ownerID string
	writes  *writeGroup
	// acks hold one acknowledgement per shard, in the order in which the request first
	// names the shards. ackByShard indexes them by shard.
	acks       []*meshpb.ReplicateAck
	ackByShard map[uint32]*meshpb.ReplicateAck
}

// HandleReplicate processes the states, epoch changes and entries that an owner sends.
// reply is called once everything that the response acknowledges is synced, or with nil
// if a write failed. A request that is not admitted has no effect, and its response
// holds no acknowledgements. A learner processes requests as a member does, but what it
// acknowledges does not count towards a majority.
func (r *Replica) HandleReplicate(request *meshpb.ReplicateRequest, reply func(*meshpb.ReplicateResponse)) {
	header := request.Header
	response := &meshpb.ReplicateResponse{Membership: r.membership.Version, Member: (r.isMember() || !r.leaving) && header.To == r.self.Id}
	if !r.acceptsCall(header, response.Member) {
		reply(response)
		return
	}
	if r.disk.failed {
		reply(nil)
		return
	}
	if p := r.peers[header.From.Id]; p != nil && !header.NotReceiving {
		r.recordContact(p, header.Healthy, header.Leaving)
	}
	response.Healthy = r.isHealthy(r.self.Id)
	if header.NotReceiving {
		// The owner has received no message from this member for longer than a lease,
		// because messages are lost or the owner was suspended. Nothing is applied, but the
		// response tells the owner that messages arrive again.
		response.NotReceiving = true
		reply(response)
		return
	}
	r.processReplicate(request, response, reply)
}

// processReplicate applies an admitted request and replies once its writes are synced.
func (r *Replica) processReplicate(request *meshpb.ReplicateRequest, response *meshpb.ReplicateResponse, reply func(*meshpb.ReplicateResponse)) {
	in := &incomingReplication{replica: r, ownerID: request.Header.From.Id, ackByShard: map[uint32]*meshpb.ReplicateAck{}}
	in.writes = newWriteGroup(func(failed bool) {
		if failed {
			reply(nil)
			return
		}
		in.grantLeases()
		response.Acks = in.acks
		reply(response)
	})
	for _, state := range request.States {
		in.installState(state)
	}
	for _, change := range request.EpochChanges {
		in.applyEpochChange(change)
	}
	for _, entry := range request.Entries {
		in.appendEntry(entry)
	}
	in.writes.done(nil)
}

// grantLeases grants the owner a lease on each acknowledged shard. If this member has
// voted in another epoch while the writes were in progress, it reports a gap instead of
// acknowledging.
func (in *incomingReplication) grantLeases() {
	for _, ack := range in.acks {
		s := in.replica.shards[ack.Shard]
		if !ack.Gap && s.vote == (vote{ack.Epoch, in.ownerID}) {
			in.replica.grantLease(s)
		} else {
			ack.Gap = true
		}
	}
}

// addAck adds the acknowledgement of a shard to the response.
func (in *incomingReplication) addAck(shard uint32, epoch, version uint64) *meshpb.ReplicateAck {
	ack := &meshpb.ReplicateAck{Shard: shard, Epoch: epoch, Version: version}
	in.acks = append(in.acks, ack)
	in.ackByShard[shard] = ack
	return ack
}

// awaitEarlierWrites delays the response until all earlier writes are synced. An
// acknowledgement of what the replica already holds depends on them.
func (in *incomingReplication) awaitEarlierWrites() {
	in.writes.add()
	in.replica.awaitPersisted(in.writes.done)
}

// rejectIfSuperseded reports whether this member may not acknowledge the epoch of ack,
// because it has voted in a later one, or for another candidate in the same one, or
// because the owner has given up that epoch. If so, it makes ack a rejection that holds
// the epoch of the last vote.
func (in *incomingReplication) rejectIfSuperseded(s *shard, ack *meshpb.ReplicateAck) bool {
	if ack.Epoch > s.vote.epoch {
		return false
	}
	if ack.Epoch == s.vote.epoch && s.vote.candidate == in.ownerID && ack.Epoch > s.lease.endedEpoch {
		return false
	}
	ack.Promised, ack.Gap = s.vote.epoch, true
	return true
}

// adoptEpoch votes for the sender if epoch is above that of the last vote, as if the
// sender had requested the vote. The write of the vote is not awaited: the caller
// writes a state or an epoch change next, and Storage completes writes in order.
func (in *incomingReplication) adoptEpoch(s *shard, epoch uint64) {
	if epoch <= s.vote.epoch {
		return
	}
	in.replica.stepDown(s, epoch, "another member took over")
	s.vote = vote{epoch: epoch, candidate: in.ownerID}
	in.replica.persistVote(s, func(error) {})
}

// reportGap makes ack tell the owner the actual position of the replica, which is not
// the one that the owner assumed.
func reportGap(s *shard, ack *meshpb.ReplicateAck) {
	ack.Gap, ack.HaveEpoch, ack.HaveVersion = true, s.log.epoch, s.log.version
}

// installState replaces the replica's content with a full state. It acknowledges but
// does not install a state that the replica already contains.
func (in *incomingReplication) installState(state *meshpb.ShardState) {
	s := in.replica.shards[state.Shard]
	ack := in.addAck(state.Shard, state.Epoch, state.Version)
	if in.rejectIfSuperseded(s, ack) {
		return
	}
	if state.Epoch == s.log.epoch && s.log.version >= state.Version {
		ack.Version = s.log.version
		in.awaitEarlierWrites()
		return
	}
	in.adoptEpoch(s, state.Epoch)
	in.writes.add()
	in.replica.installState(s, state, state.Epoch, in.writes.done)
}

// applyEpochChange takes the replica to a new epoch. It reports a gap unless the replica
// is at exactly the position that the change starts from.
func (in *incomingReplication) applyEpochChange(change *meshpb.EpochChange) {
	s := in.replica.shards[change.Shard]
	ack := in.addAck(change.Shard, change.Epoch, 0)
	if in.rejectIfSuperseded(s, ack) {
		return
	}
	if change.Epoch == s.log.epoch {
		ack.Version = s.log.version
		in.awaitEarlierWrites()
		return
	}
	if s.position() != (position{change.FromEpoch, change.FromVersion}) {
		reportGap(s, ack)
		return
	}
	in.adoptEpoch(s, change.Epoch)
	in.writes.add()
	in.replica.changeEpoch(s, change, in.writes.done)
	ack.Version = s.log.version
}

// appendEntry appends an entry to the replica and acknowledges it with the shard's
// earlier data in the request. It skips entries that the replica already has, and
// reports a gap if the entry is of another epoch or an entry before it is missing.
func (in *incomingReplication) appendEntry(entry *meshpb.Entry) {
	s := in.replica.shards[entry.Shard]
	ack := in.ackByShard[entry.Shard]
	if ack == nil {
		ack = in.addAck(entry.Shard, entry.Epoch, s.log.version)
		if entry.Epoch == s.log.epoch {
			in.awaitEarlierWrites()
		}
	}
	if ack.Gap || in.rejectIfSuperseded(s, ack) {
		return
	}
	if entry.Epoch != s.log.epoch || entry.Version > s.log.version+1 {
		reportGap(s, ack)
		return
	}
	if entry.Version <= s.log.version {
		return
	}
	s.append(entry, in.replica.now())
	ack.Version = entry.Version
	in.replica.reportEntryProgress(ProgressReceived, s, entry.Epoch, entry.Version, entry.Change)
	in.writes.add()
	in.replica.persist(&meshpb.Record{Entry: entry}, func(err error) {
		if err == nil && s.log.epoch == entry.Epoch {
			s.log.recordSynced(entry.Version)
			in.replica.reportEntryProgress(ProgressSynced, s, entry.Epoch, entry.Version, entry.Change)
		}
		in.writes.done(err)
	})
}
