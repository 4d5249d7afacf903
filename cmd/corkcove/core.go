package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/changetrace"
	"corkcove/internal/clustercontroller"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/discovery"
	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
	"corkcove/internal/wal"
)

const (
	shards    = 13
	viewBlob  = "view"
	usersBlob = "users"
	tick      = 50 * time.Millisecond
	leaseFor  = 900 * time.Millisecond
	beatEach  = 250 * time.Millisecond
)

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func members(o settings.Options) []*meshpb.Member {
	var out []*meshpb.Member
	for _, s := range o.Network.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, &meshpb.Member{Addr: a.Addr().String() + ":" + strconv.Itoa(o.Network.InternalPorts[0]), Control: s})
		}
	}
	return out
}

type coreNode struct {
	*process
	loop   *mailbox.Mailbox
	board  *replication.Replica
	svc    *coordination.Service
	master *clustercontroller.Master
	conf   uint64
	// confAt is the version of shard 0 under which the newest configuration was
	// proposed here.
	confAt uint64
	lines  *rpc.Clients
}

func (c *coreNode) SaveView(ctx context.Context, v *meshpb.View) error {
	data, err := proto.Marshal(v)
	if err != nil {
		return err
	}
	data = rpc.Pack(data)
	_, err = coordination.Transact(ctx, c.svc, 0, func(t *coordination.Table, _ time.Duration) coordination.Decision[struct{}] {
		return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: &meshpb.Blob{Name: viewBlob, Version: v.Version, Data: data}}}
	})
	return err
}

// keptView reads the last view; of one that can't be read its version is kept.
func keptView(b *meshpb.Blob) *meshpb.View {
	v := &meshpb.View{}
	if b == nil {
		return v
	}
	data, err := rpc.Unpack(b.Data)
	if err != nil || proto.Unmarshal(data, v) != nil {
		return &meshpb.View{Version: b.Version}
	}
	return v
}

func kept(t replication.StateMachine, viewEpoch uint64) *meshpb.StoredVersions {
	c, v := t.Blob(controlapi.ConfigBlob), t.Blob(viewBlob)
	return &meshpb.StoredVersions{ConfigVersion: c.GetVersion(), ConfigDigest: xxhash.Sum64(c.GetData()), ViewVersion: v.GetVersion(), ViewEpoch: viewEpoch, ViewDigest: xxhash.Sum64(v.GetData())}
}

// bundle gives what this member's copy of shard 0 holds of what the master names.
func (c *coreNode) bundle(k *meshpb.StoredVersions) clustercontroller.StoredPayloads {
	type pair struct{ conf, view *meshpb.Blob }
	p, _ := mailbox.Call(c.loop, func() pair {
		t := c.board.StateMachine(0)
		return pair{t.Blob(controlapi.ConfigBlob), t.Blob(viewBlob)}
	})
	var b clustercontroller.StoredPayloads
	if p.conf.GetVersion() == k.ConfigVersion && k.ConfigVersion > 0 && xxhash.Sum64(p.conf.Data) == k.ConfigDigest {
		x := &meshpb.Config{}
		if proto.Unmarshal(p.conf.Data, x) == nil {
			b.Config = x.Packed
		}
	}
	if p.view.GetVersion() == k.ViewVersion && k.ViewVersion > 0 && xxhash.Sum64(p.view.Data) == k.ViewDigest {
		if v := keptView(p.view); v.Epoch > 0 && v.Epoch == k.ViewEpoch {
			b.View, _ = proto.Marshal(v.Lean())
		}
	}
	return b
}

func users(t replication.StateMachine) map[string]string {
	u := &meshpb.UserStates{}
	if b := t.Blob(usersBlob); b != nil {
		proto.Unmarshal(b.Data, u)
	}
	if u.States == nil {
		u.States = map[string]string{}
	}
	return u.States
}

