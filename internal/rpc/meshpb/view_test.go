package meshpb

import (
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestViewsGoOutAsDifferences(t *testing.T) {
	e := func(id, st string) *Endpoint { return &Endpoint{Id: id, State: st} }
	a := &View{Epoch: 2, Version: 5, Nodes: 3, Membership: &Membership{Version: 1}, Endpoints: []*Endpoint{e("a", "up"), e("b", "up"), e("c", "up")}, NodeAddresses: []string{"n x"}}
	b := &View{Epoch: 2, Version: 6, Nodes: 4, Membership: &Membership{Version: 1}, Endpoints: []*Endpoint{e("a", "up"), e("b", "draining"), e("d", "up")}}
	d := b.Since(a)
	qt.Assert(t, len(d.Endpoints), qt.Equals, 2)
	qt.Assert(t, d.Removed, qt.DeepEquals, []string{"c"})
	qt.Assert(t, d.Membership, qt.IsNil)
	x := d.ApplyTo(a)
	var got []string
	for _, y := range x.Endpoints {
		got = append(got, y.Id+y.State)
	}
	sort.Strings(got)
	qt.Assert(t, got, qt.DeepEquals, []string{"aup", "bdraining", "dup"})
	qt.Assert(t, x.Version == 6 && x.Nodes == 4 && x.Membership.Version == 1 && x.BaseVersion == 0, qt.IsTrue)
	qt.Assert(t, a.ForNodes().NodeAddresses, qt.IsNil)
}
