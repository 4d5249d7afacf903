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

	"corkcove/internal/desk"
	"corkcove/internal/directory"
	"corkcove/internal/exchange"
	"corkcove/internal/numbering"
	"corkcove/internal/options"
	"corkcove/internal/supervisor"
	"corkcove/internal/tollbook"
	"corkcove/internal/tracer"
	"corkcove/internal/trunk"
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

func members(o options.Options) []*trunk.Member {
	var out []*trunk.Member
	for _, s := range o.Network.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, &trunk.Member{Addr: a.Addr().String() + ":" + strconv.Itoa(o.Network.InnerPorts[0]), Control: s})
		}
	}
	return out
}

type coreNode struct {
	*process
	loop   *exchange.Loop
	board  *exchange.Board
	svc    *numbering.Service
	master *supervisor.Master
	conf   uint64
	// confAt is the version of shard 0 under which the newest configuration was
	// proposed here.
	confAt uint64
	lines  *trunk.Lines
}

func (c *coreNode) SaveView(ctx context.Context, v *trunk.View) error {
	data, err := proto.Marshal(v)
	if err != nil {
		return err
	}
	data = trunk.Pack(data)
	_, err = numbering.Run(ctx, c.svc, 0, func(t *numbering.Table, _ time.Duration) (*trunk.Change, bool) {
		return &trunk.Change{Blob: &trunk.Blob{Name: viewBlob, Version: v.Version, Data: data}}, true
	})
	return err
}

// keptView reads the last view; of one that can't be read its version is kept.
func keptView(b *trunk.Blob) *trunk.View {
	v := &trunk.View{}
	if b == nil {
		return v
	}
	data, err := trunk.Unpack(b.Data)
	if err != nil || proto.Unmarshal(data, v) != nil {
		return &trunk.View{Version: b.Version}
	}
	return v
}

func kept(t exchange.Table, viewEpoch uint64) *trunk.Kept {
	c, v := t.Blob(desk.ConfigBlob), t.Blob(viewBlob)
	return &trunk.Kept{Config: c.GetVersion(), ConfigSum: xxhash.Sum64(c.GetData()), View: v.GetVersion(), ViewEpoch: viewEpoch, ViewSum: xxhash.Sum64(v.GetData())}
}

// bundle gives what this member's copy of shard 0 holds of what the master names.
func (c *coreNode) bundle(k *trunk.Kept) supervisor.Bundle {
	type pair struct{ conf, view *trunk.Blob }
	p, _ := exchange.Ask(c.loop, func() pair {
		t := c.board.Table(0)
		return pair{t.Blob(desk.ConfigBlob), t.Blob(viewBlob)}
	})
	var b supervisor.Bundle
	if p.conf.GetVersion() == k.Config && k.Config > 0 && xxhash.Sum64(p.conf.Data) == k.ConfigSum {
		x := &trunk.Config{}
		if proto.Unmarshal(p.conf.Data, x) == nil {
			b.Config = x.Packed
		}
	}
	if p.view.GetVersion() == k.View && k.View > 0 && xxhash.Sum64(p.view.Data) == k.ViewSum {
		if v := keptView(p.view); v.Epoch > 0 && v.Epoch == k.ViewEpoch {
			b.View, _ = proto.Marshal(v.Lean())
		}
	}
	return b
}

func users(t exchange.Table) map[string]string {
	u := &trunk.UserStates{}
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
		c.svc.Moved(i)
	}
	if i != 0 {
		return
	}
	if !own {
		c.master.Loop.Put(c.master.Step)
		return
	}
	t := c.board.Table(0)
	conf := desk.ReadConfig(t)
	c.conf, c.confAt = conf.Version, 0
	u, r := users(t), c.board.Membership()
	view := keptView(t.Blob(viewBlob))
	k := kept(t, view.Epoch)
	c.master.Loop.Put(func() {
		c.master.SetKept(k)
		c.master.Lead(epoch, view, u, conf, r)
	})
}

// onCommit hands a configuration to the nodes once it is committed, whatever has
// been proposed after it.
func (c *coreNode) onCommit(i int) {
	c.svc.Committed(i)
	if i != 0 || c.board.Committed(0) < c.confAt {
		return
	}
	t := c.board.Table(0)
	if b := t.Blob(desk.ConfigBlob); b != nil && b.Version > c.conf {
		conf := desk.ReadConfig(t)
		c.conf = conf.Version
		c.master.Loop.Put(func() { c.master.SetConfig(conf) })
	}
}

