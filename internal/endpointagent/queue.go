package endpointagent

import "time"

// Priority determines the position of a request in the queue. Requests that are
// likely to be answered in time go first. Among those, the order is by rank, then
// other requests before hot reads, then by deadline.
type Priority struct {
	// Late marks a request that is unlikely to be answered in time. The calling node
	// marks requests that are probably retries by the client.
	Late bool
	// Rank is the priority of the request's route; lower values go first.
	Rank int
	// Deadline is the time at which the request leaves the queue unserved.
	Deadline time.Time
	// HotRead marks a read of a hot key. Hot reads are queued behind other requests of
	// the same rank and leave a share of the slots to other requests.
	HotRead bool
}

// before reports whether a request with priority p goes before one with priority
// other.
func (p Priority) before(other Priority) bool {
	if p.Late != other.Late {
		return other.Late
	}
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	if p.HotRead != other.HotRead {
		return other.HotRead
	}
	return p.Deadline.Before(other.Deadline)
}

// notQueued is the heapIndex of a waiter that is no longer in the queue.
const notQueued = -1

// waiter is a queued request.
type waiter struct {
	Priority
	// decision receives one value when the agent takes the waiter off the queue:
	// NotRejected if it has assigned a slot, otherwise the reason for the rejection.
	// The channel has a buffer of one, so that sending never blocks.
	decision chan RejectReason
	// heapIndex is the waiter's index in the waitQueue, or notQueued.
	heapIndex int
}

// waitQueue is a heap of waiters with the next one to be admitted at the root. It
// implements heap.Interface.
type waitQueue []*waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j].Priority) }

// Swap implements heap.Interface and updates the heap indexes.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface and sets the waiter's heap index.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface and marks the waiter as notQueued.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	last.heapIndex = notQueued
	return last
}

// position returns the 1-based position in the queue that a new request with priority
// p would get.
func (q waitQueue) position(p Priority) int {
	n := 1
	for _, w := range q {
		if !p.before(w.Priority) {
			n++
		}
	}
	return n
}

// containsOnlyHotReads reports whether no request other than hot reads is queued.
func (q waitQueue) containsOnlyHotReads() bool {
	for _, w := range q {
		if !w.HotRead {
			return false
		}
	}
	return true
}
