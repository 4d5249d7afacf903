package replay

import "container/heap"

// event is a callback that is scheduled for a virtual time.
type event struct {
	timeUs   int64
	sequence int
	run      func()
}

// eventHeap implements heap.Interface. It orders events by time, and events with
// the same time by the order in which they were scheduled.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].timeUs < h[j].timeUs || h[i].timeUs == h[j].timeUs && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventQueue is the virtual clock of a simulation, in Unix microseconds, with the
// pending callbacks.
type eventQueue struct {
	nowUs    int64
	sequence int
	pending  eventHeap
}

// schedule schedules the callback for timeUs. If that time has passed, the callback
// is scheduled for the current virtual time.
func (q *eventQueue) schedule(timeUs int64, run func()) {
	q.sequence++
	heap.Push(&q.pending, event{max(timeUs, q.nowUs), q.sequence, run})
}

// drain runs callbacks, including those scheduled by other callbacks, until none is
// pending.
func (q *eventQueue) drain() {
	for len(q.pending) > 0 {
		next := heap.Pop(&q.pending).(event)
		q.nowUs = next.timeUs
		next.run()
	}
}
