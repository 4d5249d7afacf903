package coordination

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The shards and groups of names must be those of the previous release: a release
// that assigned names to other shards would find none of the stored objects.
func TestShardsAndGroupsMatchPreviousRelease(t *testing.T) {
	const shards = 13
	service := NewService(nil, shards)
	for name, want := range map[string]int{"": 2, "lock": 7, "another lock": 12, "group.": 7, "orders": 9} {
		qt.Check(t, service.ShardOf(name), qt.Equals, want, qt.Commentf("%q", name))
	}
	for key, want := range map[string]int{"": 5, "session": 1, "another session": 12, "customer-17": 8} {
		qt.Check(t, service.SessionShard(key), qt.Equals, want, qt.Commentf("%q", key))
	}
	for name, want := range map[string]string{"group.cell": "group.", "group.cell.more": "group.", "alone": "alone", "": ""} {
		qt.Check(t, GroupName(name), qt.Equals, want, qt.Commentf("%q", name))
	}
}
