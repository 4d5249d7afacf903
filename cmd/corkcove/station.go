package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"corkcove/internal/cord"
	"corkcove/internal/options"
	"corkcove/internal/supervisor"
	"corkcove/internal/switchboard"
	"corkcove/internal/ticket"
	"corkcove/internal/trunk"
)

// station is what each node that carries traffic has beside its chain.
type station struct {
	*process
	pools   *switchboard.Pools
	ag      *supervisor.Agent
	cords   *cord.Cords
	tickets *ticket.Recorder
	budget  *switchboard.Budget
	keys    *switchboard.KeyMeter
}

// newStation starts the node's side of the control; n tells what only this
// role says of itself.
func (p *process) newStation(pools *switchboard.Pools, n *trunk.NodeState) station {
	o, bd := p.o, p.o.Terms.Bounds
	lines := trunk.NewLines(&http.Client{Transport: trunk.Transport(300*time.Millisecond, 2*time.Second, 90*time.Second, 4)})
	ag := &supervisor.Agent{Lines: lines, Seeds: o.SeedInner(), Life: newID(), Name: o.Self.NodeName, Quiet: 2400 * time.Millisecond,
		Now: p.now, Note: p.note("supervisor"), Trace: p.trace}
	n.Name, n.Life, n.Addr, n.Zone, n.State = o.Self.NodeName, ag.Life, o.InnerAddr(), o.Self.ZoneName, "up"
	ag.Start(n)
	tickets := p.newTickets()
	ag.OnView = func(v *trunk.View) {
		pools.Set(v)
		tickets.View(v)
	}
	go p.reseed(func() bool { return ag.View() == nil }, func(o options.Options) { ag.Reseed(o.SeedInner()) })
	pools.SlowStart(options.Secs(o.Hot.SlowS))
	return station{p, pools, ag, p.newCords(lines, ag), tickets,
		switchboard.NewBudget(bd.RetryRatio, bd.RetrySlack, options.Secs(bd.RetryWindowS), pools.Nodes, p.now), switchboard.NewKeyMeter(time.Now)}
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
		tell := s.ag.Murmur
		now := map[uint64]float64{}
		for _, k := range ks {
			now[k.Key] = k.PerS
			if k.PerS > 1.5*was[k.Key] {
				tell = s.ag.Set
			}
		}
		was = now
		tell(func(n *trunk.NodeState) { n.Reads = ks })
	}
}

// serve answers the master and the tools.
func (s station) serve(l net.Listener, flows *switchboard.Flows, near uint32) {
	mux := http.NewServeMux()
	mux.Handle(trunk.NodePathPrefix, trunk.NewNodeServer(s.ag))
	far, heavy := s.pools.Weights()
	mux.Handle(trunk.TracerPathPrefix, trunk.NewTracerServer(teller{process: s.process, flows: flows, far: far, heavy: heavy, cords: s.cords,
		config: s.ag.Config, tickets: s.tickets, near: near}))
	is := &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute}
	go is.Serve(l)
}
