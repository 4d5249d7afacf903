package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"corkcove/internal/changetrace"
	"corkcove/internal/clustercontroller"
	"corkcove/internal/connstate"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/hotkeys"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
	"corkcove/internal/wal"
)

const (
	// shardCount is the number of shards of the control state. It must never change,
	// because the assignment of stored names to shards depends on it.
	shardCount = 13
	// controllerShard is the shard whose owner is the master. It contains the data
	// that the master stores.
	controllerShard = 0

	// tickInterval is the interval at which the replica and the master are ticked.
	tickInterval = 50 * time.Millisecond
	// leaseDuration is the time for which an owner may serve after a quorum renewed its
	// lease. coreHeartbeatInterval is the interval at which it requests a renewal.
	leaseDuration         = 900 * time.Millisecond
	coreHeartbeatInterval = 250 * time.Millisecond
	// requestTimeout limits the wait of a proposed change for its commit.
	requestTimeout = 900 * time.Millisecond
	// evictionTimeout is the time without contact after which a member is removed from the
	// membership.
	evictionTimeout = 2 * time.Second
	// checkpointBytes is the size at which the write-ahead log is compacted.
	checkpointBytes = 4 << 20
	// peerCallTimeout limits calls between core nodes, except Replicate calls, which
	// replicateTimeout limits.
	peerCallTimeout  = 600 * time.Millisecond
	replicateTimeout = 1500 * time.Millisecond

	// apiRetryTimeout is the time for which the control API retries a caller's request.
	apiRetryTimeout = 650 * time.Millisecond
	// apiHeaderTimeout limits the time to read the header of a control API request.
	apiHeaderTimeout = 5 * time.Second

	// maxLeaveWait limits how long a core node that shuts down waits until its shards
	// have other owners. Three quarters of the grace period are a second limit.
	maxLeaveWait = 6 * time.Second
	// leaveLinger is the time for which it continues to serve afterwards, so that calls in
	// flight are answered.
	leaveLinger = 6 * tickInterval
)

func registerCore(c *commandLine) {
	command := c.app.Command(roleCore, "Run a core node, which stores nodes, endpoints, configuration, locks, counters and keys.")
	c.handle(command, func() error { return runRole(roleCore, &c.global, runCore) })
}

// runCore runs a core node until the process is told to stop.
func runCore(p *process) error {
	directory, err := wal.OpenDirectory(p.options.Self.DataDir)
	if err != nil {
		return err
	}
	log, records, err := wal.Open(directory)
	if err != nil {
		return err
	}
	listeners, err := listenAll(p.options.BindAddrs(p.options.InternalAddr(), p.options.Network.Listen.Control)...)
	if err != nil {
		return err
	}
	c := newCoreNode(p)
	if err := c.openReplica(log, records); err != nil {
		return err
	}
	p.log("core").Info("started core node", "member", c.replica.Self().Id, "firstStart", p.options.Self.FirstStart, "records", len(records))
	c.serveInternal(listeners[0])
	api := c.serveControlAPI(listeners[1])
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.start(ctx)

	p.waitForStop()
	p.log("core").Info("stopping core node")
	api.Drain()
	c.leave()
	c.mailbox.Close()
	log.Close()
	return nil
}

// newID returns a random ID for a process or member: 16 hexadecimal digits.
func newID() string {
	var id [8]byte
	// rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// seedMembers returns the core members that the settings list as seeds. Seeds that
// are not valid addresses are skipped.
func seedMembers(options settings.Options) []*meshpb.Member {
	var members []*meshpb.Member
	for _, seed := range options.Network.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		internal := address.Addr().String() + ":" + strconv.Itoa(options.Network.InternalPorts[0])
		members = append(members, &meshpb.Member{Addr: internal, Control: seed})
	}
	return members
}

func hotKeyOptions(h settings.HotKeys) hotkeys.Options {
	return hotkeys.Options{SlotShare: h.SlotShare, MaxKeys: h.MaxKeys, MaxWidth: h.MaxEndpoints, NarrowAfter: settings.Seconds(h.DecaySeconds)}
}

// newCoreNode creates a core node and its master, which is idle until this node owns
// the controller shard. The caller must call openReplica next.
func newCoreNode(p *process) *coreNode {
	box := mailbox.New()
	clients := rpc.NewClients(&http.Client{Transport: rpc.NewProbingTransport(300*time.Millisecond, 2*time.Second, 90*time.Second, 8)})
	c := &coreNode{process: p, mailbox: box, coordination: coordination.NewService(box, shardCount), clients: clients}
	c.coordination.CallerGone = func(ctx context.Context) bool { return connstate.PeerClosed(connstate.FromContext(ctx)) }
	c.master = clustercontroller.NewMaster(c.masterOptions(), mailbox.New(), clients, c)
	return c
}

