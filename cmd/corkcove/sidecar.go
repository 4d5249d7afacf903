package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"corkcove/internal/controlapi"
	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
	"corkcove/internal/nodeagent"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/requestlog"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

// front passes new streams to the server made for the limits in force; streams
// that are open keep theirs.
type front struct {
	l   net.Listener
	h   http.Handler
	mu  sync.Mutex
	cur *feed
	lim routeconfig.Limits
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
	f.limit(routeconfig.DefaultLimits())
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

func (f *front) limit(l routeconfig.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cur != nil && l == f.lim {
		return
	}
	f.lim = l
	f.cur = &feed{ch: make(chan net.Conn), end: make(chan struct{}), a: f.l.Addr()}
	s := &http.Server{Handler: f.h, MaxHeaderBytes: l.MaxHeaderBytes, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	go s.Serve(f.cur)
}

func registerSidecar(c *commandLine) {
	command := c.app.Command(roleSidecar, "Carry the traffic of the endpoint on this machine.")
	c.handle(command, func() error { return runRole(roleSidecar, &c.global, runSidecar) })
}

func runSidecar(p *process) error {
	o := p.options
	var ls [5]net.Listener
	for i, a := range []string{o.InternalAddr(), o.Network.Listen.Inbound, o.Network.Listen.Outbound, o.Network.Listen.Ready, o.Network.Listen.Control} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		ls[i] = l
	}
	bd := o.Requirements.Bounds
	pools := loadbalancer.New(o.Self.ZoneName, 2.2, 5).SetLocalNode(o.Self.NodeName)
	var plan atomic.Pointer[routeconfig.Table]
	st := p.newStation(pools, &meshpb.NodeState{Inbound: o.Network.Listen.Inbound, Service: o.Self.ServiceName})
	ag := st.ag
	sub := endpointagent.New(endpointagent.Options{Service: o.Self.ServiceName, HeartbeatInterval: settings.Seconds(o.Platform.HeartbeatSeconds), MissedHeartbeats: 3, QueuePerSlot: 1.5,
		Log: p.log("endpointagent"), OnChange: func(l endpointagent.Status) {
			ag.UpdateState(func(n *meshpb.NodeState) {
				n.Endpoint = &meshpb.Endpoint{Id: l.ID, Service: o.Self.ServiceName, Addr: o.Self.AppAddr, Zone: o.Self.ZoneName,
					Slots: uint32(l.Slots), State: string(l.State), WarmupMs: uint64(l.Warmup / time.Millisecond), SoftwareVersion: l.SoftwareVersion, Healthy: l.Healthy, FailurePercent: uint32(l.FailurePercent)}
			})
		}})

	pacer := proxy.NewPacer(o.Self.Limits.LinkMbps)
	app := rpc.Transport(300*time.Millisecond, 0, 4*time.Second, 64)
	in := proxy.NewInbound(proxy.InboundOptions{AppAddr: o.Self.AppAddr, LinkMbps: o.Self.Limits.LinkMbps, Pacer: pacer, Agent: sub,
		AppClient:   proxy.NewAppClient(app, rpc.Transport(300*time.Millisecond, 0, time.Second, 1)),
		BufferLimit: 64 << 10})
	between := rpc.Transport(200*time.Millisecond, 600*time.Millisecond, 30*time.Second, 64)
	between.ExpectContinueTimeout = time.Second
	out := proxy.NewOutbound(proxy.OutboundOptions{Service: o.Self.ServiceName, Balancer: pools, Routes: &plan, Transport: between,
		RetryBudget: st.budget, Pacer: pacer, Sessions: st.cords, RequestLog: st.tickets, KeyMeter: st.keys, Ready: ag.Ready, Log: p.log("outbound"), BufferLimit: 256 << 10, DeadlineMargin: 3 * time.Millisecond})
	fr := newFront(ls[2], out)
	takeConfigs(ag, &plan, st.tickets, func(t *routeconfig.Table) { fr.limit(t.Limits) })

	go meet(o, ag, sub, &plan, app)
	var leaving atomic.Bool
	st.serve(ls[0], out.Flows, 0)
	ins := &http.Server{Handler: in, IdleTimeout: 2 * time.Minute}
	go ins.Serve(ls[1])
	rd := &http.Server{IdleTimeout: time.Minute, Handler: readiness(func() bool { return !leaving.Load() && ag.Ready() })}
	go rd.Serve(ls[3])
	bs := &http.Server{Handler: controlapi.NewEndpointServer(sub), IdleTimeout: time.Minute}
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

	p.waitForStop()
	leaving.Store(true)
	grace := settings.Seconds(bd.GraceSeconds)
	proxy.Shutdown{Grace: grace, Linger: min(grace/2, 2500*time.Millisecond), Outbound: out, Inbound: in, StopInbound: func() {
		sub.Stop()
		ag.UpdateState(func(n *meshpb.NodeState) { n.State = string(lifecycle.Stopping) })
	}}.Run()
	return nil
}

// takeConfigs compiles what the master delivers; the agent calls it from one
// goroutine at a time.
func takeConfigs(ag *nodeagent.Agent, plan *atomic.Pointer[routeconfig.Table], tickets *requestlog.Recorder, then func(*routeconfig.Table)) {
	var cur routeconfig.Config
	use := func(d routeconfig.Config) {
		t := routeconfig.Compile(d)
		cur = d
		plan.Store(t)
		tickets.RecordConfig(d.Version, d.Marshal)
		then(t)
	}
	ag.OnConfig = func(_ uint64, data []byte) error {
		d, err := routeconfig.Parse(data)
		if err != nil {
			return err
		}
		use(d)
		return nil
	}
	ag.OnPatch = func(version uint64, patches [][]byte) error {
		d := cur
		for _, b := range patches {
			p, err := routeconfig.ParsePatch(b)
			if err != nil {
				return err
			}
			if d, err = d.Apply(p); err != nil {
				return err
			}
		}
		if d.Version != version {
			return routeconfig.Error.New("the patches lead to %s, not %s", routeconfig.FormatVersion(d.Version), routeconfig.FormatVersion(version))
		}
		use(d)
		return nil
	}
}

// meet asks the endpoint who it is when this process has started beside one
// that runs already, rather than wait for its next beat.
func meet(o settings.Options, ag *nodeagent.Agent, sub *endpointagent.Agent, plan *atomic.Pointer[routeconfig.Table], line http.RoundTripper) {
	hc := &http.Client{Transport: line, Timeout: 400 * time.Millisecond}
	end := time.Now().Add(settings.Seconds(o.Platform.HeartbeatSeconds))
	for tries := 0; tries < 3 && time.Now().Before(end) && !sub.Status().Known; {
		time.Sleep(20 * time.Millisecond)
		t, last := plan.Load(), ag.LastEndpoint()
		if t == nil || last.GetId() == "" || last.Service != o.Self.ServiceName {
			continue
		}
		i, ok := t.ServiceIndex(o.Self.ServiceName)
		if !ok {
			return
		}
		tries++
		p, err := sling.New().Client(hc).Get("http://" + o.Self.AppAddr + t.Services[i].HealthCheckPath).ReceiveSuccess(nil)
		if err != nil || p == nil || p.StatusCode != http.StatusOK {
			continue
		}
		if p.Header.Get("X-Instance-Id") != last.Id {
			return
		}
		sub.RecordProbe(last.Id, int(last.Slots))
	}
}
