package replication

import (
	"time"

	"corkcove/internal/rpc/meshpb"
)

// epochStride partitions the epochs among the members: each member proposes only
// epochs with its own remainder modulo epochStride. Concurrent candidates thus never
// propose the same epoch, and the one that loses follows the other.
const epochStride = 64

// nextEpoch returns the epoch that this member proposes next for the shard. It is
// higher than every epoch that the member knows of.
func (r *Replica) nextEpoch(s *shard) uint64 {
	highest := max(s.vote.epoch, s.election.epoch, s.log.epoch)
	return (highest/epochStride+1)*epochStride + uint64(r.memberIndex(r.self.Id)%epochStride)
}

// startDueElections starts pre-votes for the ownerless shards for which this member
// should become a candidate now.
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

// electionDue reports whether this member knows of no owner of the shard and has
// waited long enough, given its preference rank, to become a candidate.
func (r *Replica) electionDue(s *shard) bool {
	now := r.now()
	votedForSelf := s.vote.candidate == r.self.Id
	if s.role != follower || now < s.election.notBefore || now < s.lease.ownerHintUntil {
		return false
	}
	if now < s.lease.grantedUntil && !votedForSelf {
		return false
	}
	// An owner that has just restarted does not wait: the leases of the other members
	// were granted to it.
	if votedForSelf && now-r.startedAt < r.options.restartWindow() {
		return true
	}
	rank := r.preferenceRank(s.id, r.self.Id)
	if r.preferredOwner(s.id) != r.self.Id {
		rankDelay := time.Duration(rank+1) * r.options.HeartbeatInterval
		ownerlessSince := max(s.lease.grantedUntil, s.election.notBefore, r.startedAt)
		return now >= ownerlessSince+r.options.preferredOwnerGracePeriod()+rankDelay
	}
	// Right after startup, members with a better rank may not have made contact yet.
	return rank == 0 || now-r.startedAt >= r.options.HeartbeatInterval
}

// startPreVotes asks the other members whether they would grant their votes. Without
// a pre-vote, a member that returns from a network partition would raise its epoch
// and unseat an owner that all other members follow.
func (r *Replica) startPreVotes(shards []*shard) {
	if len(shards) == 0 {
		return
	}
	var requests []*meshpb.VoteRequest
	for _, s := range shards {
		r.becomeCandidate(s, true)
		s.election.votes = map[string]bool{r.self.Id: true}
		s.election.preVotedFor, s.election.preVotedUntil = r.self.Id, r.now()+r.options.preVoteReservation()
		requests = append(requests, s.voteRequest())
	}
	for _, p := range r.voters {
		r.requestVotes(p, requests)
	}
	for _, s := range shards {
		r.recordVote(s, s.election.epoch, r.self.Id)
	}
	r.startPreVotedElections()
}

// startPreVotedElections starts the elections of all shards whose pre-vote has just
// been won, with one call to each peer.
func (r *Replica) startPreVotedElections() {
	shards := r.wonPreVotes
	r.wonPreVotes = nil
	r.startElections(shards)
}

// startElections votes for this member and requests the votes of all other members.
func (r *Replica) startElections(shards []*shard) {
	if len(shards) == 0 {
		return
	}
	var requests []*meshpb.VoteRequest
	for _, s := range shards {
		r.becomeCandidate(s, false)
		requests = append(requests, s.voteRequest())
		r.voteForSelf(s)
	}
	for _, p := range r.voters {
		r.requestVotes(p, requests)
	}
}

// becomeCandidate makes this member a candidate for the shard, in a pre-vote or an
// election, under a new epoch.
func (r *Replica) becomeCandidate(s *shard, preVote bool) {
	epoch := r.nextEpoch(s)
	s.role, s.roleSince = candidate, r.now()
	s.election.preVote, s.election.epoch = preVote, epoch
}

// voteForSelf casts this member's vote for itself. The vote counts once it is synced
// to disk.
func (r *Replica) voteForSelf(s *shard) {
	epoch := s.election.epoch
	s.vote = vote{epoch: epoch, candidate: r.self.Id}
	s.lease.grantedUntil = 0
	s.election.votes = map[string]bool{}
	s.election.newestState, s.election.newestPosition = nil, s.position()
	r.persistVote(s, func(err error) {
		if err == nil {
			r.recordVote(s, epoch, r.self.Id)
			return
		}
		if s.role == candidate && s.election.epoch == epoch {
			r.stepDown(s, epoch, "failed to persist own vote")
		}
	})
}

// voteRequest returns the request for the pre-vote or vote that the candidate for
// the shard currently needs.
func (s *shard) voteRequest() *meshpb.VoteRequest {
	return &meshpb.VoteRequest{
		Shard:       uint32(s.id),
		Epoch:       s.election.epoch,
		HaveEpoch:   s.log.epoch,
		HaveVersion: s.log.version,
		PreVote:     s.election.preVote,
	}
}

