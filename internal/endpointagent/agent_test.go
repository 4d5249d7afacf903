package endpointagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/lifecycle"
)

// An endpoint whose heartbeats stop must get no requests until a new heartbeat arrives;
// a repeated one must not make it healthy.
func TestMissedHeartbeatsMakeEndpointUnhealthyUntilNextHeartbeat(t *testing.T) {
	now := time.Unix(0, 0)
	a := newAgent(func() time.Time { return now })
	a.RecordHeartbeat(heartbeat("a", "ready", 1))
	now = now.Add(3500 * time.Millisecond)
	a.Tick()
	_, reason := a.Admit(context.Background(), "a", Priority{Deadline: now.Add(time.Second)}, time.Second, nil)
	qt.Check(t, reason, qt.Equals, RejectedUnhealthy)
	qt.Check(t, a.RecordHeartbeat(heartbeat("a", "ready", 1)), qt.IsFalse)
	qt.Check(t, a.RecordHeartbeat(heartbeat("a", "ready", 2)), qt.IsTrue)
	release, reason := a.Admit(context.Background(), "a", Priority{Deadline: now.Add(time.Second)}, time.Second, nil)
	qt.Check(t, reason, qt.Equals, NotRejected)
	release()
}

// Guards against an endpoint that becomes ready again after a restart of its node, whichever
// of the late heartbeat and the master's memory comes first.
func TestRestoredEndpointThatLeavesDoesNotBecomeReady(t *testing.T) {
	now := time.Unix(0, 0)
	for _, state := range []lifecycle.State{lifecycle.Draining, lifecycle.Gone} {
		for _, order := range []string{"restored first", "heartbeat first", "drain first"} {
			a := newAgent(func() time.Time { return now })
			switch order {
			case "heartbeat first":
				a.RecordHeartbeat(heartbeat("a", lifecycle.Ready, 3))
			case "drain first":
				a.RecordHeartbeat(heartbeat("a", lifecycle.Draining, 5))
			}
			a.RestoreLeaving(heartbeat("a", state, 0))
			a.RecordHeartbeat(heartbeat("a", lifecycle.Ready, 4))
			qt.Check(t, a.Status().State, qt.Equals, state, qt.Commentf("%s, %s", state, order))
			_, reason := a.Admit(context.Background(), "a", Priority{Deadline: now.Add(time.Second)}, time.Second, nil)
			qt.Check(t, reason, qt.Equals, RejectedDraining)
			a.RecordProbe("a", 1)
			qt.Check(t, a.Status().State, qt.Equals, state)
			qt.Check(t, a.RecordHeartbeat(heartbeat("b", lifecycle.Ready, 1)), qt.IsTrue)
			qt.Check(t, a.Status().State, qt.Equals, lifecycle.Ready)
		}
	}
}

func TestRestoredEndpointDoesNotReplaceItsSuccessor(t *testing.T) {
	now := time.Unix(0, 0)
	for _, state := range []lifecycle.State{lifecycle.Draining, lifecycle.Gone} {
		a := newAgent(func() time.Time { return now })
		a.RecordHeartbeat(heartbeat("b", lifecycle.Ready, 1))
		a.RestoreLeaving(heartbeat("a", state, 0))
		qt.Check(t, a.RecordHeartbeat(heartbeat("a", lifecycle.Ready, 4)), qt.IsFalse)
		qt.Check(t, a.Status().ID, qt.Equals, "b")
		qt.Check(t, a.Status().State, qt.Equals, lifecycle.Ready)
	}
}
