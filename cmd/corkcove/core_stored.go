package main

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/clustercontroller"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/lifecycle"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// The names of the master's blobs in the controller shard. They are stored on disk
// and must not change.
const (
	viewBlob       = "view"
	userStatesBlob = "users"
)

// SaveView stores a view before it is published, and returns once it is committed. It
// implements clustercontroller.ViewStore. After an error the view may or may not
// have been committed.
func (c *coreNode) SaveView(ctx context.Context, view *meshpb.View) error {
	data, err := proto.Marshal(view)
	if err != nil {
		return err
	}
	blob := &meshpb.Blob{Name: viewBlob, Version: view.Version, Data: rpc.Compress(data)}
	_, err = coordination.Transact(ctx, c.coordination, controllerShard, func(*coordination.Table, time.Duration) coordination.Decision[struct{}] {
		return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: blob}}
	})
	return err
}

// decodeStoredView decodes a stored view. If the blob is nil, the view is empty; if
// the data is invalid, the view contains only its version.
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

// storedVersions returns the versions and digests of the stored configuration and
// view. Relays use them to check that their replicas hold the same data.
func storedVersions(state replication.StateMachine, viewEpoch uint64) *meshpb.StoredVersions {
	config, view := state.Blob(controlapi.ConfigBlob), state.Blob(viewBlob)
	return &meshpb.StoredVersions{ConfigVersion: config.GetVersion(), ConfigDigest: xxhash.Sum64(config.GetData()),
		ViewVersion: view.GetVersion(), ViewEpoch: viewEpoch, ViewDigest: xxhash.Sum64(view.GetData())}
}

// replicaHasVersions reports whether a replica holds exactly these versions of the
// configuration and the view.
func replicaHasVersions(state replication.StateMachine, versions *meshpb.StoredVersions) bool {
	return state.Blob(controlapi.ConfigBlob).GetVersion() == versions.GetConfigVersion() && state.Blob(viewBlob).GetVersion() == versions.GetViewVersion()
}

// blobMatches reports whether a blob has the given version and digest. Version 0
// means that there is no blob, and never matches.
func blobMatches(blob *meshpb.Blob, version, digest uint64) bool {
	return version > 0 && blob.GetVersion() == version && xxhash.Sum64(blob.Data) == digest
}

// readStoredPayloads returns the configuration and the view with the given versions
// and digests from this member's replica of the controller shard. Those that the
// replica does not hold are nil.
func (c *coreNode) readStoredPayloads(versions *meshpb.StoredVersions) clustercontroller.StoredPayloads {
	type blobs struct{ config, view *meshpb.Blob }
	stored, _ := mailbox.Call(c.mailbox, func() blobs {
		state := c.replica.StateMachine(controllerShard)
		return blobs{state.Blob(controlapi.ConfigBlob), state.Blob(viewBlob)}
	})
	var payloads clustercontroller.StoredPayloads
	if blobMatches(stored.config, versions.ConfigVersion, versions.ConfigDigest) {
		config := &meshpb.Config{}
		if proto.Unmarshal(stored.config.Data, config) == nil {
			payloads.Config = config.Packed
		}
	}
	if blobMatches(stored.view, versions.ViewVersion, versions.ViewDigest) {
		if view := decodeStoredView(stored.view); view.Epoch > 0 && view.Epoch == versions.ViewEpoch {
			// If the view cannot be marshaled, it counts as missing.
			payloads.View, _ = proto.Marshal(view.ForNodes())
		}
	}
	return payloads
}

// storedUserStates returns the states that users set, by node name. It returns an
// empty map if none are stored, and ignores data that cannot be decoded.
func storedUserStates(state replication.StateMachine) map[string]string {
	stored := &meshpb.UserStates{}
	if blob := state.Blob(userStatesBlob); blob != nil {
		_ = proto.Unmarshal(blob.Data, stored)
	}
	if stored.States == nil {
		return map[string]string{}
	}
	return stored.States
}

// userStatesVersion returns the version of the stored user states. It rises with each
// change. Changes by earlier releases set it to 0.
func userStatesVersion(state replication.StateMachine) uint64 {
	return state.Blob(userStatesBlob).GetVersion()
}

// storedUserState returns how a user state is stored: up, which limits nothing, is not.
func storedUserState(state string) string {
	if state == string(lifecycle.Up) {
		return ""
	}
	return state
}