// retryVoteRequests repeats the requests to the members that have not voted. In a
// transfer, a member that receives the request before the TransferOwnership call
// refuses its vote, because the lease of the previous owner is still in force there.
func (r *Replica) retryVoteRequests() {
	now, interval := r.now(), r.options.voteRetryInterval()
	for _, p := range r.voters {
		var requests []*meshpb.VoteRequest
		for _, s := range r.shards {
			if s.role == candidate && !s.election.votes[p.member.Id] && now-s.roleSince > interval {
				requests = append(requests, s.voteRequest())
			}
		}
		if len(requests) > 0 && now-p.lastVoteRequest > interval {
			r.requestVotes(p, requests)
		}
	}
}

func (r *Replica) requestVotes(p *peer, requests []*meshpb.VoteRequest) {
	p.lastVoteRequest = r.now()
	request := &meshpb.RequestVotesRequest{Header: r.header(p), Votes: requests}
	membershipVersion := r.membership.Version
	r.transport.RequestVotes(p.member, request, func(response *meshpb.RequestVotesResponse) {
		if response == nil || !response.Member {
			return
		}
		if response.Membership != r.membership.Version || membershipVersion != r.membership.Version {
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
			r.stepDown(s, reply.Promised, "a member voted for another candidate")
		}
		return
	}
	voterPosition := position{reply.HaveEpoch, reply.HaveVersion}
	p.progress[s.id].reportedInEpoch, p.progress[s.id].reported = reply.Epoch, voterPosition
	if reply.State != nil && voterPosition.newerThan(s.election.newestPosition) {
		s.election.newestState, s.election.newestPosition = reply.State, voterPosition
	}
	r.recordVote(s, reply.Epoch, p.member.Id)
}

// recordVote counts a vote or pre-vote that was granted to this member. A majority of
// pre-votes queues the shard for an election; a majority of votes makes this member
// the owner.
func (r *Replica) recordVote(s *shard, epoch uint64, voterID string) {
	if s.role != candidate || s.election.epoch != epoch {
		return
	}
	s.election.votes[voterID] = true
	if !s.election.votes[r.self.Id] || countMembers(r.membership, s.election.votes) < r.quorum() {
		return
	}
	if s.election.preVote {
		r.wonPreVotes = append(r.wonPreVotes, s)
		s.election.votes = map[string]bool{}
		return
	}
	r.becomeOwner(s)
}

// becomeOwner starts an ownership from the newest state received with a vote, or from
// this member's own state if none is newer.
func (r *Replica) becomeOwner(s *shard) {
	now, epoch, best := r.now(), s.election.epoch, s.election.newestState
	startVersion := s.log.version
	if best != nil {
		startVersion = best.Version
	}
	s.role, s.roleSince = owner, now
	s.ownership = ownership{startedAt: now, startVersion: startVersion, minimumCommit: startVersion, pending: s.ownership.pending}
	s.election.newestState, s.election.votes = nil, nil
	if s.id == masterShard {
		r.membershipChange.reset()
	}
	onPersisted := func(err error) {
		if err != nil {
			r.stepDown(s, epoch, "failed to persist own replica")
			return
		}
		r.advanceCommit(s)
	}
	if best == nil {
		change := &meshpb.EpochChange{Shard: uint32(s.id), Epoch: epoch, FromEpoch: s.log.epoch, FromVersion: s.log.version}
		r.changeEpoch(s, change, onPersisted)
	} else {
		r.installState(s, best, epoch, onPersisted)
	}
	s.stateMachine.BecomeOwner()
	for _, p := range r.voters {
		r.replicateTo(p)
	}
}

// stepDown makes this member a follower of the shard. epoch is the highest epoch that
// it has heard of.
func (r *Replica) stepDown(s *shard, epoch uint64, reason string) {
	if s.role == follower {
		return
	}
	wasServing := s.ownership.serving
	r.options.Log.Info("stepped down", "shard", s.id, "epoch", s.log.epoch, "seenEpoch", epoch, "reason", reason)
	s.role = follower
	s.ownership.serving, s.ownership.leaseUntil = false, 0
	if s.id == masterShard {
		r.published.masterLeaseUntil.Store(0)
	}
	s.election.newestState, s.election.votes = nil, nil
	jitter := time.Duration(r.options.Rand(int(electionJitter/time.Millisecond))) * time.Millisecond
	s.election.notBefore = r.now() + r.options.HeartbeatInterval + jitter
	s.election.epoch = max(s.election.epoch, epoch)
	r.resolvePending(s)
	if wasServing && r.options.OnOwnershipChange != nil {
		r.options.OnOwnershipChange(s.id, false, s.log.epoch)
	}
}
