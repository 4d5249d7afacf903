package replication

import (
	"slices"
	"time"
)

// grantLease extends the lease that this member grants on the shard to LeaseDuration
// from now. Until it expires, no other candidate gets this member's vote. An owner
// grants no lease to itself.
//
// A pre-vote of this member ends: if it were won, this member would vote for itself while
// the owner relies on the lease.
func (r *Replica) grantLease(s *shard) {
	if s.vote.candidate == r.self.Id {
		return
	}
	if s.role == candidate {
		r.stepDown(s, s.election.epoch, "granted a lease to the owner")
	}
	s.lease.grantedUntil = max(s.lease.grantedUntil, r.now()+r.options.LeaseDuration)
}

// recordLease records, at the owner, that the peer granted a lease on the shard in its
// answer to a request sent at sentAt.
func (r *Replica) recordLease(p *peer, s *shard, sentAt time.Duration) {
	progress := &p.progress[s.id]
	progress.leaseStart = max(progress.leaseStart, sentAt)
	r.renewLease(s)
}

// renewLease recomputes until when the leases granted by a majority allow this member
// to serve the shard.
func (r *Replica) renewLease(s *shard) {
	var leaseStarts []time.Duration
	for _, m := range r.membership.Members {
		if m.Id == r.self.Id {
			leaseStarts = append(leaseStarts, r.now())
		} else if p := r.peers[m.Id]; p != nil {
			leaseStarts = append(leaseStarts, p.progress[s.id].leaseStart)
		}
	}
	if len(leaseStarts) < r.quorum() {
		return
	}
	quorumStart := quorumValue(leaseStarts, r.quorum())
	s.ownership.leaseUntil = max(s.ownership.leaseUntil, quorumStart+r.options.ownerLeaseDuration())
	if s.id == masterShard && s.ownership.serving {
		r.published.masterLeaseUntil.Store(int64(s.ownership.leaseUntil))
		r.published.masterEpoch.Store(s.log.epoch)
	}
	r.resolvePending(s)
}

// quorumValue returns the highest value that at least quorum of the values reach. It
// sorts values in place.
func quorumValue[T uint64 | time.Duration](values []T, quorum int) T {
	slices.Sort(values)
	return values[len(values)-quorum]
}
