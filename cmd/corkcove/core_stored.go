package main

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/clustercontroller"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// The names under which the controller's shard has the master's blobs. They are
// stored on disk and never change.
const (
	viewBlob       = "view"
	userStatesBlob = "users"
)

// SaveView stores a view before it is published: clustercontroller.ViewStore.
func (c *coreNode) SaveView(ctx context.Context, view *meshpb.View) error {
	data, err := proto.Marshal(view)
	if err != nil {
		return err
	}
	blob := &meshpb.Blob{Name: viewBlob, Version: view.Version, Data: rpc.Compress(data)}
	_, err = coordination.Transact(ctx, c.service, controllerShard, func(*coordination.Table, time.Duration) coordination.Decision[struct{}] {
		return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: blob}}
	})
	return err
}

// decodeStoredView returns the last view; of one that can't be read, its version
// alone.
func decodeStoredView(blob *meshpb.Blob) *meshpb.View {
	view := &meshpb.View{}
	if blob == nil {
		return view
	}
	data, err := rpc.Decompress(blob.Data)
	if err != nil || proto.Unmarshal(data, view) != nil {
		return &meshpb.View{Version: blob.Version}
	}
	return view
}

// storedVersions names the stored configuration and view, so that relays can
// tell whether theirs are the same.
func storedVersions(state replication.StateMachine, viewEpoch uint64) *meshpb.StoredVersions {
	config, view := state.Blob(controlapi.ConfigBlob), state.Blob(viewBlob)
	return &meshpb.StoredVersions{ConfigVersion: config.GetVersion(), ConfigDigest: xxhash.Sum64(config.GetData()),
		ViewVersion: view.GetVersion(), ViewEpoch: viewEpoch, ViewDigest: xxhash.Sum64(view.GetData())}
}

// hasStoredVersions tells whether a replica has reached the versions.
func hasStoredVersions(state replication.StateMachine, versions *meshpb.StoredVersions) bool {
	return state.Blob(controlapi.ConfigBlob).GetVersion() == versions.GetConfigVersion() && state.Blob(viewBlob).GetVersion() == versions.GetViewVersion()
}

// isStored tells whether a blob is the one that was named.
func isStored(blob *meshpb.Blob, version, digest uint64) bool {
	return version > 0 && blob.GetVersion() == version && xxhash.Sum64(blob.Data) == digest
}

// readStoredPayloads returns what this member's replica of the controller's
// shard has of what the master names.
func (c *coreNode) readStoredPayloads(versions *meshpb.StoredVersions) clustercontroller.StoredPayloads {
	type blobs struct{ config, view *meshpb.Blob }
	stored, _ := mailbox.Call(c.mailbox, func() blobs {
		state := c.replica.StateMachine(controllerShard)
		return blobs{state.Blob(controlapi.ConfigBlob), state.Blob(viewBlob)}
	})
	var payloads clustercontroller.StoredPayloads
	if isStored(stored.config, versions.ConfigVersion, versions.ConfigDigest) {
		config := &meshpb.Config{}
		if proto.Unmarshal(stored.config.Data, config) == nil {
			payloads.Config = config.Packed
		}
	}
	if isStored(stored.view, versions.ViewVersion, versions.ViewDigest) {
		if view := decodeStoredView(stored.view); view.Epoch > 0 && view.Epoch == versions.ViewEpoch {
			// A view that can't be encoded is as good as none.
			payloads.View, _ = proto.Marshal(view.ForNodes())
		}
	}
	return payloads
}

// storedUserStates returns the user states by node; an unreadable blob is as
// good as none.
func storedUserStates(state replication.StateMachine) map[string]string {
	users := &meshpb.UserStates{}
	if blob := state.Blob(userStatesBlob); blob != nil {
		_ = proto.Unmarshal(blob.Data, users)
	}
	if users.States == nil {
		return map[string]string{}
	}
	return users.States
}
