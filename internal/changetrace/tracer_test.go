package changetrace

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStepsOfAChangeAreFoundWithTheCommitThatCoversIt(t *testing.T) {
	r := NewRing(8)
	for i := uint64(0); i < 20; i++ {
		r.Add(Step{What: "proposed", Kind: "cell g.old", Version: i, Shard: 2, Epoch: 1, Mark: i})
	}
	r.Add(Step{What: "proposed", Kind: Config, Version: 12, Shard: 0, Epoch: 4, Mark: 30})
	r.Add(Step{What: "committed", Shard: 0, Epoch: 4, Mark: 29})
	r.Add(Step{What: "committed", Shard: 1, Epoch: 4, Mark: 31})
	r.Add(Step{What: "committed", Shard: 0, Epoch: 4, Mark: 31})
	r.Add(Step{What: "committed", Shard: 0, Epoch: 4, Mark: 32})
	c, err := Parse("r12")
	qt.Assert(t, err, qt.IsNil)
	ls := r.Find(c)
	qt.Assert(t, len(ls), qt.Equals, 2)
	qt.Assert(t, ls[1].Detail, qt.Equals, "shard 0 version 31")
	c, err = Parse("key:g.old")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(r.Find(c)), qt.Equals, 1)
	for _, s := range []string{"", "12", "view:", "view:x", "key:", "r0"} {
		_, err := Parse(s)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}
