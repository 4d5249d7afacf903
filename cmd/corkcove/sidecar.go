package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"corkcove/internal/desk"
	"corkcove/internal/dialplan"
	"corkcove/internal/options"
	"corkcove/internal/subscriber"
	"corkcove/internal/supervisor"
	"corkcove/internal/switchboard"
	"corkcove/internal/ticket"
	"corkcove/internal/trunk"
)

// front passes new streams to the server made for the limits in force; streams
// that are open keep theirs.
type front struct {
	l   net.Listener
	h   http.Handler
	mu  sync.Mutex
	cur *feed
	lim dialplan.Limits
}

type feed struct {
	ch  chan net.Conn
	end chan struct{}
	a   net.Addr
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.ch:
		return c, nil
	case <-f.end:
		return nil, net.ErrClosed
	}
}
func (f *feed) Close() error   { return nil }
func (f *feed) Addr() net.Addr { return f.a }

func newFront(l net.Listener, h http.Handler) *front {
	f := &front{l: l, h: h}
	f.limit(dialplan.DefaultLimits())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			d := f.cur
			f.mu.Unlock()
			d.ch <- c
		}
	}()
	return f
}

func (f *front) limit(l dialplan.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cur != nil && l == f.lim {
		return
	}
	f.lim = l
	f.cur = &feed{ch: make(chan net.Conn), end: make(chan struct{}), a: f.l.Addr()}
	s := &http.Server{Handler: f.h, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.Header, IdleTimeout: l.Idle}
	go s.Serve(f.cur)
}

func runSidecar(p *process) error {
	o := p.o
	var ls [5]net.Listener
	for i, a := range []string{o.InnerAddr(), o.Network.Listen.Inbound, o.Network.Listen.Outbound, o.Network.Listen.Ready, o.Network.Listen.Control} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		ls[i] = l
	}
	bd := o.Terms.Bounds
	pools := switchboard.NewPools(o.Self.ZoneName, 2.2, 5).Beside(o.Self.NodeName)
	var plan atomic.Pointer[dialplan.Table]
	st := p.newStation(pools, &trunk.NodeState{Inbound: o.Network.Listen.Inbound, Service: o.Self.ServiceName})
	ag := st.ag
	sub := subscriber.New(subscriber.Options{Service: o.Self.ServiceName, Beat: options.Secs(o.Platform.BeatS), Missed: 3, Queue: 1.5,
		Note: p.note("subscriber"), Changed: func(l subscriber.Life) {
			ag.Set(func(n *trunk.NodeState) {
				n.Endpoint = &trunk.Endpoint{Id: l.ID, Service: o.Self.ServiceName, Addr: o.Self.AppAddr, Zone: o.Self.ZoneName,
					Slots: uint32(l.Slots), State: l.State, ColdMs: uint64(l.Cold / time.Millisecond), Release: l.Release, Sound: l.Sound, Ill: uint32(l.Ill)}
			})
		}})

	pacer := switchboard.NewPacer(o.Self.LimitSet.LinkMbps)
	app := trunk.Transport(300*time.Millisecond, 0, 4*time.Second, 64)
	in := switchboard.NewInbound(switchboard.InboundOptions{AppAddr: o.Self.AppAddr, LinkMbps: o.Self.LimitSet.LinkMbps, Pacer: pacer, Desk: sub,
		Line: switchboard.NewAppLine(app, trunk.Transport(300*time.Millisecond, 0, time.Second, 1)), Note: p.note("inbound"),
		Peek: 64 << 10})
	between := trunk.Transport(200*time.Millisecond, 600*time.Millisecond, 30*time.Second, 64)
	between.ExpectContinueTimeout = time.Second
	out := switchboard.NewOutbound(switchboard.OutboundOptions{Service: o.Self.ServiceName, Pools: pools, Plan: &plan, Line: between,
		Budget: st.budget, Pacer: pacer, Cords: st.cords, Tickets: st.tickets, Keys: st.keys, Ready: ag.Ready, Note: p.note("outbound"), Peek: 256 << 10, Margin: 3 * time.Millisecond})
	fr := newFront(ls[2], out)
	takeConfigs(ag, &plan, st.tickets, func(t *dialplan.Table) { fr.limit(t.Limits) })

	go meet(o, ag, sub, &plan, app)
	var leaving atomic.Bool
	st.serve(ls[0], out.Flows, 0)
	ins := &http.Server{Handler: in, IdleTimeout: 2 * time.Minute}
	go ins.Serve(ls[1])
	rd := &http.Server{IdleTimeout: time.Minute, Handler: readiness(func() bool { return !leaving.Load() && ag.Ready() })}
	go rd.Serve(ls[3])
	bs := &http.Server{Handler: desk.NewBeats(sub), IdleTimeout: time.Minute}
	go bs.Serve(ls[4])
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go ag.Run(ctx, 120*time.Millisecond)
	go st.tellKeys(ctx)
	go func() {
		t := time.NewTicker(250 * time.Millisecond)
		defer t.Stop()
		for range t.C {
			sub.Tick()
		}
	}()

	p.wait()
	leaving.Store(true)
	grace := options.Secs(bd.GraceS)
	switchboard.Shutdown{Grace: grace, Linger: min(grace/2, 2500*time.Millisecond), Outbound: out, Inbound: in, StopInbound: func() {
		sub.Stop()
		ag.Set(func(n *trunk.NodeState) { n.State = "stopping" })
	}}.Run()
	return nil
}

