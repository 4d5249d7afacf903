package clustercontroller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

func service(n int) []*meshpb.Endpoint {
	var es []*meshpb.Endpoint
	for i := range n {
		es = append(es, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", State: Up})
	}
	return es
}

func greys(es []*meshpb.Endpoint) int {
	n := 0
	for _, e := range es {
		if e.Outlier {
			n++
		}
	}
	return n
}

func TestOutliersAreGreyButNeverMostOfAService(t *testing.T) {
	es := service(10)
	qt.Assert(t, greys(shade(es, map[string]uint32{"e1": 40, "e2": 10})), qt.Equals, 1)
	qt.Assert(t, greys(es), qt.Equals, 0)
	ill := map[string]uint32{}
	for i := range 10 {
		ill[fmt.Sprint("e", i)] = 40
	}
	qt.Assert(t, greys(shade(es, ill)), qt.Equals, 0)
	for i := range 5 {
		delete(ill, fmt.Sprint("e", i))
		ill[fmt.Sprint("e", i+5)] = 100
	}
	qt.Assert(t, greys(shade(es, ill)) <= 4, qt.IsTrue)
}

func TestBlameOfSeveralNodesFindsADarkEndpointAndGoodTriesClearIt(t *testing.T) {
	vs := verdicts{}
	hs := map[string]*history{}
	say := func(good, bad uint32) {
		for i := range 3 {
			hs[fmt.Sprint("n", i)] = &history{reached: true, state: &meshpb.NodeState{FailureReports: []*meshpb.FailureReport{{Endpoint: "e0", Successes: good, Failures: bad}}}}
		}
	}
	say(0, 1)
	qt.Assert(t, vs.judge(hs, 0)["e0"], qt.Equals, uint32(100))
	say(0, 0)
	qt.Assert(t, vs.judge(hs, time.Second)["e0"], qt.Equals, uint32(100))
	say(2, 0)
	qt.Assert(t, vs.judge(hs, 2*time.Second)["e0"], qt.Equals, uint32(0))
	say(0, 2)
	vs.judge(hs, 3*time.Second)
	say(0, 0)
	qt.Assert(t, vs.judge(hs, 7*time.Second)["e0"], qt.Equals, uint32(100), qt.Commentf("the second rest is longer"))
	qt.Assert(t, vs.judge(hs, 9*time.Second)["e0"], qt.Equals, uint32(0))
	say(50, 1)
	qt.Assert(t, len(verdicts{}.judge(hs, 0)), qt.Equals, 0, qt.Commentf("few failures among many answers are no illness"))
}
