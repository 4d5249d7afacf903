package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

// TestReadsBlobNamesOfPreviousRelease checks the names under which the previous
// release stored the cluster controller's blobs in shard 0, and the number of shards,
// which determines the shard of each stored name. Changing either makes a new release
// miss the stored data. The previous release is the last one before RPC services,
// command-line flags and packages were renamed.
func TestReadsBlobNamesOfPreviousRelease(t *testing.T) {
	const usersData = "\x0a\x14\x0a\x08endpoint\x12\x08draining"
	table := coordination.NewTable(time.Minute)
	table.Restore(&meshpb.ShardState{Blobs: []*meshpb.Blob{
		{Name: "configuration", Version: 5, Data: []byte("configuration data")},
		{Name: "users", Version: 6, Data: []byte(usersData)},
		{Name: "view", Version: 7, Data: []byte("view data")},
	}}, 0, true)
	found := storedVersions(table, 3)
	qt.Check(t, found.ConfigVersion, qt.Equals, uint64(5))
	qt.Check(t, found.ViewVersion, qt.Equals, uint64(7))
	qt.Check(t, storedUserStates(table), qt.DeepEquals, map[string]string{"endpoint": "draining"})
	qt.Check(t, shardCount, qt.Equals, 13)
}

// TestDecodesViewOfPreviousRelease decodes a view as the previous release stored
// it: compressed with DEFLATE.
func TestDecodesViewOfPreviousRelease(t *testing.T) {
	view := decodeStoredView(&meshpb.Blob{Version: 7, Data: []byte("\x01\x08\x00\xf7\xff\x08\x03\x10\x07\x32\x02m0")})
	qt.Check(t, view.Epoch, qt.Equals, uint64(3))
	qt.Check(t, view.Version, qt.Equals, uint64(7))
	qt.Check(t, view.Master, qt.Equals, "m0")
}