// SetState keeps a user state beside the others in shard 0; the master caps the
// node's state with it from the next view on.
func (c *coreNode) SetState(ctx context.Context, q *trunk.SetStateReq) (*trunk.SetStateResp, error) {
	if !supervisor.UserState(q.State) {
		return &trunk.SetStateResp{Why: "a state is one of up, maintenance, retired, down"}, nil
	}
	held := c.board.Leased()
	known, _ := exchange.Ask(c.master.Loop, func() bool { return c.master.Knows(q.Node) })
	if !held {
		return &trunk.SetStateResp{Why: "not the master", MasterAddr: c.masterAddr()}, nil
	}
	if !known {
		return &trunk.SetStateResp{Why: "no node " + strconv.Quote(q.Node) + " is known"}, nil
	}
	u, err := numbering.Run(ctx, c.svc, 0, func(t *numbering.Table, _ time.Duration) (*trunk.Change, map[string]string) {
		u := users(t)
		if q.State == supervisor.Up {
			delete(u, q.Node)
		} else {
			u[q.Node] = q.State
		}
		data, err := proto.Marshal(&trunk.UserStates{States: u})
		if err != nil {
			return nil, nil
		}
		return &trunk.Change{Blob: &trunk.Blob{Name: usersBlob, Data: data}}, u
	})
	if err != nil || u == nil {
		return &trunk.SetStateResp{Why: "the state may or may not have been kept; ask again"}, nil
	}
	c.master.Loop.Put(func() { c.master.SetUsers(u, q.Node) })
	return &trunk.SetStateResp{Ok: true}, nil
}

func (c *coreNode) masterAddr() string {
	a, _ := exchange.Ask(c.loop, func() string {
		if m, ok := c.board.Owner(0); ok {
			return m.Addr
		}
		return ""
	})
	return a
}

func (c *coreNode) Hello(_ context.Context, q *trunk.HelloReq) (*trunk.HelloResp, error) {
	r, _ := exchange.Ask(c.master.Loop, func() *trunk.HelloResp {
		l, is := c.master.Hello(q.Node)
		return &trunk.HelloResp{Master: is, Last: l}
	})
	r.Membership, _ = exchange.Ask(c.loop, func() *trunk.Membership { return c.board.Membership() })
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
		done, _ := exchange.Ask(c.loop, func() (d bool) {
			d, never = f()
			return d
		})
		if done || never || time.Now().After(end) || ctx.Err() != nil {
			return done
		}
		time.Sleep(followStep)
	}
}

func holds(t exchange.Table, k *trunk.Kept) bool {
	return t.Blob(desk.ConfigBlob).GetVersion() == k.GetConfig() && t.Blob(viewBlob).GetVersion() == k.GetView()
}

var errNotMine = errors.New("not the master that this member follows")

// Relay brings what the master sends to some of its nodes, while this member's
// lease to it runs: one that was cut off or frozen is not spoken for.
func (c *coreNode) Relay(ctx context.Context, q *trunk.RelayReq) (*trunk.RelayResp, error) {
	epoch := max(q.GetPoll().GetEpoch(), q.GetView().GetEpoch(), q.GetConfig().GetEpoch())
	if !c.await(ctx, func() (done, never bool) { return c.board.Follows(0, epoch), c.board.Promised(0) > epoch }) {
		return nil, errNotMine
	}
	b := sync.OnceValue(func() supervisor.Bundle {
		// The copy may be about to come.
		c.await(ctx, func() (bool, bool) { return holds(c.board.Table(0), q.Kept), false })
		return c.bundle(q.Kept)
	})
	return supervisor.Relay(ctx, c.lines, q, b), nil
}

// readList reads the platform's list while this node is the master. The time
// between readings leaves most of drainS for the view's way to the nodes.
func (c *coreNode) readList(ctx context.Context) {
	pf := c.o.Platform.Cloud
	r := directory.New(directory.Options{Address: pf.Address, PerS: pf.RatePerS, Note: c.note("directory"),
		Client: &http.Client{Timeout: time.Second, Transport: trunk.Transport(400*time.Millisecond, time.Second, 30*time.Second, 1)}})
	period := min(max(options.Secs(c.o.Terms.Bounds.DrainS)/3, 300*time.Millisecond), 2*time.Second)
	back := 100 * time.Millisecond
	duty := func() bool {
		is, _ := exchange.Ask(c.master.Loop, c.master.Leading)
		return is && c.board.Leased()
	}
	for ctx.Err() == nil {
		w := tick
		if duty() {
			t0 := time.Now()
			es, err := r.Read(ctx, duty)
			switch {
			case err == nil:
				c.master.Loop.Put(func() { c.master.SetListed(es) })
				w, back = period-time.Since(t0), 100*time.Millisecond
			default:
				c.note("directory")("the platform's list was not read: %v", err)
				w, back = back, min(2*back, period)
			}
		}
		select {
		case <-time.After(max(w, tick)):
		case <-ctx.Done():
		}
	}
}

func hotOptions(h options.Hot) supervisor.HotOptions {
	return supervisor.HotOptions{Share: h.Share, Most: h.Most, Width: h.Width, Fall: options.Secs(h.FallS)}
}

