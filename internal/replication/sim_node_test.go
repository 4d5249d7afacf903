package replication_test

import (
	"fmt"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/logring"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// simNode is a machine with a disk and, while it runs, a process of the core.
type simNode struct {
	cluster     *simCluster
	address     string
	incarnation int
	running     bool
	replica     *replication.Replica
	records     [][]byte
	// syncing are the writes that the disk works on, queued those that wait for it.
	syncing        []write
	queued         []write
	syncDelay      time.Duration
	diskFull       bool
	diskStuck      bool
	lastSyncFailed bool
	bootstrap      bool
	// tickDelay is how much later its ticks come than they should.
	tickDelay time.Duration
	// While the process is frozen, what happens to it waits in backlog.
	frozen   bool
	backlog  []func()
	leaving  bool
	addedAt  time.Duration
	killedAt time.Duration
}

// discoverable tells that the platform's list names the node.
func (n *simNode) discoverable(now time.Duration) bool {
	return n.addedAt+discoveryLag <= now && (n.running || now < n.killedAt+discoveryLag) || n.addedAt == 0 && now < discoveryLag
}

// deliver runs something in one incarnation of the process, later if it is frozen.
func (n *simNode) deliver(incarnation int, function func()) {
	switch {
	case n.incarnation != incarnation:
	case n.frozen:
		n.backlog = append(n.backlog, func() { n.deliver(incarnation, function) })
	default:
		function()
	}
}

func (n *simNode) freeze() { n.frozen = true }

func (n *simNode) unfreeze() {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

func (n *simNode) start() {
	cluster := n.cluster
	n.incarnation++
	n.running = true
	incarnation := n.incarnation
	replica, err := replication.New(replication.Options{
		Self: &meshpb.Member{Addr: n.address, Control: n.address}, Seeds: cluster.seedsFor(n.bootstrap), Bootstrap: n.bootstrap, Shards: simShards,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 20000,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { cluster.createdIDs++; return fmt.Sprintf("id%d", cluster.createdIDs) },
		Now:             func() time.Duration { return cluster.now }, Rand: cluster.rng.Intn,
		Log: logring.New(1, time.Hour, func(e logring.Entry) { cluster.logf("%s %s", n.address, e) }).Logger("replication"),
	}, &simTransport{n, incarnation}, &simStorage{n, incarnation}, append([][]byte(nil), n.records...))
	if err != nil {
		cluster.t.Fatal(err)
	}
	n.bootstrap = false
	n.replica = replica
	var tick func()
	tick = func() {
		n.deliver(incarnation, func() {
			replica.Tick()
			cluster.schedule(50*time.Millisecond+n.tickDelay, tick)
		})
	}
	cluster.schedule(time.Millisecond*time.Duration(cluster.rng.Intn(50)), tick)
}

// kill ends the process; of what the disk had not synced, it keeps a prefix.
func (n *simNode) kill() {
	n.running, n.frozen, n.backlog = false, false, nil
	n.incarnation++
	n.replica, n.killedAt = nil, n.cluster.now
	if unsynced := len(n.syncing); unsynced > 0 {
		for _, j := range n.syncing[:n.cluster.rng.Intn(unsynced+1)] {
			n.store(j)
		}
	}
	n.syncing, n.queued, n.lastSyncFailed = nil, nil, false
}
