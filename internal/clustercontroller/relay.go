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
func Relay(ctx context.Context, clients *rpc.Clients, request *meshpb.RelayRequest, readStored func() StoredPayloads) *meshpb.RelayResponse {
	acks := make(chan *meshpb.RelayAck, len(request.Targets))
	go callTargets(clients, request, readStored, acks)
	response := &meshpb.RelayResponse{}
	timeout := time.After(relayTimeout)
	idle := time.NewTimer(relayIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case ack, ok := <-acks:
			if !ok {
				return response
			}
			response.Acks = append(response.Acks, ack)
			idle.Reset(relayIdleTimeout)
		case <-idle.C:
			return response
		case <-timeout:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

// callTargets calls all nodes, a few at once, and closes acks, which has room for
// all, at the end.
func callTargets(clients *rpc.Clients, request *meshpb.RelayRequest, readStored func() StoredPayloads, acks chan<- *meshpb.RelayAck) {
	defer close(acks)
	slots := make(chan struct{}, relayConcurrency)
	var calls sync.WaitGroup
	for _, to := range request.Targets {
		slots <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-slots }()
			if ack := callTarget(clients.Node(to.Addr), to, request, readStored); ack != nil {
				acks <- ack
			}
		}()
	}
	calls.Wait()
}

// callTarget makes one node's call of a request; nil means that nothing was heard.
func callTarget(node meshpb.Node, to *meshpb.RelayTarget, request *meshpb.RelayRequest, readStored func() StoredPayloads) *meshpb.RelayAck {
	ack := &meshpb.RelayAck{Name: to.Name}
	var err error
	switch {
	case request.Poll != nil:
		ack.Poll, err = pollTarget(node, to, request, readStored)
	case request.View != nil:
		ack.View, err = rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: request.View.Packed, Epoch: request.View.Epoch})
	case request.Config != nil:
		ack.Config, err = deliverTo(node, to, request.Config)
	}
	if err != nil {
		return nil
	}
	return ack
}

func pollTarget(node meshpb.Node, to *meshpb.RelayTarget, request *meshpb.RelayRequest, readStored func() StoredPayloads) (*meshpb.PollResponse, error) {
	response, err := rpc.Call(relayTimeout, node.Poll, &meshpb.PollRequest{Epoch: request.Poll.Epoch, NextPollMs: request.Poll.NextPollMs, Name: to.Name, LastEndpoint: to.LastEndpoint})
	if err == nil && !response.GetStale() {
		restoreNode(node, to, request, response.GetNode(), readStored)
	}
	return response, err
}

func deliverTo(node meshpb.Node, to *meshpb.RelayTarget, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	timeout := relayTimeout
	if request.BaseVersion == 0 {
		timeout = fullConfigCallTimeout
	}
	return rpc.Call(timeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: request.Epoch, Version: request.Version, Data: request.Data,
		To: to.Name, BaseVersion: request.BaseVersion, Patches: request.Patches})
}

// restoreNode sends a node that has just started the stored configuration and view,
// if it lacks them, and notes in its state that it has them now.
func restoreNode(node meshpb.Node, to *meshpb.RelayTarget, request *meshpb.RelayRequest, state *meshpb.NodeState, readStored func() StoredPayloads) {
	if state == nil || request.Stored == nil || state.ConfigVersion > 0 && state.ViewVersion > 0 {
		return
	}
	payloads := readStored()
	if state.ConfigVersion == 0 && payloads.Config != nil {
		response, err := rpc.Call(fullConfigCallTimeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: request.Poll.Epoch, Version: request.Stored.ConfigVersion, Data: payloads.Config, To: to.Name})
		if err == nil && response.Ok {
			state.ConfigVersion = response.Version
		}
	}
	if state.ViewVersion == 0 && payloads.View != nil {
		response, err := rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: payloads.View, Epoch: request.Poll.Epoch})
		if err == nil && response.Ok {
			state.ViewEpoch, state.ViewVersion = response.Epoch, response.Version
		}
	}
}
