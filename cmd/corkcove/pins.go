package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/changetrace"
	"corkcove/internal/mailbox"
	"corkcove/internal/nodeagent"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

// Pin answers nodes that ask for the instance of a session.
func (c *coreNode) PinSession(ctx context.Context, q *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	if q.Key == "" || len(q.Allowed) == 0 {
		return &meshpb.PinResponse{}, nil
	}
	p, err := c.svc.PinSession(ctx, q)
	if errors.Is(err, replication.ErrNotOwner) {
		a, _ := mailbox.Call(c.loop, func() string {
			if m, ok := c.board.Owner(c.svc.SessionShard(q.Key)); ok && m.Id != c.board.Self().Id {
				return m.Addr
			}
			return ""
		})
		return &meshpb.PinResponse{OwnerAddr: a}, nil
	}
	if err != nil {
		return &meshpb.PinResponse{}, nil
	}
	return p.Response(), nil
}

// pinAsker asks the core about sessions; it remembers who answered.
type pinAsker struct {
	lines *rpc.Clients
	ag    *nodeagent.Agent
	mu    sync.Mutex
	last  map[byte]string
}

const (
	pinCall = 250 * time.Millisecond
	pinHops = 4
)

var errPin = errors.New("no core node answered")

func (a *pinAsker) ask(ctx context.Context, q *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	a.mu.Lock()
	first := a.last[q.Key[0]]
	a.mu.Unlock()
	todo := a.ag.CoreAddresses()
	if first != "" {
		todo = append([]string{first}, todo...)
	}
	ctx, stop := context.WithTimeout(ctx, 3*pinCall)
	defer stop()
	for n := 0; n < pinHops && len(todo) > 0 && ctx.Err() == nil; n++ {
		to := todo[0]
		todo = todo[1:]
		cx, end := context.WithTimeout(ctx, pinCall)
		r, err := a.lines.Control(to).PinSession(cx, q)
		end()
		switch {
		case err != nil:
		case r.Ok:
			a.mu.Lock()
			a.last[q.Key[0]] = to
			a.mu.Unlock()
			return r, nil
		case r.OwnerAddr != "":
			todo = append([]string{r.OwnerAddr}, todo...)
		}
	}
	return nil, errPin
}

func (p *process) newCords(lines *rpc.Clients, ag *nodeagent.Agent) *affinity.Sessions {
	a := &pinAsker{lines: lines, ag: ag, last: map[byte]string{}}
	idle := settings.Seconds(p.options.Affinity.IdleSeconds)
	return affinity.New(affinity.Options{Pin: a.ask, Now: time.Now, ConfigVersion: ag.ConfigVersion, MoveDelay: 300 * time.Millisecond, RefreshInterval: idle / 8, IdleTimeout: idle, MaxSessions: p.options.Affinity.MaxSessions,
		Trace: func(what, key string) {
			p.traceRing.Add(changetrace.Event{Time: time.Now(), Action: what, Kind: changetrace.SessionKind(key)})
		}})
}

func (t teller) Sessions(_ context.Context, q *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	r := &meshpb.SessionsResponse{Node: t.options.Self.NodeName}
	if t.cords != nil {
		r.Sessions, r.Moves, r.Dropped = t.cords.Report(q.Since)
		r.Config = t.config()
	}
	return r, nil
}