func (c *coreNode) onOwner(i int, own bool, epoch uint64) {
	if !own {
		c.svc.OnOwnerChange(i)
	}
	if i != 0 {
		return
	}
	if !own {
		c.master.Mailbox.Post(c.master.StepDown)
		return
	}
	t := c.board.StateMachine(0)
	conf := controlapi.StoredConfig(t)
	c.conf, c.confAt = conf.Version, 0
	u, r := users(t), c.board.Membership()
	view := keptView(t.Blob(viewBlob))
	k := kept(t, view.Epoch)
	c.master.Mailbox.Post(func() {
		c.master.SetStoredVersions(k)
		c.master.BecomeMaster(epoch, view, u, conf, r)
	})
}

// onCommit hands a configuration to the nodes once it is committed, whatever has
// been proposed after it.
func (c *coreNode) onCommit(i int) {
	c.svc.OnCommit(i)
	if i != 0 || c.board.CommittedVersion(0) < c.confAt {
		return
	}
	t := c.board.StateMachine(0)
	if b := t.Blob(controlapi.ConfigBlob); b != nil && b.Version > c.conf {
		conf := controlapi.StoredConfig(t)
		c.conf = conf.Version
		c.master.Mailbox.Post(func() { c.master.SetConfig(conf) })
	}
}

// SetState keeps a user state beside the others in shard 0; the master caps the
// node's state with it from the next view on.
func (c *coreNode) SetState(ctx context.Context, q *meshpb.SetStateRequest) (*meshpb.SetStateResponse, error) {
	if !lifecycle.State(q.State).SettableByUser() {
		return &meshpb.SetStateResponse{Why: "a state is one of up, maintenance, retired, down"}, nil
	}
	held := c.board.HoldsMasterLease()
	known, _ := mailbox.Call(c.master.Mailbox, func() bool { return c.master.KnowsNode(q.Node) })
	if !held {
		return &meshpb.SetStateResponse{Why: reasonNotMaster, MasterAddr: c.masterAddr()}, nil
	}
	if !known {
		return &meshpb.SetStateResponse{Why: "no node " + strconv.Quote(q.Node) + " is known"}, nil
	}
	u, err := coordination.Transact(ctx, c.svc, 0, func(t *coordination.Table, _ time.Duration) coordination.Decision[map[string]string] {
		u := users(t)
		if lifecycle.State(q.State) == lifecycle.Up {
			delete(u, q.Node)
		} else {
			u[q.Node] = q.State
		}
		data, err := proto.Marshal(&meshpb.UserStates{States: u})
		if err != nil {
			return coordination.Decision[map[string]string]{Err: err}
		}
		return coordination.Decision[map[string]string]{Change: &meshpb.Change{Blob: &meshpb.Blob{Name: usersBlob, Data: data}}, Result: u}
	})
	if err != nil {
		return &meshpb.SetStateResponse{Why: "the state may or may not have been kept; ask again"}, nil
	}
	c.master.Mailbox.Post(func() { c.master.SetUserStates(u, q.Node) })
	return &meshpb.SetStateResponse{Ok: true}, nil
}

func (c *coreNode) masterAddr() string {
	a, _ := mailbox.Call(c.loop, func() string {
		if m, ok := c.board.Owner(0); ok {
			return m.Addr
		}
		return ""
	})
	return a
}

func (c *coreNode) RegisterNode(_ context.Context, q *meshpb.RegisterNodeRequest) (*meshpb.RegisterNodeResponse, error) {
	r, _ := mailbox.Call(c.master.Mailbox, func() *meshpb.RegisterNodeResponse {
		l, is := c.master.RegisterNode(q.Node)
		return &meshpb.RegisterNodeResponse{Master: is, LastEndpoint: l}
	})
	r.Membership, _ = mailbox.Call(c.loop, func() *meshpb.Membership { return c.board.Membership() })
	if !r.Master {
		r.MasterAddr = c.masterAddr()
	}
	return r, nil
}

const (
	followWait = 400 * time.Millisecond
	followStep = 20 * time.Millisecond
)

// await asks the board again and again, for a while after a takeover, until f
// holds or never will.
func (c *coreNode) await(ctx context.Context, f func() (done, never bool)) bool {
	for end := time.Now().Add(followWait); ; {
		var never bool
		done, _ := mailbox.Call(c.loop, func() (d bool) {
			d, never = f()
			return d
		})
		if done || never || time.Now().After(end) || ctx.Err() != nil {
			return done
		}
		time.Sleep(followStep)
	}
}

