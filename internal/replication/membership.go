package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// The blobs of the master shard that the membership is decided by. The names are
// stored.
const (
	// membershipBlob holds the membership that was decided upon last.
	membershipBlob = "roll"
	// sizeBlob has the wanted number of members as its version.
	sizeBlob = "places"
)

// A membership is decided upon as a change of the master shard. It is in force
// once majorities of the one before and of the new one have it on disk.

// membershipChange is the state of a change of the membership, which matters at
// the owner of the master shard.
type membershipChange struct {
	// previous is the membership before this one, and accepted the members of both
	// that have this one on disk. Both are nil while nothing is known of that.
	previous *meshpb.Membership
	accepted map[string]bool
	// replicatedUnder is, for each shard, the highest version of a membership whose
	// majority is known to hold the shard's content. It is kept at every member.
	replicatedUnder []uint64
}

// reset forgets who has accepted the membership.
func (c *membershipChange) reset() { c.previous, c.accepted = nil, nil }

// begin starts to collect who accepts the membership that follows previous.
func (c *membershipChange) begin(previous *meshpb.Membership) {
	c.previous, c.accepted = previous, map[string]bool{}
}

func (c *membershipChange) recordReplicated(s *shard, membership uint64) {
	c.replicatedUnder[s.id] = max(c.replicatedUnder[s.id], membership)
}

// admits tells whether a call may have an effect: it is for this process, and its
// sender is in the membership that this process goes by, and goes by it too. To
// others it offers the membership.
func (r *Replica) admits(header *meshpb.SenderHeader, addressed bool) bool {
	if addressed && header.Membership == r.membership.Version && containsMember(r.membership, header.From.Id) {
		return true
	}
	r.offerMembership(header.From, header.Membership)
	return false
}

// offerMembership sends this member's membership to one that goes by an older
// one.
func (r *Replica) offerMembership(m *meshpb.Member, version uint64) {
	if m != nil && version < r.membership.Version && r.membership.Version > 1 {
		r.sendMembership(m)
	}
}

func (r *Replica) sendMembership(m *meshpb.Member) {
	request := &meshpb.AcceptMembershipRequest{Membership: r.membership, From: r.self}
	r.transport.AcceptMembership(m, request, func(response *meshpb.AcceptMembershipResponse) {
		if response.GetOk() && response.Version == r.membership.Version {
			r.recordMembershipAccepted(m.Id)
		}
	})
}

func (r *Replica) recordMembershipAccepted(id string) {
	if r.membershipChange.accepted != nil {
		r.membershipChange.accepted[id] = true
	}
}

// HandleAcceptMembership adopts a newer membership. reply is called once this
// member has it, or a newer one, on disk, or with nil if that failed.
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

// adoptMembership goes by another membership from now on. done is called once that
// is synced, or has failed.
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

func (r *Replica) becomeMember() {
	r.bootstrap = false
	if r.learner {
		r.learner = false
		r.startedAt = r.now()
	}
}

func (r *Replica) becomeLearner() {
	if !r.learner {
		r.learner = true
		for _, s := range r.shards {
			r.stepDown(s, s.log.epoch, "no longer a member")
		}
	}
	r.join.next = 0
}

// applyMembership has a candidate ask again under the new membership, and an
// owner wait for the new majority.
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

// membershipAccepted tells that majorities of the previous membership and of this
// one have this one on disk.
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

// membershipReplicated tells that a majority of this membership holds all shards.
func (r *Replica) membershipReplicated() bool {
	for _, version := range r.membershipChange.replicatedUnder {
		if version < r.membership.Version {
			return false
		}
	}
	return true
}

// manageMembership is the work of the master shard's owner on the membership:
// finish the change that was decided upon, then decide upon the next.
func (r *Replica) manageMembership() {
	s := r.shards[masterShard]
	if _, served := r.OwnedEpoch(masterShard); !served || s.ownership.commit < s.log.version {
		return
	}
	change := &r.membershipChange
	blob := s.stateMachine.Blob(membershipBlob)
	switch {
	case blob != nil && blob.Version > r.membership.Version:
		r.adoptDecidedMembership(blob)
	case change.previous == nil && change.accepted == nil && r.membership.Version > 1:
		// A new owner doesn't know who has accepted what its predecessor decided.
		r.confirmMembership()
	case !r.membershipAccepted():
		r.spreadMembership()
	case r.membershipReplicated():
		r.decideMembership()
	}
}

