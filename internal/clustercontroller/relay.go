package clustercontroller

import (
	"context"
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// How long a relay waits for its nodes: until all have answered, none has for
// relayIdleTimeout, or relayTimeout is over.
const (
	relayIdleTimeout = 300 * time.Millisecond
	relayTimeout     = time.Second
	// fullConfigCallTimeout leaves a large configuration time on a full link.
	fullConfigCallTimeout = 2 * relayTimeout
	// relayConcurrency is how many nodes a relay calls at once.
	relayConcurrency = 8
)

// StoredPayloads is what a member holds of the versions that the master names as
// stored: a configuration as it is delivered and a view as it is published, nil
// where it holds another version.
type StoredPayloads struct{ Config, View []byte }

// Relay sends a request of the master's to several nodes and gathers what they
// answer; a node without an answer is left out. It keeps nothing: order and epochs
// are for the nodes to check. readStored may be called on several goroutines.
func Relay(ctx context.Context, clients *rpc.Clients, q *meshpb.RelayRequest, readStored func() StoredPayloads) *meshpb.RelayResponse {
	acks := make(chan *meshpb.RelayAck, len(q.Targets))
	go callTargets(clients, q, readStored, acks)
	r := &meshpb.RelayResponse{}
	timeout := time.After(relayTimeout)
	idle := time.NewTimer(relayIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case a, ok := <-acks:
			if !ok {
				return r
			}
			r.Acks = append(r.Acks, a)
			idle.Reset(relayIdleTimeout)
		case <-idle.C:
			return r
		case <-timeout:
			return r
		case <-ctx.Done():
			return r
		}
	}
}

// callTargets calls all nodes, a few at once, and closes acks, which has room for
// all, at the end.
func callTargets(clients *rpc.Clients, q *meshpb.RelayRequest, readStored func() StoredPayloads, acks chan<- *meshpb.RelayAck) {
	defer close(acks)
	slots := make(chan struct{}, relayConcurrency)
	var calls sync.WaitGroup
	for _, to := range q.Targets {
		slots <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-slots }()
			if a := callTarget(clients.Node(to.Addr), to, q, readStored); a != nil {
				acks <- a
			}
		}()
	}
	calls.Wait()
}

// callTarget makes one node's call of a request; nil means that nothing was heard.
func callTarget(node meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, readStored func() StoredPayloads) *meshpb.RelayAck {
	a := &meshpb.RelayAck{Name: to.Name}
	var err error
	switch {
	case q.Poll != nil:
		a.Poll, err = pollTarget(node, to, q, readStored)
	case q.View != nil:
		a.View, err = rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: q.View.Packed, Epoch: q.View.Epoch})
	case q.Config != nil:
		a.Config, err = deliverTo(node, to, q.Config)
	}
	if err != nil {
		return nil
	}
	return a
}

func pollTarget(node meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, readStored func() StoredPayloads) (*meshpb.PollResponse, error) {
	r, err := rpc.Call(relayTimeout, node.Poll, &meshpb.PollRequest{Epoch: q.Poll.Epoch, NextPollMs: q.Poll.NextPollMs, Name: to.Name, LastEndpoint: to.LastEndpoint})
	if err == nil && !r.GetStale() {
		restoreNode(node, to, q, r.GetNode(), readStored)
	}
	return r, err
}

func deliverTo(node meshpb.Node, to *meshpb.RelayTarget, c *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	timeout := relayTimeout
	if c.BaseVersion == 0 {
		timeout = fullConfigCallTimeout
	}
	return rpc.Call(timeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: c.Epoch, Version: c.Version, Data: c.Data,
		To: to.Name, BaseVersion: c.BaseVersion, Patches: c.Patches})
}

// restoreNode sends a node that has just started the stored configuration and view,
// if it lacks them, and notes in its state that it has them now.
func restoreNode(node meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, state *meshpb.NodeState, readStored func() StoredPayloads) {
	if state == nil || q.Stored == nil || state.ConfigVersion > 0 && state.ViewVersion > 0 {
		return
	}
	payloads := readStored()
	if state.ConfigVersion == 0 && payloads.Config != nil {
		r, err := rpc.Call(fullConfigCallTimeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: q.Poll.Epoch, Version: q.Stored.ConfigVersion, Data: payloads.Config, To: to.Name})
		if err == nil && r.Ok {
			state.ConfigVersion = r.Version
		}
	}
	if state.ViewVersion == 0 && payloads.View != nil {
		r, err := rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: payloads.View, Epoch: q.Poll.Epoch})
		if err == nil && r.Ok {
			state.ViewEpoch, state.ViewVersion = r.Epoch, r.Version
		}
	}
}
