package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/dialplan"
	"corkcove/internal/options"
	"corkcove/internal/switchboard"
	"corkcove/internal/trunk"
)

const (
	blamesEach = 500 * time.Millisecond
	nearOnes   = 24
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
	pools := switchboard.NewPools(o.Self.ZoneName, 2.2, 5).Prefer(o.Self.NodeName, nearOnes)
	var plan atomic.Pointer[dialplan.Table]
	st := p.newStation(pools, &trunk.NodeState{})
	ag := st.ag
	app := switchboard.NewAppLine(trunk.Transport(300*time.Millisecond, 800*time.Millisecond, 6*time.Second, 4),
		trunk.Transport(300*time.Millisecond, 800*time.Millisecond, time.Second, 1))
	out := switchboard.NewOutbound(switchboard.OutboundOptions{Pools: pools, Plan: &plan, App: app,
		Budget: st.budget, Cords: st.cords, Tickets: st.tickets, Keys: st.keys, Ready: ag.Ready, Note: p.note("outbound"), Peek: 256 << 10, Margin: 3 * time.Millisecond})
	fr := newFront(ls[1], out)
	takeConfigs(ag, &plan, st.tickets, func(t *dialplan.Table) { fr.limit(t.Limits) })
	var leaving atomic.Bool
	st.serve(ls[0], out.Flows, nearOnes)
	rd := &http.Server{IdleTimeout: time.Minute, Handler: readiness(func() bool { return !leaving.Load() && ag.Ready() })}
	go rd.Serve(ls[2])
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go ag.Run(ctx, 120*time.Millisecond)
	go st.tellKeys(ctx)
	go func() {
		t := time.NewTicker(blamesEach)
		defer t.Stop()
		for range t.C {
			bs := pools.Blames()
			ag.Set(func(n *trunk.NodeState) { n.Blames = bs })
		}
	}()

	p.wait()
	leaving.Store(true)
	grace := options.Secs(bd.GraceS)
	switchboard.Shutdown{Grace: grace, Linger: min(grace/2, 3*time.Second), Outbound: out}.Run()
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
