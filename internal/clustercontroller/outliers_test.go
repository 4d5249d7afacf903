package clustercontroller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// upEndpoints returns endpoints e0, e1, and so on of one service, all up.
func upEndpoints(n int) []*meshpb.Endpoint {
	var endpoints []*meshpb.Endpoint
	for i := range n {
		endpoints = append(endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: string(lifecycle.Up)})
	}
	return endpoints
}

func countOutliers(endpoints []*meshpb.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if e.Outlier {
			n++
		}
	}
	return n
}

func TestOutliersAreMarkedUpToAShareOfAService(t *testing.T) {
	endpoints := upEndpoints(10)
	qt.Assert(t, countOutliers(markOutliers(endpoints, map[string]uint32{"e1": 40, "e2": 10})), qt.Equals, 1)
	qt.Assert(t, countOutliers(endpoints), qt.Equals, 0)
	percents := map[string]uint32{}
	for i := range 10 {
		percents[fmt.Sprint("e", i)] = 40
	}
	qt.Assert(t, countOutliers(markOutliers(endpoints, percents)), qt.Equals, 0)
	for i := range 5 {
		delete(percents, fmt.Sprint("e", i))
		percents[fmt.Sprint("e", i+5)] = 100
	}
	qt.Assert(t, countOutliers(markOutliers(endpoints, percents)) <= 4, qt.IsTrue)
}

func TestFailureReportsEjectAnEndpointAndSuccessesReinstateIt(t *testing.T) {
	ejected := ejections{}
	histories := map[string]*nodeHistory{}
	report := func(successes, failures uint32) {
		for i := range 3 {
			histories[fmt.Sprint("n", i)] = &nodeHistory{reachable: true, state: &meshpb.NodeState{FailureReports: []*meshpb.FailureReport{{Endpoint: "e0", Successes: successes, Failures: failures}}}}
		}
	}
	report(0, 1)
	qt.Assert(t, ejected.update(histories, 0)["e0"], qt.Equals, uint32(100))
	report(0, 0)
	qt.Assert(t, ejected.update(histories, time.Second)["e0"], qt.Equals, uint32(100))
	report(2, 0)
	qt.Assert(t, ejected.update(histories, 2*time.Second)["e0"], qt.Equals, uint32(0))
	report(0, 2)
	ejected.update(histories, 3*time.Second)
	report(0, 0)
	qt.Assert(t, ejected.update(histories, 7*time.Second)["e0"], qt.Equals, uint32(100), qt.Commentf("the second ejection must last longer than the first"))
	qt.Assert(t, ejected.update(histories, 9*time.Second)["e0"], qt.Equals, uint32(0))
	report(50, 1)
	qt.Assert(t, len(ejections{}.update(histories, 0)), qt.Equals, 0, qt.Commentf("a low failure percentage must not eject"))
}
