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

// update writes the fixture of this package if it is missing. The committed file
// is the reference: it was written by the code of commit 242832a and must never
// be regenerated, so a folder that exists is refused.
var update = flag.Bool("update", false, "write a missing fixture folder")

const (
	storedDir  = "testdata/242832a"
	storedFile = storedDir + "/record"
	storedText = storedDir + "/record.txt"
)

// TestReplayFileOf242832aIsRead reads a file whose parts have every field set.
func TestReplayFileOf242832aIsRead(t *testing.T) {
	if *update {
		writeStored(t)
	}
	recording, err := ReadFile(storedFile)
	qt.Assert(t, err, qt.IsNil)
	want, err := os.ReadFile(storedText)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, prototest.Text(recording), qt.Equals, string(want))
}

func writeStored(t *testing.T) {
	t.Helper()
	recording := &meshpb.ReplayFile{}
	prototest.Fill(recording)
	recording.Version = formatVersion
	file := proto.Clone(recording).(*meshpb.ReplayFile)
	qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
	qt.Assert(t, os.Mkdir(storedDir, 0o755), qt.IsNil, qt.Commentf("committed fixtures are never written again"))
	out, err := os.Create(storedFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, writeRecording(out, file), qt.IsNil)
	qt.Assert(t, out.Close(), qt.IsNil)
	qt.Assert(t, os.WriteFile(storedText, []byte(prototest.Text(recording)), 0o644), qt.IsNil)
}
