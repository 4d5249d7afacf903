package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

// TestBlobsOf242832aAreFoundByTheirNames holds the names under which shard 0
// stores what the cluster controller needs, and the number of shards, by which
// stored names are spread.
func TestBlobsOf242832aAreFoundByTheirNames(t *testing.T) {
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

// TestViewOf242832aIsRead reads a stored view, which is deflated.
func TestViewOf242832aIsRead(t *testing.T) {
	view := decodeStoredView(&meshpb.Blob{Version: 7, Data: []byte("\x01\x08\x00\xf7\xff\x08\x03\x10\x07\x32\x02m0")})
	qt.Check(t, view.Epoch, qt.Equals, uint64(3))
	qt.Check(t, view.Version, qt.Equals, uint64(7))
	qt.Check(t, view.Master, qt.Equals, "m0")
}
