package main

import "corkcove/internal/rpc/meshpb"

// coreStatus is the JSON output of the status command for one core node. For
// compatibility with the first release, its keys are unchanged and empty values
// are omitted.
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

// membership is the membership of the core that its members have agreed on.
type membership struct {
	Version uint64   `json:"version,omitempty"`
	Members []member `json:"members,omitempty"`
	// Size is the intended number of members.
	Size uint32 `json:"size,omitempty"`
	// Gaps are the member positions that are vacant because the member was removed.
	Gaps []uint32 `json:"gaps,omitempty"`
}

// member is a member of the core.
type member struct {
	ID             string `json:"id,omitempty"`
	Address        string `json:"addr,omitempty"`
	ControlAddress string `json:"control,omitempty"`
	Zone           string `json:"zone,omitempty"`
}

// shardStatus is the state of a core node's replica of a shard and, if the node
// owns the shard, of the other replicas.
type shardStatus struct {
	Shard     uint32 `json:"shard,omitempty"`
	Owner     string `json:"owner,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Committed uint64 `json:"committed,omitempty"`
	// LeaseMillis is the remaining time of the owner's lease in milliseconds.
	LeaseMillis int64           `json:"lease_ms,omitempty"`
	Replicas    []replicaStatus `json:"copies,omitempty"`
	// MayLose is the number of further members that may fail before the shard becomes
	// unavailable.
	MayLose int32 `json:"may_lose,omitempty"`
	Owned   bool  `json:"owned,omitempty"`
}

// replicaStatus is the state of another member's replica as known to the shard's
// owner.
type replicaStatus struct {
	Address string `json:"addr,omitempty"`
	Learner bool   `json:"learner,omitempty"`
	Reached bool   `json:"reached,omitempty"`
	Healthy bool   `json:"sound,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Behind  uint64 `json:"behind,omitempty"`
	Known   bool   `json:"known,omitempty"`
}

// nodeStatus is the state of a traffic node as known to the master.
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

// statusHotKey is a hot key as known to the master.
type statusHotKey struct {
	Key     uint64 `json:"key,omitempty"`
	Width   uint32 `json:"width,omitempty"`
	Service string `json:"service,omitempty"`
	Route   string `json:"route,omitempty"`
	// ReadsPerSecond is summed over all nodes.
	ReadsPerSecond float64 `json:"per_s,omitempty"`
	// SinceMicros is the Unix time, in microseconds, at which the key got its width.
	SinceMicros int64  `json:"since_us,omitempty"`
	Reason      string `json:"why,omitempty"`
	Nodes       uint32 `json:"nodes,omitempty"`
}

// statusHotCounts counts the changes of hot keys' widths, and refused ones, since
// the present master took over.
type statusHotCounts struct {
	Widened  uint64 `json:"widened,omitempty"`
	Narrowed uint64 `json:"narrowed,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
}

// mapSlice returns the results of applying f to each item. It returns nil for nil.
func mapSlice[From, To any](items []From, f func(From) To) []To {
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
		Membership: newMembership(r.Membership), Shards: mapSlice(r.Shards, newShardStatus), Nodes: mapSlice(r.Nodes, newNodeStatus),
		DiskHealthy: r.DiskSound, Member: r.Member, Listed: r.Listed, Outliers: r.Greys,
		HotKeys: mapSlice(r.Hot, newStatusHotKey), HotKeyCounts: newStatusHotCounts(r.HotCounts)}
}

func newMembership(m *meshpb.Membership) *membership {
	if m == nil {
		return nil
	}
	members := mapSlice(m.Members, func(m *meshpb.Member) member {
		return member{ID: m.Id, Address: m.Addr, ControlAddress: m.Control, Zone: m.Zone}
	})
	return &membership{Version: m.Version, Members: members, Size: m.Size, Gaps: m.Gaps}
}

func newShardStatus(s *meshpb.ShardStatus) shardStatus {
	return shardStatus{Shard: s.Shard, Owner: s.Owner, Epoch: s.Epoch, Version: s.Version, Committed: s.Committed, LeaseMillis: s.LeaseMs,
		Replicas: mapSlice(s.Copies, newReplicaStatus), MayLose: s.MayLose, Owned: s.Owned}
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
