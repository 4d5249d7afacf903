package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

// Shift counts how many requests of a flow would be forwarded differently.
type Shift struct {
	Flow
	// Requests is the number of requests counted in the flow.
	Requests int `json:"requests"`
	// OtherNode counts the requests that would go to a different node, OtherPath those
	// that would go to a different service or take a different path (within the zone,
	// to another zone, to no endpoint), and OtherAttempts those with a different number
	// of attempts.
	OtherNode     int `json:"otherNode"`
	OtherPath     int `json:"otherPath"`
	OtherAttempts int `json:"otherAttempts"`
	// Old and New are the distributions under the recorded configurations and under
	// the proposal.
	Old *Shares `json:"old"`
	New *Shares `json:"new"`
}

func (s Shift) changed() bool { return s.OtherNode+s.OtherPath+s.OtherAttempts > 0 }

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

// shiftCounter accumulates the shifts of all flows, request by request.
type shiftCounter struct {
	locations endpointLocations
	// byNode distinguishes flows by node instead of by zone.
	byNode bool
	// fromUs is the start time of the first request to count, in Unix microseconds.
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

// sorted returns all shifts, sorted by flow.
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
	changed := slices.DeleteFunc(slices.Clone(shifts), func(s Shift) bool { return !s.changed() })
	fmt.Fprintf(&b, "\nflows: %d, of which %d would be forwarded differently\n", len(shifts), len(changed))
	if len(changed) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "%-20s %-10s %-26s %9s %10s %10s %14s  %s\n", "route", "kind", "from", "requests", "other node", "other path", "other attempts", "service, old -> new")
	for _, s := range changed {
		share := func(n int) string { return fmt.Sprintf("%d (%.0f%%)", n, 100*float64(n)/float64(s.Requests)) }
		fmt.Fprintf(&b, "%-20s %-10s %-26s %9d %10s %10s %14s  %s -> %s\n", s.Route, s.Kind, s.Origin, s.Requests,
			share(s.OtherNode), share(s.OtherPath), share(s.OtherAttempts),
			sharesText(s.Old.Service, s.Requests), sharesText(s.New.Service, s.Requests))
	}
	return b.String()
}
