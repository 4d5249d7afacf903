package changetrace

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStepsOfAChangeAreFoundWithTheCommitThatCoversIt(t *testing.T) {
	r := NewRing(8)
	for i := uint64(0); i < 20; i++ {
		r.Add(Event{Action: "proposed", Kind: "cell g.old", Version: i, Shard: 2, Epoch: 1, ShardVersion: i})
	}
	r.Add(Event{Action: "proposed", Kind: KindConfig, Version: 12, Shard: 0, Epoch: 4, ShardVersion: 30})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 29})
	r.Add(Event{Action: "committed", Shard: 1, Epoch: 4, ShardVersion: 31})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 31})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 32})
	c, err := ParseChange("r12")
	qt.Assert(t, err, qt.IsNil)
	ls := r.Find(c)
	qt.Assert(t, len(ls), qt.Equals, 2)
	qt.Assert(t, ls[1].Detail, qt.Equals, "shard 0 version 31")
	c, err = ParseChange("key:g.old")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(r.Find(c)), qt.Equals, 1)
	for _, s := range []string{"", "12", "view:", "view:x", "key:", "r0"} {
		_, err := ParseChange(s)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}
