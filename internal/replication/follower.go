package replication

import "corkcove/internal/rpc/meshpb"

// writeGroup waits for a number of writes.
type writeGroup struct {
	// outstanding counts the writes and, at first, the one who adds them: its own
	// call of done tells that there are no more.
	outstanding int
	failed      bool
	// end is called once all writes are done.
	end func(failed bool)
}

func newWriteGroup(end func(failed bool)) *writeGroup {
	return &writeGroup{outstanding: 1, end: end}
}

// add announces one more call of done.
func (g *writeGroup) add() { g.outstanding++ }

func (g *writeGroup) done(err error) {
	g.failed = g.failed || err != nil
	if g.outstanding--; g.outstanding == 0 {
		g.end(g.failed)
	}
}

// incomingReplication is a Replicate request that this member takes in.
type incomingReplication struct {
	replica *Replica
	// from is the id of the owner.
	from   string
	writes *writeGroup
	// acks are the answers in the order of the shards in the request.
	acks    []*meshpb.ReplicateAck
	byShard map[uint32]*meshpb.ReplicateAck
}

// HandleReplicate takes entries, epoch changes and states from an owner. reply is
// called once all that the response acknowledges is synced, or with nil if it
// could not be. A learner takes them as members do, and counts for nothing.
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
		// The owner doesn't hear this member, or is back after a while: the response
		// tells whether it does now.
		response.NotReceiving = true
		reply(response)
		return
	}
	r.takeIn(request, response, reply)
}

func (r *Replica) takeIn(request *meshpb.ReplicateRequest, response *meshpb.ReplicateResponse, reply func(*meshpb.ReplicateResponse)) {
	in := &incomingReplication{replica: r, from: request.Header.From.Id, byShard: map[uint32]*meshpb.ReplicateAck{}}
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
		in.takeState(state)
	}
	for _, change := range request.EpochChanges {
		in.takeEpochChange(change)
	}
	for _, entry := range request.Entries {
		in.takeEntry(entry)
	}
	in.writes.done(nil)
}

// grantLeases renews the owner's leases of the shards that it replicated. Where
// another epoch got the vote meanwhile, nothing is acknowledged.
func (in *incomingReplication) grantLeases() {
	for _, ack := range in.acks {
		s := in.replica.shards[ack.Shard]
		if !ack.Gap && s.vote == (vote{ack.Epoch, in.from}) {
			in.replica.grantLease(s)
		} else {
			ack.Gap = true
		}
	}
}

func (in *incomingReplication) addAck(shard uint32, epoch, version uint64) *meshpb.ReplicateAck {
	ack := &meshpb.ReplicateAck{Shard: shard, Epoch: epoch, Version: version}
	in.acks = append(in.acks, ack)
	in.byShard[shard] = ack
	return ack
}

// awaitEarlierWrites makes the response wait for what the replica holds already.
func (in *incomingReplication) awaitEarlierWrites() {
	in.writes.add()
	in.replica.awaitPersisted(in.writes.done)
}

// superseded tells that this member's vote is for another epoch than the one that
// it is to acknowledge.
func (in *incomingReplication) superseded(s *shard, ack *meshpb.ReplicateAck) bool {
	if ack.Epoch > s.vote.epoch {
		return false
	}
	if ack.Epoch == s.vote.epoch && s.vote.candidate == in.from && ack.Epoch > s.lease.endedEpoch {
		return false
	}
	ack.Promised, ack.Gap = s.vote.epoch, true
	return true
}

// adoptEpoch votes for the owner of a higher epoch, as if it had asked.
func (in *incomingReplication) adoptEpoch(s *shard, epoch uint64) {
	if epoch <= s.vote.epoch {
		return
	}
	in.replica.stepDown(s, epoch, "another member took over")
	s.vote = vote{epoch: epoch, candidate: in.from}
	in.replica.persistVote(s, func(error) {})
}

// reportGap says what the replica holds instead of what the owner took it to.
func reportGap(s *shard, ack *meshpb.ReplicateAck) {
	ack.Gap, ack.HaveEpoch, ack.HaveVersion = true, s.log.epoch, s.log.version
}

func (in *incomingReplication) takeState(state *meshpb.ShardState) {
	s := in.replica.shards[state.Shard]
	ack := in.addAck(state.Shard, state.Epoch, state.Version)
	if in.superseded(s, ack) {
		return
	}
	if state.Epoch == s.log.epoch && s.log.version >= state.Version {
		ack.Version = s.log.version
		in.awaitEarlierWrites()
		return
	}
	in.adoptEpoch(s, state.Epoch)
	in.writes.add()
	in.replica.install(s, state, state.Epoch, in.writes.done)
}

func (in *incomingReplication) takeEpochChange(change *meshpb.EpochChange) {
	s := in.replica.shards[change.Shard]
	ack := in.addAck(change.Shard, change.Epoch, 0)
	if in.superseded(s, ack) {
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

func (in *incomingReplication) takeEntry(entry *meshpb.Entry) {
	s := in.replica.shards[entry.Shard]
	ack := in.byShard[entry.Shard]
	if ack == nil {
		ack = in.addAck(entry.Shard, entry.Epoch, s.log.version)
		if entry.Epoch == s.log.epoch {
			in.awaitEarlierWrites()
		}
	}
	if ack.Gap || in.superseded(s, ack) {
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
	in.replica.entryProgress(ProgressReceived, s, entry.Epoch, entry.Version, entry.Change)
	in.writes.add()
	in.replica.persist(&meshpb.Record{Entry: entry}, func(err error) {
		if err == nil && s.log.epoch == entry.Epoch {
			s.log.recordSynced(entry.Version)
			in.replica.entryProgress(ProgressSynced, s, entry.Epoch, entry.Version, entry.Change)
		}
		in.writes.done(err)
	})
}