// takeConfigs compiles what the master delivers; the agent calls it from one
// goroutine at a time.
func takeConfigs(ag *supervisor.Agent, plan *atomic.Pointer[dialplan.Table], tickets *ticket.Recorder, then func(*dialplan.Table)) {
	var cur dialplan.Doc
	use := func(d dialplan.Doc) {
		t := dialplan.Compile(d)
		cur = d
		plan.Store(t)
		tickets.Config(d.Version, d.Write)
		then(t)
	}
	ag.OnConfig = func(_ uint64, data []byte) error {
		d, err := dialplan.Read(data)
		if err != nil {
			return err
		}
		use(d)
		return nil
	}
	ag.OnPatch = func(version uint64, patches [][]byte) error {
		d := cur
		for _, b := range patches {
			p, err := dialplan.ReadPatch(b)
			if err != nil {
				return err
			}
			if d, err = d.With(p); err != nil {
				return err
			}
		}
		if d.Version != version {
			return dialplan.Error.New("the patches lead to %s, not %s", dialplan.FormatVersion(d.Version), dialplan.FormatVersion(version))
		}
		use(d)
		return nil
	}
}

// meet asks the endpoint who it is when this process has started beside one
// that runs already, rather than wait for its next beat.
func meet(o options.Options, ag *supervisor.Agent, sub *subscriber.Desk, plan *atomic.Pointer[dialplan.Table], line http.RoundTripper) {
	hc := &http.Client{Transport: line, Timeout: 400 * time.Millisecond}
	end := time.Now().Add(options.Secs(o.Platform.BeatS))
	for tries := 0; tries < 3 && time.Now().Before(end) && !sub.Life().Known; {
		time.Sleep(20 * time.Millisecond)
		t, last := plan.Load(), ag.Last()
		if t == nil || last.GetId() == "" || last.Service != o.Self.ServiceName {
			continue
		}
		i, ok := t.Service(o.Self.ServiceName)
		if !ok {
			return
		}
		tries++
		p, err := sling.New().Client(hc).Get("http://" + o.Self.AppAddr + t.Services[i].SoundnessPath).ReceiveSuccess(nil)
		if err != nil || p == nil || p.StatusCode != http.StatusOK {
			continue
		}
		if p.Header.Get("X-Instance-Id") != last.Id {
			return
		}
		sub.Found(last.Id, int(last.Slots))
	}
}