func (r *Replica) adoptDecidedMembership(blob *meshpb.Blob) {
	var decided meshpb.Membership
	if proto.Unmarshal(blob.Data, &decided) != nil {
		return
	}
	r.membershipChange.begin(r.membership)
	r.adoptMembership(&decided, func(err error) {
		if err == nil && r.membership.Version == decided.Version {
			r.recordMembershipAccepted(r.self.Id)
		}
	})
	r.spreadMembership()
}

// confirmMembership writes the present membership once more, and asks all for it.
func (r *Replica) confirmMembership() {
	r.membershipChange.begin(r.membership)
	r.persist(&meshpb.Record{Membership: r.membership}, func(err error) {
		if err == nil {
			r.recordMembershipAccepted(r.self.Id)
		}
	})
	r.spreadMembership()
}

// spreadMembership sends the membership to all of the previous and of this one
// that haven't accepted it.
func (r *Replica) spreadMembership() {
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

// decideMembership changes the membership by one step, such that no step lowers
// how many may be lost. A member that is gone is removed before its successor
// comes: with an odd number of members the majority of the rest is then smaller.
// One that is about to leave is removed after its successor has come.
func (r *Replica) decideMembership() {
	if replaced := r.memberWithLearnersAddress(); replaced != nil {
		r.removeMember(replaced, "its address has another id")
		return
	}
	members, size := len(r.membership.Members), r.targetSize()
	lost, leaver := r.longestUnreachable(), r.leavingMember()
	if members > size {
		switch {
		case lost != nil:
			r.removeMember(lost, "unreachable, and there is one too many")
		case leaver != nil:
			r.removeMember(leaver, "leaving")
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
		case lost != nil:
			r.removeMember(lost, "unreachable, and a learner waits")
		case leaver != nil:
			r.addMember(l, size)
		default:
			continue
		}
		return
	}
}

// memberWithLearnersAddress is a member whose process was started again without
// its log, and is a learner under another id.
func (r *Replica) memberWithLearnersAddress() *meshpb.Member {
	for _, l := range r.learners {
		for _, m := range r.membership.Members {
			if m.Addr == l.member.Addr && m.Id != r.self.Id {
				return m
			}
		}
	}
	return nil
}

// targetSize is how many members there are to be.
func (r *Replica) targetSize() int {
	size := max(len(r.options.Seeds), int(r.membership.Size))
	if blob := r.shards[masterShard].stateMachine.Blob(sizeBlob); blob != nil {
		size = max(size, int(blob.Version))
	}
	return size
}

// longestUnreachable is the member that has been silent longest, and for long
// enough to be replaced; one that had said before that it leaves comes first.
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

// leavingMember is the first member that says that it is about to leave.
func (r *Replica) leavingMember() *meshpb.Member {
	for _, p := range r.voters {
		if p.leaving {
			return p.member
		}
	}
	return nil
}

// removeMember decides upon a membership without a member. Its place in the order
// is kept for the next to come, or taken by the one that has come already, so that
// shards need not move.
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
	r.options.Log.Warn("proposing membership without a member", "version", next.Version, "peer", removed.Addr, "reason", reason)
	r.proposeMembership(next)
}

// addMember decides upon a membership in which the learner has a place: that which
// was vacated last, if any.
func (r *Replica) addMember(l *peer, size int) {
	next := r.nextMembership(size)
	index := len(next.Members)
	if n := len(next.Gaps); n > 0 {
		index = min(index, int(next.Gaps[n-1]))
		next.Gaps = next.Gaps[:n-1]
	}
	next.Members = slices.Insert(next.Members, index, l.member)
	r.options.Log.Info("proposing membership with a new member", "version", next.Version, "peer", l.member.Addr)
	r.proposeMembership(next)
}

// nextMembership is the present membership under the next version.
func (r *Replica) nextMembership(size int) *meshpb.Membership {
	return &meshpb.Membership{
		Version: r.membership.Version + 1,
		Size:    uint32(size),
		Members: slices.Clone(r.membership.Members),
		Gaps:    slices.Clone(r.membership.Gaps),
	}
}

func (r *Replica) proposeMembership(membership *meshpb.Membership) {
	data, err := proto.Marshal(membership)
	if err != nil {
		panic(err)
	}
	blob := &meshpb.Blob{Name: membershipBlob, Data: data, Version: membership.Version}
	r.propose(r.shards[masterShard], &meshpb.Change{Blob: blob})
}
