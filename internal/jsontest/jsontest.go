// Package jsontest checks in tests that a stored JSON form stays as it is. It has
// no state, runs on the test's goroutine and only reads the stored file.
package jsontest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Unchanged decodes the named file into v, a pointer, and encodes v again. It
// fails the test unless v knows each key of the file and the result has the same
// bytes: no key was renamed, dropped or added.
func Unchanged(t *testing.T, file string, v any) {
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
