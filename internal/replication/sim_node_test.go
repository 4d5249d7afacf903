package replication_test

import (
	"fmt"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/logring"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// quotaPeriod is the period of a processor quota.
const quotaPeriod = 100 * time.Millisecond

// simNode is a simulated machine. It has a disk and, while running is set, a process with a
// replica.
type simNode struct {
	cluster *simCluster
	address string
	// incarnation increments with each start and kill of the process.
	incarnation int
	running     bool
	replica     *replication.Replica
	// records is the content of the disk.
	records [][]byte
	// syncing contains the writes that the disk is syncing, queued those that wait for it.
	syncing        []write
	queued         []write
	syncDelay      time.Duration
	diskFull       bool
	diskStalled    bool
	lastSyncFailed bool
	bootstrap      bool
	// tickDelay is how much longer than usual the time between two ticks is.
	tickDelay time.Duration
	// frozen is set while the process is suspended, throttled while its processor quota is
	// spent. The events that it would handle wait in backlog.
	frozen    bool
	throttled bool
	backlog   []func()
	// leaving is set from SIGTERM until the process exits; see scenarioRun.terminate.
	leaving  bool
	addedAt  time.Duration
	killedAt time.Duration
}

// discoverable reports whether service discovery lists the node.
func (n *simNode) discoverable(now time.Duration) bool {
	return n.addedAt+discoveryLag <= now && (n.running || now < n.killedAt+discoveryLag) || n.addedAt == 0 && now < discoveryLag
}

// deliver runs a function in the given incarnation of the process, or later if the process
// is frozen or throttled. If that incarnation no longer runs, deliver does nothing.
func (n *simNode) deliver(incarnation int, function func()) {
	switch {
	case n.incarnation != incarnation:
	case n.frozen || n.throttled:
		n.backlog = append(n.backlog, func() { n.deliver(incarnation, function) })
	default:
		function()
	}
}

// freeze suspends the process.
func (n *simNode) freeze() { n.frozen = true }

// unfreeze resumes the process, which then handles its backlog.
func (n *simNode) unfreeze() {
	n.frozen = false
	n.handleBacklog()
}

// setQuota makes the process run only for the given part of each quotaPeriod, from now on.
// The periods of the nodes begin at different times.
func (n *simNode) setQuota(quota time.Duration) {
	var begin func()
	begin = func() {
		n.throttled = false
		n.handleBacklog()
		n.cluster.schedule(quota, func() { n.throttled = true })
		n.cluster.schedule(quotaPeriod, begin)
	}
	n.cluster.schedule(time.Duration(n.cluster.rng.Int63n(int64(quotaPeriod))), begin)
}

// handleBacklog handles the events that waited while the process did not run.
func (n *simNode) handleBacklog() {
	if n.frozen || n.throttled {
		return
	}
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// start starts the process with the records on disk. It ticks every 50 ms.
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

// kill ends the process without warning. Of the writes that were being synced, a random
// prefix reaches the disk.
func (n *simNode) kill() {
	n.running, n.frozen, n.backlog = false, false, nil
	n.incarnation++
	n.replica, n.killedAt = nil, n.cluster.now
	if unsynced := len(n.syncing); unsynced > 0 {
		for _, w := range n.syncing[:n.cluster.rng.Intn(unsynced+1)] {
			n.store(w)
		}
	}
	n.syncing, n.queued, n.lastSyncFailed = nil, nil, false
}
