package replication

import (
	"slices"
	"sort"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// peer is what is known of another member, or of a learner.
type peer struct {
	member *meshpb.Member

	// contacted tells that it has been heard at all, lastContact when it last was.
	contacted   bool
	lastContact time.Duration
	// healthy and leaving are what it last said; healthySince is when it began to
	// say the first without a break.
	healthy      bool
	healthySince time.Duration
	leaving      bool

	heartbeatInFlight bool
	lastHeartbeat     time.Duration
	lastVoteRequest   time.Duration

	replicateInFlight  bool
	lastReplicate      time.Duration
	replicateNotBefore time.Duration
	// progress is how far its replica of each shard is.
	progress []progress

	learner learnerState
}

// progress is what an owner knows of a peer's replica of one shard.
type progress struct {
	// leaseFrom is when the last request was sent that renewed the peer's lease.
	leaseFrom time.Duration
	// acked is what the replica last said to have on disk; its epoch is 0 if that
	// is not known.
	acked position
	// reported is what the replica said to hold of an earlier epoch, when this member
	// asked or replicated under reportedTo.
	reported   position
	reportedTo uint64
}

// learnerState is what a learner said when it last asked for a place.
type learnerState struct {
	lastJoin time.Duration
	// caughtUpTo is the membership whose content the learner holds.
	caughtUpTo uint64
	// bootstrap tells that it takes part in the first start of the core.
	bootstrap bool
}

func (r *Replica) newPeer() *peer {
	p := &peer{progress: make([]progress, len(r.shards))}
	for i := range p.progress {
		p.progress[i].leaseFrom = never
	}
	return p
}

// updatePeers makes the peers those of the membership. A learner that is now a
// member keeps its progress.
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

// findLearner returns the learner of that id, nil if there is none.
func (r *Replica) findLearner(id string) *peer {
	for _, p := range r.learners {
		if p.member.Id == id {
			return p
		}
	}
	return nil
}

// isVoter tells a member from a learner.
func (r *Replica) isVoter(p *peer) bool { return r.peers[p.member.Id] != nil }

// replicationTargets are all that get entries: members and learners.
func (r *Replica) replicationTargets() []*peer {
	return append(slices.Clip(r.voters), r.learners...)
}

// recordContact notes a word of the peer.
func (r *Replica) recordContact(p *peer, healthy, leaving bool) {
	now := r.now()
	if healthy && (!p.healthy || now-p.lastContact > r.options.contactTimeout()) {
		p.healthySince = now
	}
	p.lastContact, p.contacted, p.leaving = now, true, leaving
	p.healthy = healthy
}

// inContact tells that the peer has been heard of late.
func (r *Replica) inContact(p *peer) bool {
	return p.contacted && r.now()-p.lastContact < r.options.contactTimeout()
}

func (r *Replica) isReachable(id string) bool {
	if id == r.self.Id {
		return true
	}
	p := r.peers[id]
	return p != nil && r.inContact(p)
}

// isHealthy tells that a member can own shards.
func (r *Replica) isHealthy(id string) bool {
	if id == r.self.Id {
		return !r.disk.failed && !r.diskStalled() && !r.leaving && r.isMember() && r.reachesQuorum()
	}
	return r.isReachable(id) && r.peers[id].healthy
}

func (r *Replica) reachesQuorum() bool {
	n := 0
	for _, m := range r.membership.Members {
		if r.isReachable(m.Id) {
			n++
		}
	}
	return n >= r.quorum()
}

// header is what each call to the peer says of this member.
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

// The costs by which rankPeers orders peers: any of a kind outweighs all below.
const (
	costUnhealthy = 4
	costSlow      = 2
	costOtherZone = 1
)

// minimumPreferredPeers is how many peers get entries at once, even where a
// majority needs fewer: so one may be lost without a delay.
const minimumPreferredPeers = 2

// rankPeers chooses the peers that get entries at once, those whose replicas make
// a majority: healthy ones, by preference of this zone.
func (r *Replica) rankPeers() {
	ranked := append(r.preferredPeers[:0], r.voters...)
	sort.SliceStable(ranked, func(i, j int) bool { return r.peerCost(ranked[i]) < r.peerCost(ranked[j]) })
	r.preferredPeers = ranked[:min(len(ranked), max(r.quorum()-1, minimumPreferredPeers))]
}

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
