package replay

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/prototest"
	"corkcove/internal/rpc/meshpb"
)

// update writes the fixture of this package if it is missing. The committed fixture is
// the reference: it was written by the previous release, the last one before RPC
// services, command-line flags and packages were renamed, and must never be
// regenerated, so an existing fixture directory is an error.
var update = flag.Bool("update", false, "write a missing fixture directory")

const (
	storedDir  = "testdata/242832a"
	storedFile = storedDir + "/record"
	storedText = storedDir + "/record.txt"
)

// TestReplayFileOfPreviousReleaseIsRead guards against format changes that make stored
// recordings unreadable. It reads a recording in which every field is set.
func TestReplayFileOfPreviousReleaseIsRead(t *testing.T) {
	if *update {
		writeStoredRecording(t)
	}
	recording, err := ReadFile(storedFile)
	qt.Assert(t, err, qt.IsNil)
	want, err := os.ReadFile(storedText)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, prototest.Text(recording), qt.Equals, string(want))
}

// writeStoredRecording writes the fixture directory, for a recording with every field set.
func writeStoredRecording(t *testing.T) {
	t.Helper()
	recording := &meshpb.ReplayFile{}
	prototest.Fill(recording)
	recording.Version = formatVersion
	file := proto.Clone(recording).(*meshpb.ReplayFile)
	qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
	qt.Assert(t, os.Mkdir(storedDir, 0o755), qt.IsNil, qt.Commentf("committed fixtures must not be overwritten"))
	out, err := os.Create(storedFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, writeRecording(out, file), qt.IsNil)
	qt.Assert(t, out.Close(), qt.IsNil)
	qt.Assert(t, os.WriteFile(storedText, []byte(prototest.Text(recording)), 0o644), qt.IsNil)
}
