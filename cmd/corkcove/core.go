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
	// shardCount is part of how names are spread over the stored shards, and so
	// never changes.
	shardCount = 13
	// controllerShard is the shard whose owner is the master; it has what the
	// master stores.
	controllerShard = 0

	// tickInterval is the time between two ticks of the replica and the master.
	tickInterval = 50 * time.Millisecond
	// leaseDuration is how long an owner may serve after a quorum has renewed its
	// lease, and coreHeartbeatInterval how often it asks for that.
	leaseDuration         = 900 * time.Millisecond
	coreHeartbeatInterval = 250 * time.Millisecond
	// executeTimeout is how long a command waits for its commit.
	executeTimeout = 900 * time.Millisecond
	// evictionTimeout is how long a member must be unreachable before it loses its
	// place.
	evictionTimeout = 2 * time.Second
	// checkpointBytes is the size of the log after which it is compacted.
	checkpointBytes = 4 << 20
	// peerCallTimeout bounds calls between core nodes, replicateTimeout those that
	// replicate.
	peerCallTimeout  = 600 * time.Millisecond
	replicateTimeout = 1500 * time.Millisecond

	// apiRetryTimeout is how long the control API tries for a caller.
	apiRetryTimeout = 650 * time.Millisecond
	// apiHeaderTimeout bounds the reading of a request's header.
	apiHeaderTimeout = 5 * time.Second

	// maxLeaveTime bounds how long a core node that ends waits until its shards
	// have other owners, beside three quarters of its grace time.
	maxLeaveTime = 6 * time.Second
	// leaveLinger is how long it goes on answering after that, so that calls under
	// way get their answers.
	leaveLinger = 6 * tickInterval
)

func registerCore(c *commandLine) {
	command := c.app.Command(roleCore, "Keep nodes, endpoints, configuration, locks, numbers and keys.")
	c.handle(command, func() error { return runRole(roleCore, &c.global, runCore) })
}

func runCore(p *process) error {
	directory, err := wal.OpenDirectory(p.options.Self.DataDir)
	if err != nil {
		return err
	}
	log, records, err := wal.Open(directory)
	if err != nil {
		return err
	}
	listeners, err := listenAll(p.options.InternalAddr(), p.options.Network.Listen.Control)
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

// newID returns the random identity of a process or member.
func newID() string {
	var id [8]byte
	// It never fails: without randomness the process ends.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// seedMembers are the core members that the settings name.
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

// newCoreNode makes the master, which does nothing before this node owns the
// controller's shard. openReplica must follow.
func newCoreNode(p *process) *coreNode {
	box := mailbox.New()
	clients := rpc.NewClients(&http.Client{Transport: rpc.NewProbingTransport(300*time.Millisecond, 2*time.Second, 90*time.Second, 8)})
	c := &coreNode{process: p, mailbox: box, service: coordination.NewService(box, shardCount), clients: clients}
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

// openReplica makes the replica from the records of the log.
func (c *coreNode) openReplica(log *wal.Log, records [][]byte) error {
	peers := replication.PeerClient{Mailbox: c.mailbox, Clients: c.clients, CallTimeout: peerCallTimeout, ReplicateTimeout: replicateTimeout}
	storage := replication.WALStorage{Mailbox: c.mailbox, Log: log}
	replica, err := replication.New(c.replicaOptions(), peers, storage, records)
	if err != nil {
		return err
	}
	c.replica, c.service.Replica = replica, replica
	return nil
}

func (c *coreNode) replicaOptions() replication.Options {
	o := c.options
	return replication.Options{
		Self:  &meshpb.Member{Addr: o.InternalAddr(), Control: o.Network.Listen.Control, Zone: o.Self.ZoneName},
		Seeds: seedMembers(o), Bootstrap: o.Self.FirstStart, Shards: shardCount,
		LeaseDuration: leaseDuration, HeartbeatInterval: coreHeartbeatInterval, RequestTimeout: executeTimeout, EvictionTimeout: evictionTimeout,
		CheckpointBytes: checkpointBytes, NewStateMachine: c.newStateMachine,
		NewID: newID, Now: c.now, Rand: mrand.IntN, Log: c.log("replication"),
		OnOwnershipChange: c.onOwnershipChange, OnCommit: c.onCommit, OnEntryProgress: c.onEntryProgress, OnMembershipChange: c.onMembershipChange,
	}
}

func (c *coreNode) newStateMachine() replication.StateMachine {
	table := coordination.NewTable(settings.Seconds(c.options.Requirements.Bounds.HistorySeconds))
	maxSessions := max(c.options.Affinity.MaxSessions/shardCount, 1)
	table.SetPinLimits(settings.Seconds(c.options.Affinity.IdleSeconds), maxSessions)
	return table
}

// serveInternal answers the other core nodes, the traffic nodes and the tools.
func (c *coreNode) serveInternal(listener net.Listener) {
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewReplicationServer(replication.Handler{Mailbox: c.mailbox, Replica: c.replica}))
	rpc.Handle(mux, meshpb.NewControlServer(c))
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(processDiagnostics{c.process}))
	serve(&http.Server{Handler: mux, IdleTimeout: internalIdleTimeout}, listener)
}

// serveControlAPI answers operators and applications.
func (c *coreNode) serveControlAPI(listener net.Listener) *controlapi.CoreServer {
	api := controlapi.NewCoreServer(c.service, apiRetryTimeout)
	api.PeerTransport = rpc.NewTransport(200*time.Millisecond, 700*time.Millisecond, 20*time.Second, 32)
	api.OnConfigAccepted = func(version uint64) {
		c.trace(changetrace.KindConfig, "acknowledged", c.replica.MasterEpoch(), version)
	}
	serve(&http.Server{Handler: api, IdleTimeout: externalIdleTimeout, ReadHeaderTimeout: apiHeaderTimeout}, listener)
	return api
}

// start runs the node's goroutines; that which reads the platform's list ends
// with ctx, those of the mailboxes with these.
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

func (c *coreNode) isLearner() bool {
	learner, _ := mailbox.Call(c.mailbox, c.replica.IsLearner)
	return learner
}

// leave hands this node's shards to others, as far as there is time, and goes on
// answering for a moment, so that calls under way get their answers.
func (c *coreNode) leave() {
	c.mailbox.Post(c.replica.Leave)
	grace := settings.Seconds(c.options.Requirements.Bounds.GraceSeconds)
	deadline := time.Now().Add(min(grace*3/4, maxLeaveTime))
	for time.Now().Before(deadline) {
		if done, _ := mailbox.Call(c.mailbox, c.replica.LeaveComplete); done {
			break
		}
		time.Sleep(tickInterval)
	}
	time.Sleep(leaveLinger)
}
