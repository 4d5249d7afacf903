package replication

import (
	"slices"
	"sort"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// peer is this member's view of another member or of a learner.
type peer struct {
	member *meshpb.Member

	// contacted means that at least one message was received from the peer, the last
	// one at lastContact.
	contacted   bool
	lastContact time.Duration
	// healthy and leaving are what the peer last reported. healthySince is the time at
	// which its current uninterrupted run of healthy reports began.
	healthy      bool
	healthySince time.Duration
	leaving      bool

	heartbeatInFlight bool
	lastHeartbeat     time.Duration
	lastVoteRequest   time.Duration

	replicateInFlight  bool
	lastReplicate      time.Duration
	replicateNotBefore time.Duration
	// progress is the progress of the peer's replicas, by shard.
	progress []progress

	// learner is used only while the peer is a learner.
	learner learnerState
}

// progress is what this member knows, as the owner of a shard, about a peer's replica
// of it.
type progress struct {
	// leaseStart is the send time of the last request that the peer answered by
	// granting or renewing a lease. The owner counts the lease from then on.
	leaseStart time.Duration
	// acked is the position that the replica last reported to have on disk. Its epoch
	// is 0 if that is unknown.
	acked position
	// reported is the position in an earlier epoch that the replica reported in
	// response to a vote request or to replication in reportedInEpoch.
	reported        position
	reportedInEpoch uint64
}

// learnerState is the content of a learner's last join request.
type learnerState struct {
	lastJoin time.Duration
	// caughtUpTo is the version of the membership under which the learner reported to be
	// caught up, 0 if it is not.
	caughtUpTo uint64
	// bootstrap means that the learner takes part in the first start of the core.
	bootstrap bool
}

// newPeer returns a peer without any progress or leases. Its member is not set.
func (r *Replica) newPeer() *peer {
	p := &peer{progress: make([]progress, len(r.shards))}
	for i := range p.progress {
		p.progress[i].leaseStart = never
	}
	return p
}

// updatePeers brings the peers in line with the membership. A learner that has become
// a member keeps its progress.
func (r *Replica) updatePeers() {
	peers := map[string]*peer{}
	r.voters = nil
	for _, m := range r.membership.Members {
		if m.Id == r.self.Id {
			continue
		}
		p := r.peers[m.Id]
		if p == nil {
			p = r.findLearner(m.Id)
		}
		if p == nil {
			p = r.newPeer()
		}
		p.member = m
		peers[m.Id] = p
		r.voters = append(r.voters, p)
	}
	r.peers = peers
	r.learners = slices.DeleteFunc(r.learners, func(p *peer) bool { return peers[p.member.Id] != nil })
	r.rankPeers()
}

// findLearner returns the learner with that id, or nil if there is none.
func (r *Replica) findLearner(id string) *peer {
	for _, p := range r.learners {
		if p.member.Id == id {
			return p
		}
	}
	return nil
}

// isVoter reports whether the peer is a member and not a learner.
func (r *Replica) isVoter(p *peer) bool { return r.peers[p.member.Id] != nil }

// replicationTargets returns all peers that receive entries: members and learners.
func (r *Replica) replicationTargets() []*peer {
	return append(slices.Clip(r.voters), r.learners...)
}

// recordContact notes a message from the peer, and the health and the intention to
// leave that it reported.
func (r *Replica) recordContact(p *peer, healthy, leaving bool) {
	now := r.now()
	if healthy && (!p.healthy || now-p.lastContact > r.options.contactTimeout()) {
		p.healthySince = now
	}
	p.lastContact, p.contacted, p.leaving = now, true, leaving
	p.healthy = healthy
}

// inContact reports whether a message was received from the peer within the contact
// timeout.
func (r *Replica) inContact(p *peer) bool {
	return p.contacted && r.now()-p.lastContact < r.options.contactTimeout()
}

// isReachable reports whether id is this process or a member that is in contact.
func (r *Replica) isReachable(id string) bool {
	if id == r.self.Id {
		return true
	}
	p := r.peers[id]
	return p != nil && r.inContact(p)
}

// isHealthy reports whether the member can own shards.
func (r *Replica) isHealthy(id string) bool {
	if id == r.self.Id {
		return !r.disk.failed && !r.diskStalled() && !r.leaving && r.isMember() && r.reachesQuorum()
	}
	return r.isReachable(id) && r.peers[id].healthy
}

// reachesQuorum reports whether a majority of the membership is reachable, counting
// this process.
func (r *Replica) reachesQuorum() bool {
	n := 0
	for _, m := range r.membership.Members {
		if r.isReachable(m.Id) {
			n++
		}
	}
	return n >= r.quorum()
}

// header returns the header of a call to the peer.
func (r *Replica) header(p *peer) *meshpb.SenderHeader {
	return &meshpb.SenderHeader{
		From:         r.self,
		To:           p.member.Id,
		NotReceiving: !r.inContact(p),
		Membership:   r.membership.Version,
		Healthy:      r.isHealthy(r.self.Id),
		Leaving:      r.leaving,
	}
}

// Costs by which rankPeers orders peers. Each cost outweighs the sum of the lower
// ones.
const (
	costUnhealthy = 4
	costSlow      = 2
	costOtherZone = 1
)

// minimumPreferredPeers is the minimum number of peers that receive entries
// immediately, even if a majority needs fewer, so that the loss of one of them does
// not delay commits.
const minimumPreferredPeers = 2

// rankPeers selects the peers that receive entries immediately: as many as a majority
// needs, and at least minimumPreferredPeers. Healthy peers come first, then those
// that respond in time, then those in this member's zone.
func (r *Replica) rankPeers() {
	ranked := append(r.preferredPeers[:0], r.voters...)
	sort.SliceStable(ranked, func(i, j int) bool { return r.peerCost(ranked[i]) < r.peerCost(ranked[j]) })
	r.preferredPeers = ranked[:min(len(ranked), max(r.quorum()-1, minimumPreferredPeers))]
}

// peerCost returns the cost of replicating to the peer first, for rankPeers.
func (r *Replica) peerCost(p *peer) int {
	cost := 0
	if !r.isHealthy(p.member.Id) {
		cost += costUnhealthy
	}
	if p.replicateInFlight && r.now()-p.lastReplicate > r.options.slowReplicationThreshold() {
		cost += costSlow
	}
	if p.member.Zone != r.self.Zone {
		cost += costOtherZone
	}
	return cost
}
