package endpointagent

import "time"

// Priority orders the queue: what can still be answered in time goes first, then
// by rank and deadline.
type Priority struct {
	// Late marks a request that will hardly be answered in time.
	Late bool
	// Rank is the request's class; lower goes first.
	Rank     int
	Deadline time.Time
	// Hot marks a read of a hot key: it stands behind others of its rank, and
	// leaves a share of the slots to them.
	Hot bool
}

func (p Priority) before(other Priority) bool {
	if p.Late != other.Late {
		return other.Late
	}
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	if p.Hot != other.Hot {
		return other.Hot
	}
	return p.Deadline.Before(other.Deadline)
}

// notQueued is the index of a waiter that has left the queue.
const notQueued = -1

// waiter is a queued request.
type waiter struct {
	Priority
	// decision gets exactly one value: NotRejected with a slot, or the reason why
	// the queue was emptied. It holds one, so that sending never blocks.
	decision chan RejectReason
	index    int
}

// waitQueue is a heap of waiters, the one that goes first on top.
type waitQueue []*waiter

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j].Priority) }

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is for package heap.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is for package heap.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	last.index = notQueued
	return last
}

// ahead counts how many go before a request that would be queued with p, itself
// included.
func (q waitQueue) ahead(p Priority) int {
	n := 1
	for _, w := range q {
		if !p.before(w.Priority) {
			n++
		}
	}
	return n
}

// onlyHot tells that none but reads of hot keys wait.
func (q waitQueue) onlyHot() bool {
	for _, w := range q {
		if !w.Hot {
			return false
		}
	}
	return true
}
