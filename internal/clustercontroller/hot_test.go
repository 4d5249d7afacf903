package clustercontroller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

var hotRules = HotKeyOptions{SlotShare: 0.5, MaxKeys: 2, MaxWidth: 6, NarrowAfter: 4 * time.Second}

func endpointsOf(n int) (es []*meshpb.Endpoint) {
	for i := range n {
		es = append(es, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: Up, Slots: 8})
	}
	return es
}

// told is what n nodes say of a key, each the same.
func told(n int, key uint64, perS float64) (out [][]*meshpb.KeyRate) {
	for range n {
		out = append(out, []*meshpb.KeyRate{{Key: key, PerS: perS, WorkMs: 40, Service: "s", Route: "read"}})
	}
	return out
}

func TestKeyHotOnlyInSumIsSeenAndFallsSlowly(t *testing.T) {
	h := NewHotKeyTracker(hotRules)
	es := endpointsOf(10)
	at := func(s float64, told [][]*meshpb.KeyRate) []*meshpb.HotKey {
		out, _ := h.Update(slices.Values(told), es, time.Duration(s*float64(time.Second)), 0)
		return out
	}
	// 2 a second fill 0.08 slots at one node; 281 nodes' reads fill 22.5.
	qt.Assert(t, at(0, told(1, 7, 2)), qt.HasLen, 0)
	qt.Assert(t, at(1, told(281, 7, 2))[0].Width, qt.Equals, uint32(6))
	// A short lull changes nothing, a long one lowers the width by steps.
	qt.Assert(t, at(2, told(1, 7, 2))[0].Width, qt.Equals, uint32(6))
	qt.Assert(t, at(4, told(281, 7, 2))[0].Width, qt.Equals, uint32(6))
	var seen []uint32
	for s := 5.0; s < 25; s += 0.25 {
		out := at(s, nil)
		if len(out) == 0 {
			seen = append(seen, 1)
			break
		}
		if w := out[0].Width; len(seen) == 0 || seen[len(seen)-1] != w {
			seen = append(seen, w)
		}
	}
	qt.Assert(t, seen, qt.DeepEquals, []uint32{6, 3, 1})
}

func TestHotKeysAreBoundedAndTheHeaviestGetThePlaces(t *testing.T) {
	h := NewHotKeyTracker(hotRules)
	all := append(append(told(50, 1, 10), told(50, 2, 30)...), told(50, 3, 20)...)
	out, _ := h.Update(slices.Values(all), endpointsOf(3), 0, 0)
	qt.Assert(t, out, qt.HasLen, 2)
	qt.Assert(t, []uint64{out[0].Key, out[1].Key}, qt.DeepEquals, []uint64{2, 3})
	qt.Assert(t, out[0].Width, qt.Equals, uint32(3), qt.Commentf("no wider than the service"))
	qt.Assert(t, h.refused, qt.Equals, uint64(1))
	out, _ = h.Update(slices.Values(all), nil, time.Second, 0)
	qt.Assert(t, out, qt.HasLen, 0, qt.Commentf("its service is gone"))
}

func TestNewMasterStartsFromTheLastViewsWidths(t *testing.T) {
	h := NewHotKeyTracker(hotRules)
	es := endpointsOf(10)
	was, _ := h.Update(slices.Values(told(100, 7, 4)), es, 0, 0)
	view := &meshpb.View{Epoch: 1, Version: 3, HotKeys: was}
	b, err := proto.Marshal(view.Since(&meshpb.View{Epoch: 1, Version: 2}))
	qt.Assert(t, err, qt.IsNil)
	d := &meshpb.View{}
	qt.Assert(t, proto.Unmarshal(b, d), qt.IsNil)
	kept := d.Onto(&meshpb.View{Epoch: 1, Version: 2, HotKeys: told7(1)})
	n := NewHotKeyTracker(hotRules)
	n.Restore(kept.HotKeys, 10*time.Second)
	// Nobody has told it anything yet.
	out, steps := n.Update(slices.Values[[][]*meshpb.KeyRate](nil), es, 11*time.Second, 0)
	qt.Assert(t, steps, qt.HasLen, 0)
	qt.Assert(t, sameWidths(out, was), qt.IsTrue)
	out, steps = n.Update(slices.Values(told(100, 7, 4)), es, 13*time.Second, 0)
	qt.Assert(t, steps, qt.HasLen, 0)
	qt.Assert(t, sameWidths(out, was), qt.IsTrue)
	qt.Assert(t, view.Lean().HotKeys, qt.HasLen, 1)
}

func told7(w uint32) []*meshpb.HotKey { return []*meshpb.HotKey{{Key: 7, Service: "s", Width: w}} }
