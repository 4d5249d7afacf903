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
	// ConfigBlob is the name of the blob that holds the current configuration.
	ConfigBlob = coordination.ConfigBlob

	// maxConfigBytes is the maximum size of the body of a configuration change.
	maxConfigBytes = 16 << 20
	// maxPatchBytes is the maximum total size of the patches that are stored with a
	// configuration.
	maxPatchBytes = 192 << 10
	// maxPatches is the maximum number of these patches.
	maxPatches = 24
)

// StoredConfig returns the current configuration from the state of the configuration
// shard. It is empty if there is none or if it cannot be decoded.
func StoredConfig(t replication.StateMachine) *meshpb.Config {
	config, err := decodeConfig(t.Blob(ConfigBlob))
	if err != nil {
		return &meshpb.Config{}
	}
	return config
}

// decodeConfig decodes the content of a configuration blob. It returns an empty
// configuration if the blob is nil.
func decodeConfig(b *meshpb.Blob) (*meshpb.Config, error) {
	config := &meshpb.Config{}
	if err := proto.Unmarshal(b.GetData(), config); err != nil {
		return nil, Error.Wrap(err)
	}
	return config, nil
}

// getConfig handles a GET of the configuration. It returns the current configuration
// as JSON, each resource byte for byte as the operator sent it.
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
	text, err := rpc.Decompress(config.Packed)
	if err != nil {
		return nil, errOutcomeUnknown
	}
	return text, nil
}

// encodeConfig returns the stored form of a configuration, which follows current. It
// contains the full configuration and the patches that lead to it from the preceding
// ones, so that any master can update nodes that have one of those.
func (s *CoreServer) encodeConfig(current *meshpb.Config, config routeconfig.Config) ([]byte, error) {
	next := &meshpb.Config{Version: config.Version, Packed: rpc.Compress(config.Marshal())}
	if current.Version > 0 {
		if previous, err := s.configs.parse(current); err == nil {
			patch := &meshpb.ConfigPatch{BaseVersion: current.Version, Version: config.Version, Patch: rpc.Compress(config.PatchFrom(previous))}
			next.Patches = newestPatches(append(current.Patches, patch))
		}
	}
	return proto.Marshal(next)
}

// newestPatches returns the newest patches, as many as maxPatchBytes and maxPatches
// allow.
func newestPatches(patches []*meshpb.ConfigPatch) []*meshpb.ConfigPatch {
	size := 0
	for i := len(patches) - 1; i >= 0; i-- {
		size += len(patches[i].Patch)
		if size > maxPatchBytes || len(patches)-i > maxPatches {
			return append([]*meshpb.ConfigPatch(nil), patches[i+1:]...)
		}
	}
	return patches
}

// configCache holds the configuration that was parsed or accepted last, so that a
// change to it does not have to parse it again. It is safe for concurrent use.
type configCache struct {
	mu   sync.Mutex
	last routeconfig.Config
}

// parse returns a stored configuration in parsed form. It parses the configuration
// only if the cached one has another version.
func (c *configCache) parse(stored *meshpb.Config) (routeconfig.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Version == stored.Version {
		return c.last, nil
	}
	text, err := rpc.Decompress(stored.Packed)
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
