package changetrace

import (
	"testing"

	"corkcove/internal/jsontest"
)

// The file was written by the code of commit 242832a, from a value that has
// every field set.
func TestJSONKeysOf242832aAreKept(t *testing.T) {
	jsontest.Unchanged(t, "testdata/242832a/report.json", &Report{})
}
