package main

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/clustercontroller"
	"corkcove/internal/coordination"
	"corkcove/internal/lifecycle"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

const (
	// followTimeout is how long a relay waits until this member follows the master
	// that calls, and until its replica has what the master names.
	followTimeout = 400 * time.Millisecond
	// followPollInterval is the time between two looks.
	followPollInterval = 20 * time.Millisecond
)

// errOtherMaster refuses to relay for a master that this member doesn't follow.
// Nothing was sent.
var errOtherMaster = errors.New("not the master that this member follows")

// Status tells a tool about this node, and about the mesh if it is the master.
func (c *coreNode) Status(context.Context, *meshpb.StatusRequest) (*meshpb.StatusResponse, error) {
	response := &meshpb.StatusResponse{Node: c.options.Self.NodeName}
	runOn(c.mailbox, func() { c.addReplicaStatus(response) })
	runOn(c.master.Mailbox, func() { c.addMasterStatus(response) })
	return response, nil
}

// runOn runs a function on a mailbox and waits for its end.
func runOn(box *mailbox.Mailbox, function func()) {
	mailbox.Call(box, func() struct{} {
		function()
		return struct{}{}
	})
}

func (c *coreNode) addReplicaStatus(response *meshpb.StatusResponse) {
	response.Membership, response.Shards = c.replica.Membership(), c.replica.ShardStatuses()
	response.DiskSound, response.Member = c.replica.DiskHealthy(), !c.replica.IsLearner()
	if master, ok := c.replica.Owner(controllerShard); ok {
		response.MasterAddr = master.Addr
	}
}

func (c *coreNode) addMasterStatus(response *meshpb.StatusResponse) {
	response.Master = c.master.IsMaster() && c.replica.HoldsMasterLease()
	view := c.master.View()
	response.Epoch, response.View, response.Config = view.Epoch, view.Version, c.master.ConfigVersion()
	if !response.Master {
		return
	}
	response.Nodes = c.master.NodeStatuses()
	response.Hot, response.HotCounts = c.master.HotKeys()
	for _, e := range view.Endpoints {
		if e.Node == "" {
			response.Listed++
		}
		if e.Outlier {
			response.Greys = append(response.Greys, e.Service+" "+e.Id)
		}
	}
}

// SetState stores a user state in the controller's shard; the master caps the
// node's state with it from the next view on.
func (c *coreNode) SetState(ctx context.Context, request *meshpb.SetStateRequest) (*meshpb.SetStateResponse, error) {
	if !lifecycle.State(request.State).SettableByUser() {
		return &meshpb.SetStateResponse{Why: "a state is one of up, maintenance, retired, down"}, nil
	}
	isMaster := c.replica.HoldsMasterLease()
	known, _ := mailbox.Call(c.master.Mailbox, func() bool { return c.master.KnowsNode(request.Node) })
	if !isMaster {
		return &meshpb.SetStateResponse{Why: reasonNotMaster, MasterAddr: c.masterAddress()}, nil
	}
	if !known {
		return &meshpb.SetStateResponse{Why: "no node " + strconv.Quote(request.Node) + " is known"}, nil
	}
	users, err := c.storeUserState(ctx, request.Node, lifecycle.State(request.State))
	if err != nil {
		return &meshpb.SetStateResponse{Why: "the state may or may not have been kept; ask again"}, nil
	}
	c.master.Mailbox.Post(func() { c.master.SetUserStates(users, request.Node) })
	return &meshpb.SetStateResponse{Ok: true}, nil
}

// storeUserState returns all user states once they are committed.
func (c *coreNode) storeUserState(ctx context.Context, node string, state lifecycle.State) (map[string]string, error) {
	type decision = coordination.Decision[map[string]string]
	return coordination.Transact(ctx, c.service, controllerShard, func(table *coordination.Table, _ time.Duration) decision {
		users := storedUserStates(table)
		if state == lifecycle.Up {
			delete(users, node)
		} else {
			users[node] = string(state)
		}
		data, err := proto.Marshal(&meshpb.UserStates{States: users})
		if err != nil {
			return decision{Err: err}
		}
		return decision{Change: &meshpb.Change{Blob: &meshpb.Blob{Name: userStatesBlob, Data: data}}, Result: users}
	})
}

