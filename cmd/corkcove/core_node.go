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

// coreNode connects the replica of the control state with the master. Each has a
// mailbox, whose goroutine owns its state. The replica may be called only on mailbox
// (except HoldsMasterLease, InContact and MasterEpoch, which are safe on any
// goroutine), the master only on master.Mailbox. To rule out deadlocks, code on one
// mailbox never waits for the other: the replica's callbacks post to the master.
type coreNode struct {
	*process
	mailbox *mailbox.Mailbox
	replica *replication.Replica
	// coordination runs the transactions of the control state.
	coordination *coordination.Service
	master       *clustercontroller.Master
	clients      *rpc.Clients

	// deliveredConfigVersion is the version of the last configuration that was passed
	// to the master. Owned by mailbox.
	deliveredConfigVersion uint64
	// configProposalVersion is the version of the controller shard at which this node
	// proposed its latest configuration. Owned by mailbox.
	configProposalVersion uint64
}

// onOwnershipChange is called on the mailbox when this node becomes the owner of a
// shard or ceases to be it. With the controller shard, this node becomes the master
// or steps down.
func (c *coreNode) onOwnershipChange(shard int, owner bool, epoch uint64) {
	if !owner {
		c.coordination.OnOwnershipLost(shard)
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
	c.deliveredConfigVersion, c.configProposalVersion = config.Version, 0
	userStates, membership := storedUserStates(state), c.replica.Membership()
	view := decodeStoredView(state.Blob(viewBlob))
	stored := storedVersions(state, view.Epoch)
	c.master.Mailbox.Post(func() {
		c.master.SetStoredVersions(stored)
		c.master.BecomeMaster(epoch, view, userStates, config, membership)
	})
}

// onCommit passes a configuration to the master as soon as it is committed, even if
// later entries are not yet committed. It is called on the mailbox.
func (c *coreNode) onCommit(shard int) {
	c.coordination.OnCommit(shard)
	if shard != controllerShard || c.replica.CommittedVersion(controllerShard) < c.configProposalVersion {
		return
	}
	state := c.replica.StateMachine(controllerShard)
	if blob := state.Blob(controlapi.ConfigBlob); blob != nil && blob.Version > c.deliveredConfigVersion {
		config := controlapi.StoredConfig(state)
		c.deliveredConfigVersion = config.Version
		c.master.Mailbox.Post(func() { c.master.SetConfig(config) })
	}
}

// onMembershipChange passes a new membership to the master. It is called on the
// mailbox.
func (c *coreNode) onMembershipChange(membership *meshpb.Membership) {
	c.master.Mailbox.Post(func() { c.master.SetMembership(membership) })
}

// stepProposed is the trace step for an entry that its owner has proposed.
const stepProposed = "proposed"

// onEntryProgress records the steps of changes for the trace command, and the version
// at which a configuration was proposed. It is called on the mailbox.
func (c *coreNode) onEntryProgress(step string, shard int, epoch, version uint64, change *meshpb.Change) {
	event := changetrace.Event{Time: time.Now(), Action: step, Shard: shard, Epoch: epoch, ShardVersion: version}
	switch {
	case change == nil:
	case change.Blob != nil && change.Blob.Name == controlapi.ConfigBlob:
		event.Kind, event.Version = changetrace.KindConfig, change.Blob.Version
		if step == stepProposed && shard == controllerShard {
			c.configProposalVersion = version
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
