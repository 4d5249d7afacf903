package replay

import (
	"bytes"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// TestReadFromRejectsInvalidRecordings checks the error for each kind of invalid file,
// and that a file truncated at any byte is an error.
func TestReadFromRejectsInvalidRecordings(t *testing.T) {
	recording := recordTraffic(t, nil, 20)
	var file bytes.Buffer
	qt.Assert(t, writeRecording(&file, recording), qt.IsNil)
	complete := file.Bytes()
	changedChecksum := slices.Clone(complete)
	changedChecksum[len(changedChecksum)-3] ^= 1
	changedSection := slices.Clone(complete)
	changedSection[len(changedSection)/2] ^= 1
	var empty bytes.Buffer
	qt.Assert(t, writeRecording(&empty, &meshpb.ReplayFile{}), qt.IsNil)
	for want, content := range map[string][]byte{
		"is truncated":                         complete[:len(complete)/2],
		"checksum mismatch":                    changedChecksum,
		"is corrupt":                           changedSection,
		"not a recording":                      []byte("PK\x03\x04 something"),
		"unsupported recording format version": []byte("corkcove replay 9\nxx"),
		"is empty":                             empty.Bytes(),
	} {
		_, err := ReadFrom(bytes.NewReader(content))
		qt.Assert(t, err, qt.ErrorMatches, ".*"+want+".*")
	}
	for i := range len(complete) {
		_, err := ReadFrom(bytes.NewReader(complete[:i]))
		qt.Assert(t, err, qt.IsNotNil)
	}
	_, err := ReadFile(t.TempDir() + "/none")
	qt.Assert(t, os.IsNotExist(err) || err != nil, qt.IsTrue)
}