func holds(t replication.StateMachine, k *meshpb.StoredVersions) bool {
	return t.Blob(controlapi.ConfigBlob).GetVersion() == k.GetConfigVersion() && t.Blob(viewBlob).GetVersion() == k.GetViewVersion()
}

var errNotMine = errors.New("not the master that this member follows")

// Relay brings what the master sends to some of its nodes, while this member's
// lease to it runs: one that was cut off or frozen is not spoken for.
func (c *coreNode) Relay(ctx context.Context, q *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	epoch := max(q.GetPoll().GetEpoch(), q.GetView().GetEpoch(), q.GetConfig().GetEpoch())
	if !c.await(ctx, func() (done, never bool) { return c.board.LeaseGranted(0, epoch), c.board.PromisedEpoch(0) > epoch }) {
		return nil, errNotMine
	}
	b := sync.OnceValue(func() clustercontroller.StoredPayloads {
		// The copy may be about to come.
		c.await(ctx, func() (bool, bool) { return holds(c.board.StateMachine(0), q.Stored), false })
		return c.bundle(q.Stored)
	})
	return clustercontroller.Relay(ctx, c.lines, q, b), nil
}

// readList reads the platform's list while this node is the master. The time
// between readings leaves most of drainS for the view's way to the nodes.
func (c *coreNode) readList(ctx context.Context) {
	pf := c.options.Platform.Cloud
	r := discovery.New(discovery.Options{Address: pf.Address, RequestsPerSecond: pf.RequestsPerSecond, Log: c.log("discovery"),
		HTTPClient: &http.Client{Timeout: time.Second, Transport: rpc.Transport(400*time.Millisecond, time.Second, 30*time.Second, 1)}})
	period := min(max(settings.Seconds(c.options.Requirements.Bounds.DrainSeconds)/3, 300*time.Millisecond), 2*time.Second)
	back := 100 * time.Millisecond
	duty := func() bool {
		is, _ := mailbox.Call(c.master.Mailbox, c.master.IsMaster)
		return is && c.board.HoldsMasterLease()
	}
	for ctx.Err() == nil {
		w := tick
		if duty() {
			t0 := time.Now()
			es, err := r.List(ctx, duty)
			switch {
			case err == nil:
				c.master.Mailbox.Post(func() { c.master.SetListedEndpoints(es) })
				w, back = period-time.Since(t0), 100*time.Millisecond
			default:
				c.log("discovery").Warn("failed to read the platform's endpoint list", "error", err)
				w, back = back, min(2*back, period)
			}
		}
		select {
		case <-time.After(max(w, tick)):
		case <-ctx.Done():
		}
	}
}

func hotKeyOptions(h settings.HotKeys) hotkeys.Options {
	return hotkeys.Options{SlotShare: h.SlotShare, MaxKeys: h.MaxKeys, MaxWidth: h.MaxEndpoints, NarrowAfter: settings.Seconds(h.DecaySeconds)}
}

func registerCore(c *commandLine) {
	command := c.app.Command(roleCore, "Keep nodes, endpoints, configuration, locks, numbers and keys.")
	c.handle(command, func() error { return runRole(roleCore, &c.global, runCore) })
}

