package endpointagent

import (
	"context"
	"testing"
	"time"
)

// BenchmarkAdmit measures the overhead of the agent per request while a slot is free.
func BenchmarkAdmit(b *testing.B) {
	a := newAgent(time.Now)
	a.RecordHeartbeat(heartbeat("a", "ready", 1))
	ctx, priority := context.Background(), Priority{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		release, _ := a.Admit(ctx, "a", priority, time.Hour, nil)
		a.RecordOutcome("a", true)
		a.RecordResponse("a", time.Millisecond)
		release()
	}
}
