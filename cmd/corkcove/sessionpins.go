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
	// pinCallTimeout limits one PinSession call to a core node.
	pinCallTimeout = 250 * time.Millisecond
	// maxPinCalls limits the number of calls for one session, and pinTimeout their
	// total time.
	maxPinCalls = 4
	pinTimeout  = 3 * pinCallTimeout
	// sessionMoveDelay is the time after the end of an endpoint at which its sessions are
	// moved to other endpoints.
	sessionMoveDelay = 300 * time.Millisecond
	// pinRefreshesPerIdle is the number of refreshes of a pin in use within the idle
	// timeout.
	pinRefreshesPerIdle = 8
)

var errNoPinResponse = errors.New("no core node returned a pin for the session")

// pinClient requests the endpoints of sessions from the core. It is safe for
// concurrent use.
type pinClient struct {
	clients *rpc.Clients
	agent   *nodeagent.Agent

	mu sync.Mutex
	// lastResponder maps the first byte of session keys to the address of the core
	// node that last returned a pin for such a key. It is a hint at which node owns
	// the shard of these keys.
	lastResponder map[byte]string
}

// newSessions returns the sessions of a node, which are pinned by the core.
func newSessions(p *process, clients *rpc.Clients, agent *nodeagent.Agent) *affinity.Sessions {
	client := &pinClient{clients: clients, agent: agent, lastResponder: map[byte]string{}}
	idle := settings.Seconds(p.options.Affinity.IdleSeconds)
	return affinity.New(affinity.Options{Pin: client.pin, Now: time.Now, ConfigVersion: agent.ConfigVersion, MoveDelay: sessionMoveDelay,
		RefreshInterval: idle / pinRefreshesPerIdle, IdleTimeout: idle, MaxSessions: p.options.Affinity.MaxSessions,
		Trace: func(action, key string) {
			p.traceRing.Add(changetrace.Event{Time: time.Now(), Action: action, Kind: changetrace.SessionKind(key)})
		}})
}

// pin requests the pin of a session from the core node that last returned one for a
// key with the same first byte, and then from the others. If a core node names the
// owner of the session's shard, the owner is called next. After an error the outcome
// is unknown: the session may have been pinned. The request's key must not be empty.
func (c *pinClient) pin(ctx context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	keyPrefix := request.Key[0]
	addresses := c.agent.CoreAddresses()
	if last := c.lastResponderFor(keyPrefix); last != "" {
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
			c.setLastResponder(keyPrefix, address)
			return response, nil
		case response.OwnerAddr != "":
			addresses = append([]string{response.OwnerAddr}, addresses...)
		}
	}
	return nil, errNoPinResponse
}

// call sends one request to the core node at address, under pinCallTimeout.
func (c *pinClient) call(ctx context.Context, address string, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pinCallTimeout)
	defer cancel()
	return c.clients.Control(address).PinSession(ctx, request)
}

// lastResponderFor returns the address to try first, or "" if none is known.
func (c *pinClient) lastResponderFor(keyPrefix byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponder[keyPrefix]
}

func (c *pinClient) setLastResponder(keyPrefix byte, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponder[keyPrefix] = address
}
