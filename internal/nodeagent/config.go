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
func (a *Agent) DeliverConfig(_ context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if q.To != "" && q.To != a.Name {
		return &meshpb.DeliverConfigResponse{}, nil
	}
	ok := a.applyConfig(q)
	return &meshpb.DeliverConfigResponse{Ok: ok, Version: a.ConfigVersion()}, nil
}

func (a *Agent) applyConfig(q *meshpb.DeliverConfigRequest) bool {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	if q.Version <= a.ConfigVersion() {
		return true
	}
	var err error
	if q.BaseVersion > 0 {
		patches, continues := a.patches.missing(q.BaseVersion, q.Patches)
		if !continues {
			return false
		}
		err = a.applyPatches(q.Version, patches)
	} else {
		err = a.applyFullConfig(q.Version, q.Data)
	}
	if err != nil {
		a.Log.Warn("failed to apply configuration", "version", q.Version, "epoch", q.Epoch, "error", err)
		return false
	}
	a.mu.Lock()
	a.configVersion = q.Version
	a.mu.Unlock()
	a.trace(changetrace.KindConfig, q.Epoch, q.Version)
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
