package nodeagent

import (
	"context"

	"corkcove/internal/changetrace"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// DeliverConfig applies a configuration from the master: a complete one, or
// patches to the one in force. The answer always names the version in force after
// it; Ok tells whether that is at least the one that was sent.
func (a *Agent) DeliverConfig(_ context.Context, request *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if request.To != "" && request.To != a.Name {
		return &meshpb.DeliverConfigResponse{}, nil
	}
	ok := a.applyConfig(request)
	return &meshpb.DeliverConfigResponse{Ok: ok, Version: a.ConfigVersion()}, nil
}

func (a *Agent) applyConfig(request *meshpb.DeliverConfigRequest) bool {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	if request.Version <= a.ConfigVersion() {
		return true
	}
	var err error
	if request.BaseVersion > 0 {
		patches, continues := a.patches.missing(request.BaseVersion, request.Patches)
		if !continues {
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

func (a *Agent) applyFullConfig(version uint64, packed []byte) error {
	data, err := rpc.Unpack(packed)
	if err != nil {
		return err
	}
	if err := a.OnConfig(version, data); err != nil {
		return err
	}
	a.patches.reset(version)
	return nil
}

func (a *Agent) applyPatches(version uint64, packed [][]byte) error {
	var patches [][]byte
	for _, p := range packed {
		patch, err := rpc.Unpack(p)
		if err != nil {
			return err
		}
		patches = append(patches, patch)
	}
	if err := a.OnPatch(version, patches); err != nil {
		return err
	}
	a.patches.add(version, packed)
	return nil
}
