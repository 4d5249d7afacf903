package loadbalancer

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSubsetsMoveLittleAndSpreadEvenly(t *testing.T) {
	var endpoints []*Endpoint
	for i := range 90 {
		endpoints = append(endpoints, &Endpoint{id: fmt.Sprint("i-", i)})
	}
	uses := map[string]int{}
	for n := range 40 {
		before := subset(fmt.Sprint("edge-", n), endpoints, 24)
		for _, e := range before {
			uses[e.id]++
		}
		after := subset(fmt.Sprint("edge-", n), endpoints[1:], 24)
		moved := 0
		for _, e := range after {
			if !slices.Contains(before, e) {
				moved++
			}
		}
		qt.Assert(t, moved <= 1, qt.IsTrue)
	}
	for _, e := range endpoints {
		qt.Assert(t, uses[e.id] > 0, qt.IsTrue, qt.Commentf("%s is in no subset", e.id))
	}
}
