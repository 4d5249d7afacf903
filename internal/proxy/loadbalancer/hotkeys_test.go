package loadbalancer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// hotKeyView returns a view of six endpoints, without the removed one, in which
// the key is hot with the given width if that is more than 1.
func hotKeyView(version uint64, key uint64, width uint32, removed string) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: version, Nodes: 1}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		if id != removed {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: id, Service: "s", Inbound: "in-" + id, Node: "n-" + id, Zone: "z", Slots: 4, State: string(lifecycle.Up)})
		}
	}
	if width > 1 {
		v.HotKeys = []*meshpb.HotKey{{Key: key, Service: "s", Width: width}}
	}
	return v
}

// newHotKeyBalancer returns a balancer with a slow start of one second, a fixed
// sequence of random numbers and the time that now points to.
func newHotKeyBalancer(now *int64) *Balancer {
	b := New("z", 2, 5).SlowStart(time.Second)
	n := uint64(1)
	random := func() float64 {
		n = mixBits(n)
		return float64(n>>11) / (1 << 53)
	}
	b.SetRandomAndClock(random, func() int64 { return *now })
	return b
}

// countReads returns how often each endpoint ID is chosen in that many reads of
// the key.
func countReads(b *Balancer, key uint64, reads int) map[string]int {
	chosen := map[string]int{}
	for range reads {
		if e := b.Pick(Criteria{Service: "s", Key: key}); e != nil {
			chosen[e.ID()]++
		}
	}
	return chosen
}

// An endpoint that is added to a hot key must not get its full share of the reads
// at once, and one that is dropped must get no more of them. When an endpoint goes
// away, the key's other endpoints must keep serving it.
func TestHotKeyEndpointsStartSlowlyAndAreRemovedAtOnce(t *testing.T) {
	now := int64(time.Hour)
	b := newHotKeyBalancer(&now)
	key := hotkeys.Hash("s", "final")
	b.ApplyView(hotKeyView(1, key, 1, ""))
	initial := countReads(b, key, 500)
	qt.Assert(t, len(initial), qt.Equals, 1)
	b.ApplyView(hotKeyView(2, key, 3, ""))
	now += int64(100 * time.Millisecond)
	early := countReads(b, key, 2000)
	now += int64(2 * time.Second)
	late := countReads(b, key, 2000)
	qt.Assert(t, len(late), qt.Equals, 3)
	for id := range initial {
		qt.Check(t, early[id] > 1500, qt.IsTrue, qt.Commentf("%v", early))
		qt.Check(t, late[id] < 1000, qt.IsTrue, qt.Commentf("%v", late))
	}
	b.ApplyView(hotKeyView(3, key, 2, ""))
	now += int64(time.Second)
	for id := range countReads(b, key, 500) {
		qt.Check(t, late[id] > 0, qt.IsTrue)
	}
	qt.Check(t, len(countReads(b, key, 500)), qt.Equals, 2)
	// Removing an endpoint moves only the reads that went to it.
	var removed string
	for id := range countReads(b, key, 500) {
		removed = id
	}
	before := countReads(b, key, 500)
	b.ApplyView(hotKeyView(4, key, 2, removed))
	delete(before, removed)
	after := countReads(b, key, 500)
	for id := range before {
		qt.Check(t, after[id] > 0, qt.IsTrue)
	}
}

// Reads of a key that is not hot go to one endpoint. While that has no free slot,
// they must go to other endpoints, chosen by load.
func TestReadsAreBalancedByLoadWhenEndpointOfKeyIsFull(t *testing.T) {
	now := int64(time.Hour)
	b := newHotKeyBalancer(&now)
	key := hotkeys.Hash("s", "final")
	b.ApplyView(hotKeyView(1, key, 1, ""))
	for _, e := range b.table.Load().services["s"].all {
		for id := range countReads(b, key, 1) {
			if e.id == id {
				e.inFlight.Store(4)
			}
		}
	}
	qt.Assert(t, len(countReads(b, key, 500)) > 2, qt.IsTrue)
}
