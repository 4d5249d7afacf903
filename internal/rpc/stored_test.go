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

// storedDir holds the messages that are stored: records of logs, what blobs
// hold, and the parts of replay files.
const storedDir = "testdata/stored/242832a"

// storedMessages are the messages by the name of their fixture, which stays when
// the message is renamed.
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

// TestStoredMessagesOf242832aAreReadAndWritten reads each message with every
// field set, and writes it again to the same bytes.
func TestStoredMessagesOf242832aAreReadAndWritten(t *testing.T) {
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
			got := decoded(t, proto.Clone(stored.empty), data, string(text))
			written, err := proto.Marshal(got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, written, qt.DeepEquals, data)
		})
	}
}

func writeStoredMessage(t *testing.T, dir string, message proto.Message) {
	t.Helper()
	prototest.Fill(message)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.MkdirAll(storedDir, 0o755), qt.IsNil)
	qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures are never written again"))
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "message.bin"), data, 0o644), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "message.txt"), []byte(prototest.Text(message)), 0o644), qt.IsNil)
}
