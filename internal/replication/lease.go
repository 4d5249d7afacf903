package replication

import (
	"slices"
	"time"
)

// grantLease keeps other candidates for the shard waiting, from now on for a
// lease. Of itself an owner needs none.
func (r *Replica) grantLease(s *shard) {
	if s.vote.candidate != r.self.Id {
		s.lease.grantedUntil = max(s.lease.grantedUntil, r.now()+r.options.LeaseDuration)
	}
}

// recordLease notes, at the owner, that the peer granted a lease of the shard when
// it answered a request that was sent at sentAt.
func (r *Replica) recordLease(p *peer, s *shard, sentAt time.Duration) {
	progress := &p.progress[s.id]
	progress.leaseStart = max(progress.leaseStart, sentAt)
	r.renewLease(s)
}

// renewLease works out until when the leases of a majority let this member serve
// the shard.
func (r *Replica) renewLease(s *shard) {
	var from []time.Duration
	for _, m := range r.membership.Members {
		if m.Id == r.self.Id {
			from = append(from, r.now())
		} else if p := r.peers[m.Id]; p != nil {
			from = append(from, p.progress[s.id].leaseStart)
		}
	}
	if len(from) < r.quorum() {
		return
	}
	quorumFrom := quorumValue(from, r.quorum())
	s.ownership.leaseUntil = max(s.ownership.leaseUntil, quorumFrom+r.options.ownerLease())
	if s.id == masterShard && s.ownership.serving {
		r.published.masterLeaseUntil.Store(int64(s.ownership.leaseUntil))
		r.published.masterEpoch.Store(s.log.epoch)
	}
	r.resolvePending(s)
}

// quorumValue returns the highest value that quorum of the values reach. It sorts
// values.
func quorumValue[T uint64 | time.Duration](values []T, quorum int) T {
	slices.Sort(values)
	return values[len(values)-quorum]
}
