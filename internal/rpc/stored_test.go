package rpc_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/prototest"
	"corkcove/internal/rpc/meshpb"
)

// storedDir holds a fixture for each type of stored message: log records, contents
// of blobs, and parts of replay files. The previous release wrote them.
const storedDir = "testdata/stored/242832a"

// storedMessages lists the stored messages by fixture name. The fixture keeps its
// name when the message is renamed.
var storedMessages = []struct {
	fixture string
	empty   proto.Message
}{
	{"log-record", &meshpb.Record{}},
	{"membership-blob", &meshpb.Membership{}},
	{"view-blob", &meshpb.View{}},
	{"configuration-blob", &meshpb.Config{}},
	{"configuration-blob-with-orders", &meshpb.LegacyAcceptedChanges{}},
	{"user-states-blob", &meshpb.UserStates{}},
	{"replay-node", &meshpb.RequestRecordsResponse{}},
	{"replay-configuration", &meshpb.ConfigSnapshot{}},
	{"replay-tail", &meshpb.ReplayTrailer{}},
	{"replay-whole", &meshpb.ReplayFile{}},
}

// TestStoredMessagesRoundTrip guards against changes to mesh.proto that make data
// stored by an earlier release unreadable. It decodes each fixture, in which every
// field is set, and requires the same bytes when it is encoded again.
func TestStoredMessagesRoundTrip(t *testing.T) {
	for _, stored := range storedMessages {
		t.Run(stored.fixture, func(t *testing.T) {
			dir := filepath.Join(storedDir, stored.fixture)
			if *update {
				writeStoredMessage(t, dir, proto.Clone(stored.empty))
			}
			data, err := os.ReadFile(filepath.Join(dir, "message.bin"))
			qt.Assert(t, err, qt.IsNil)
			text, err := os.ReadFile(filepath.Join(dir, "message.txt"))
			qt.Assert(t, err, qt.IsNil)
			got := decodeMessage(t, proto.Clone(stored.empty), data, string(text))
			encoded, err := proto.Marshal(got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, encoded, qt.DeepEquals, data)
		})
	}
}

// writeStoredMessage creates the fixture directory dir for message with every field
// set. It fails if dir exists.
func writeStoredMessage(t *testing.T, dir string, message proto.Message) {
	t.Helper()
	prototest.Fill(message)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.MkdirAll(storedDir, 0o755), qt.IsNil)
	qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures must not be overwritten"))
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "message.bin"), data, 0o644), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "message.txt"), []byte(prototest.Text(message)), 0o644), qt.IsNil)
}
