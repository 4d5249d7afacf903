package main

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

func registerStatus(c *commandLine) {
	command := c.app.Command("status", "Show the core nodes, the view, and the state of each node with its reason.")
	c.handleTool(command, runStatus)
}

func runStatus(client *coreClient) error {
	statuses, err := client.coreStatuses()
	if err != nil {
		return err
	}
	return client.printResult(mapSlice(statuses, newCoreStatus), statusText(statuses))
}

// statusText formats the statuses; if one is the master's, it must be the first.
func statusText(statuses []*meshpb.StatusResponse) string {
	var b strings.Builder
	for _, s := range statuses {
		writeCoreNode(&b, s)
	}
	writeShards(&b, statuses)
	master := statuses[0]
	if !master.Master {
		b.WriteString("no master now\n")
		return b.String()
	}
	fmt.Fprintf(&b, "epoch %d, view %d, configuration r%d\n", master.Epoch, master.View, master.Config)
	if master.Listed > 0 {
		fmt.Fprintf(&b, "%d endpoints from the platform's list\n", master.Listed)
	}
	for _, outlier := range master.Greys {
		fmt.Fprintf(&b, "grey: %s answers badly\n", outlier)
	}
	b.WriteString("\n")
	writeNodes(&b, master.Nodes)
	return b.String()
}

func writeCoreNode(b *strings.Builder, s *meshpb.StatusResponse) {
	role := "core"
	if s.Master {
		role = "master"
	}
	owned := 0
	for _, shard := range s.Shards {
		if shard.Owner != "" {
			owned++
		}
	}
	fmt.Fprintf(b, "%-7s %-24s member=%v disk=%v membership %d with %d, %d of %d shards with an owner\n", role, s.Node, s.Member, s.DiskSound,
		s.Membership.GetVersion(), len(s.Membership.GetMembers()), owned, len(s.Shards))
}

func writeNodes(b *strings.Builder, nodes []*meshpb.NodeStatus) {
	const row = "%-28s %-14s %-12s %-16s %-9s %-9s %-11s %s\n"
	fmt.Fprintf(b, row, "node", "site", "service", "endpoint", "reported", "official", "user", "why")
	for _, n := range nodes {
		fmt.Fprintf(b, row, n.Name, n.Zone, n.Service, n.Endpoint, n.Reported, n.Official, n.User, n.Why)
	}
}

// writeShards writes the owner and the replication state of each shard, and how
// many members may fail without losing a shard.
func writeShards(b *strings.Builder, statuses []*meshpb.StatusResponse) {
	mayLose, learners := map[uint32]int32{}, map[string]bool{}
	for _, status := range statuses {
		for _, shard := range status.Shards {
			if !shard.Owned || shard.LeaseMs == 0 {
				continue
			}
			mayLose[shard.Shard] = shard.MayLose
			writeOwnedShard(b, status.Node, shard)
			for _, replica := range shard.Copies {
				if replica.Learner {
					learners[replica.Addr] = true
				}
			}
		}
	}
	if total := len(statuses[0].Shards); total > len(mayLose) {
		fmt.Fprintf(b, "%d of %d shards are served by none of those who answered\n", total-len(mayLose), total)
	}
	if len(mayLose) > 0 {
		fmt.Fprintf(b, "the core may lose %d more members now\n", max(minValue(mayLose), 0))
	}
	for _, address := range slices.Sorted(maps.Keys(learners)) {
		fmt.Fprintf(b, "learner %s waits for a place\n", address)
	}
}

func minValue(values map[uint32]int32) int32 {
	least := int32(math.MaxInt32)
	for _, v := range values {
		least = min(least, v)
	}
	return least
}

func writeOwnedShard(b *strings.Builder, owner string, s *meshpb.ShardStatus) {
	fmt.Fprintf(b, "shard %-2d owned by %-22s epoch %d, version %d, committed %d, lease for %d ms, may lose %d more",
		s.Shard, owner, s.Epoch, s.Version, s.Committed, s.LeaseMs, s.MayLose)
	for _, replica := range s.Copies {
		if problem := replicaProblem(replica); problem != "" {
			b.WriteString("; " + replica.Addr + " " + problem)
		}
	}
	b.WriteString("\n")
}

// replicaProblem returns why a replica could not take over the shard immediately, or
// "" if it could.
func replicaProblem(r *meshpb.ReplicaStatus) string {
	switch {
	case !r.Reached:
		return "not reached"
	case !r.Known:
		return "has an earlier epoch"
	case r.Behind > 0:
		return fmt.Sprintf("is %d behind", r.Behind)
	case r.Leaving:
		return "is leaving"
	case !r.Sound:
		return "would not take over"
	}
	return ""
}