func runCore(p *process) error {
	o := p.o
	dk, err := tollbook.Folder(o.Self.DataDir)
	if err != nil {
		return err
	}
	book, recs, err := tollbook.Open(dk)
	if err != nil {
		return err
	}
	inner, err := net.Listen("tcp", o.InnerAddr())
	if err != nil {
		return err
	}
	ctl, err := net.Listen("tcp", o.Network.Listen.Control)
	if err != nil {
		return err
	}
	lines := trunk.NewLines(&http.Client{Transport: trunk.Watched(300*time.Millisecond, 2*time.Second, 90*time.Second, 8)})
	loop := exchange.NewLoop()
	c := &coreNode{process: p, loop: loop, svc: numbering.NewService(loop, shards), lines: lines}
	c.master = supervisor.NewMaster(supervisor.Options{
		Interval: 250 * time.Millisecond, PerNode: 4 * time.Millisecond, Settle: 60 * time.Millisecond, Transition: 150 * time.Millisecond, Linger: 2 * time.Second, LingerPer: 36 * time.Millisecond, LingerMost: 10 * time.Second,
		Grace: 800 * time.Millisecond, Silent: 700 * time.Millisecond, Window: time.Minute, Crashes: 6, Fails: 2,
		Hot: hotOptions(o.Hot),
		Me:  o.InnerAddr(), Now: p.now, Note: p.note("supervisor"), Trace: func(what string, epoch, version uint64) { p.trace(tracer.View, what, epoch, version) },
		Leased: func() bool { return c.board.Leased() }, Reached: func(a string) bool { return c.board.Reached(a) }, Bundle: c.bundle,
	}, exchange.NewLoop(), lines, c)
	hist := options.Secs(o.Terms.Bounds.HistoryS)
	c.board, err = exchange.New(exchange.Options{
		Me:    &trunk.Member{Addr: o.InnerAddr(), Control: o.Network.Listen.Control, Zone: o.Self.ZoneName},
		Seeds: members(o), First: o.Self.FirstStart, Shards: shards,
		Lease: leaseFor, Beat: beatEach, CallWait: 900 * time.Millisecond, Unreached: 2 * time.Second, LogBytes: 4 << 20,
		NewTable: func() exchange.Table {
			t := numbering.NewTable(hist)
			t.BoundPins(options.Secs(o.Pins.IdleS), max(o.Pins.Most/shards, 1))
			return t
		},
		NewID: newID, Now: p.now, Rand: mrand.IntN, Note: p.note("exchange"),
		OnOwner: c.onOwner, OnCommit: c.onCommit, OnStep: c.onStep,
		OnMembership: func(r *trunk.Membership) { c.master.Loop.Put(func() { c.master.SetMembership(r) }) },
	}, exchange.Net{Loop: loop, Lines: lines, Short: 600 * time.Millisecond, Long: 1500 * time.Millisecond}, exchange.Shelf{Loop: loop, Book: book}, recs)
	if err != nil {
		return err
	}
	c.svc.Board = c.board
	p.note("core")("starts as %s, first start %v, %d records", c.board.Me().Id, o.Self.FirstStart, len(recs))

	door := exchange.Door{Loop: loop, Board: c.board}
	mux := http.NewServeMux()
	mux.Handle(trunk.ExchangePathPrefix, trunk.NewExchangeServer(door))
	mux.Handle(trunk.ControlPathPrefix, trunk.NewControlServer(c))
	mux.Handle(trunk.TracerPathPrefix, trunk.NewTracerServer(teller{process: p}))
	is := &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute}
	go is.Serve(inner)
	api := desk.NewCore(c.svc, 650*time.Millisecond)
	api.Near = trunk.Transport(200*time.Millisecond, 700*time.Millisecond, 20*time.Second, 32)
	api.Acked = func(version uint64) { p.trace(tracer.Config, "acknowledged", c.board.Epoch0(), version) }
	cs := &http.Server{Handler: api, IdleTimeout: time.Minute, ReadHeaderTimeout: 5 * time.Second}
	go cs.Serve(ctl)
	go c.master.Loop.Run(tick, c.master.Tick)
	go loop.Run(tick, c.board.Tick)
	go p.reseed(func() bool { out, _ := exchange.Ask(loop, c.board.Blank); return out }, func(o options.Options) {
		loop.Put(func() { c.board.Reseed(members(o)) })
	})

	if o.Platform.Discovery == options.FromCloud {
		rctx, end := context.WithCancel(context.Background())
		defer end()
		go c.readList(rctx)
	}

	p.wait()
	p.note("core")("stops")
	api.Leave()
	loop.Put(c.board.Leave)
	end := time.Now().Add(min(options.Secs(o.Terms.Bounds.GraceS)*3/4, 6*time.Second))
	for time.Now().Before(end) {
		if done, _ := exchange.Ask(loop, c.board.Done); done {
			break
		}
		time.Sleep(tick)
	}
	time.Sleep(6 * tick)
	loop.Close()
	book.Close()
	return nil
}
