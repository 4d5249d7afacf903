package nodeagent

import (
	"context"

	"corkcove/internal/changetrace"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// DeliverConfig applies a configuration from the master: either a complete one or
// patches to the active one. Version in the response is the version that is active
// afterwards, and Ok says whether it is at least the requested one. A request that
// is addressed to another node gets an empty response. Only versions are compared,
// not the master's epoch. The error is always nil.
func (a *Agent) DeliverConfig(_ context.Context, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if request.To != "" && request.To != a.Name {
		return &meshpb.DeliverConfigResponse{}, nil
	}
	ok := a.applyConfig(request)
	return &meshpb.DeliverConfigResponse{Ok: ok, Version: a.ConfigVersion(), Incarnation: a.Incarnation}, nil
}

// applyConfig reports whether the active configuration is at least as new as the
// requested one afterwards.
func (a *Agent) applyConfig(request *meshpb.DeliverConfigRequest) bool {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	if request.Version <= a.ConfigVersion() {
		return true
	}
	var err error
	if request.BaseVersion > 0 {
		patches, ok := a.patchHistory.unapplied(request.BaseVersion, request.Patches)
		if !ok {
			return false
		}
		err = a.applyPatches(request.Version, patches)
	} else {
		err = a.applyFullConfig(request.Version, request.Data)
	}
	if err != nil {
		a.Log.Warn("failed to apply configuration", "version", request.Version, "epoch", request.Epoch, "error", err)
		return false
	}
	a.mu.Lock()
	a.configVersion = request.Version
	a.mu.Unlock()
	a.trace(changetrace.KindConfig, request.Epoch, request.Version)
	return true
}

// applyFullConfig applies a complete configuration, which is sent compressed.
func (a *Agent) applyFullConfig(version uint64, packed []byte) error {
	data, err := rpc.Decompress(packed)
	if err != nil {
		return err
	}
	if err := a.OnConfig(version, data); err != nil {
		return err
	}
	a.patchHistory.reset(version)
	return nil
}

// applyPatches applies patches, each sent compressed, to the active configuration.
func (a *Agent) applyPatches(version uint64, packed [][]byte) error {
	var patches [][]byte
	for _, p := range packed {
		patch, err := rpc.Decompress(p)
		if err != nil {
			return err
		}
		patches = append(patches, patch)
	}
	if err := a.OnPatch(version, patches); err != nil {
		return err
	}
	a.patchHistory.add(version, packed)
	return nil
}