// masterAddress is the address of the master that this member follows; "" if it
// knows none.
func (c *coreNode) masterAddress() string {
	address, _ := mailbox.Call(c.mailbox, func() string {
		if master, ok := c.replica.Owner(controllerShard); ok {
			return master.Addr
		}
		return ""
	})
	return address
}

// RegisterNode makes a traffic node known to the master, if this is it, and
// tells the node who the core is.
func (c *coreNode) RegisterNode(_ context.Context, request *meshpb.RegisterNodeRequest) (*meshpb.RegisterNodeResponse, error) {
	response, _ := mailbox.Call(c.master.Mailbox, func() *meshpb.RegisterNodeResponse {
		last, isMaster := c.master.RegisterNode(request.Node)
		return &meshpb.RegisterNodeResponse{Master: isMaster, LastEndpoint: last}
	})
	response.Membership, _ = mailbox.Call(c.mailbox, c.replica.Membership)
	if !response.Master {
		response.MasterAddr = c.masterAddress()
	}
	return response, nil
}

// Relay sends what the master names on to some of its nodes, while this member's
// lease to it runs: for a master that was cut off or frozen nothing is sent.
func (c *coreNode) Relay(ctx context.Context, request *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	epoch := max(request.GetPoll().GetEpoch(), request.GetView().GetEpoch(), request.GetConfig().GetEpoch())
	if !c.waitForReplica(ctx, func() (done, never bool) {
		return c.replica.LeaseGranted(controllerShard, epoch), c.replica.PromisedEpoch(controllerShard) > epoch
	}) {
		return nil, errOtherMaster
	}
	payloads := sync.OnceValue(func() clustercontroller.StoredPayloads {
		// The entries may be about to arrive.
		c.waitForReplica(ctx, func() (done, never bool) {
			return hasStoredVersions(c.replica.StateMachine(controllerShard), request.Stored), false
		})
		return c.readStoredPayloads(request.Stored)
	})
	return clustercontroller.Relay(ctx, c.clients, request, payloads), nil
}

// waitForReplica asks the replica again and again, for a while after a takeover,
// until the condition holds or never will. It tells whether it holds.
func (c *coreNode) waitForReplica(ctx context.Context, condition func() (done, never bool)) bool {
	for deadline := time.Now().Add(followTimeout); ; {
		var never bool
		done, _ := mailbox.Call(c.mailbox, func() (done bool) {
			done, never = condition()
			return done
		})
		if done || never || time.Now().After(deadline) || ctx.Err() != nil {
			return done
		}
		time.Sleep(followPollInterval)
	}
}

// PinSession answers nodes that ask for the endpoint of a session. A response
// that isn't ok promises nothing.
func (c *coreNode) PinSession(ctx context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	if request.Key == "" || len(request.Allowed) == 0 {
		return &meshpb.PinResponse{}, nil
	}
	pin, err := c.service.PinSession(ctx, request)
	if errors.Is(err, replication.ErrNotOwner) {
		return &meshpb.PinResponse{OwnerAddr: c.sessionOwnerAddress(request.Key)}, nil
	}
	if err != nil {
		return &meshpb.PinResponse{}, nil
	}
	return pin.Response(), nil
}

// sessionOwnerAddress is the address of another core node that owns the
// session's shard; "" if none is known.
func (c *coreNode) sessionOwnerAddress(key string) string {
	address, _ := mailbox.Call(c.mailbox, func() string {
		owner, ok := c.replica.Owner(c.service.SessionShard(key))
		if !ok || owner.Id == c.replica.Self().Id {
			return ""
		}
		return owner.Addr
	})
	return address
}
