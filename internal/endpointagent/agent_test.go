package endpointagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
