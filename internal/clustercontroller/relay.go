package clustercontroller

import (
	"context"
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// A relay responds once all its targets have acknowledged, none has for
// relayIdleTimeout, or relayTimeout is over.
const (
	relayIdleTimeout = 300 * time.Millisecond
	// relayTimeout is also the timeout of each call to a node, except for calls with a
	// complete configuration.
	relayTimeout = time.Second
	// fullConfigCallTimeout leaves time to transfer a large configuration over a
	// saturated link.
	fullConfigCallTimeout = 2 * relayTimeout
	// relayConcurrency is how many nodes a relay calls concurrently.
	relayConcurrency = 8
)

// StoredPayloads holds a member's stored copies of the configuration and the view that
// a StoredVersions message names. Each is nil if the member has another version.
type StoredPayloads struct {
	// Config is the complete configuration, packed as in DeliverConfigRequest.
	Config []byte
	// View is the complete view, marshaled as in PublishViewRequest.
	View []byte
}

// Relay forwards a request of the master to several nodes and collects their
// acknowledgements; nodes that did not answer in time are left out. It keeps no state:
// the nodes themselves check epochs and the order of versions. readStored returns the
// stored payloads for nodes that have just started; it may be called concurrently.
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

// callTargets calls all targets, at most relayConcurrency at a time, and closes acks
// at the end. acks must be buffered for all targets: its reader may have stopped.
func callTargets(clients *rpc.Clients, request *meshpb.RelayRequest, readStored func() StoredPayloads, acks chan<- *meshpb.RelayAck) {
	defer close(acks)
	semaphore := make(chan struct{}, relayConcurrency)
	var calls sync.WaitGroup
	for _, target := range request.Targets {
		semaphore <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-semaphore }()
			if ack := callTarget(clients.Node(target.Addr), target, request, readStored); ack != nil {
				acks <- ack
			}
		}()
	}
	calls.Wait()
}

// callTarget sends a request to one node and returns its acknowledgement, or nil if
// the call failed.
func callTarget(node meshpb.Node, target *meshpb.RelayTarget, request *meshpb.RelayRequest, readStored func() StoredPayloads) *meshpb.RelayAck {
	ack := &meshpb.RelayAck{Name: target.Name}
	var err error
	switch {
	case request.Poll != nil:
		ack.Poll, err = pollTarget(node, target, request, readStored)
	case request.View != nil:
		ack.View, err = rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: target.Name, Packed: request.View.Packed, Epoch: request.View.Epoch})
	case request.Config != nil:
		ack.Config, err = deliverConfigTo(node, target, request.Config)
	}
	if err != nil {
		return nil
	}
	return ack
}

// pollTarget polls a node and restores its stored configuration and view if it has
// none.
func pollTarget(node meshpb.Node, target *meshpb.RelayTarget, request *meshpb.RelayRequest, readStored func() StoredPayloads) (*meshpb.PollResponse, error) {
	response, err := rpc.Call(relayTimeout, node.Poll, &meshpb.PollRequest{Epoch: request.Poll.Epoch, NextPollMs: request.Poll.NextPollMs, Name: target.Name, LastEndpoint: target.LastEndpoint})
	if err == nil && !response.GetStale() {
		restoreNode(node, target, request, response.GetNode(), readStored)
	}
	return response, err
}

func deliverConfigTo(node meshpb.Node, target *meshpb.RelayTarget, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	timeout := relayTimeout
	if request.BaseVersion == 0 {
		timeout = fullConfigCallTimeout
	}
	return rpc.Call(timeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: request.Epoch, Version: request.Version, Data: request.Data,
		To: target.Name, BaseVersion: request.BaseVersion, Patches: request.Patches})
}

// restoreNode sends the stored configuration and view to a node that has none, since
// it has just started, and records in state what the node acknowledged.
func restoreNode(node meshpb.Node, target *meshpb.RelayTarget, request *meshpb.RelayRequest, state *meshpb.NodeState, readStored func() StoredPayloads) {
	if state == nil || request.Stored == nil || state.ConfigVersion > 0 && state.ViewVersion > 0 {
		return
	}
	payloads := readStored()
	if state.ConfigVersion == 0 && payloads.Config != nil {
		response, err := rpc.Call(fullConfigCallTimeout, node.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: request.Poll.Epoch, Version: request.Stored.ConfigVersion, Data: payloads.Config, To: target.Name})
		if err == nil && response.Ok {
			state.ConfigVersion = response.Version
		}
	}
	if state.ViewVersion == 0 && payloads.View != nil {
		response, err := rpc.Call(relayTimeout, node.PublishView, &meshpb.PublishViewRequest{To: target.Name, Packed: payloads.View, Epoch: request.Poll.Epoch})
		if err == nil && response.Ok {
			state.ViewEpoch, state.ViewVersion = response.Epoch, response.Version
		}
	}
}
