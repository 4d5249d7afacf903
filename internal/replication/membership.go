package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// Blobs of the master shard that control the membership. Their names are part of
// the stored state.
const (
	// membershipBlob contains the most recently proposed membership.
	membershipBlob = "roll"
	// targetSizeBlob carries the target number of members in its version.
	targetSizeBlob = "places"
)

// membershipChange tracks how far the current membership has been accepted and
// replicated. Only the owner of the master shard acts on it. That owner proposes
// each new membership as a change of the shard; the new membership is in force once
// a majority of the previous one and a majority of the new one have it on disk.
type membershipChange struct {
	// previous is the membership before the current one. It is nil if this member has
	// not tracked acceptance since it became owner of the master shard.
	previous *meshpb.Membership
	// accepted holds the ids of the members of both memberships that have the
	// current one on disk. It is nil whenever previous is.
	accepted map[string]bool
	// replicatedVersions holds, for each shard, the highest version of a membership
	// known to have the shard's content on a majority of its members. All members
	// maintain it.
	replicatedVersions []uint64
}

// reset discards what is known about who accepted the membership.
func (c *membershipChange) reset() { c.previous, c.accepted = nil, nil }

// begin starts to track which members accept the membership that follows previous.
func (c *membershipChange) begin(previous *meshpb.Membership) {
	c.previous, c.accepted = previous, map[string]bool{}
}

// recordReplicated notes that a majority of the membership of that version holds
// the shard's content.
func (c *membershipChange) recordReplicated(s *shard, version uint64) {
	c.replicatedVersions[s.id] = max(c.replicatedVersions[s.id], version)
}

// acceptsCall reports whether a call may take effect: it must be addressed to this
// process, and its sender must use the same membership and be a member of it.
// Senders that use an older membership are sent the current one.
func (r *Replica) acceptsCall(header *meshpb.SenderHeader, addressedToSelf bool) bool {
	if addressedToSelf && header.Membership == r.membership.Version && containsMember(r.membership, header.From.Id) {
		return true
	}
	r.offerMembership(header.From, header.Membership)
	return false
}

// offerMembership sends the current membership to a process that uses an older one,
// given by its version.
func (r *Replica) offerMembership(m *meshpb.Member, version uint64) {
	if m != nil && version < r.membership.Version && r.membership.Version > 1 {
		r.sendMembership(m)
	}
}

// sendMembership sends the current membership to a process and records its
// acceptance.
func (r *Replica) sendMembership(m *meshpb.Member) {
	request := &meshpb.AcceptMembershipRequest{Membership: r.membership, From: r.self}
	r.transport.AcceptMembership(m, request, func(response *meshpb.AcceptMembershipResponse) {
		if response.GetOk() && response.Version == r.membership.Version {
			r.recordMembershipAccepted(m.Id)
		}
	})
}

// recordMembershipAccepted notes that a process has the current membership on disk.
func (r *Replica) recordMembershipAccepted(id string) {
	if r.membershipChange.accepted != nil {
		r.membershipChange.accepted[id] = true
	}
}

// HandleAcceptMembership adopts the membership in the request if it is newer than
// the current one. reply is called once that membership or a newer one is on disk,
// or with nil if the disk write failed.
func (r *Replica) HandleAcceptMembership(request *meshpb.AcceptMembershipRequest, reply func(*meshpb.AcceptMembershipResponse)) {
	if r.disk.failed {
		reply(nil)
		return
	}
	version := max(request.Membership.Version, r.membership.Version)
	done := func(err error) {
		if err != nil {
			reply(nil)
			return
		}
		reply(&meshpb.AcceptMembershipResponse{Version: version, Ok: true})
	}
	if request.Membership.Version <= r.membership.Version {
		r.awaitPersisted(done)
		return
	}
	r.adoptMembership(request.Membership, done)
}

// adoptMembership makes membership the current one. done is called once the write
// is synced or has failed.
func (r *Replica) adoptMembership(membership *meshpb.Membership, done func(error)) {
	r.options.Log.Info("adopted membership", "version", membership.Version, "members", len(membership.Members))
	r.membership = proto.Clone(membership).(*meshpb.Membership)
	if containsMember(r.membership, r.self.Id) {
		r.becomeMember()
	} else {
		r.becomeLearner()
	}
	r.updatePeers()
	for _, s := range r.shards {
		r.applyMembership(s)
	}
	r.persist(&meshpb.Record{Membership: r.membership}, done)
	for _, p := range r.voters {
		r.replicateTo(p)
	}
	if r.options.OnMembershipChange != nil {
		r.options.OnMembershipChange(r.membership)
	}
}

// becomeMember ends the learner state and the first start of this process.
func (r *Replica) becomeMember() {
	r.bootstrap = false
	if r.learner {
		r.learner = false
		r.startedAt = r.now()
	}
}

