// Package jsontest checks in tests that the JSON encoding of a stored type stays the
// same. It keeps no state, runs on the test's goroutine, and only reads the stored
// file.
package jsontest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// AssertRoundTrip decodes the named file into v, a pointer, and encodes v again. It
// fails the test if the file has a key that v does not know, or if the encoded bytes
// differ from the file, as they do if a key was renamed, removed or added.
func AssertRoundTrip(t *testing.T, file string, v any) {
	t.Helper()
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	qt.Assert(t, decoder.Decode(v), qt.IsNil)
	got, err := json.MarshalIndent(v, "", " ")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got)+"\n", qt.Equals, string(want))
}
