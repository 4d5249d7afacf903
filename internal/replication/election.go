package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// epochStride parts the epochs among the members, so that two who are candidates
// at once never ask for the same one, and the one that loses follows the other.
const epochStride = 64

// nextEpoch is the lowest epoch that this member may ask for, above all that it
// knows of.
func (r *Replica) nextEpoch(s *shard) uint64 {
	highest := max(s.vote.epoch, s.election.epoch, s.log.epoch)
	return (highest/epochStride+1)*epochStride + uint64(r.memberIndex(r.self.Id)%epochStride)
}

// startDueElections begins pre-votes for the shards without an owner that this
// member may own.
func (r *Replica) startDueElections() {
	if !r.isHealthy(r.self.Id) {
		return
	}
	var due []*shard
	for _, s := range r.shards {
		if r.electionDue(s) {
			due = append(due, s)
		}
	}
	r.startPreVotes(due)
}

// electionDue tells that the shard has no owner that this member knows of, and
// that it is this member's turn to become that.
func (r *Replica) electionDue(s *shard) bool {
	now := r.now()
	votedForSelf := s.vote.candidate == r.self.Id
	if s.role != follower || now < s.election.notBefore || now < s.lease.hintUntil {
		return false
	}
	if now < s.lease.grantedUntil && !votedForSelf {
		return false
	}
	// Who owned it before a restart need not wait: all others granted it leases.
	if votedForSelf && now-r.startedAt < r.options.restartWindow() {
		return true
	}
	rank := r.preferenceRank(s.id, r.self.Id)
	if r.preferredOwner(s.id) != r.self.Id {
		turn := time.Duration(rank+1) * r.options.HeartbeatInterval
		ownerless := max(s.lease.grantedUntil, s.election.notBefore, r.startedAt)
		return now >= ownerless+r.options.preferredOwnerHeadStart()+turn
	}
	// Just after the start, those before it in the order may not have been heard yet.
	return rank == 0 || now-r.startedAt >= r.options.HeartbeatInterval
}

// startPreVotes asks whether the votes would be granted: a member that comes back
// after a cut would else raise its own epoch, and so unseat an owner whom all
// others follow.
func (r *Replica) startPreVotes(shards []*shard) {
	if len(shards) == 0 {
		return
	}
	var votes []*meshpb.VoteRequest
	for _, s := range shards {
		r.becomeCandidate(s, true)
		s.election.votes = map[string]bool{r.self.Id: true}
		s.election.preVotedFor, s.election.preVotedUntil = r.self.Id, r.now()+r.options.preVoteReservation()
		votes = append(votes, s.voteRequest())
	}
	for _, p := range r.voters {
		r.requestVotes(p, votes)
	}
	for _, s := range shards {
		r.recordVote(s, s.election.epoch, r.self.Id)
	}
	r.startPreVotedElections()
}

// startPreVotedElections begins the elections, in one call to each peer, of all
// shards whose pre-vote has just been won.
func (r *Replica) startPreVotedElections() {
	shards := r.preVoted
	r.preVoted = nil
	r.startElections(shards)
}

// startElections votes for this member and asks all others for their votes.
func (r *Replica) startElections(shards []*shard) {
	if len(shards) == 0 {
		return
	}
	var votes []*meshpb.VoteRequest
	for _, s := range shards {
		r.becomeCandidate(s, false)
		votes = append(votes, s.voteRequest())
		r.voteForSelf(s)
	}
	for _, p := range r.voters {
		r.requestVotes(p, votes)
	}
}

// becomeCandidate begins a pre-vote or an election.
func (r *Replica) becomeCandidate(s *shard, preVote bool) {
	epoch := r.nextEpoch(s)
	s.role, s.roleSince = candidate, r.now()
	s.election.preVote, s.election.epoch = preVote, epoch
}

// voteForSelf gives this member's own vote, which counts once it is synced.
func (r *Replica) voteForSelf(s *shard) {
	epoch := s.election.epoch
	s.vote = vote{epoch: epoch, candidate: r.self.Id}
	s.lease.grantedUntil = 0
	s.election.votes = map[string]bool{}
	s.election.best, s.election.bestPosition = nil, s.position()
	r.persistVote(s, func(err error) {
		if err == nil {
			r.recordVote(s, epoch, r.self.Id)
			return
		}
		if s.role == candidate && s.election.epoch == epoch {
			r.stepDown(s, epoch, "own vote not synced")
		}
	})
}

// voteRequest asks for the vote that the shard's candidate needs now.
func (s *shard) voteRequest() *meshpb.VoteRequest {
	return &meshpb.VoteRequest{
		Shard:       uint32(s.id),
		Epoch:       s.election.epoch,
		HaveEpoch:   s.log.epoch,
		HaveVersion: s.log.version,
		PreVote:     s.election.preVote,
	}
}