// becomeLearner gives up all roles of a member that was removed and lets it ask to
// join with the next tick.
func (r *Replica) becomeLearner() {
	if !r.learner {
		r.learner = true
		for _, s := range r.shards {
			r.stepDown(s, s.log.epoch, "no longer a member")
		}
	}
	r.join.nextRequest = 0
}

// applyMembership adapts the role in a shard to a new membership. A candidate steps
// down and may start an election under the new membership after a heartbeat
// interval. An owner commits nothing more until a majority of the new membership
// holds all entries so far.
func (r *Replica) applyMembership(s *shard) {
	switch s.role {
	case candidate:
		r.stepDown(s, s.election.epoch, "membership changed")
		s.election.notBefore = r.now() + r.options.HeartbeatInterval
	case owner, transferring:
		s.ownership.minimumCommit = s.log.version
		s.ownership.replicatedMembership = 0
		r.advanceCommit(s)
	}
}

// membershipAccepted reports whether a majority of the previous membership and a
// majority of the current one have the current one on disk.
func (r *Replica) membershipAccepted() bool {
	change := &r.membershipChange
	if change.previous == nil {
		return true
	}
	for _, membership := range []*meshpb.Membership{change.previous, r.membership} {
		if countMembers(membership, change.accepted) < quorumOf(membership) {
			return false
		}
	}
	return true
}

// membershipReplicated reports whether a majority of the current membership holds
// the content of each shard.
func (r *Replica) membershipReplicated() bool {
	for _, version := range r.membershipChange.replicatedVersions {
		if version < r.membership.Version {
			return false
		}
	}
	return true
}

// manageMembership runs with each tick and acts only at the owner of the master
// shard: it completes the pending membership change, then proposes the next one.
func (r *Replica) manageMembership() {
	s := r.shards[masterShard]
	if _, served := r.OwnedEpoch(masterShard); !served || s.ownership.commit < s.log.version {
		return
	}
	change := &r.membershipChange
	blob := s.stateMachine.Blob(membershipBlob)
	switch {
	case blob != nil && blob.Version > r.membership.Version:
		r.adoptCommittedMembership(blob)
	case change.previous == nil && change.accepted == nil && r.membership.Version > 1:
		// A new owner does not know who accepted the membership of its predecessor.
		r.reconfirmMembership()
	case !r.membershipAccepted():
		r.broadcastMembership()
	case r.membershipReplicated():
		r.proposeNextMembership()
	}
}

// adoptCommittedMembership adopts the membership that was committed to the master
// shard, and starts to collect acceptances of it.
func (r *Replica) adoptCommittedMembership(blob *meshpb.Blob) {
	var committed meshpb.Membership
	if proto.Unmarshal(blob.Data, &committed) != nil {
		return
	}
	r.membershipChange.begin(r.membership)
	r.adoptMembership(&committed, func(err error) {
		if err == nil && r.membership.Version == committed.Version {
			r.recordMembershipAccepted(r.self.Id)
		}
	})
	r.broadcastMembership()
}

// reconfirmMembership persists the current membership again and asks all members to
// accept it again.
func (r *Replica) reconfirmMembership() {
	r.membershipChange.begin(r.membership)
	r.persist(&meshpb.Record{Membership: r.membership}, func(err error) {
		if err == nil {
			r.recordMembershipAccepted(r.self.Id)
		}
	})
	r.broadcastMembership()
}

// broadcastMembership sends the current membership to all members of it and of the
// previous one that have not accepted it yet.
func (r *Replica) broadcastMembership() {
	sent := map[string]bool{r.self.Id: true}
	for _, membership := range []*meshpb.Membership{r.membershipChange.previous, r.membership} {
		for _, m := range membership.GetMembers() {
			if sent[m.Id] || r.membershipChange.accepted[m.Id] {
				continue
			}
			sent[m.Id] = true
			r.sendMembership(m)
		}
	}
}

// proposeNextMembership proposes to add or remove one member if that is needed. No
// step lowers the number of members that may be lost. An unreachable member is
// removed before its replacement is added: from an odd number of members, the
// remaining ones then need a smaller quorum. A member that is leaving is removed
// after its replacement was added.
func (r *Replica) proposeNextMembership() {
	if replaced := r.memberReplacedByLearner(); replaced != nil {
		r.removeMember(replaced, "its address is used by a process with a different id")
		return
	}
	members, size := len(r.membership.Members), r.targetSize()
	unreachable, leaving := r.longestUnreachable(), r.leavingMember()
	if members > size {
		switch {
		case unreachable != nil:
			r.removeMember(unreachable, "unreachable, and the membership exceeds its target size")
		case leaving != nil:
			r.removeMember(leaving, "leaving")
		}
		return
	}
	for _, l := range r.learners {
		if l.learner.caughtUpTo != r.membership.Version {
			continue
		}
		switch {
		case members < size:
			r.addMember(l, size)
		case l.learner.bootstrap:
			r.addMember(l, members+1)
		case unreachable != nil:
			r.removeMember(unreachable, "unreachable, and a caught-up learner can replace it")
		case leaving != nil:
			r.addMember(l, size)
		default:
			continue
		}
		return
	}
}

