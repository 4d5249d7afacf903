package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const (
	blamesEach = 500 * time.Millisecond
	nearOnes   = 24
)

func registerEdge(c *commandLine) {
	command := c.app.Command(roleEdge, "Carry the traffic of clients to the endpoints that the platform lists.")
	c.handle(command, func() error { return runRole(roleEdge, &c.global, runEdge) })
}

// runEdge is the gateway: the outbound chain in front of endpoints that it
// dials itself.
func runEdge(p *process) error {
	o := p.options
	var ls [3]net.Listener
	for i, a := range []string{o.InternalAddr(), o.Network.Listen.Ingress, o.Network.Listen.Ready} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		ls[i] = l
	}
	bd := o.Requirements.Bounds
	pools := loadbalancer.New(o.Self.ZoneName, 2.2, 5).PreferSubset(o.Self.NodeName, nearOnes)
	var plan atomic.Pointer[routeconfig.Table]
	st := p.newStation(pools, &meshpb.NodeState{})
	ag := st.ag
	app := proxy.NewAppClient(rpc.Transport(300*time.Millisecond, 800*time.Millisecond, 6*time.Second, 4),
		rpc.Transport(300*time.Millisecond, 800*time.Millisecond, time.Second, 1))
	out := proxy.NewOutbound(proxy.OutboundOptions{Balancer: pools, Routes: &plan, AppClient: app,
		RetryBudget: st.budget, Sessions: st.cords, RequestLog: st.tickets, KeyMeter: st.keys, Ready: ag.Ready, Log: p.log("outbound"), BufferLimit: 256 << 10, DeadlineMargin: 3 * time.Millisecond})
	fr := newFront(ls[1], out)
	takeConfigs(ag, &plan, st.tickets, func(t *routeconfig.Table) { fr.limit(t.Limits) })
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
			bs := pools.FailureReports()
			ag.UpdateState(func(n *meshpb.NodeState) { n.FailureReports = bs })
		}
	}()

	p.waitForStop()
	leaving.Store(true)
	grace := settings.Seconds(bd.GraceSeconds)
	proxy.Shutdown{Grace: grace, Linger: min(grace/2, 3*time.Second), Outbound: out}.Run()
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
