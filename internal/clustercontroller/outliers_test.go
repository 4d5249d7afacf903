package clustercontroller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

func endpointsOfService(n int) []*meshpb.Endpoint {
	var es []*meshpb.Endpoint
	for i := range n {
		es = append(es, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Up)})
	}
	return es
}

func countOutliers(es []*meshpb.Endpoint) int {
	n := 0
	for _, e := range es {
		if e.Outlier {
			n++
		}
	}
	return n
}

func TestOutliersAreMarkedUpToAShareOfAService(t *testing.T) {
	es := endpointsOfService(10)
	qt.Assert(t, countOutliers(markOutliers(es, map[string]uint32{"e1": 40, "e2": 10})), qt.Equals, 1)
	qt.Assert(t, countOutliers(es), qt.Equals, 0)
	ill := map[string]uint32{}
	for i := range 10 {
		ill[fmt.Sprint("e", i)] = 40
	}
	qt.Assert(t, countOutliers(markOutliers(es, ill)), qt.Equals, 0)
	for i := range 5 {
		delete(ill, fmt.Sprint("e", i))
		ill[fmt.Sprint("e", i+5)] = 100
	}
	qt.Assert(t, countOutliers(markOutliers(es, ill)) <= 4, qt.IsTrue)
}

func TestFailureReportsEjectAnEndpointAndSuccessesReinstateIt(t *testing.T) {
	vs := ejections{}
	hs := map[string]*nodeHistory{}
	say := func(good, bad uint32) {
		for i := range 3 {
			hs[fmt.Sprint("n", i)] = &nodeHistory{reachable: true, state: &meshpb.NodeState{FailureReports: []*meshpb.FailureReport{{Endpoint: "e0", Successes: good, Failures: bad}}}}
		}
	}
	say(0, 1)
	qt.Assert(t, vs.update(hs, 0)["e0"], qt.Equals, uint32(100))
	say(0, 0)
	qt.Assert(t, vs.update(hs, time.Second)["e0"], qt.Equals, uint32(100))
	say(2, 0)
	qt.Assert(t, vs.update(hs, 2*time.Second)["e0"], qt.Equals, uint32(0))
	say(0, 2)
	vs.update(hs, 3*time.Second)
	say(0, 0)
	qt.Assert(t, vs.update(hs, 7*time.Second)["e0"], qt.Equals, uint32(100), qt.Commentf("the second rest is longer"))
	qt.Assert(t, vs.update(hs, 9*time.Second)["e0"], qt.Equals, uint32(0))
	say(50, 1)
	qt.Assert(t, len(ejections{}.update(hs, 0)), qt.Equals, 0, qt.Commentf("few failures among many answers are no illness"))
}
