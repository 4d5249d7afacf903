package endpointagent

import (
	"time"

	"corkcove/internal/lifecycle"
)

func newAgent(now func() time.Time) *Agent {
	return New(Options{Service: "s", HeartbeatInterval: time.Second, MissedHeartbeats: 3, QueuePerSlot: 1, Now: now,
		OnChange: func(Status) {}})
}

func heartbeat(id string, state lifecycle.State, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "s", Slots: 1, State: state, Seq: seq}
}

// interleavings calls f with each way to merge the steps of several threads;
// lengths has each thread's number of steps, and order the thread of each step.
func interleavings(lengths []int, f func(order []int)) {
	var extend func(taken []int, order []int)
	extend = func(taken []int, order []int) {
		complete := true
		for i := range lengths {
			if taken[i] < lengths[i] {
				complete = false
				taken[i]++
				extend(taken, append(order, i))
				taken[i]--
			}
		}
		if complete {
			f(append([]int(nil), order...))
		}
	}
	extend(make([]int, len(lengths)), nil)
}