func (c *coreNode) masterOptions() clustercontroller.Options {
	return clustercontroller.Options{
		SelfAddr: c.options.InternalAddr(), Now: c.now, Log: c.log("clustercontroller"),
		Trace:        func(action string, epoch, version uint64) { c.trace(changetrace.KindView, action, epoch, version) },
		ViewInterval: 250 * time.Millisecond, SendTimePerNode: 4 * time.Millisecond, SettleTime: 60 * time.Millisecond, TakeoverDelay: 150 * time.Millisecond,
		PollLinger: 2 * time.Second, PollLingerPerNode: 36 * time.Millisecond, MaxPollLinger: 10 * time.Second, PollGrace: 800 * time.Millisecond,
		PollFailureLimit: 2, UnreachableAfter: 700 * time.Millisecond, CrashLimit: 6, CrashWindow: time.Minute,
		HotKeys:    hotKeyOptions(c.options.HotKeys),
		HoldsLease: func() bool { return c.replica.HoldsMasterLease() },
		InContact:  func(address string) bool { return c.replica.InContact(address) },
		ReadStored: c.readStoredPayloads,
	}
}

// openReplica restores the replica from the records of the write-ahead log.
func (c *coreNode) openReplica(log *wal.Log, records [][]byte) error {
	peers := replication.PeerClient{Mailbox: c.mailbox, Clients: c.clients, CallTimeout: peerCallTimeout, ReplicateTimeout: replicateTimeout}
	storage := replication.WALStorage{Mailbox: c.mailbox, Log: log}
	replica, err := replication.New(c.replicaOptions(), peers, storage, records)
	if err != nil {
		return err
	}
	c.replica, c.coordination.Replica = replica, replica
	return nil
}

func (c *coreNode) replicaOptions() replication.Options {
	o := c.options
	return replication.Options{
		Self:  &meshpb.Member{Addr: o.InternalAddr(), Control: o.Network.Listen.Control, Zone: o.Self.ZoneName},
		Seeds: seedMembers(o), Bootstrap: o.Self.FirstStart, Shards: shardCount,
		LeaseDuration: leaseDuration, HeartbeatInterval: coreHeartbeatInterval, RequestTimeout: requestTimeout, EvictionTimeout: evictionTimeout,
		CheckpointBytes: checkpointBytes, NewStateMachine: c.newStateMachine,
		NewID: newID, Now: c.now, Rand: mrand.IntN, Log: c.log("replication"),
		OnOwnershipChange: c.onOwnershipChange, OnCommit: c.onCommit, OnEntryProgress: c.onEntryProgress, OnMembershipChange: c.onMembershipChange,
	}
}

// newStateMachine returns the empty state machine of a shard. The limit on sessions
// is divided equally among the shards.
func (c *coreNode) newStateMachine() replication.StateMachine {
	table := coordination.NewTable(settings.Seconds(c.options.Requirements.Bounds.HistorySeconds))
	maxSessions := max(c.options.Affinity.MaxSessions/shardCount, 1)
	table.SetPinLimits(settings.Seconds(c.options.Affinity.IdleSeconds), maxSessions)
	return table
}

// serveInternal serves the RPCs of other core nodes, traffic nodes and tools.
func (c *coreNode) serveInternal(listener net.Listener) {
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewReplicationServer(replication.Handler{Mailbox: c.mailbox, Replica: c.replica}))
	rpc.Handle(mux, meshpb.NewControlServer(c))
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(processDiagnostics{c.process}))
	c.serve(&http.Server{Handler: mux, IdleTimeout: internalIdleTimeout}, listener)
}

// serveControlAPI serves the HTTP API for operators and applications.
func (c *coreNode) serveControlAPI(listener net.Listener) *controlapi.CoreServer {
	api := controlapi.NewCoreServer(c.coordination, apiRetryTimeout)
	api.PeerTransport = rpc.NewTransport(200*time.Millisecond, 700*time.Millisecond, 20*time.Second, 32)
	api.OnConfigAccepted = func(version uint64) {
		c.trace(changetrace.KindConfig, "acknowledged", c.replica.MasterEpoch(), version)
	}
	api.Log = c.log("controlapi")
	c.serveClients(&http.Server{Handler: api, ConnContext: controlapi.ConnContext, IdleTimeout: externalIdleTimeout, ReadHeaderTimeout: apiHeaderTimeout}, listener)
	return api
}

// start starts the node's goroutines. The discovery goroutine ends when ctx is
// cancelled, the goroutine of a mailbox when that mailbox is closed.
func (c *coreNode) start(ctx context.Context) {
	go c.master.Mailbox.Run(tickInterval, c.master.Tick)
	go c.mailbox.Run(tickInterval, c.replica.Tick)
	go c.reloadSeeds(c.isLearner, func(o settings.Options) {
		c.mailbox.Post(func() { c.replica.SetExtraSeeds(seedMembers(o)) })
	})
	if c.options.Platform.Discovery == settings.SourceCloud {
		go c.pollDiscovery(ctx)
	}
}

// isLearner reports whether this node is outside the core's membership.
func (c *coreNode) isLearner() bool {
	learner, _ := mailbox.Call(c.mailbox, c.replica.IsLearner)
	return learner
}

// leave transfers the ownership of this node's shards to other nodes, as far as time
// permits. It then continues to serve for leaveLinger, so that calls in flight are
// answered.
func (c *coreNode) leave() {
	c.mailbox.Post(c.replica.Leave)
	grace := settings.Seconds(c.options.Requirements.Bounds.GraceSeconds)
	deadline := time.Now().Add(min(grace*3/4, maxLeaveWait))
	for time.Now().Before(deadline) {
		if done, _ := mailbox.Call(c.mailbox, c.replica.LeaveComplete); done {
			break
		}
		time.Sleep(tickInterval)
	}
	time.Sleep(leaveLinger)
}
