package main

import (
	"context"
	"time"

	"corkcove/internal/cord"
	"corkcove/internal/desk"
	"corkcove/internal/exchange"
	"corkcove/internal/switchboard"
	"corkcove/internal/ticket"
	"corkcove/internal/tracer"
	"corkcove/internal/trunk"
)

// teller answers the tools' questions of one process.
type teller struct {
	*process
	flows   *switchboard.Flows
	far     float64
	heavy   float64
	cords   *cord.Cords
	config  func() uint64
	tickets *ticket.Recorder
	near    uint32
}

func (t teller) Trace(_ context.Context, q *trunk.TraceReq) (*trunk.TraceResp, error) {
	r := &trunk.TraceResp{Node: t.o.Self.NodeName, Role: t.role}
	c, err := tracer.Parse(q.What)
	if err != nil {
		return nil, err
	}
	r.Lines = t.steps.Find(c)
	r.Known = len(r.Lines) > 0
	return r, nil
}

func (t teller) Flows(context.Context, *trunk.FlowsReq) (*trunk.FlowsResp, error) {
	r := &trunk.FlowsResp{Node: t.o.Self.NodeName, Zone: t.o.Self.ZoneName, Far: t.far, Heavy: t.heavy}
	if t.flows != nil {
		f, span := t.flows.Report()
		r.Flows, r.WindowS = f, span.Seconds()
	}
	return r, nil
}

func (p *process) trace(kind, what string, epoch, version uint64) {
	p.steps.Add(tracer.Step{At: time.Now(), What: what, Kind: kind, Version: version, Epoch: epoch})
	p.ring.Note("trace", "%s %d %s under epoch %d", kind, version, what, epoch)
}

func (c *coreNode) onStep(what string, shard int, epoch, version uint64, g *trunk.Change) {
	s := tracer.Step{At: time.Now(), What: what, Shard: shard, Epoch: epoch, Mark: version}
	switch {
	case g == nil:
	case g.Blob != nil && g.Blob.Name == desk.ConfigBlob:
		s.Kind, s.Version = tracer.Config, g.Blob.Version
		if what == "proposed" && shard == 0 {
			c.confAt = version
		}
	case g.Blob != nil && g.Blob.Name == viewBlob:
		s.Kind, s.Version = tracer.View, g.Blob.Version
	case g.Pin != nil:
		s.Kind = "pin " + g.Pin.Key
	case g.Put != nil:
		s.Kind, s.Version = "cell "+g.Put.Name, g.Put.Revision
	default:
		return
	}
	c.steps.Add(s)
}

func (c *coreNode) Status(context.Context, *trunk.StatusReq) (*trunk.StatusResp, error) {
	r := &trunk.StatusResp{Node: c.o.Self.NodeName}
	exchange.Ask(c.loop, func() bool {
		r.Membership, r.Shards, r.DiskSound, r.Member = c.board.Membership(), c.board.Lines(), c.board.Sound(), !c.board.Blank()
		if m, ok := c.board.Owner(0); ok {
			r.MasterAddr = m.Addr
		}
		return true
	})
	exchange.Ask(c.master.Loop, func() bool {
		r.Master = c.master.Leading() && c.board.Leased()
		v := c.master.View()
		r.Epoch, r.View = v.Epoch, v.Version
		r.Config = c.master.Config()
		if r.Master {
			r.Nodes = c.master.Nodes()
			r.Hot, r.HotCounts = c.master.Hot()
			for _, e := range v.Endpoints {
				if e.Node == "" {
					r.Listed++
				}
				if e.Grey {
					r.Greys = append(r.Greys, e.Service+" "+e.Id)
				}
			}
		}
		return true
	})
	return r, nil
}
