package endpointagent

import (
	"time"

	"corkcove/internal/lifecycle"
)

// newAgent returns an agent that expects a heartbeat per second.
func newAgent(now func() time.Time) *Agent {
	return New(Options{Service: "s", HeartbeatInterval: time.Second, MissedHeartbeats: 3, QueuePerSlot: 1, Now: now,
		OnChange: func(Status) {}})
}

// heartbeat returns a heartbeat of an endpoint with one slot.
func heartbeat(id string, state lifecycle.State, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "s", Slots: 1, State: state, Seq: seq}
}

// interleavings calls visit once for each interleaving of the steps of several threads.
// lengths contains the number of steps per thread, and order the thread of each step.
func interleavings(lengths []int, visit func(order []int)) {
	var extend func(stepsTaken, order []int)
	extend = func(stepsTaken, order []int) {
		complete := true
		for i := range lengths {
			if stepsTaken[i] < lengths[i] {
				complete = false
				stepsTaken[i]++
				extend(stepsTaken, append(order, i))
				stepsTaken[i]--
			}
		}
		if complete {
			visit(append([]int(nil), order...))
		}
	}
	extend(make([]int, len(lengths)), nil)
}
