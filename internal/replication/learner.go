package replication

import (
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// joinState is the state of a learner that requests admission to the membership.
type joinState struct {
	// nextRequest is the time at which the next join requests are due.
	nextRequest time.Duration
	// extraSeeds are members that get join requests besides the membership and the seeds.
	extraSeeds []*meshpb.Member
	// leaveConfirmed means that this process is leaving, was removed from the
	// membership, and that a majority of the remaining members holds all shards.
	leaveConfirmed bool
}

// SetExtraSeeds sets members that get a learner's join requests in addition to its seeds
// and the last membership that it has received, none of which may be running any more.
func (r *Replica) SetExtraSeeds(seeds []*meshpb.Member) { r.join.extraSeeds = seeds }

// sendJoinRequests sends a join request to all members with a known address, once per
// joinInterval. The request includes whether the learner has caught up.
func (r *Replica) sendJoinRequests() {
	now := r.now()
	if now < r.join.nextRequest || r.disk.failed || r.join.leaveConfirmed {
		return
	}
	r.join.nextRequest = now + joinInterval
	request := &meshpb.JoinRequest{From: r.self, Bootstrap: r.bootstrap, Leaving: r.leaving}
	if r.caughtUp() {
		request.CaughtUp = r.membership.Version
	}
	asked := map[string]bool{r.self.Addr: true}
	for _, m := range slices.Concat(r.membership.Members, r.options.Seeds, r.join.extraSeeds) {
		if asked[m.Addr] {
			continue
		}
		asked[m.Addr] = true
		r.transport.Join(m.Addr, request, r.handleJoinResponse)
	}
}

// handleJoinResponse adopts a newer membership, and notes when a process that is
// leaving is no longer needed.
func (r *Replica) handleJoinResponse(response *meshpb.JoinResponse) {
	if response == nil || !r.learner {
		return
	}
	version := response.Membership.GetVersion()
	if r.leaving && response.Replicated && version == r.membership.Version {
		r.join.leaveConfirmed = true
	}
	if version > r.membership.Version {
		r.adoptMembership(response.Membership, func(error) {})
	}
}

// caughtUp reports whether, for every shard, this learner was found within the last
// learnerCaughtUpMaxAge to hold what the owner had committed one heartbeat earlier.
func (r *Replica) caughtUp() bool {
	for _, s := range r.shards {
		if r.now()-s.catchUp.caughtUpAt > learnerCaughtUpMaxAge {
			return false
		}
	}
	return true
}

// HandleJoin registers a learner: this member replicates the shards that it owns to
// the learner, and may add it to the membership if it owns the master shard. A
// process that is leaving is not registered. The response of the master shard's owner
// says whether a majority of the membership holds all shards, which tells a process
// that is leaving that it is no longer needed.
func (r *Replica) HandleJoin(request *meshpb.JoinRequest) *meshpb.JoinResponse {
	response := &meshpb.JoinResponse{Ok: containsMember(r.membership, request.From.Id), Membership: r.membership}
	if _, owned := r.OwnedEpoch(masterShard); owned {
		response.Replicated = r.membershipAccepted() && r.membershipReplicated()
	}
	if r.learner || response.Ok || request.Leaving {
		return response
	}
	p := r.findLearner(request.From.Id)
	if p == nil {
		p = r.newPeer()
		r.learners = append(r.learners, p)
	}
	p.member = request.From
	p.learner = learnerState{lastJoin: r.now(), caughtUpTo: request.CaughtUp, bootstrap: request.Bootstrap}
	return response
}

// expireLearners drops learners that have not sent a join request for learnerTimeout.
func (r *Replica) expireLearners() {
	now := r.now()
	r.learners = slices.DeleteFunc(r.learners, func(p *peer) bool { return now-p.learner.lastJoin > learnerTimeout })
}
