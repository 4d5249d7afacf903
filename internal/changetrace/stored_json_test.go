package changetrace

import (
	"testing"

	"corkcove/internal/jsontest"
)

// Guards against changes to the JSON keys of a stored report. The file was written by
// the code of commit 242832a from a value with every field set.
func TestJSONKeysOf242832aAreKept(t *testing.T) {
	jsontest.AssertRoundTrip(t, "testdata/242832a/report.json", &Report{})
}
