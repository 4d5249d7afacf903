package main

import (
	"time"

	"corkcove/internal/changetrace"
	"corkcove/internal/clustercontroller"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// coreNode connects the replica of the control state with the master. Both have
// a mailbox, the goroutine that owns their state: the replica is called on
// mailbox only (HoldsMasterLease, InContact and MasterEpoch aside, which any
// goroutine may call), the master on master.Mailbox. One never waits for the
// other's mailbox on its own; what the replica tells the master is posted.
type coreNode struct {
	*process
	mailbox *mailbox.Mailbox
	replica *replication.Replica
	// service runs the transactions of the control state.
	service *coordination.Service
	master  *clustercontroller.Master
	clients *rpc.Clients

	// deliveredConfig is the version of the configuration that the master was
	// given last. Owned by mailbox.
	deliveredConfig uint64
	// configProposedAt is the version of the controller's shard under which the
	// newest configuration was proposed here. Owned by mailbox.
	configProposedAt uint64
}

// onOwnershipChange is called on the mailbox when this node begins, or ceases,
// to serve a shard.
func (c *coreNode) onOwnershipChange(shard int, owner bool, epoch uint64) {
	if !owner {
		c.service.OnOwnershipLost(shard)
	}
	if shard != controllerShard {
		return
	}
	if !owner {
		c.master.Mailbox.Post(c.master.StepDown)
		return
	}
	state := c.replica.StateMachine(controllerShard)
	config := controlapi.StoredConfig(state)
	c.deliveredConfig, c.configProposedAt = config.Version, 0
	users, membership := storedUserStates(state), c.replica.Membership()
	view := decodeStoredView(state.Blob(viewBlob))
	stored := storedVersions(state, view.Epoch)
	c.master.Mailbox.Post(func() {
		c.master.SetStoredVersions(stored)
		c.master.BecomeMaster(epoch, view, users, config, membership)
	})
}

// onCommit hands a configuration to the master once it is committed, whatever
// has been proposed after it. It is called on the mailbox.
func (c *coreNode) onCommit(shard int) {
	c.service.OnCommit(shard)
	if shard != controllerShard || c.replica.CommittedVersion(controllerShard) < c.configProposedAt {
		return
	}
	state := c.replica.StateMachine(controllerShard)
	if blob := state.Blob(controlapi.ConfigBlob); blob != nil && blob.Version > c.deliveredConfig {
		config := controlapi.StoredConfig(state)
		c.deliveredConfig = config.Version
		c.master.Mailbox.Post(func() { c.master.SetConfig(config) })
	}
}

func (c *coreNode) onMembershipChange(membership *meshpb.Membership) {
	c.master.Mailbox.Post(func() { c.master.SetMembership(membership) })
}

// stepProposed is the first step of an entry at its owner.
const stepProposed = "proposed"

// onEntryProgress remembers the steps of changes that can be traced. It is
// called on the mailbox.
func (c *coreNode) onEntryProgress(step string, shard int, epoch, version uint64, change *meshpb.Change) {
	event := changetrace.Event{Time: time.Now(), Action: step, Shard: shard, Epoch: epoch, ShardVersion: version}
	switch {
	case change == nil:
	case change.Blob != nil && change.Blob.Name == controlapi.ConfigBlob:
		event.Kind, event.Version = changetrace.KindConfig, change.Blob.Version
		if step == stepProposed && shard == controllerShard {
			c.configProposedAt = version
		}
	case change.Blob != nil && change.Blob.Name == viewBlob:
		event.Kind, event.Version = changetrace.KindView, change.Blob.Version
	case change.Pin != nil:
		event.Kind = changetrace.SessionKind(change.Pin.Key)
	case change.Put != nil:
		event.Kind, event.Version = changetrace.CellKind(change.Put.Name), change.Put.Revision
	default:
		return
	}
	c.traceRing.Add(event)
}
