package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/dialplan"
	"corkcove/internal/options"
	"corkcove/internal/supervisor"
	"corkcove/internal/switchboard"
	"corkcove/internal/trunk"
)

const (
	blamesEach = 500 * time.Millisecond
	nearOnes   = 24
	// lastCalls is how long before its end a leaving process takes no more
	// requests, where clients still come.
	lastCalls = 1800 * time.Millisecond
)

// runEdge is the gateway: the outbound chain in front of endpoints that it
// dials itself.
func runEdge(p *process) error {
	o := p.o
	var ls [3]net.Listener
	for i, a := range []string{o.InnerAddr(), o.Network.Listen.Front, o.Network.Listen.Ready} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		ls[i] = l
	}
	bd := o.Terms.Bounds
	lines := trunk.NewLines(&http.Client{Transport: trunk.Transport(300*time.Millisecond, 2*time.Second, 90*time.Second, 4)})
	pools := switchboard.NewPools(o.Self.SiteName, 2.2, 5).Prefer(o.Self.NodeName, nearOnes)
	var plan atomic.Pointer[dialplan.Table]
	ag := &supervisor.Agent{Lines: lines, Seeds: o.SeedInner(), Life: newID(), Name: o.Self.NodeName, Quiet: 2400 * time.Millisecond,
		Now: p.now, Note: p.note("supervisor"), Trace: p.trace}
	ag.Start(&trunk.NodeState{Name: o.Self.NodeName, Life: ag.Life, Addr: o.InnerAddr(), Site: o.Self.SiteName, State: "up"})
	app := switchboard.NewAppLine(trunk.Transport(300*time.Millisecond, 800*time.Millisecond, 6*time.Second, 4),
		trunk.Transport(300*time.Millisecond, 800*time.Millisecond, time.Second, 1))
	cords := p.newCords(lines, ag)
	tickets := p.newTickets()
	ag.OnView = func(v *trunk.View) {
		pools.Set(v)
		tickets.View(v)
	}
	budget := switchboard.NewBudget(bd.RetryRatio, bd.RetrySlack, options.Secs(bd.RetryWindowS), pools.Nodes, p.now)
	out := switchboard.NewOutbound(switchboard.OutboundOptions{Pools: pools, Plan: &plan, App: app,
		Budget: budget, Cords: cords, Tickets: tickets, Ready: ag.Ready, Note: p.note("outbound"), Peek: 256 << 10, Margin: 3 * time.Millisecond})
	fr := newFront(ls[1], out)
	takeConfigs(ag, &plan, tickets, func(t *dialplan.Table) { fr.limit(t.Limits) })
	var leaving atomic.Bool
	mux := http.NewServeMux()
	mux.Handle(trunk.NodePathPrefix, trunk.NewNodeServer(ag))
	far, heavy := pools.Weights()
	mux.Handle(trunk.TracerPathPrefix, trunk.NewTracerServer(teller{process: p, flows: out.Flows, far: far, heavy: heavy, cords: cords, config: ag.Config, tickets: tickets, near: nearOnes}))
	is := &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute}
	go is.Serve(ls[0])
	rd := &http.Server{IdleTimeout: time.Minute, Handler: readiness(func() bool { return !leaving.Load() && ag.Ready() })}
	go rd.Serve(ls[2])
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go ag.Run(ctx, 120*time.Millisecond)
	go func() {
		t := time.NewTicker(blamesEach)
		defer t.Stop()
		for range t.C {
			bs := pools.Blames()
			ag.Set(func(n *trunk.NodeState) { n.Blames = bs })
		}
	}()

	p.wait()
	t0 := time.Now()
	leaving.Store(true)
	out.Leave()
	grace := options.Secs(bd.GraceS)
	linger := min(grace/2, 3*time.Second)
	for {
		e := time.Since(t0)
		if e > grace-lastCalls {
			out.Close()
		}
		if e > grace-350*time.Millisecond || e > linger && out.Running.Load() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// readiness answers the platform.
func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/-/readiness":
			w.WriteHeader(http.StatusNotFound)
		case !ready():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}
