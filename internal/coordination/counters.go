package coordination

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// reservationSize is the number of values of a counter that one replicated change
// reserves. The owner issues them without a round trip for each; those that it has
// not issued are skipped when the owner changes.
const reservationSize = 64

// counterTable holds the counters of a shard by name.
type counterTable struct {
	// reserved is the highest number of each counter that may be issued without
	// another replicated change.
	reserved map[string]uint64
	// issued is the last number of each counter that this process issued as the
	// shard's owner. It is not replicated.
	issued map[string]uint64
}

func newCounterTable() counterTable {
	return counterTable{reserved: map[string]uint64{}, issued: map[string]uint64{}}
}

// NextNumber issues the next number of a counter, starting at 1. The numbers of a
// counter strictly increase. A change of owner and a request that fails after this
// decision leave gaps.
func (t *Table) NextNumber(name string) Decision[uint64] {
	reserved := t.counters.reserved[name]
	number, found := t.counters.issued[name]
	if !found {
		number = reserved
	}
	number++
	t.counters.issued[name] = number
	if number <= reserved {
		return Decision[uint64]{Result: number}
	}
	return Decision[uint64]{
		Change: &meshpb.Change{Counter: &meshpb.Counter{Name: name, High: number + reservationSize - 1}},
		Result: number,
	}
}

// skipReserved makes the next numbers start above all reserved ones, since an
// earlier owner may have issued those.
func (t *counterTable) skipReserved() { t.issued = map[string]uint64{} }

// apply extends the reservation of a counter; it never lowers it.
func (t *counterTable) apply(c *meshpb.Counter) {
	t.reserved[c.Name] = max(t.reserved[c.Name], c.High)
}

// snapshot returns the reservations, sorted by the name of the counter.
func (t *counterTable) snapshot() []*meshpb.Counter {
	var counters []*meshpb.Counter
	for name, high := range t.reserved {
		counters = append(counters, &meshpb.Counter{Name: name, High: high})
	}
	slices.SortFunc(counters, func(a, b *meshpb.Counter) int { return cmp.Compare(a.Name, b.Name) })
	return counters
}

// restore adds a counter from a snapshot.
func (t *counterTable) restore(c *meshpb.Counter) { t.reserved[c.Name] = c.High }