func runCore(p *process) error {
	o := p.options
	dk, err := wal.OpenDirectory(o.Self.DataDir)
	if err != nil {
		return err
	}
	book, recs, err := wal.Open(dk)
	if err != nil {
		return err
	}
	inner, err := net.Listen("tcp", o.InternalAddr())
	if err != nil {
		return err
	}
	ctl, err := net.Listen("tcp", o.Network.Listen.Control)
	if err != nil {
		return err
	}
	lines := rpc.NewClients(&http.Client{Transport: rpc.Watched(300*time.Millisecond, 2*time.Second, 90*time.Second, 8)})
	loop := mailbox.New()
	c := &coreNode{process: p, loop: loop, svc: coordination.NewService(loop, shards), lines: lines}
	c.master = clustercontroller.NewMaster(clustercontroller.Options{
		ViewInterval: 250 * time.Millisecond, SendTimePerNode: 4 * time.Millisecond, SettleTime: 60 * time.Millisecond, TakeoverDelay: 150 * time.Millisecond, PollLinger: 2 * time.Second, PollLingerPerNode: 36 * time.Millisecond, MaxPollLinger: 10 * time.Second,
		PollGrace: 800 * time.Millisecond, UnreachableAfter: 700 * time.Millisecond, CrashWindow: time.Minute, CrashLimit: 6, PollFailureLimit: 2,
		HotKeys:  hotKeyOptions(o.HotKeys),
		SelfAddr: o.InternalAddr(), Now: p.now, Log: p.log("clustercontroller"), Trace: func(what string, epoch, version uint64) { p.trace(changetrace.KindView, what, epoch, version) },
		HoldsLease: func() bool { return c.board.HoldsMasterLease() }, InContact: func(a string) bool { return c.board.InContact(a) }, ReadStored: c.bundle,
	}, mailbox.New(), lines, c)
	hist := settings.Seconds(o.Requirements.Bounds.HistorySeconds)
	c.board, err = replication.New(replication.Options{
		Self:  &meshpb.Member{Addr: o.InternalAddr(), Control: o.Network.Listen.Control, Zone: o.Self.ZoneName},
		Seeds: members(o), Bootstrap: o.Self.FirstStart, Shards: shards,
		LeaseDuration: leaseFor, HeartbeatInterval: beatEach, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 4 << 20,
		NewStateMachine: func() replication.StateMachine {
			t := coordination.NewTable(hist)
			t.SetPinLimits(settings.Seconds(o.Affinity.IdleSeconds), max(o.Affinity.MaxSessions/shards, 1))
			return t
		},
		NewID: newID, Now: p.now, Rand: mrand.IntN, Log: p.log("replication"),
		OnOwnershipChange: c.onOwner, OnCommit: c.onCommit, OnEntryProgress: c.onStep,
		OnMembershipChange: func(r *meshpb.Membership) { c.master.Mailbox.Post(func() { c.master.SetMembership(r) }) },
	}, replication.PeerClient{Mailbox: loop, Clients: lines, CallTimeout: 600 * time.Millisecond, ReplicateTimeout: 1500 * time.Millisecond}, replication.WALStorage{Mailbox: loop, Log: book}, recs)
	if err != nil {
		return err
	}
	c.svc.Replica = c.board
	p.log("core").Info("started core node", "member", c.board.Self().Id, "firstStart", o.Self.FirstStart, "records", len(recs))

	door := replication.Handler{Mailbox: loop, Replica: c.board}
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewReplicationServer(door))
	rpc.Handle(mux, meshpb.NewControlServer(c))
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(teller{process: p}))
	is := &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute}
	go is.Serve(inner)
	api := controlapi.NewCoreServer(c.svc, 650*time.Millisecond)
	api.PeerTransport = rpc.Transport(200*time.Millisecond, 700*time.Millisecond, 20*time.Second, 32)
	api.OnConfigAccepted = func(version uint64) { p.trace(changetrace.KindConfig, "acknowledged", c.board.MasterEpoch(), version) }
	cs := &http.Server{Handler: api, IdleTimeout: time.Minute, ReadHeaderTimeout: 5 * time.Second}
	go cs.Serve(ctl)
	go c.master.Mailbox.Run(tick, c.master.Tick)
	go loop.Run(tick, c.board.Tick)
	go p.reloadSeeds(func() bool { out, _ := mailbox.Call(loop, c.board.IsLearner); return out }, func(o settings.Options) {
		loop.Post(func() { c.board.SetExtraSeeds(members(o)) })
	})

	if o.Platform.Discovery == settings.SourceCloud {
		rctx, end := context.WithCancel(context.Background())
		defer end()
		go c.readList(rctx)
	}

	p.waitForStop()
	p.log("core").Info("stopping core node")
	api.Drain()
	loop.Post(c.board.Leave)
	end := time.Now().Add(min(settings.Seconds(o.Requirements.Bounds.GraceSeconds)*3/4, 6*time.Second))
	for time.Now().Before(end) {
		if done, _ := mailbox.Call(loop, c.board.LeaveComplete); done {
			break
		}
		time.Sleep(tick)
	}
	time.Sleep(6 * tick)
	loop.Close()
	book.Close()
	return nil
}
