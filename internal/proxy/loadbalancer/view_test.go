package loadbalancer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Removing an endpoint must change at most one entry of a node's subset, and the
// subsets of 40 nodes must together include each of the 90 endpoints.
func TestRendezvousSubsetsAreStableAndCoverAllEndpoints(t *testing.T) {
	var endpoints []*Endpoint
	for i := range 90 {
		endpoints = append(endpoints, &Endpoint{id: fmt.Sprint("i-", i)})
	}
	nodesUsing := map[string]int{}
	for n := range 40 {
		before := rendezvousSubset(fmt.Sprint("edge-", n), endpoints, 24)
		for _, e := range before {
			nodesUsing[e.id]++
		}
		after := rendezvousSubset(fmt.Sprint("edge-", n), endpoints[1:], 24)
		added := 0
		for _, e := range after {
			if !slices.Contains(before, e) {
				added++
			}
		}
		qt.Assert(t, added <= 1, qt.IsTrue)
	}
	for _, e := range endpoints {
		qt.Assert(t, nodesUsing[e.id] > 0, qt.IsTrue, qt.Commentf("%s is in no subset", e.id))
	}
}
