package replication

import (
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// joinState is the state of a process that asks for a place in the membership.
type joinState struct {
	// next is when it asks again.
	next time.Duration
	// extraSeeds are further members to ask.
	extraSeeds []*meshpb.Member
	// leaveConfirmed tells that a member that leaves has been removed, and that the
	// others hold all without it.
	leaveConfirmed bool
}

// SetExtraSeeds gives a learner further members to ask for a place: those of its
// start may all be gone.
func (r *Replica) SetExtraSeeds(seeds []*meshpb.Member) { r.join.extraSeeds = seeds }

// sendJoin is the work of a process outside the membership: it tells all
// members that it is there, and what it has caught up with.
func (r *Replica) sendJoin() {
	now := r.now()
	if now < r.join.next || r.disk.failed || r.join.leaveConfirmed {
		return
	}
	r.join.next = now + joinInterval
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

// caughtUp tells that this learner holds what each shard's owner had committed a
// moment ago.
func (r *Replica) caughtUp() bool {
	for _, s := range r.shards {
		if r.now()-s.catchUp.at > learnerCaughtUpMaxAge {
			return false
		}
	}
	return true
}

// HandleJoin takes the word of a learner: who owns a shard replicates to it from
// now on, and the owner of the master shard gives it a place when there is one. To
// a process that has left it tells whether the others hold all without it.
func (r *Replica) HandleJoin(request *meshpb.JoinRequest) *meshpb.JoinResponse {
	response := &meshpb.JoinResponse{Ok: contains(r.membership, request.From.Id), Membership: r.membership}
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

// expireLearners forgets the learners that haven't been heard for a while.
func (r *Replica) expireLearners() {
	now := r.now()
	r.learners = slices.DeleteFunc(r.learners, func(p *peer) bool { return now-p.learner.lastJoin > learnerTimeout })
}
