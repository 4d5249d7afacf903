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
	// relayWaitTimeout limits the wait of Relay until this member has granted a lease to
	// the calling master, and its wait until the replica has reached the versions that the
	// request names.
	relayWaitTimeout = 400 * time.Millisecond
	// relayPollInterval is the time between two checks of such a condition.
	relayPollInterval = 20 * time.Millisecond
)

// errLeaseNotGranted rejects a Relay call of a master that holds no lease from this
// member. Nothing was sent to nodes.
var errLeaseNotGranted = errors.New("the calling master holds no lease from this core member")

// Status returns the status of this node and, if it is the master, of the mesh.
func (c *coreNode) Status(context.Context, *meshpb.StatusRequest) (*meshpb.StatusResponse, error) {
	response := &meshpb.StatusResponse{Node: c.options.Self.NodeName}
	runOnMailbox(c.mailbox, func() { c.addReplicaStatus(response) })
	runOnMailbox(c.master.Mailbox, func() { c.addMasterStatus(response) })
	return response, nil
}

// runOnMailbox runs a function on a mailbox and waits until it returns.
func runOnMailbox(box *mailbox.Mailbox, fn func()) {
	mailbox.Call(box, func() struct{} {
		fn()
		return struct{}{}
	})
}

func (c *coreNode) addReplicaStatus(response *meshpb.StatusResponse) {
	response.Membership, response.Shards = c.replica.Membership(), c.replica.ShardStatuses()
	response.DiskSound, response.Member = c.replica.DiskHealthy(), !c.replica.IsLearner()
	response.UserStates = proto.Uint64(userStatesVersion(c.replica.StateMachine(controllerShard)))
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

// SetState stores the state that a user set for a node in the controller shard. From
// the next view on, the node's state is at most the user state.
func (c *coreNode) SetState(ctx context.Context, request *meshpb.SetStateRequest) (*meshpb.SetStateResponse, error) {
	if !lifecycle.State(request.State).SettableByUser() {
		return &meshpb.SetStateResponse{Why: "invalid state " + strconv.Quote(request.State) + ": must be up, maintenance, retired or down"}, nil
	}
	isMaster := c.replica.HoldsMasterLease()
	known, _ := mailbox.Call(c.master.Mailbox, func() bool { return c.master.KnowsNode(request.Node) })
	if !isMaster {
		return &meshpb.SetStateResponse{Why: reasonNotMaster, MasterAddr: c.masterAddress()}, nil
	}
	if !known {
		return &meshpb.SetStateResponse{Why: "no node " + strconv.Quote(request.Node) + " is known"}, nil
	}
	userStates, err := c.storeUserState(ctx, request)
	if errors.Is(err, errUserStatesChanged) {
		return &meshpb.SetStateResponse{Why: err.Error()}, nil
	}
	if err != nil {
		return &meshpb.SetStateResponse{Why: "could not confirm that the state was stored; retry the command"}, nil
	}
	c.master.Mailbox.Post(func() { c.master.SetUserStates(userStates, request.Node) })
	return &meshpb.SetStateResponse{Ok: true}, nil
}

// errUserStatesChanged reports that the user states are not at the version that the
// operator expected. Nothing was changed.
var errUserStatesChanged = errors.New("the user states have changed since the command read them; run it again")

// storeUserState stores the user state of a node and returns all user states. After an
// error other than errUserStatesChanged the change may or may not have been committed.
//
// An outdated request must not undo a later one. It is refused because its expected
// version has passed, unless the node already has the state.
func (c *coreNode) storeUserState(ctx context.Context, request *meshpb.SetStateRequest) (map[string]string, error) {
	type decision = coordination.Decision[map[string]string]
	return coordination.Transact(ctx, c.coordination, controllerShard, func(table *coordination.Table, _ time.Duration) decision {
		userStates, version := storedUserStates(table), userStatesVersion(table)
		if userStates[request.Node] == storedUserState(request.State) {
			return decision{Result: userStates, AlreadyApplied: true}
		}
		if request.Expected != nil && *request.Expected != version {
			return decision{Err: errUserStatesChanged}
		}
		if request.State == string(lifecycle.Up) {
			delete(userStates, request.Node)
		} else {
			userStates[request.Node] = request.State
		}
		data, err := proto.Marshal(&meshpb.UserStates{States: userStates})
		if err != nil {
			return decision{Err: err}
		}
		return decision{Change: &meshpb.Change{Blob: &meshpb.Blob{Name: userStatesBlob, Data: data, Version: version + 1}}, Result: userStates}
	})
}

// masterAddress returns the internal address (host:port) of the master that this
// member follows, or "" if it knows of none.
func (c *coreNode) masterAddress() string {
	address, _ := mailbox.Call(c.mailbox, func() string {
		if master, ok := c.replica.Owner(controllerShard); ok {
			return master.Addr
		}
		return ""
	})
	return address
}

// RegisterNode registers a traffic node if this node is the master. Otherwise it
// returns the master's address. It always returns the core's membership.
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

// Relay forwards a request of the master to some of the master's nodes. It does so
// only while the lease that this member granted to the master is valid, so that
// nothing is sent for a master that was partitioned or suspended.
func (c *coreNode) Relay(ctx context.Context, request *meshpb.RelayRequest) (*meshpb.RelayResponse, error) {
	epoch := max(request.GetPoll().GetEpoch(), request.GetView().GetEpoch(), request.GetConfig().GetEpoch())
	if !c.waitForReplica(ctx, func() (met, impossible bool) {
		return c.replica.LeaseGranted(controllerShard, epoch), c.replica.PromisedEpoch(controllerShard) > epoch
	}) {
		return nil, errLeaseNotGranted
	}
	payloads := sync.OnceValue(func() clustercontroller.StoredPayloads {
		// The entries that contain these versions may still be in transit.
		c.waitForReplica(ctx, func() (met, impossible bool) {
			return replicaHasVersions(c.replica.StateMachine(controllerShard), request.Stored), false
		})
		return c.readStoredPayloads(request.Stored)
	})
	return clustercontroller.Relay(ctx, c.clients, request, payloads), nil
}

// waitForReplica polls a condition on the replica's mailbox until it is met, cannot
// be met any more, relayWaitTimeout has passed or ctx ends. It reports whether the
// condition is met. The wait is needed just after a takeover, when this member may
// not have followed the new master yet.
func (c *coreNode) waitForReplica(ctx context.Context, condition func() (met, impossible bool)) bool {
	for deadline := time.Now().Add(relayWaitTimeout); ; {
		var impossible bool
		met, _ := mailbox.Call(c.mailbox, func() (met bool) {
			met, impossible = condition()
			return met
		})
		if met || impossible || time.Now().After(deadline) || ctx.Err() != nil {
			return met
		}
		time.Sleep(relayPollInterval)
	}
}

// PinSession returns the endpoint to which a session is pinned, and pins the session
// if necessary. A response without ok says nothing about the session: the pin may or
// may not have been stored.
func (c *coreNode) PinSession(ctx context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	if request.Key == "" || len(request.Allowed) == 0 {
		return &meshpb.PinResponse{}, nil
	}
	pin, err := c.coordination.PinSession(ctx, request)
	if errors.Is(err, replication.ErrNotOwner) {
		return &meshpb.PinResponse{OwnerAddr: c.sessionOwnerAddress(request.Key)}, nil
	}
	if err != nil {
		return &meshpb.PinResponse{}, nil
	}
	return pin.Response(), nil
}

// sessionOwnerAddress returns the address of the core node that owns the session's
// shard, or "" if the owner is unknown or is this node.
func (c *coreNode) sessionOwnerAddress(key string) string {
	address, _ := mailbox.Call(c.mailbox, func() string {
		owner, ok := c.replica.Owner(c.coordination.SessionShard(key))
		if !ok || owner.Id == c.replica.Self().Id {
			return ""
		}
		return owner.Addr
	})
	return address
}
