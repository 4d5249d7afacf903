package main

import "corkcove/internal/rpc/meshpb"

// coreStatus is what status --json prints of one core node. The keys, and that
// empty values are left out, are those of the first release.
type coreStatus struct {
	Node          string           `json:"node,omitempty"`
	Master        bool             `json:"master,omitempty"`
	MasterAddress string           `json:"master_addr,omitempty"`
	Epoch         uint64           `json:"epoch,omitempty"`
	ViewVersion   uint64           `json:"view,omitempty"`
	ConfigVersion uint64           `json:"config,omitempty"`
	Membership    *membership      `json:"membership,omitempty"`
	Shards        []shardStatus    `json:"shards,omitempty"`
	Nodes         []nodeStatus     `json:"nodes,omitempty"`
	DiskHealthy   bool             `json:"disk_sound,omitempty"`
	Member        bool             `json:"member,omitempty"`
	Listed        uint32           `json:"listed,omitempty"`
	Outliers      []string         `json:"greys,omitempty"`
	HotKeys       []statusHotKey   `json:"hot,omitempty"`
	HotKeyCounts  *statusHotCounts `json:"hot_counts,omitempty"`
}

// membership is the core's agreed membership.
type membership struct {
	Version uint64   `json:"version,omitempty"`
	Members []member `json:"members,omitempty"`
	// Size is how many members the core is to have.
	Size uint32 `json:"size,omitempty"`
	// Gaps are the places that former members have vacated.
	Gaps []uint32 `json:"gaps,omitempty"`
}

type member struct {
	ID             string `json:"id,omitempty"`
	Address        string `json:"addr,omitempty"`
	ControlAddress string `json:"control,omitempty"`
	Zone           string `json:"zone,omitempty"`
}

// shardStatus is what a core node says of its replica of a shard, and of the
// others' if it owns the shard.
type shardStatus struct {
	Shard     uint32 `json:"shard,omitempty"`
	Owner     string `json:"owner,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Committed uint64 `json:"committed,omitempty"`
	// LeaseMillis is how long the owner's lease still runs, in milliseconds.
	LeaseMillis int64           `json:"lease_ms,omitempty"`
	Replicas    []replicaStatus `json:"copies,omitempty"`
	// MayLose is how many more members may fail without losing the shard.
	MayLose int32 `json:"may_lose,omitempty"`
	Owned   bool  `json:"owned,omitempty"`
}

// replicaStatus is what a shard's owner knows of another member's replica.
type replicaStatus struct {
	Address string `json:"addr,omitempty"`
	Learner bool   `json:"learner,omitempty"`
	Reached bool   `json:"reached,omitempty"`
	Healthy bool   `json:"sound,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Behind  uint64 `json:"behind,omitempty"`
	Known   bool   `json:"known,omitempty"`
}

// nodeStatus is what the master knows of a traffic node.
type nodeStatus struct {
	Name      string `json:"name,omitempty"`
	Address   string `json:"addr,omitempty"`
	Zone      string `json:"zone,omitempty"`
	Service   string `json:"service,omitempty"`
	Endpoint  string `json:"endpoint,omitempty"`
	Reported  string `json:"reported,omitempty"`
	Official  string `json:"official,omitempty"`
	UserState string `json:"user,omitempty"`
	Slots     uint32 `json:"slots,omitempty"`
	Reached   bool   `json:"reached,omitempty"`
	Reason    string `json:"why,omitempty"`
}

type statusHotKey struct {
	Key     uint64 `json:"key,omitempty"`
	Width   uint32 `json:"width,omitempty"`
	Service string `json:"service,omitempty"`
	Route   string `json:"route,omitempty"`
	// ReadsPerSecond is summed over all nodes.
	ReadsPerSecond float64 `json:"per_s,omitempty"`
	// SinceMicros is a time in microseconds of the Unix epoch.
	SinceMicros int64  `json:"since_us,omitempty"`
	Reason      string `json:"why,omitempty"`
	Nodes       uint32 `json:"nodes,omitempty"`
}

type statusHotCounts struct {
	Widened  uint64 `json:"widened,omitempty"`
	Narrowed uint64 `json:"narrowed,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
}

// convert applies f to each item; nil stays nil.
func convert[From, To any](items []From, f func(From) To) []To {
	if items == nil {
		return nil
	}
	out := make([]To, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}

func newCoreStatus(r *meshpb.StatusResponse) coreStatus {
	return coreStatus{Node: r.Node, Master: r.Master, MasterAddress: r.MasterAddr, Epoch: r.Epoch, ViewVersion: r.View, ConfigVersion: r.Config,
		Membership: newMembership(r.Membership), Shards: convert(r.Shards, newShardStatus), Nodes: convert(r.Nodes, newNodeStatus),
		DiskHealthy: r.DiskSound, Member: r.Member, Listed: r.Listed, Outliers: r.Greys,
		HotKeys: convert(r.Hot, newStatusHotKey), HotKeyCounts: newStatusHotCounts(r.HotCounts)}
}

func newMembership(m *meshpb.Membership) *membership {
	if m == nil {
		return nil
	}
	members := convert(m.Members, func(m *meshpb.Member) member {
		return member{ID: m.Id, Address: m.Addr, ControlAddress: m.Control, Zone: m.Zone}
	})
	return &membership{Version: m.Version, Members: members, Size: m.Size, Gaps: m.Gaps}
}

func newShardStatus(s *meshpb.ShardStatus) shardStatus {
	return shardStatus{Shard: s.Shard, Owner: s.Owner, Epoch: s.Epoch, Version: s.Version, Committed: s.Committed, LeaseMillis: s.LeaseMs,
		Replicas: convert(s.Copies, newReplicaStatus), MayLose: s.MayLose, Owned: s.Owned}
}

func newReplicaStatus(r *meshpb.ReplicaStatus) replicaStatus {
	return replicaStatus{Address: r.Addr, Learner: r.Learner, Reached: r.Reached, Healthy: r.Sound, Leaving: r.Leaving, Behind: r.Behind, Known: r.Known}
}

func newNodeStatus(n *meshpb.NodeStatus) nodeStatus {
	return nodeStatus{Name: n.Name, Address: n.Addr, Zone: n.Zone, Service: n.Service, Endpoint: n.Endpoint, Reported: n.Reported, Official: n.Official,
		UserState: n.User, Slots: n.Slots, Reached: n.Reached, Reason: n.Why}
}

func newStatusHotKey(k *meshpb.HotKey) statusHotKey {
	return statusHotKey{Key: k.Key, Width: k.Width, Service: k.Service, Route: k.Route, ReadsPerSecond: k.PerS, SinceMicros: k.SinceUs, Reason: k.Why, Nodes: k.Nodes}
}

func newStatusHotCounts(c *meshpb.HotCounts) *statusHotCounts {
	if c == nil {
		return nil
	}
	return &statusHotCounts{Widened: c.Widened, Narrowed: c.Narrowed, Refused: c.Refused}
}
