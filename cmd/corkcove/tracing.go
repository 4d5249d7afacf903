package main

import (
	"context"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/changetrace"
	"corkcove/internal/controlapi"
	"corkcove/internal/mailbox"
	"corkcove/internal/proxy"
	"corkcove/internal/requestlog"
	"corkcove/internal/rpc/meshpb"
)

// teller answers the tools' questions of one process.
type teller struct {
	*process
	flows   *proxy.FlowMeter
	far     float64
	heavy   float64
	cords   *affinity.Sessions
	config  func() uint64
	tickets *requestlog.Recorder
	near    uint32
}

func (t teller) Trace(_ context.Context, q *meshpb.TraceRequest) (*meshpb.TraceResponse, error) {
	r := &meshpb.TraceResponse{Node: t.options.Self.NodeName, Role: t.role}
	c, err := changetrace.ParseChange(q.Subject)
	if err != nil {
		return nil, err
	}
	r.Lines = t.traceRing.Find(c)
	r.Known = len(r.Lines) > 0
	return r, nil
}

func (t teller) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	r := &meshpb.FlowsResponse{Node: t.options.Self.NodeName, Zone: t.options.Self.ZoneName, RemoteWeight: t.far, BulkWeight: t.heavy}
	if t.flows != nil {
		f, span := t.flows.Report()
		r.Flows, r.WindowS = f, span.Seconds()
	}
	return r, nil
}

func (c *coreNode) onStep(what string, shard int, epoch, version uint64, g *meshpb.Change) {
	s := changetrace.Event{Time: time.Now(), Action: what, Shard: shard, Epoch: epoch, ShardVersion: version}
	switch {
	case g == nil:
	case g.Blob != nil && g.Blob.Name == controlapi.ConfigBlob:
		s.Kind, s.Version = changetrace.KindConfig, g.Blob.Version
		if what == "proposed" && shard == 0 {
			c.confAt = version
		}
	case g.Blob != nil && g.Blob.Name == viewBlob:
		s.Kind, s.Version = changetrace.KindView, g.Blob.Version
	case g.Pin != nil:
		s.Kind = changetrace.SessionKind(g.Pin.Key)
	case g.Put != nil:
		s.Kind, s.Version = changetrace.CellKind(g.Put.Name), g.Put.Revision
	default:
		return
	}
	c.traceRing.Add(s)
}

func (c *coreNode) Status(context.Context, *meshpb.StatusRequest) (*meshpb.StatusResponse, error) {
	r := &meshpb.StatusResponse{Node: c.options.Self.NodeName}
	mailbox.Call(c.loop, func() bool {
		r.Membership, r.Shards, r.DiskSound, r.Member = c.board.Membership(), c.board.ShardStatuses(), c.board.DiskHealthy(), !c.board.IsLearner()
		if m, ok := c.board.Owner(0); ok {
			r.MasterAddr = m.Addr
		}
		return true
	})
	mailbox.Call(c.master.Mailbox, func() bool {
		r.Master = c.master.IsMaster() && c.board.HoldsMasterLease()
		v := c.master.View()
		r.Epoch, r.View = v.Epoch, v.Version
		r.Config = c.master.ConfigVersion()
		if r.Master {
			r.Nodes = c.master.NodeStatuses()
			r.Hot, r.HotCounts = c.master.HotKeys()
			for _, e := range v.Endpoints {
				if e.Node == "" {
					r.Listed++
				}
				if e.Outlier {
					r.Greys = append(r.Greys, e.Service+" "+e.Id)
				}
			}
		}
		return true
	})
	return r, nil
}
