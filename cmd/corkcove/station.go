package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/nodeagent"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/requestlog"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

// station is what each node that carries traffic has beside its chain.
type station struct {
	*process
	pools   *loadbalancer.Balancer
	ag      *nodeagent.Agent
	cords   *affinity.Sessions
	tickets *requestlog.Recorder
	budget  *retry.Budget
	keys    *hotkeys.Meter
}

// newStation starts the node's side of the control; n tells what only this
// role says of itself.
func (p *process) newStation(pools *loadbalancer.Balancer, n *meshpb.NodeState) station {
	o, bd := p.options, p.options.Requirements.Bounds
	lines := rpc.NewClients(&http.Client{Transport: rpc.Transport(300*time.Millisecond, 2*time.Second, 90*time.Second, 4)})
	ag := &nodeagent.Agent{Clients: lines, Seeds: o.SeedInternalAddrs(), Incarnation: newID(), Name: o.Self.NodeName, RegisterAfter: 2400 * time.Millisecond,
		Now: p.now, Log: p.log("nodeagent"), Trace: p.trace}
	n.Name, n.Incarnation, n.Addr, n.Zone, n.State = o.Self.NodeName, ag.Incarnation, o.InternalAddr(), o.Self.ZoneName, string(lifecycle.Up)
	ag.Start(n)
	tickets := p.newTickets()
	ag.OnView = func(v *meshpb.View) {
		pools.ApplyView(v)
		tickets.RecordView(v)
	}
	go p.reloadSeeds(func() bool { return ag.View() == nil }, func(o settings.Options) { ag.SetSeeds(o.SeedInternalAddrs()) })
	pools.SlowStart(settings.Seconds(o.HotKeys.SlowStartSeconds))
	return station{p, pools, ag, p.newCords(lines, ag), tickets,
		retry.NewBudget(bd.RetryRatio, bd.RetrySlack, settings.Seconds(bd.RetryWindowSeconds), pools.NodeCount, p.now), hotkeys.NewMeter(time.Now)}
}

const keysEach = time.Second

// tellKeys tells the master which keys this node reads most. New or more reads
// go at once, fewer with the next poll. A node without such routes does nothing.
func (s station) tellKeys(ctx context.Context) {
	t := time.NewTicker(keysEach)
	defer t.Stop()
	was := map[uint64]float64{}
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		ks, same := s.keys.Rates()
		if same {
			continue
		}
		tell := s.ag.UpdateStateWithoutWake
		now := map[uint64]float64{}
		for _, k := range ks {
			now[k.Key] = k.PerS
			if k.PerS > 1.5*was[k.Key] {
				tell = s.ag.UpdateState
			}
		}
		was = now
		tell(func(n *meshpb.NodeState) { n.KeyRates = ks })
	}
}

// serve answers the master and the tools.
func (s station) serve(l net.Listener, flows *proxy.FlowMeter, near uint32) {
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(s.ag))
	far, heavy := s.pools.Weights()
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(teller{process: s.process, flows: flows, far: far, heavy: heavy, cords: s.cords,
		config: s.ag.ConfigVersion, tickets: s.tickets, near: near}))
	is := &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute}
	go is.Serve(l)
}
