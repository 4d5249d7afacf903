package clustercontroller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

var testRules = historyRules{crashWindow: time.Minute, crashLimit: 3, pollFailureLimit: 2, unreachableAfter: 700 * time.Millisecond}

func nodeStateOf(id, state string, warmupMs uint64) *meshpb.NodeState {
	n := &meshpb.NodeState{Name: "n", Inbound: "in", State: "up"}
	if id != "" {
		n.Endpoint = &meshpb.Endpoint{Id: id, State: state, Healthy: true, WarmupMs: warmupMs, Slots: 4}
	}
	return n
}

func TestOfficialStateFollowsHistoryAndUserState(t *testing.T) {
	h := &nodeHistory{}
	h.recordReport(nodeStateOf("a", "ready", 0), 0, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Up)
	for user, want := range map[lifecycle.State]lifecycle.State{lifecycle.Up: lifecycle.Up, lifecycle.Maintenance: lifecycle.Down, lifecycle.Down: lifecycle.Down, lifecycle.Retired: lifecycle.Draining} {
		qt.Assert(t, h.officialState(user), qt.Equals, want)
	}
	h.recordPollFailure(100*time.Millisecond, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Up)
	h.recordPollFailure(800*time.Millisecond, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Down)
	h.recordReport(nodeStateOf("a", "draining", 0), time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Draining)
	qt.Assert(t, h.officialState(lifecycle.Down), qt.Equals, lifecycle.Down)
}

func TestEndpointThatCrashedDuringWarmupStaysDownUntilWarm(t *testing.T) {
	h := &nodeHistory{}
	h.recordReport(nodeStateOf("a", "ready", 2000), 0, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Up)
	h.recordReport(nodeStateOf("b", "ready", 3000), time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Down)
	h.recordReport(nodeStateOf("b", "ready", 0), 4*time.Second, testRules)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Up)
}

func TestCrashLoopingEndpointIsDownButGracefulShutdownsAreNotCounted(t *testing.T) {
	h := &nodeHistory{}
	for i := 0; i < 8; i++ {
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "ready", 0), 0, testRules)
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "draining", 0), 0, testRules)
		h.recordReport(nodeStateOf(fmt.Sprint("o", i), "gone", 0), 0, testRules)
	}
	qt.Assert(t, h.crashLooping, qt.IsFalse)
	for i := 0; i < 4; i++ {
		h.recordReport(nodeStateOf(fmt.Sprint("c", i), "ready", 0), time.Duration(i)*time.Second, testRules)
	}
	qt.Assert(t, h.crashLooping, qt.IsTrue)
	qt.Assert(t, h.officialState(""), qt.Equals, lifecycle.Down)
}
