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

// reportsOf returns identical reports of n nodes that read the key perS times a
// second.
func reportsOf(n int, key uint64, perS float64) (reports [][]*meshpb.KeyRate) {
	for range n {
		reports = append(reports, []*meshpb.KeyRate{{Key: key, PerS: perS, WorkMs: 40, Service: "s", Route: "read"}})
	}
	return reports
}

// A key whose rate on each node is too low to matter must become hot from the sum
// over all nodes. A short drop in demand must not narrow it; a long one narrows it
// in steps.
func TestKeyHotOnlyInSumIsWidenedAndNarrowedInSteps(t *testing.T) {
	tracker := NewTracker(testOptions)
	endpoints := endpointsUp(10)
	updateAt := func(seconds float64, reports [][]*meshpb.KeyRate) []*meshpb.HotKey {
		hot, _ := tracker.Update(slices.Values(reports), endpoints, time.Duration(seconds*float64(time.Second)), 0)
		return hot
	}
	// 2 reads per second from one node occupy 0.08 slots, those of 281 nodes 22.5.
	qt.Assert(t, updateAt(0, reportsOf(1, 7, 2)), qt.HasLen, 0)
	qt.Assert(t, updateAt(1, reportsOf(281, 7, 2))[0].Width, qt.Equals, uint32(6))
	// A short drop in demand changes nothing, a long one lowers the width in steps.
	qt.Assert(t, updateAt(2, reportsOf(1, 7, 2))[0].Width, qt.Equals, uint32(6))
	qt.Assert(t, updateAt(4, reportsOf(281, 7, 2))[0].Width, qt.Equals, uint32(6))
	var widths []uint32
	for seconds := 5.0; seconds < 25; seconds += 0.25 {
		hot := updateAt(seconds, nil)
		if len(hot) == 0 {
			widths = append(widths, 1)
			break
		}
		if w := hot[0].Width; len(widths) == 0 || widths[len(widths)-1] != w {
			widths = append(widths, w)
		}
	}
	qt.Assert(t, widths, qt.DeepEquals, []uint32{6, 3, 1})
}

// If more than MaxKeys keys qualify, those with the highest demand become hot. A
// width is limited by the number of endpoints, and without endpoints no key is hot.
func TestHotKeysAreLimitedToThoseOfHighestDemand(t *testing.T) {
	tracker := NewTracker(testOptions)
	all := append(append(reportsOf(50, 1, 10), reportsOf(50, 2, 30)...), reportsOf(50, 3, 20)...)
	hot, _ := tracker.Update(slices.Values(all), endpointsUp(3), 0, 0)
	qt.Assert(t, hot, qt.HasLen, 2)
	qt.Assert(t, []uint64{hot[0].Key, hot[1].Key}, qt.DeepEquals, []uint64{2, 3})
	qt.Assert(t, hot[0].Width, qt.Equals, uint32(3), qt.Commentf("limited by the number of endpoints"))
	qt.Assert(t, tracker.refused, qt.Equals, uint64(1))
	hot, _ = tracker.Update(slices.Values(all), nil, time.Second, 0)
	qt.Assert(t, hot, qt.HasLen, 0, qt.Commentf("the service has no endpoints"))
}

// A new master knows the widths only from the last view, here received as a delta,
// and has no reports yet. It must not change a width because of that.
func TestNewMasterRestoresWidthsFromLastView(t *testing.T) {
	tracker := NewTracker(testOptions)
	endpoints := endpointsUp(10)
	before, _ := tracker.Update(slices.Values(reportsOf(100, 7, 4)), endpoints, 0, 0)
	view := &meshpb.View{Epoch: 1, Version: 3, HotKeys: before}
	encoded, err := proto.Marshal(view.Since(&meshpb.View{Epoch: 1, Version: 2}))
	qt.Assert(t, err, qt.IsNil)
	delta := &meshpb.View{}
	qt.Assert(t, proto.Unmarshal(encoded, delta), qt.IsNil)
	restored := delta.ApplyTo(&meshpb.View{Epoch: 1, Version: 2, HotKeys: hotKeyOfWidth(1)})
	successor := NewTracker(testOptions)
	successor.Restore(restored.HotKeys, 10*time.Second)
	// No node has reported anything yet.
	hot, changes := successor.Update(slices.Values[[][]*meshpb.KeyRate](nil), endpoints, 11*time.Second, 0)
	qt.Assert(t, changes, qt.HasLen, 0)
	qt.Assert(t, SameWidths(hot, before), qt.IsTrue)
	hot, changes = successor.Update(slices.Values(reportsOf(100, 7, 4)), endpoints, 13*time.Second, 0)
	qt.Assert(t, changes, qt.HasLen, 0)
	qt.Assert(t, SameWidths(hot, before), qt.IsTrue)
	qt.Assert(t, view.ForNodes().HotKeys, qt.HasLen, 1)
}

func hotKeyOfWidth(w uint32) []*meshpb.HotKey {
	return []*meshpb.HotKey{{Key: 7, Service: "s", Width: w}}
}
