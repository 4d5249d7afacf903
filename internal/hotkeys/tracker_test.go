package hotkeys

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

var testOptions = Options{SlotShare: 0.5, MaxKeys: 2, MaxWidth: 6, NarrowAfter: 4 * time.Second}

func endpointsUp(n int) (endpoints []*meshpb.Endpoint) {
	for i := range n {
		endpoints = append(endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Up), Slots: 8})
	}
	return endpoints
}

// reports is what n nodes report of a key, each the same.
func reports(n int, key uint64, perS float64) (out [][]*meshpb.KeyRate) {
	for range n {
		out = append(out, []*meshpb.KeyRate{{Key: key, PerS: perS, WorkMs: 40, Service: "s", Route: "read"}})
	}
	return out
}

func TestKeyHotOnlyInSumIsWidenedAndNarrowedSlowly(t *testing.T) {
	tracker := NewTracker(testOptions)
	endpoints := endpointsUp(10)
	at := func(s float64, reports [][]*meshpb.KeyRate) []*meshpb.HotKey {
		out, _ := tracker.Update(slices.Values(reports), endpoints, time.Duration(s*float64(time.Second)), 0)
		return out
	}
	// 2 a second fill 0.08 slots at one node; 281 nodes' reads fill 22.5.
	qt.Assert(t, at(0, reports(1, 7, 2)), qt.HasLen, 0)
	qt.Assert(t, at(1, reports(281, 7, 2))[0].Width, qt.Equals, uint32(6))
	// A short lull changes nothing, a long one lowers the width by steps.
	qt.Assert(t, at(2, reports(1, 7, 2))[0].Width, qt.Equals, uint32(6))
	qt.Assert(t, at(4, reports(281, 7, 2))[0].Width, qt.Equals, uint32(6))
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

func TestHotKeysAreLimitedToThoseOfHighestDemand(t *testing.T) {
	tracker := NewTracker(testOptions)
	all := append(append(reports(50, 1, 10), reports(50, 2, 30)...), reports(50, 3, 20)...)
	out, _ := tracker.Update(slices.Values(all), endpointsUp(3), 0, 0)
	qt.Assert(t, out, qt.HasLen, 2)
	qt.Assert(t, []uint64{out[0].Key, out[1].Key}, qt.DeepEquals, []uint64{2, 3})
	qt.Assert(t, out[0].Width, qt.Equals, uint32(3), qt.Commentf("no wider than the service"))
	qt.Assert(t, tracker.refused, qt.Equals, uint64(1))
	out, _ = tracker.Update(slices.Values(all), nil, time.Second, 0)
	qt.Assert(t, out, qt.HasLen, 0, qt.Commentf("its service is gone"))
}

func TestNewMasterRestoresWidthsFromLastView(t *testing.T) {
	tracker := NewTracker(testOptions)
	endpoints := endpointsUp(10)
	was, _ := tracker.Update(slices.Values(reports(100, 7, 4)), endpoints, 0, 0)
	view := &meshpb.View{Epoch: 1, Version: 3, HotKeys: was}
	b, err := proto.Marshal(view.Since(&meshpb.View{Epoch: 1, Version: 2}))
	qt.Assert(t, err, qt.IsNil)
	delta := &meshpb.View{}
	qt.Assert(t, proto.Unmarshal(b, delta), qt.IsNil)
	restored := delta.ApplyTo(&meshpb.View{Epoch: 1, Version: 2, HotKeys: hotKeyOfWidth(1)})
	successor := NewTracker(testOptions)
	successor.Restore(restored.HotKeys, 10*time.Second)
	// No node has reported anything yet.
	out, changes := successor.Update(slices.Values[[][]*meshpb.KeyRate](nil), endpoints, 11*time.Second, 0)
	qt.Assert(t, changes, qt.HasLen, 0)
	qt.Assert(t, SameWidths(out, was), qt.IsTrue)
	out, changes = successor.Update(slices.Values(reports(100, 7, 4)), endpoints, 13*time.Second, 0)
	qt.Assert(t, changes, qt.HasLen, 0)
	qt.Assert(t, SameWidths(out, was), qt.IsTrue)
	qt.Assert(t, view.ForNodes().HotKeys, qt.HasLen, 1)
}

func hotKeyOfWidth(w uint32) []*meshpb.HotKey {
	return []*meshpb.HotKey{{Key: 7, Service: "s", Width: w}}
}
