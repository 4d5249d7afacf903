package controlapi

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// ConfigBlob names the blob that holds the configuration in force.
	ConfigBlob = coordination.ConfigBlob

	// maxConfigBytes bounds a configuration as it is sent.
	maxConfigBytes = 16 << 20
	// maxPatchBytes and maxPatches bound the patches kept beside a configuration.
	maxPatchBytes = 192 << 10
	maxPatches    = 24
)

// StoredConfig reads the configuration in force; empty where there is none that
// can be read.
func StoredConfig(t replication.StateMachine) *meshpb.Config {
	config, err := decodeConfig(t.Blob(ConfigBlob))
	if err != nil {
		return &meshpb.Config{}
	}
	return config
}

func decodeConfig(b *meshpb.Blob) (*meshpb.Config, error) {
	config := &meshpb.Config{}
	if err := proto.Unmarshal(b.GetData(), config); err != nil {
		return nil, Error.Wrap(err)
	}
	return config, nil
}

// getConfig answers with the configuration in force as it was sent.
func (s *CoreServer) getConfig(r request, _ empty) (rawJSON, error) {
	blob, err := callWithRetry(s, r, coordination.ConfigShard, func(ctx context.Context) (*meshpb.Blob, error) {
		return coordination.Transact(ctx, s.Coordination, coordination.ConfigShard,
			func(t *coordination.Table, _ time.Duration) coordination.Decision[*meshpb.Blob] {
				return coordination.Decision[*meshpb.Blob]{Result: t.Blob(ConfigBlob)}
			})
	})
	if err != nil {
		return nil, err
	}
	if blob == nil {
		return nil, &statusError{statusNotFound, "no configuration yet"}
	}
	config, err := decodeConfig(blob)
	if err != nil {
		return nil, errOutcomeUnknown
	}
	text, err := rpc.Unpack(config.Packed)
	if err != nil {
		return nil, errOutcomeUnknown
	}
	return text, nil
}

// encodeConfig writes a configuration as it is stored: the whole of it, and the
// patches that lead to it from the configurations before, by which any master
// brings nodes up to date.
func (s *CoreServer) encodeConfig(current *meshpb.Config, config routeconfig.Config) ([]byte, error) {
	next := &meshpb.Config{Version: config.Version, Packed: rpc.Pack(config.Marshal())}
	if current.Version > 0 {
		if previous, err := s.configs.parse(current); err == nil {
			patch := &meshpb.ConfigPatch{BaseVersion: current.Version, Version: config.Version, Patch: rpc.Pack(config.PatchFrom(previous))}
			next.Patches = boundPatches(append(current.Patches, patch))
		}
	}
	return proto.Marshal(next)
}

// boundPatches keeps the newest patches within the bounds.
func boundPatches(patches []*meshpb.ConfigPatch) []*meshpb.ConfigPatch {
	size := 0
	for i := len(patches) - 1; i >= 0; i-- {
		size += len(patches[i].Patch)
		if size > maxPatchBytes || len(patches)-i > maxPatches {
			return append([]*meshpb.ConfigPatch(nil), patches[i+1:]...)
		}
	}
	return patches
}

// configCache keeps the configuration that was read or accepted last, so that a
// change to it need not parse it again. It is safe for concurrent use.
type configCache struct {
	mu   sync.Mutex
	last routeconfig.Config
}

// parse reads a stored configuration.
func (c *configCache) parse(stored *meshpb.Config) (routeconfig.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Version == stored.Version {
		return c.last, nil
	}
	text, err := rpc.Unpack(stored.Packed)
	if err != nil {
		return routeconfig.Config{}, err
	}
	config, err := routeconfig.Parse(text)
	if err == nil {
		c.last = config
	}
	return config, err
}

func (c *configCache) set(config routeconfig.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = config
}
