package changetrace

import (
	"testing"

	"corkcove/internal/jsontest"
)

// Guards against changes to the JSON keys of a stored report. The file was written by
// the previous release, the last one before RPC services, command-line flags and
// packages were renamed, from a value with every field set.
func TestJSONKeysOfPreviousReleaseAreKept(t *testing.T) {
	jsontest.AssertRoundTrip(t, "testdata/242832a/report.json", &Report{})
}
