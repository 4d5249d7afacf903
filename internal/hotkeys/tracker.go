package hotkeys

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// narrowThreshold is the part of what the next smaller width can serve below
// which a width falls, so that it does not oscillate.
const narrowThreshold = 0.7

// Options bound the keys whose reads are spread over several endpoints.
type Options struct {
	// SlotShare is the part of one endpoint's slots that a key's reads may fill
	// before they go to another endpoint too.
	SlotShare float64
	// MaxKeys is how many keys may be hot at once; 0 turns the spreading off.
	MaxKeys int
	// MaxWidth is over how many endpoints a key's reads go at most.
	MaxWidth int
	// NarrowAfter is how long the demand must have been lower before a width falls
	// by a step.
	NarrowAfter time.Duration
}

// WidthChange says that the reads of a key go to more or fewer endpoints.
type WidthChange struct {
	Key      uint64
	Service  string
	From, To uint32
	// Reason gives the demand that caused it, for people.
	Reason string
}

// trackedKey is a key whose reads go to more than one endpoint.
type trackedKey struct {
	*meshpb.HotKey
	// neededAt is when the demand last asked for this width.
	neededAt time.Duration
}

// Tracker keeps over how many endpoints each key's reads go. Not safe for use by
// several goroutines.
type Tracker struct {
	options                    Options
	tracked                    map[uint64]*trackedKey
	widened, narrowed, refused uint64
}

// NewTracker creates a tracker without hot keys.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, tracked: map[uint64]*trackedKey{}}
}

// Restore takes over the hot keys of the last view; their widths stand until the
// demand has been lower for Options.NarrowAfter.
func (t *Tracker) Restore(keys []*meshpb.HotKey, now time.Duration) {
	t.tracked = map[uint64]*trackedKey{}
	for _, k := range keys {
		t.tracked[k.Key] = &trackedKey{HotKey: k, neededAt: now}
	}
}

// Counts returns how many widths were raised and lowered, and how many keys
// stayed at one endpoint since MaxKeys others were hot.
func (t *Tracker) Counts() *meshpb.HotCounts {
	return &meshpb.HotCounts{Widened: t.widened, Narrowed: t.narrowed, Refused: t.refused}
}

// Update takes what each node reads now and the endpoints that there are, and
// returns all hot keys, ordered by key, and the changes since the last call. Times
// by now are those of a monotonic clock; wallUs, in microseconds since 1970, is
// what a key that becomes hot shows as its beginning.
func (t *Tracker) Update(reports iter.Seq[[]*meshpb.KeyRate], endpoints []*meshpb.Endpoint, now time.Duration, wallUs int64) ([]*meshpb.HotKey, []WidthChange) {
	demands := sumDemands(reports)
	if len(demands) == 0 && len(t.tracked) == 0 {
		return nil, nil
	}
	for key, k := range t.tracked {
		if demands[key] == nil {
			demands[key] = newDemand(k.Key, k.Service, k.Route)
		}
	}
	capacities := serviceCapacities(endpoints)
	var changes []WidthChange
	for _, d := range sortByDemand(demands) {
		c := capacities[d.Service]
		if c.endpoints == 0 {
			delete(t.tracked, d.Key)
			continue
		}
		if to := t.decideWidth(d, c, now); to > 0 {
			changes = append(changes, t.setWidth(d, c, to, now, wallUs))
		}
	}
	return t.hotKeys(), changes
}

// decideWidth returns the width that a key is to have instead of its present one,
// or 0 if that stays, and counts the decision.
func (t *Tracker) decideWidth(d *demand, c capacity, now time.Duration) int {
	share := c.share(t.options.SlotShare)
	wanted := max(min(int(math.Ceil(d.slots()/share)), t.options.MaxWidth, c.endpoints), 1)
	k := t.tracked[d.Key]
	switch {
	case k == nil && wanted < 2:
	case k == nil && len(t.tracked) >= t.options.MaxKeys:
		t.refused++
	case k == nil || wanted > int(k.Width):
		t.widened++
		return wanted
	case d.slots() > narrowThreshold*share*float64(k.Width-1):
		k.neededAt = now
	case now-k.neededAt >= t.options.NarrowAfter:
		t.narrowed++
		return max(int(k.Width)/2, wanted)
	}
	return 0
}

