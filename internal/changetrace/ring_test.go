package changetrace

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFindReturnsEventsAndFirstCoveringCommit(t *testing.T) {
	r := NewRing(8)
	for i := uint64(0); i < 20; i++ {
		r.Add(Event{Action: "proposed", Kind: "cell g.old", Version: i, Shard: 2, Epoch: 1, ShardVersion: i})
	}
	r.Add(Event{Action: "proposed", Kind: KindConfig, Version: 12, Shard: 0, Epoch: 4, ShardVersion: 30})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 29})
	r.Add(Event{Action: "committed", Shard: 1, Epoch: 4, ShardVersion: 31})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 31})
	r.Add(Event{Action: "committed", Shard: 0, Epoch: 4, ShardVersion: 32})
	change, err := ParseChange("r12")
	qt.Assert(t, err, qt.IsNil)
	events := r.Find(change)
	qt.Assert(t, len(events), qt.Equals, 2)
	qt.Assert(t, events[1].Detail, qt.Equals, "shard 0 version 31")
	change, err = ParseChange("key:g.old")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(r.Find(change)), qt.Equals, 1)
}

func TestParseChangeRejectsInvalidInput(t *testing.T) {
	for _, s := range []string{"", "12", "view:", "view:x", "key:", "r0"} {
		_, err := ParseChange(s)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}

func TestParseChange(t *testing.T) {
	for s, want := range map[string]Change{
		"r12":      {Kind: "configuration", Version: 12},
		"view:9":   {Kind: "view", Version: 9},
		"key:g1.a": {Kind: "cell g1.a"},
		"pin:0a1b": {Kind: "pin 0a1b"},
	} {
		got, err := ParseChange(s)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want, qt.Commentf("%q", s))
	}
}
