package loadestimate

import (
	"path/filepath"
	"testing"

	"corkcove/internal/jsontest"
)

// The files were written by the code of commit 242832a, from values that have
// every field set; of an added endpoint those that `estimate add` sets.
func TestJSONKeysOf242832aAreKept(t *testing.T) {
	for file, v := range map[string]any{
		"estimate.json": &Estimate{},
		"check.json":    &[]Deviation{},
	} {
		t.Run(file, func(t *testing.T) { jsontest.AssertRoundTrip(t, filepath.Join("testdata/242832a", file), v) })
	}
}