func (t *Tracker) setWidth(d *demand, c capacity, to int, now time.Duration, wallUs int64) WidthChange {
	change := WidthChange{Key: d.Key, Service: d.Service, From: 1, To: uint32(to), Reason: describe(d, c.share(t.options.SlotShare))}
	if k := t.tracked[d.Key]; k != nil {
		change.From = k.Width
	}
	delete(t.tracked, d.Key)
	if to > 1 {
		t.tracked[d.Key] = &trackedKey{
			HotKey: &meshpb.HotKey{Key: d.Key, Width: uint32(to), Service: d.Service, Route: d.Route, PerS: d.PerS,
				SinceUs: wallUs, Nodes: d.nodes, Why: change.Reason},
			neededAt: now,
		}
	}
	return change
}

func (t *Tracker) hotKeys() []*meshpb.HotKey {
	var keys []*meshpb.HotKey
	for _, k := range t.tracked {
		keys = append(keys, k.HotKey)
	}
	slices.SortFunc(keys, func(a, b *meshpb.HotKey) int { return cmp.Compare(a.Key, b.Key) })
	return keys
}

func describe(d *demand, share float64) string {
	return fmt.Sprintf("%.0f reads a second from %d nodes fill %.1f slots; one endpoint is given %.1f", d.PerS, d.nodes, d.slots(), share)
}

// SameWidths tells that no node would act on the difference.
func SameWidths(a, b []*meshpb.HotKey) bool {
	return slices.EqualFunc(a, b, func(x, y *meshpb.HotKey) bool {
		return x.Key == y.Key && x.Width == y.Width && x.Service == y.Service
	})
}

// demand is how much one key is read by all nodes.
type demand struct {
	*meshpb.KeyRate
	nodes uint32
	// workMsPerS is how many milliseconds of work its reads cause in a second.
	workMsPerS float64
}

func newDemand(key uint64, service, route string) *demand {
	return &demand{KeyRate: &meshpb.KeyRate{Key: key, Service: service, Route: route}}
}

// slots is how many slots the reads keep busy.
func (d *demand) slots() float64 { return d.workMsPerS / 1000 }

func sumDemands(reports iter.Seq[[]*meshpb.KeyRate]) map[uint64]*demand {
	demands := map[uint64]*demand{}
	for rates := range reports {
		for _, r := range rates {
			d := demands[r.Key]
			if d == nil {
				d = newDemand(r.Key, r.Service, r.Route)
				demands[r.Key] = d
			}
			d.PerS += r.PerS
			d.workMsPerS += r.PerS * float64(r.WorkMs)
			d.nodes++
		}
	}
	return demands
}

// sortByDemand puts the keys with the highest demand first, so that these become
// hot where not all can.
func sortByDemand(demands map[uint64]*demand) []*demand {
	sorted := make([]*demand, 0, len(demands))
	for _, d := range demands {
		sorted = append(sorted, d)
	}
	slices.SortFunc(sorted, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.workMsPerS, a.workMsPerS), cmp.Compare(a.Key, b.Key))
	})
	return sorted
}

// capacity is what the endpoints of a service that are up can serve.
type capacity struct{ endpoints, slots int }

// share is how many slots of one endpoint a key's reads may fill.
func (c capacity) share(slotShare float64) float64 {
	return slotShare * float64(c.slots) / float64(c.endpoints)
}

func serviceCapacities(endpoints []*meshpb.Endpoint) map[string]capacity {
	capacities := map[string]capacity{}
	for _, e := range endpoints {
		if lifecycle.State(e.State) == lifecycle.Up {
			c := capacities[e.Service]
			capacities[e.Service] = capacity{c.endpoints + 1, c.slots + max(int(e.Slots), 1)}
		}
	}
	return capacities
}
