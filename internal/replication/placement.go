package replication

import "math"

// minDedicatedMasterMembers is the number of members from which the preferred owner of
// the master shard is the least preferred owner of all other shards: the master also
// sends updates to all nodes of the mesh.
const minDedicatedMasterMembers = 5

// preferenceRank returns the rank of a member as owner of the shard; rank 0 is the
// most preferred. The master shard prefers members in the order of the membership.
// The other shards start from different members in turn, which spreads them evenly.
// The rank of a process outside the membership is the number of members.
func (r *Replica) preferenceRank(shard int, id string) int {
	memberCount := len(r.membership.Members)
	index := r.memberIndex(id)
	if index < 0 || memberCount == 0 {
		return memberCount
	}
	if shard == masterShard {
		return index
	}
	if memberCount < minDedicatedMasterMembers {
		return (index - (shard-1)%memberCount + memberCount) % memberCount
	}
	if index == 0 {
		return memberCount - 1
	}
	otherCount := memberCount - 1
	return (index - 1 - (shard-1)%otherCount + otherCount) % otherCount
}

// preferredOwner returns the id of the healthy member with the best preference rank
// for the shard, or an empty string if no member is healthy.
func (r *Replica) preferredOwner(shard int) string {
	best, bestRank := "", math.MaxInt
	for _, m := range r.membership.Members {
		if rank := r.preferenceRank(shard, m.Id); rank < bestRank && r.isHealthy(m.Id) {
			best, bestRank = m.Id, rank
		}
	}
	return best
}

// membersByPreference returns the ids of all members, sorted by their preference rank
// for the shard.
func (r *Replica) membersByPreference(shard int) []string {
	ids := make([]string, len(r.membership.Members))
	for _, m := range r.membership.Members {
		ids[r.preferenceRank(shard, m.Id)] = m.Id
	}
	return ids
}