// memberReplacedByLearner returns a member whose address is now used by a learner:
// its process was restarted without its log and got a new id. It returns nil if
// there is none.
func (r *Replica) memberReplacedByLearner() *meshpb.Member {
	for _, l := range r.learners {
		for _, m := range r.membership.Members {
			if m.Addr == l.member.Addr && m.Id != r.self.Id {
				return m
			}
		}
	}
	return nil
}

// targetSize returns how many members the membership should have: the largest of the
// number of seeds, the size recorded in the membership and the targetSizeBlob.
func (r *Replica) targetSize() int {
	size := max(len(r.options.Seeds), int(r.membership.Size))
	if blob := r.shards[masterShard].stateMachine.Blob(targetSizeBlob); blob != nil {
		size = max(size, int(blob.Version))
	}
	return size
}

// longestUnreachable returns the member that has been unreachable longest, among
// those unreachable for longer than EvictionTimeout. Members that had announced that
// they were leaving come first. It returns nil if there is none.
func (r *Replica) longestUnreachable() *meshpb.Member {
	var longest *peer
	for _, p := range r.voters {
		if r.now()-max(p.lastContact, r.lastWithoutQuorum) <= r.options.EvictionTimeout {
			continue
		}
		if longest == nil || p.leaving && !longest.leaving || p.leaving == longest.leaving && p.lastContact < longest.lastContact {
			longest = p
		}
	}
	if longest == nil {
		return nil
	}
	return longest.member
}

// leavingMember returns the first member, in the order of the membership, that has
// announced that it is leaving. It returns nil if there is none.
func (r *Replica) leavingMember() *meshpb.Member {
	for _, p := range r.voters {
		if p.leaving {
			return p.member
		}
	}
	return nil
}

// removeMember proposes the membership without a member. If the replacement has
// already been added, it moves to the removed member's position in the order;
// otherwise the position is recorded as a gap for the next member to be added.
// Either way the other members keep their positions once the replacement is there,
// so that their shards need not move.
func (r *Replica) removeMember(removed *meshpb.Member, reason string) {
	last := len(r.membership.Members) - 1
	if last == 0 {
		return
	}
	next := r.nextMembership(r.targetSize())
	i := r.memberIndex(removed.Id)
	if last >= int(next.Size) {
		next.Members[i] = next.Members[last]
		next.Members = next.Members[:last]
	} else {
		next.Members = slices.Delete(next.Members, i, i+1)
		next.Gaps = append(next.Gaps, uint32(i))
	}
	r.options.Log.Warn("proposing to remove a member", "version", next.Version, "peer", removed.Addr, "reason", reason)
	r.proposeMembership(next)
}

// addMember proposes the membership with the learner as a member, at the position
// that was vacated last, or else at the end. size is the target size to record.
func (r *Replica) addMember(l *peer, size int) {
	next := r.nextMembership(size)
	index := len(next.Members)
	if n := len(next.Gaps); n > 0 {
		index = min(index, int(next.Gaps[n-1]))
		next.Gaps = next.Gaps[:n-1]
	}
	next.Members = slices.Insert(next.Members, index, l.member)
	r.options.Log.Info("proposing to add a member", "version", next.Version, "peer", l.member.Addr)
	r.proposeMembership(next)
}

// nextMembership returns a copy of the current membership with the next version and
// the given target size.
func (r *Replica) nextMembership(size int) *meshpb.Membership {
	return &meshpb.Membership{
		Version: r.membership.Version + 1,
		Size:    uint32(size),
		Members: slices.Clone(r.membership.Members),
		Gaps:    slices.Clone(r.membership.Gaps),
	}
}

// proposeMembership writes the membership to the master shard. If the membership cannot
// be encoded, it is not proposed.
func (r *Replica) proposeMembership(membership *meshpb.Membership) {
	data, err := proto.Marshal(membership)
	if err == nil {
		blob := &meshpb.Blob{Name: membershipBlob, Data: data, Version: membership.Version}
		err = r.propose(r.shards[masterShard], &meshpb.Change{Blob: blob})
	}
	if err != nil {
		r.options.Log.Warn("failed to propose a membership", "version", membership.Version, "error", err)
	}
}
