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

// narrowThreshold is the fraction of the capacity of the next smaller width below
// which the demand must fall before a width is reduced. The gap keeps widths from
// oscillating.
const narrowThreshold = 0.7

// Options limit how reads of hot keys are spread over several endpoints.
type Options struct {
	// SlotShare is the fraction of an endpoint's slots that the reads of one key may
	// occupy before they are spread over more endpoints.
	SlotShare float64
	// MaxKeys is the maximum number of hot keys; 0 disables spreading.
	MaxKeys int
	// MaxWidth is the maximum number of endpoints that the reads of a key are
	// spread over.
	MaxWidth int
	// NarrowAfter is how long the demand must stay below what the width is needed
	// for before the width is reduced by one step.
	NarrowAfter time.Duration
}

// WidthChange is a change of the number of endpoints that the reads of a key are
// spread over.
type WidthChange struct {
	// Key is the hash of the key, as returned by Hash.
	Key uint64
	// Service is the name of the service that the key belongs to.
	Service string
	// From and To are the widths before and after the change; 1 means that the key
	// is not hot.
	From, To uint32
	// Reason is a human-readable description of the demand behind the change.
	Reason string
}

// trackedKey is a hot key: its reads are spread over more than one endpoint.
type trackedKey struct {
	*meshpb.HotKey
	// lastNeededAt is the last time at which the demand required this width.
	lastNeededAt time.Duration
}

// Tracker decides the width of each hot key from the demand on all nodes. It is not
// safe for concurrent use.
type Tracker struct {
	options Options
	// tracked has the hot keys by their hash.
	tracked                    map[uint64]*trackedKey
	widened, narrowed, refused uint64
}

// NewTracker returns a tracker without hot keys.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, tracked: map[uint64]*trackedKey{}}
}

// Restore replaces the hot keys by those of the last view. Their widths are not
// reduced before the demand has been lower for Options.NarrowAfter from now on.
func (t *Tracker) Restore(keys []*meshpb.HotKey, now time.Duration) {
	t.tracked = map[uint64]*trackedKey{}
	for _, k := range keys {
		t.tracked[k.Key] = &trackedKey{HotKey: k, lastNeededAt: now}
	}
}

// Counts returns how often a width was raised, how often one was lowered, and how
// often Update left a key at one endpoint because MaxKeys others were hot.
func (t *Tracker) Counts() *meshpb.HotCounts {
	return &meshpb.HotCounts{Widened: t.widened, Narrowed: t.narrowed, Refused: t.refused}
}

// Update sets the widths according to the latest report of each node and the
// current endpoints. It returns all hot keys, sorted by key, and the widths that it
// changed; a key whose service has no endpoint left is dropped without a
// WidthChange. now is the time of a monotonic clock. wallUs is the wall-clock time
// in microseconds since 1970, which the keys with a new width get as SinceUs.
func (t *Tracker) Update(reports iter.Seq[[]*meshpb.KeyRate], endpoints []*meshpb.Endpoint, now time.Duration, wallUs int64) ([]*meshpb.HotKey, []WidthChange) {
	demands := aggregateDemands(reports)
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
		if width := t.decideWidth(d, c, now); width > 0 {
			changes = append(changes, t.setWidth(d, c, width, now, wallUs))
		}
	}
	return t.hotKeys(), changes
}

// decideWidth returns the new width of a key, or 0 if its width does not change. It
// counts the decision.
func (t *Tracker) decideWidth(d *demand, c capacity, now time.Duration) int {
	slotLimit := c.slotLimit(t.options.SlotShare)
	desired := max(min(int(math.Ceil(d.busySlots()/slotLimit)), t.options.MaxWidth, c.endpoints), 1)
	k := t.tracked[d.Key]
	switch {
	case k == nil && desired < 2:
	case k == nil && len(t.tracked) >= t.options.MaxKeys:
		t.refused++
	case k == nil || desired > int(k.Width):
		t.widened++
		return desired
	case d.busySlots() > narrowThreshold*slotLimit*float64(k.Width-1):
		k.lastNeededAt = now
	case now-k.lastNeededAt >= t.options.NarrowAfter:
		t.narrowed++
		return max(int(k.Width)/2, desired)
	}
	return 0
}

// setWidth applies a new width to a key; a key of width 1 is no longer tracked.
func (t *Tracker) setWidth(d *demand, c capacity, width int, now time.Duration, wallUs int64) WidthChange {
	change := WidthChange{Key: d.Key, Service: d.Service, From: 1, To: uint32(width), Reason: widthReason(d, c.slotLimit(t.options.SlotShare))}
	if k := t.tracked[d.Key]; k != nil {
		change.From = k.Width
	}
	delete(t.tracked, d.Key)
	if width > 1 {
		t.tracked[d.Key] = &trackedKey{
			HotKey: &meshpb.HotKey{Key: d.Key, Width: uint32(width), Service: d.Service, Route: d.Route, PerS: d.PerS,
				SinceUs: wallUs, Nodes: d.nodes, Why: change.Reason},
			lastNeededAt: now,
		}
	}
	return change
}

// hotKeys returns the hot keys, sorted by key.
func (t *Tracker) hotKeys() []*meshpb.HotKey {
	var keys []*meshpb.HotKey
	for _, k := range t.tracked {
		keys = append(keys, k.HotKey)
	}
	slices.SortFunc(keys, func(a, b *meshpb.HotKey) int { return cmp.Compare(a.Key, b.Key) })
	return keys
}

// widthReason describes the demand for WidthChange.Reason and HotKey.Why.
func widthReason(d *demand, slotLimit float64) string {
	return fmt.Sprintf("%.0f reads a second from %d nodes fill %.1f slots; one endpoint is given %.1f", d.PerS, d.nodes, d.busySlots(), slotLimit)
}

// SameWidths reports whether a and b have the same keys with the same widths and
// services. Nodes use nothing else of a hot key.
func SameWidths(a, b []*meshpb.HotKey) bool {
	return slices.EqualFunc(a, b, func(x, y *meshpb.HotKey) bool {
		return x.Key == y.Key && x.Width == y.Width && x.Service == y.Service
	})
}

// demand is the read load of one key, summed over all nodes.
type demand struct {
	// KeyRate has the summed rate in PerS; its WorkMs is not used.
	*meshpb.KeyRate
	// nodes is the number of nodes that reported the key.
	nodes uint32
	// workMsPerS is the sum of rate times latency, in milliseconds per second.
	workMsPerS float64
}

func newDemand(key uint64, service, route string) *demand {
	return &demand{KeyRate: &meshpb.KeyRate{Key: key, Service: service, Route: route}}
}

// busySlots returns the mean number of slots that the reads occupy: rate times
// latency.
func (d *demand) busySlots() float64 { return d.workMsPerS / 1000 }

// aggregateDemands sums the reports of all nodes by key.
func aggregateDemands(reports iter.Seq[[]*meshpb.KeyRate]) map[uint64]*demand {
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

// sortByDemand returns the demands in descending order, so that the keys with the
// highest demand become hot first if Options.MaxKeys does not allow all.
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

// capacity is the number of endpoints of a service that are up, and of their slots.
type capacity struct{ endpoints, slots int }

// slotLimit returns how many slots of an average endpoint of the service the reads
// of one key may occupy.
func (c capacity) slotLimit(slotShare float64) float64 {
	return slotShare * float64(c.slots) / float64(c.endpoints)
}

// serviceCapacities returns the capacity of each service. An endpoint that reports
// no slots counts as having one.
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
