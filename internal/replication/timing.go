package replication

import "time"

// never is a time long before the start of any process. Subtracting it from a time
// does not overflow.
const never time.Duration = -1 << 62

// Durations that do not depend on the options.
const (
	// diskRetryInterval is the delay before a checkpoint is retried on a failed disk.
	diskRetryInterval = 300 * time.Millisecond

	// replicateRetryInterval is the delay before replication is retried to a member
	// that did not respond or that has another membership.
	replicateRetryInterval = 100 * time.Millisecond

	// electionJitter is the upper bound of the random delay that spreads the elections
	// of members that stepped down at the same time.
	electionJitter = 200 * time.Millisecond

	// learnerTimeout is the time after its last join request at which a learner is
	// removed.
	learnerTimeout = 1500 * time.Millisecond

	// joinInterval is the interval at which a learner sends join requests.
	joinInterval = 300 * time.Millisecond

	// learnerCaughtUpMaxAge is the age, a few heartbeat intervals, at which the result of
	// the last check that a learner's replica has caught up expires.
	learnerCaughtUpMaxAge = 1200 * time.Millisecond
)

// maxIntervalsWithoutHeartbeat is the number of heartbeat intervals after which a
// heartbeat is sent even if replication has renewed all leases: heartbeats also carry
// health and watermarks.
const maxIntervalsWithoutHeartbeat = 3

// The durations below derive from LeaseDuration or HeartbeatInterval.

// ownerLeaseDuration is the duration of a lease at the owner, measured from the time at
// which it sent the request. It is 9/10 of LeaseDuration, which tolerates a granter whose
// clock runs up to a tenth faster.
func (o *Options) ownerLeaseDuration() time.Duration { return o.LeaseDuration * 9 / 10 }

// contactTimeout is the time without a message from a member after which the member
// counts as unreachable.
func (o *Options) contactTimeout() time.Duration { return o.LeaseDuration }

// isolatedHeartbeatInterval is the heartbeat interval of a member that reaches no
// majority. It is short so that the member finds the others again soon.
func (o *Options) isolatedHeartbeatInterval() time.Duration { return o.HeartbeatInterval / 5 }

// diskStallTimeout is the age of an outstanding write at which the disk counts as
// stalled. It is shorter than the lease, so that an owner still has the lease when it
// transfers its shards.
func (o *Options) diskStallTimeout() time.Duration { return o.LeaseDuration / 2 }

// starvationWindow is the period after a late tick in which slow writes are attributed to
// a lack of CPU time rather than to the disk.
func (o *Options) starvationWindow() time.Duration { return o.LeaseDuration }

// electionTimeout is the time after which a candidate without enough votes gives up.
func (o *Options) electionTimeout() time.Duration { return o.LeaseDuration }

// preVoteTimeout is the time after which a candidate without enough pre-votes gives up.
// It is shorter than electionTimeout because pre-votes are not synced to disk.
func (o *Options) preVoteTimeout() time.Duration { return o.LeaseDuration / 3 }

// preVoteReservation is the period after granting a pre-vote in which a member refuses
// pre-votes to other candidates.
func (o *Options) preVoteReservation() time.Duration { return o.HeartbeatInterval / 2 }

// voteRetryInterval is the interval at which a candidate repeats its vote requests to
// members that have not replied.
func (o *Options) voteRetryInterval() time.Duration { return o.HeartbeatInterval / 2 }

// voteGracePeriod is the period after granting a vote in which a member refuses other
// candidates. It covers the time until the new owner's first replication or heartbeat
// renews the lease.
func (o *Options) voteGracePeriod() time.Duration { return o.LeaseDuration / 2 }

// ownerHintDuration is the age at which another member's claim to own a shard expires if
// this member has granted it no lease.
func (o *Options) ownerHintDuration() time.Duration { return o.LeaseDuration }

// restartWindow is the period after its start in which a member may stand for election,
// without waiting for its turn, for the shards that it owned before.
func (o *Options) restartWindow() time.Duration { return 2 * o.LeaseDuration }

// preferredOwnerGracePeriod is the period in which only its preferred owner stands for
// election for a shard without an owner.
func (o *Options) preferredOwnerGracePeriod() time.Duration { return 2 * o.LeaseDuration }

// takeoverTimeout is the time after its election at which a new owner that does not serve
// yet steps down.
func (o *Options) takeoverTimeout() time.Duration { return 2 * o.LeaseDuration }

// quorumLossTimeout is the time without a lease after which an owner steps down. If it
// regains the lease before, it resumes without a new election.
func (o *Options) quorumLossTimeout() time.Duration { return 4 * o.LeaseDuration }

// transferTimeout is the time after which an owner cancels an unfinished transfer and
// accepts calls again.
func (o *Options) transferTimeout() time.Duration { return o.LeaseDuration }

// minimumOwnership is the minimum time for which an owner that is not the preferred one
// owns a shard before it transfers the shard to the preferred owner.
func (o *Options) minimumOwnership() time.Duration { return 4 * o.LeaseDuration }

// minimumStalledOwnership is the minimum time for which a new owner owns a shard before
// it transfers the shard because its disk is stalled. The many writes of a takeover can
// slow down any disk.
func (o *Options) minimumStalledOwnership() time.Duration { return 2 * o.LeaseDuration }

// minimumSuccessorHealthyTime is the minimum time for which a preferred owner must have
// been healthy before a shard is transferred to it.
func (o *Options) minimumSuccessorHealthyTime() time.Duration { return 3 * o.LeaseDuration }

// predecessorBackoff is the time after a transfer during which the previous owner does
// not stand for election.
func (o *Options) predecessorBackoff() time.Duration { return 2 * o.LeaseDuration }

// nonSuccessorBackoff is the time after a transfer during which members other than the
// named successor do not stand for election.
func (o *Options) nonSuccessorBackoff() time.Duration { return o.LeaseDuration }

// slowReplicationThreshold is the age of an outstanding commit or response at which
// entries are sent to more members than a majority needs.
func (o *Options) slowReplicationThreshold() time.Duration { return o.LeaseDuration / 20 }

// refusedReplicateBackoff is the pause in replication to a member that refused it. It
// allows for the time that it takes to learn why.
func (o *Options) refusedReplicateBackoff() time.Duration { return o.HeartbeatInterval / 5 }
