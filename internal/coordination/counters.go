package coordination

import (
	"cmp"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// reservationSize is how many numbers of a counter one replicated change
// reserves: the owner issues them without a round trip each, and the rest is
// skipped when the owner changes.
const reservationSize = 64

// counterTable holds a shard's counters.
type counterTable struct {
	// reserved is the highest number of each counter that a replicated change
	// allows to be issued.
	reserved map[string]uint64
	// issued is the last number that this process issued as the shard's owner; it
	// is not replicated.
	issued map[string]uint64
}

func newCounterTable() counterTable {
	return counterTable{reserved: map[string]uint64{}, issued: map[string]uint64{}}
}

// NextNumber issues the counter's next number. Numbers rise; an owner's change
// leaves a gap.
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

// skipReserved passes over the numbers that an earlier owner reserved and may
// have issued.
func (k *counterTable) skipReserved() { k.issued = map[string]uint64{} }

func (k *counterTable) apply(c *meshpb.Counter) {
	k.reserved[c.Name] = max(k.reserved[c.Name], c.High)
}

func (k *counterTable) snapshot() []*meshpb.Counter {
	var counters []*meshpb.Counter
	for name, high := range k.reserved {
		counters = append(counters, &meshpb.Counter{Name: name, High: high})
	}
	slices.SortFunc(counters, func(a, b *meshpb.Counter) int { return cmp.Compare(a.Name, b.Name) })
	return counters
}

func (k *counterTable) restore(c *meshpb.Counter) { k.reserved[c.Name] = c.High }
