package clustercontroller

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// HotOptions bound the keys whose reads are spread over several endpoints.
type HotKeyOptions struct {
	// Share is the part of one endpoint's slots that a key's reads may fill
	// before they go to another endpoint too.
	SlotShare float64
	MaxKeys   int
	MaxWidth  int
	// Fall is how long the reads must have been fewer before a width falls by a
	// step.
	NarrowAfter time.Duration
}

// cool is the part of what the next smaller width can take below which the
// width falls, so that it does not flutter.
const cool = 0.7

// width is what the master holds of one hot key.
type width struct {
	*meshpb.HotKey
	calm time.Duration
}

// HotKeys sets over how many endpoints each key's reads go: more at once where
// the sum of all nodes' reads asks for it, fewer by steps.
type HotKeyTracker struct {
	o                 HotKeyOptions
	by                map[uint64]*width
	widened, narrowed uint64
	refused           uint64
}

// Load takes over what the last view had; its widths stand until their reads
// have stayed out for a while.
func (h *HotKeyTracker) Restore(ks []*meshpb.HotKey, now time.Duration) {
	h.by = map[uint64]*width{}
	for _, k := range ks {
		h.by[k.Key] = &width{HotKey: k, calm: now}
	}
}

func NewHotKeyTracker(o HotKeyOptions) *HotKeyTracker {
	return &HotKeyTracker{o: o, by: map[uint64]*width{}}
}

type demand struct {
	*meshpb.KeyRate
	nodes uint32
	work  float64
}

// Judge gives the hot keys now, from what the nodes read and the endpoints there
// are; steps tells each change.
func (h *HotKeyTracker) Update(reads iter.Seq[[]*meshpb.KeyRate], es []*meshpb.Endpoint, now time.Duration, wall int64) (out []*meshpb.HotKey, steps []string) {
	sum := map[uint64]*demand{}
	for ks := range reads {
		for _, k := range ks {
			d := sum[k.Key]
			if d == nil {
				d = &demand{KeyRate: &meshpb.KeyRate{Key: k.Key, Service: k.Service, Route: k.Route}}
				sum[k.Key] = d
			}
			d.PerS += k.PerS
			d.work += k.PerS * float64(k.WorkMs)
			d.nodes++
		}
	}
	if len(sum) == 0 && len(h.by) == 0 {
		return nil, nil
	}
	type size struct{ n, slots int }
	sizes := map[string]size{}
	for _, e := range es {
		if e.State == Up {
			s := sizes[e.Service]
			sizes[e.Service] = size{s.n + 1, s.slots + max(int(e.Slots), 1)}
		}
	}
	for k, w := range h.by {
		if sum[k] == nil {
			sum[k] = &demand{KeyRate: &meshpb.KeyRate{Key: k, Service: w.Service, Route: w.Route}}
		}
	}
	for _, d := range h.order(sum) {
		s := sizes[d.Service]
		if s.n == 0 {
			delete(h.by, d.Key)
			continue
		}
		per := h.o.SlotShare * float64(s.slots) / float64(s.n)
		need := d.work / 1000
		want := max(min(int(math.Ceil(need/per)), h.o.MaxWidth, s.n), 1)
		set := func(w *width, to int) string {
			y := why(d, need, per)
			s := fmt.Sprintf("key %016x of %s: width %d -> %d (%s)", d.Key, d.Service, w.Width, to, y)
			delete(h.by, d.Key)
			if to > 1 {
				h.by[d.Key] = &width{&meshpb.HotKey{Key: d.Key, Width: uint32(to), Service: d.Service, Route: d.Route, PerS: d.PerS, SinceUs: wall, Nodes: d.nodes, Why: y}, now}
			}
			return s
		}
		w := h.by[d.Key]
		switch {
		case w == nil && want < 2:
		case w == nil && len(h.by) >= h.o.MaxKeys:
			h.refused++
		case w == nil:
			h.widened++
			steps = append(steps, set(&width{HotKey: &meshpb.HotKey{Width: 1}}, want))
		case want > int(w.Width):
			h.widened++
			steps = append(steps, set(w, want))
		case need > cool*per*float64(w.Width-1):
			w.calm = now
		case now-w.calm >= h.o.NarrowAfter:
			to := max(int(w.Width)/2, want)
			h.narrowed++
			steps = append(steps, set(w, to))
		}
	}
	for _, w := range h.by {
		out = append(out, w.HotKey)
	}
	slices.SortFunc(out, func(a, b *meshpb.HotKey) int { return cmp.Compare(a.Key, b.Key) })
	return out, steps
}

// order puts the keys that ask for most first, so that these get the places.
func (h *HotKeyTracker) order(sum map[uint64]*demand) []*demand {
	out := make([]*demand, 0, len(sum))
	for _, d := range sum {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.Key, b.Key))
	})
	return out
}

func why(d *demand, need, per float64) string {
	return fmt.Sprintf("%.0f reads a second from %d nodes fill %.1f slots; one endpoint is given %.1f", d.PerS, d.nodes, need, per)
}

// sameWidths tells that no node would act on the difference.
func sameWidths(a, b []*meshpb.HotKey) bool {
	return slices.EqualFunc(a, b, func(x, y *meshpb.HotKey) bool { return x.Key == y.Key && x.Width == y.Width && x.Service == y.Service })
}
