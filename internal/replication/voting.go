package replication

import "corkcove/internal/rpc/meshpb"

// HandleRequestVotes answers a candidate. reply is called once the votes in the
// response are synced, or with nil if they could not be.
func (r *Replica) HandleRequestVotes(request *meshpb.RequestVotesRequest, reply func(*meshpb.RequestVotesResponse)) {
	header := request.Header
	response := &meshpb.RequestVotesResponse{Membership: r.membership.Version, Member: r.isMember() && header.To == r.self.Id}
	if !r.acceptsCall(header, response.Member) {
		reply(response)
		return
	}
	if r.disk.failed {
		reply(nil)
		return
	}
	writes := newWriteGroup(func(failed bool) {
		if failed {
			reply(nil)
			return
		}
		reply(response)
	})
	for _, asked := range request.Votes {
		response.Replies = append(response.Replies, r.voteOn(header.From.Id, asked, writes))
	}
	writes.done(nil)
}

// voteOn decides upon one vote, or pre-vote, that a candidate asks for.
func (r *Replica) voteOn(from string, asked *meshpb.VoteRequest, writes *writeGroup) *meshpb.VoteReply {
	s := r.shards[asked.Shard]
	reply := &meshpb.VoteReply{Shard: asked.Shard, Promised: s.vote.epoch, Epoch: asked.Epoch, PreVote: asked.PreVote}
	if asked.Epoch == s.vote.epoch && s.vote.candidate == from && !asked.PreVote {
		// The vote was given already, and the response to it lost.
		r.fillVote(s, asked, reply)
		writes.add()
		r.awaitPersisted(writes.done)
		return reply
	}
	if !r.mayVote(s, from, asked.Epoch) {
		return reply
	}
	if asked.PreVote {
		reply.Granted = r.preVote(s, from)
		return reply
	}
	r.stepDown(s, asked.Epoch, "voted for another")
	s.vote = vote{epoch: asked.Epoch, candidate: from}
	s.lease.grantedUntil = max(s.lease.grantedUntil, r.now()+r.options.voteGracePeriod())
	r.fillVote(s, asked, reply)
	writes.add()
	r.persistVote(s, writes.done)
	return reply
}

// mayVote tells that nothing binds this member: no vote in that epoch or a later
// one, no lease that it granted, none that it holds.
func (r *Replica) mayVote(s *shard, from string, epoch uint64) bool {
	now := r.now()
	if epoch <= s.vote.epoch {
		return false
	}
	if now < s.lease.grantedUntil && s.vote.candidate != from {
		return false
	}
	return !s.isOwned() || now >= s.ownership.leaseUntil
}

// preVote tells whether a candidate would get the vote, which keeps others waiting
// for a moment.
func (r *Replica) preVote(s *shard, from string) bool {
	now := r.now()
	if now < s.election.preVotedUntil && s.election.preVotedFor != from {
		return false
	}
	s.election.preVotedFor, s.election.preVotedUntil = from, now+r.options.preVoteReservation()
	return true
}

// fillVote grants the vote, with the replica's content if it is newer than the
// candidate's.
func (r *Replica) fillVote(s *shard, asked *meshpb.VoteRequest, reply *meshpb.VoteReply) {
	reply.Granted, reply.Promised = true, asked.Epoch
	reply.HaveEpoch, reply.HaveVersion = s.log.epoch, s.log.version
	if s.position().newerThan(position{asked.HaveEpoch, asked.HaveVersion}) {
		reply.State = r.snapshot(s)
	}
}