// retryVoteRequests asks those again that haven't voted: the word of a transfer
// may have reached them after the request.
func (r *Replica) retryVoteRequests() {
	now, interval := r.now(), r.options.voteRetryInterval()
	for _, p := range r.voters {
		var votes []*meshpb.VoteRequest
		for _, s := range r.shards {
			if s.role == candidate && !s.election.votes[p.member.Id] && now-s.roleSince > interval {
				votes = append(votes, s.voteRequest())
			}
		}
		if len(votes) > 0 && now-p.lastVoteRequest > interval {
			r.requestVotes(p, votes)
		}
	}
}

func (r *Replica) requestVotes(p *peer, votes []*meshpb.VoteRequest) {
	p.lastVoteRequest = r.now()
	request := &meshpb.RequestVotesRequest{Header: r.header(p), Votes: votes}
	membership := r.membership.Version
	r.transport.RequestVotes(p.member, request, func(response *meshpb.RequestVotesResponse) {
		if response == nil || !response.Member {
			return
		}
		if response.Membership != r.membership.Version || membership != r.membership.Version {
			r.offerMembership(p.member, response.Membership)
			return
		}
		for _, reply := range response.Replies {
			r.handleVoteReply(p, reply)
		}
		r.startPreVotedElections()
	})
}

func (r *Replica) handleVoteReply(p *peer, reply *meshpb.VoteReply) {
	s := r.shards[reply.Shard]
	if s.role != candidate || s.election.epoch != reply.Epoch || s.election.preVote != reply.PreVote {
		return
	}
	if !reply.Granted {
		if reply.Promised > s.election.epoch || reply.PreVote && reply.Promised == s.election.epoch {
			r.stepDown(s, reply.Promised, "a member voted for another")
		}
		return
	}
	have := position{reply.HaveEpoch, reply.HaveVersion}
	p.progress[s.id].reportedInEpoch, p.progress[s.id].reported = reply.Epoch, have
	if reply.State != nil && have.newerThan(s.election.bestPosition) {
		s.election.best, s.election.bestPosition = reply.State, have
	}
	r.recordVote(s, reply.Epoch, p.member.Id)
}

// recordVote counts a vote, or a pre-vote, that this candidate got.
func (r *Replica) recordVote(s *shard, epoch uint64, from string) {
	if s.role != candidate || s.election.epoch != epoch {
		return
	}
	s.election.votes[from] = true
	if !s.election.votes[r.self.Id] || countIn(r.membership, s.election.votes) < r.quorum() {
		return
	}
	if s.election.preVote {
		r.preVoted = append(r.preVoted, s)
		s.election.votes = map[string]bool{}
		return
	}
	r.becomeOwner(s)
}

// becomeOwner begins an ownership with the newest content that came with a vote,
// or this member's own if none is newer.
func (r *Replica) becomeOwner(s *shard) {
	now, epoch, best := r.now(), s.election.epoch, s.election.best
	startVersion := s.log.version
	if best != nil {
		startVersion = best.Version
	}
	s.role, s.roleSince = owner, now
	s.ownership = ownership{began: now, startVersion: startVersion, minimumCommit: startVersion, pending: s.ownership.pending}
	s.election.best, s.election.votes = nil, nil
	if s.id == masterShard {
		r.membershipChange.reset()
	}
	begun := func(err error) {
		if err != nil {
			r.stepDown(s, epoch, "own replica not synced")
			return
		}
		r.advanceCommit(s)
	}
	if best == nil {
		change := &meshpb.EpochChange{Shard: uint32(s.id), Epoch: epoch, FromEpoch: s.log.epoch, FromVersion: s.log.version}
		r.changeEpoch(s, change, begun)
	} else {
		r.install(s, best, epoch, begun)
	}
	s.stateMachine.BecomeOwner()
	for _, p := range r.voters {
		r.replicateTo(p)
	}
}

// stepDown makes this member a follower. epoch is the highest that it has heard
// of.
func (r *Replica) stepDown(s *shard, epoch uint64, reason string) {
	if s.role == follower {
		return
	}
	served := s.ownership.serving
	r.options.Log.Info("stepped down", "shard", s.id, "epoch", s.log.epoch, "seenEpoch", epoch, "reason", reason)
	s.role = follower
	s.ownership.serving, s.ownership.leaseUntil = false, 0
	if s.id == masterShard {
		r.published.masterLeaseUntil.Store(0)
	}
	s.election.best, s.election.votes = nil, nil
	jitter := time.Duration(r.options.Rand(int(electionJitter/time.Millisecond))) * time.Millisecond
	s.election.notBefore = r.now() + r.options.HeartbeatInterval + jitter
	s.election.epoch = max(s.election.epoch, epoch)
	r.resolvePending(s)
	if served && r.options.OnOwnershipChange != nil {
		r.options.OnOwnershipChange(s.id, false, s.log.epoch)
	}
}
