package replication

import "corkcove/internal/rpc/meshpb"

// HandleRequestVotes handles a candidate's request for votes or pre-votes. reply is
// called once all granted votes are synced to disk, or with nil if that failed.
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
	for _, voteRequest := range request.Votes {
		response.Replies = append(response.Replies, r.handleVoteRequest(header.From.Id, voteRequest, writes))
	}
	writes.done(nil)
}

// handleVoteRequest grants or refuses one vote or pre-vote. Writes that must be synced
// before the reply is sent are added to writes.
func (r *Replica) handleVoteRequest(candidateID string, request *meshpb.VoteRequest, writes *writeGroup) *meshpb.VoteReply {
	s := r.shards[request.Shard]
	reply := &meshpb.VoteReply{Shard: request.Shard, Promised: s.vote.epoch, Epoch: request.Epoch, PreVote: request.PreVote}
	if request.Epoch == s.vote.epoch && s.vote.candidate == candidateID && !request.PreVote {
		// This vote was already granted, but the response was lost.
		r.grantVote(s, request, reply)
		writes.add()
		r.awaitPersisted(writes.done)
		return reply
	}
	if !r.canVoteFor(s, candidateID, request.Epoch) {
		return reply
	}
	if request.PreVote {
		reply.Granted = r.grantPreVote(s, candidateID)
		return reply
	}
	r.stepDown(s, request.Epoch, "voted for another candidate")
	s.vote = vote{epoch: request.Epoch, candidate: candidateID}
	s.lease.grantedUntil = max(s.lease.grantedUntil, r.now()+r.options.voteGracePeriod())
	r.grantVote(s, request, reply)
	writes.add()
	r.persistVote(s, writes.done)
	return reply
}

// canVoteFor reports whether this member may vote for the candidate in the epoch: it
// has not voted in that epoch or a later one, has no lease granted to another member
// in force, and does not hold the shard's lease itself.
func (r *Replica) canVoteFor(s *shard, candidateID string, epoch uint64) bool {
	now := r.now()
	if epoch <= s.vote.epoch {
		return false
	}
	if now < s.lease.grantedUntil && s.vote.candidate != candidateID {
		return false
	}
	return !s.isOwned() || now >= s.ownership.leaseUntil
}

// grantPreVote grants this member's pre-vote to the candidate, unless the pre-vote is
// reserved for another candidate, and reports whether it did. A granted pre-vote is
// reserved for its candidate for preVoteReservation.
func (r *Replica) grantPreVote(s *shard, candidateID string) bool {
	now := r.now()
	if now < s.election.preVotedUntil && s.election.preVotedFor != candidateID {
		return false
	}
	s.election.preVotedFor, s.election.preVotedUntil = candidateID, now+r.options.preVoteReservation()
	return true
}

// grantVote fills in reply as a granted vote. It includes this member's replica state
// if that is newer than the candidate's.
func (r *Replica) grantVote(s *shard, request *meshpb.VoteRequest, reply *meshpb.VoteReply) {
	reply.Granted, reply.Promised = true, request.Epoch
	reply.HaveEpoch, reply.HaveVersion = s.log.epoch, s.log.version
	if s.position().newerThan(position{request.HaveEpoch, request.HaveVersion}) {
		reply.State = r.snapshot(s)
	}
}
