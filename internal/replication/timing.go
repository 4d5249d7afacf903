package replication

import "time"

// never is a time long before the start of any process. Subtracting it from a time
// doesn't overflow.
const never time.Duration = -1 << 62

// Durations that don't depend on the options.
const (
	// diskRetryInterval is the delay before a checkpoint is retried on a failed disk.
	diskRetryInterval = 300 * time.Millisecond

	// replicateRetryInterval is the delay before replication is retried to a member
	// that didn't answer or that has another membership.
	replicateRetryInterval = 100 * time.Millisecond

	// electionJitter is the upper bound of the random delay that spreads the elections
	// of members that stepped down at the same time.
	electionJitter = 200 * time.Millisecond

	// learnerTimeout is how long a learner is remembered after its last join request.
	learnerTimeout = 1500 * time.Millisecond

	// joinInterval is how often a learner sends join requests.
	joinInterval = 300 * time.Millisecond

	// learnerCaughtUpMaxAge is how long a learner's replica counts as caught up after
	// it was last found to be: a few heartbeats.
	learnerCaughtUpMaxAge = 1200 * time.Millisecond
)

// maxIntervalsWithoutHeartbeat is the number of heartbeat intervals after which a
// heartbeat is sent even if replication has renewed all leases: heartbeats also carry
// health and watermarks.
const maxIntervalsWithoutHeartbeat = 3

// The durations below derive from LeaseDuration or HeartbeatInterval.

// ownerLeaseDuration is how long the owner relies on a lease, counted from when it sent
// the request. It is 9/10 of LeaseDuration, which tolerates a granter whose clock runs
// up to a tenth faster.
func (o *Options) ownerLeaseDuration() time.Duration { return o.LeaseDuration * 9 / 10 }

// contactTimeout is how long a member counts as reachable after the last message from
// it.
func (o *Options) contactTimeout() time.Duration { return o.LeaseDuration }

// isolatedHeartbeatInterval is the heartbeat interval of a member that reaches no
// majority. It is short so that the member finds the others again soon.
func (o *Options) isolatedHeartbeatInterval() time.Duration { return o.HeartbeatInterval / 5 }

// diskStallTimeout is how long a write may be outstanding before the disk counts as
// stalled. It is shorter than the lease, so that an owner still holds the lease when it
// transfers its shards.
func (o *Options) diskStallTimeout() time.Duration { return o.LeaseDuration / 2 }

// starvationWindow is how long after a late tick slow writes are attributed to a lack
// of CPU time rather than to the disk.
func (o *Options) starvationWindow() time.Duration { return o.LeaseDuration }

// electionTimeout is how long a candidate waits for votes.
func (o *Options) electionTimeout() time.Duration { return o.LeaseDuration }

// preVoteTimeout is how long a candidate waits for pre-votes. It is shorter than
// electionTimeout because pre-votes are not synced to disk.
func (o *Options) preVoteTimeout() time.Duration { return o.LeaseDuration / 3 }

// preVoteReservation is how long a member that granted a pre-vote refuses pre-votes to
// other candidates.
func (o *Options) preVoteReservation() time.Duration { return o.HeartbeatInterval / 2 }

// voteRetryInterval is how often missing votes are requested again.
func (o *Options) voteRetryInterval() time.Duration { return o.HeartbeatInterval / 2 }

// voteGracePeriod is how long a member that granted a vote refuses other candidates. It
// covers the time until the new owner's first replication or heartbeat renews the
// lease.
func (o *Options) voteGracePeriod() time.Duration { return o.LeaseDuration / 2 }

// ownerHintDuration is how long another member's claim to own a shard is trusted if
// this member has granted it no lease.
func (o *Options) ownerHintDuration() time.Duration { return o.LeaseDuration }

// restartWindow is how long after its start a member may stand for election, without
// waiting for its turn, for the shards that it owned before.
func (o *Options) restartWindow() time.Duration { return 2 * o.LeaseDuration }

// preferredOwnerGracePeriod is how long other members leave an ownerless shard to its
// preferred owner.
func (o *Options) preferredOwnerGracePeriod() time.Duration { return 2 * o.LeaseDuration }

// takeoverTimeout is how long a new owner may take until it starts to serve; after
// that it steps down.
func (o *Options) takeoverTimeout() time.Duration { return 2 * o.LeaseDuration }

// quorumLossTimeout is how long an owner without a lease remains owner. If no other
// owner is elected meanwhile, it resumes without a new election.
func (o *Options) quorumLossTimeout() time.Duration { return 4 * o.LeaseDuration }

// transferTimeout is how long a transfer may take before the owner cancels it and
// accepts calls again.
func (o *Options) transferTimeout() time.Duration { return o.LeaseDuration }

// minimumOwnership is how long a shard stays at least with an owner that isn't the
// preferred one.
func (o *Options) minimumOwnership() time.Duration { return 4 * o.LeaseDuration }

// minimumStalledOwnership is how long a shard stays at least with a new owner whose disk
// is stalled: the many writes of a takeover can slow down any disk.
func (o *Options) minimumStalledOwnership() time.Duration { return 2 * o.LeaseDuration }

// minimumSuccessorHealthyTime is how long a preferred owner must have been healthy
// before a shard is transferred to it.
func (o *Options) minimumSuccessorHealthyTime() time.Duration { return 3 * o.LeaseDuration }

// predecessorBackoff is how long the previous owner waits after a transfer before it
// may stand for election again.
func (o *Options) predecessorBackoff() time.Duration { return 2 * o.LeaseDuration }

// nonSuccessorBackoff is how long members other than the named successor wait after a
// transfer before they may stand for election.
func (o *Options) nonSuccessorBackoff() time.Duration { return o.LeaseDuration }

// slowReplicationThreshold is how long a commit or a response may be outstanding before
// entries go to more members than a majority needs.
func (o *Options) slowReplicationThreshold() time.Duration { return o.LeaseDuration / 20 }

// refusedReplicateBackoff is the pause in replication to a member that refused it. It
// allows for the time that it takes to learn why.
func (o *Options) refusedReplicateBackoff() time.Duration { return o.HeartbeatInterval / 5 }
