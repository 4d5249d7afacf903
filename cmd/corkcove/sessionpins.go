package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/changetrace"
	"corkcove/internal/nodeagent"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const (
	// pinCallTimeout bounds one call to a core node for a session's pin.
	pinCallTimeout = 250 * time.Millisecond
	// maxPinCalls bounds the core nodes that are asked, and pinTimeout all calls.
	maxPinCalls = 4
	pinTimeout  = 3 * pinCallTimeout
	// sessionMoveDelay is how long an endpoint must be gone before its sessions move.
	sessionMoveDelay = 300 * time.Millisecond
	// pinRefreshesPerIdle is how often a pin in use is refreshed in the time after
	// which an idle one ends.
	pinRefreshesPerIdle = 8
)

var errNoCoreAnswered = errors.New("no core node answered")

// pinClient asks the core for the endpoints of sessions. Any goroutine may call
// it.
type pinClient struct {
	clients *rpc.Clients
	agent   *nodeagent.Agent

	mu sync.Mutex
	// lastAnswered has the core node that answered last for keys with this first
	// byte: very likely the owner of their shard.
	lastAnswered map[byte]string
}

func newSessions(p *process, clients *rpc.Clients, agent *nodeagent.Agent) *affinity.Sessions {
	client := &pinClient{clients: clients, agent: agent, lastAnswered: map[byte]string{}}
	idle := settings.Seconds(p.options.Affinity.IdleSeconds)
	return affinity.New(affinity.Options{Pin: client.pin, Now: time.Now, ConfigVersion: agent.ConfigVersion, MoveDelay: sessionMoveDelay,
		RefreshInterval: idle / pinRefreshesPerIdle, IdleTimeout: idle, MaxSessions: p.options.Affinity.MaxSessions,
		Trace: func(action, key string) {
			p.traceRing.Add(changetrace.Event{Time: time.Now(), Action: action, Kind: changetrace.SessionKind(key)})
		}})
}

// pin asks the core node that answered last and then the others; one that knows
// the owner is followed. After an error nothing is known: the session may have
// been pinned.
func (c *pinClient) pin(ctx context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	group := request.Key[0]
	addresses := c.agent.CoreAddresses()
	if last := c.last(group); last != "" {
		addresses = append([]string{last}, addresses...)
	}
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	for calls := 0; calls < maxPinCalls && len(addresses) > 0 && ctx.Err() == nil; calls++ {
		address := addresses[0]
		addresses = addresses[1:]
		response, err := c.call(ctx, address, request)
		switch {
		case err != nil:
		case response.Ok:
			c.remember(group, address)
			return response, nil
		case response.OwnerAddr != "":
			addresses = append([]string{response.OwnerAddr}, addresses...)
		}
	}
	return nil, errNoCoreAnswered
}

func (c *pinClient) call(ctx context.Context, address string, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pinCallTimeout)
	defer cancel()
	return c.clients.Control(address).PinSession(ctx, request)
}

func (c *pinClient) last(group byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswered[group]
}

func (c *pinClient) remember(group byte, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswered[group] = address
}
