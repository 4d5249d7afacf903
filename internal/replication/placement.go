package replication

import "math"

// dedicatedMasterMembers is from how many members on the one that is preferred
// for the master shard owns no other: it tells all nodes of the mesh.
const dedicatedMasterMembers = 5

// preferenceRank is the place of a member in the order for a shard: the master
// shard goes to the first of the membership, the others start at a member each.
func (r *Replica) preferenceRank(shard int, id string) int {
	members := len(r.membership.Members)
	index := r.memberIndex(id)
	if index < 0 || members == 0 {
		return members
	}
	if shard == masterShard {
		return index
	}
	if members < dedicatedMasterMembers {
		return (index - (shard-1)%members + members) % members
	}
	if index == 0 {
		return members - 1
	}
	others := members - 1
	return (index - 1 - (shard-1)%others + others) % others
}

// preferredOwner is the id of the first healthy member in the order for a shard,
// empty if there is none.
func (r *Replica) preferredOwner(shard int) string {
	best, bestRank := "", math.MaxInt
	for _, m := range r.membership.Members {
		if rank := r.preferenceRank(shard, m.Id); rank < bestRank && r.isHealthy(m.Id) {
			best, bestRank = m.Id, rank
		}
	}
	return best
}

// membersByPreference are the ids of the members in the order for a shard.
func (r *Replica) membersByPreference(shard int) []string {
	ids := make([]string, len(r.membership.Members))
	for _, m := range r.membership.Members {
		ids[r.preferenceRank(shard, m.Id)] = m.Id
	}
	return ids
}
