package loadestimate

import (
	"path/filepath"
	"testing"

	"corkcove/internal/jsontest"
)

// Estimates that an earlier version saved must stay readable. The files were
// written by the previous release, the last one before RPC services, command-line
// flags and packages were renamed, from values with all fields set; of an added
// endpoint, only the fields that `estimate add` sets.
func TestStoredJSONKeysAreUnchanged(t *testing.T) {
	for file, v := range map[string]any{
		"estimate.json": &Estimate{},
		"check.json":    &[]Deviation{},
	} {
		t.Run(file, func(t *testing.T) { jsontest.AssertRoundTrip(t, filepath.Join("testdata/242832a", file), v) })
	}
}
