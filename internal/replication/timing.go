package replication

import "time"

// never is a time long before the start of any process. Differences to it don't
// overflow.
const never time.Duration = -1 << 62

// Bounds that don't follow from the options.
const (
	// diskRetryInterval is how long a disk that failed is left alone before a
	// checkpoint tries it again.
	diskRetryInterval = 300 * time.Millisecond

	// replicateRetryInterval is the pause in the replication to a member that
	// didn't answer, or that goes by another membership.
	replicateRetryInterval = 100 * time.Millisecond

	// electionJitter spreads the elections of members that stepped down together.
	electionJitter = 200 * time.Millisecond

	// learnerTimeout is how long a learner counts as there after its last word.
	learnerTimeout = 1500 * time.Millisecond

	// joinInterval is how often a learner asks for a place.
	joinInterval = 300 * time.Millisecond

	// learnerFreshness is how long ago a learner's replicas may have been found to
	// be caught up for it to count as such: a few heartbeats.
	learnerFreshness = 1200 * time.Millisecond
)

// heartbeatsByReplication is how many heartbeats in a row replication may stand
// for: heartbeats also carry health and watermarks.
const heartbeatsByReplication = 3

// What follows from the lease and from the heartbeat interval.

// ownerLease is how long the owner relies on a lease, counted from the request's
// sending; the granter's clock may run faster by a tenth.
func (o *Options) ownerLease() time.Duration { return o.LeaseDuration * 9 / 10 }

// contactTimeout is how long a member counts as reachable after its last word.
func (o *Options) contactTimeout() time.Duration { return o.LeaseDuration }

// isolatedHeartbeatInterval is the heartbeat interval of a member that reaches no
// majority, which would find the others again soon.
func (o *Options) isolatedHeartbeatInterval() time.Duration { return o.HeartbeatInterval / 5 }

// diskStallTimeout is how long a record may wait for the disk before the disk
// counts as stalled. It is below the lease, so that an owner still has one when
// it transfers its shards.
func (o *Options) diskStallTimeout() time.Duration { return o.LeaseDuration / 2 }

// starvationWindow is how long after a late tick waits are put down to a lack of
// processor time.
func (o *Options) starvationWindow() time.Duration { return o.LeaseDuration }

// electionTimeout is how long a candidate waits for votes.
func (o *Options) electionTimeout() time.Duration { return o.LeaseDuration }

// preVoteTimeout is how long a candidate waits for pre-votes, which wait for no
// disk.
func (o *Options) preVoteTimeout() time.Duration { return o.LeaseDuration / 3 }

// preVoteReservation is how long a pre-vote for one candidate keeps others waiting.
func (o *Options) preVoteReservation() time.Duration { return o.HeartbeatInterval / 2 }

// voteRetryInterval is how often votes that haven't come are requested again.
func (o *Options) voteRetryInterval() time.Duration { return o.HeartbeatInterval / 2 }

// voteGracePeriod is how long a vote keeps other candidates waiting, until the new
// owner's first entries or heartbeat bring a lease.
func (o *Options) voteGracePeriod() time.Duration { return o.LeaseDuration / 2 }

// ownerHintDuration is how long another member's word that it owns a shard is
// believed without a lease to it.
func (o *Options) ownerHintDuration() time.Duration { return o.LeaseDuration }

// restartWindow is how long after its start a member may ask for the shards that
// it owned before without waiting its turn.
func (o *Options) restartWindow() time.Duration { return 2 * o.LeaseDuration }

// preferredOwnerHeadStart is how long others leave an ownerless shard to the
// member that comes first in the order for it.
func (o *Options) preferredOwnerHeadStart() time.Duration { return 2 * o.LeaseDuration }

// takeoverTimeout is how long a new owner may take to begin to serve.
func (o *Options) takeoverTimeout() time.Duration { return 2 * o.LeaseDuration }

// quorumLossTimeout is how long an owner without a lease stays one: no other may
// be there either, and it need not be elected again then.
func (o *Options) quorumLossTimeout() time.Duration { return 4 * o.LeaseDuration }

// transferTimeout is how long a successor may take to catch up before the owner
// takes calls again.
func (o *Options) transferTimeout() time.Duration { return o.LeaseDuration }

// minimumOwnership is how long a shard stays with an owner that isn't the
// preferred one.
func (o *Options) minimumOwnership() time.Duration { return 4 * o.LeaseDuration }

// stalledOwnership is how long a shard stays with a new owner whose disk stalls:
// its first writes are many.
func (o *Options) stalledOwnership() time.Duration { return 2 * o.LeaseDuration }

// successorHealthyFor is for how long a preferred owner must have been healthy
// before a shard is transferred to it.
func (o *Options) successorHealthyFor() time.Duration { return 3 * o.LeaseDuration }

// predecessorBackoff is how long the former owner leaves a shard to its
// successor.
func (o *Options) predecessorBackoff() time.Duration { return 2 * o.LeaseDuration }

// bystanderBackoff is how long all others leave a shard to a named successor.
func (o *Options) bystanderBackoff() time.Duration { return o.LeaseDuration }

// commitDelay is how long a commit, or a response, may be outstanding before
// entries go to more members than a majority needs.
func (o *Options) commitDelay() time.Duration { return o.LeaseDuration / 20 }

// refusedReplicateBackoff is the pause in the replication to a member that took
// none of it, for as long as it takes to learn why.
func (o *Options) refusedReplicateBackoff() time.Duration { return o.HeartbeatInterval / 5 }
