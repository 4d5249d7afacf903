package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

// Shift tells how many of a flow's requests would be forwarded otherwise.
type Shift struct {
	Flow
	Requests int `json:"requests"`
	// OtherNode, OtherPath and OtherAttempts count the requests that would go to
	// another node, to another service or zone, with another number of attempts.
	OtherNode     int `json:"otherNode"`
	OtherPath     int `json:"otherPath"`
	OtherAttempts int `json:"otherAttempts"`
	// Old and New are the shares under the recorded configuration and under the
	// proposal.
	Old *Shares `json:"old"`
	New *Shares `json:"new"`
}

func (s Shift) moved() bool { return s.OtherNode+s.OtherPath+s.OtherAttempts > 0 }

func (s *Shift) add(before, after forwarding, timeUs int64) {
	s.Requests++
	s.Old.add(before, timeUs)
	s.New.add(after, timeUs)
	if before.node != after.node {
		s.OtherNode++
	}
	if before.path != after.path || before.service != after.service {
		s.OtherPath++
	}
	if before.attempts != after.attempts {
		s.OtherAttempts++
	}
}

// shiftCounter counts shifts, request by request.
type shiftCounter struct {
	locations endpointLocations
	byNode    bool
	// fromUs is when requests begin to count.
	fromUs int64
	shifts map[Flow]*Shift
}

func (c *shiftCounter) add(node *meshpb.RequestRecordsResponse, record *meshpb.RequestRecord, before, after *Result) {
	if after.clientGone || before.clientGone || record.AtUs < c.fromUs {
		return
	}
	flow := Flow{
		Route:  cmp.Or(after.Route, before.Route, unmatchedRoute),
		Kind:   cmp.Or(after.Kind, before.Kind),
		Origin: originOf(node, c.byNode),
	}
	shift := c.shifts[flow]
	if shift == nil {
		shift = &Shift{Flow: flow, Old: newShares(), New: newShares()}
		c.shifts[flow] = shift
	}
	shift.add(c.locations.simulatedForwarding(before, node.Zone), c.locations.simulatedForwarding(after, node.Zone), record.AtUs)
}

// sorted returns all shifts in order of their flows.
func (c *shiftCounter) sorted() []Shift {
	out := make([]Shift, 0, len(c.shifts))
	for _, shift := range c.shifts {
		shift.Old.setOverdispersion()
		shift.New.setOverdispersion()
		out = append(out, *shift)
	}
	slices.SortFunc(out, func(a, b Shift) int { return a.compare(b.Flow) })
	return out
}

func shiftsText(shifts []Shift) string {
	var b strings.Builder
	moved := slices.DeleteFunc(slices.Clone(shifts), func(s Shift) bool { return !s.moved() })
	fmt.Fprintf(&b, "\nflows: %d, of which %d would be carried otherwise\n", len(shifts), len(moved))
	if len(moved) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "%-20s %-10s %-26s %9s %10s %10s %14s  %s\n", "route", "kind", "from", "requests", "other node", "other path", "other attempts", "service, old -> new")
	for _, s := range moved {
		share := func(n int) string { return fmt.Sprintf("%d (%.0f%%)", n, 100*float64(n)/float64(s.Requests)) }
		fmt.Fprintf(&b, "%-20s %-10s %-26s %9d %10s %10s %14s  %s -> %s\n", s.Route, s.Kind, s.Origin, s.Requests,
			share(s.OtherNode), share(s.OtherPath), share(s.OtherAttempts),
			sharesText(s.Old.Service, s.Requests), sharesText(s.New.Service, s.Requests))
	}
	return b.String()
}
