package endpointagent

import (
	"container/heap"
	"context"
	"time"

	"corkcove/internal/lifecycle"
)

const (
	// Reads of hot keys leave one slot in reservedSlotDivisor to other requests.
	reservedSlotDivisor = 4
	// reservationPeriod is how long after the last other request slots are kept
	// free of reads of hot keys.
	reservationPeriod = time.Second
	// extraQueueLength is added to the queue's length by slots, so that an endpoint
	// of one slot has a queue too.
	extraQueueLength = 2
	// serviceTimeSmoothing is the divisor of the moving average of service times.
	serviceTimeSmoothing = 16
)

// Load is how busy the endpoint is.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// ServiceTime is the moving average of what a request takes.
	ServiceTime time.Duration
}

// slots counts what runs at the endpoint.
type slots struct {
	running int
	// hot is how many of the running requests are reads of hot keys.
	hot int
	// lastOther is when the last request that is no such read came.
	lastOther   time.Time
	serviceTime time.Duration
}

func (s *slots) occupy(hot bool) {
	s.running++
	if hot {
		s.hot++
	}
}

func (s *slots) release(hot bool) {
	s.running--
	if hot {
		s.hot--
	}
}

// observe adds the time that one request took to the average.
func (s *slots) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime += (took - s.serviceTime) / serviceTimeSmoothing
}

// Load returns how busy the endpoint is now.
func (a *Agent) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{
		Running:     a.slots.running,
		Queued:      len(a.queue),
		Slots:       a.slotCount(),
		ServiceTime: a.slots.serviceTime,
	}
}

// Admit waits for a slot by priority, or rejects the request at once where the
// wait would be longer than maxWait. With NotRejected the caller holds a slot of
// the incarnation id and must call the returned function once, when the endpoint
// is done with the request.
func (a *Agent) Admit(ctx context.Context, id string, priority Priority, maxWait time.Duration) (func(), RejectReason) {
	a.mu.Lock()
	if reason := a.rejects(id); reason != NotRejected {
		a.mu.Unlock()
		return nil, reason
	}
	now := a.options.Now()
	if !priority.Hot {
		a.slots.lastOther = now
	}
	if a.hasFreeSlot(priority, now) {
		a.slots.occupy(priority.Hot)
		a.mu.Unlock()
		return a.releaseFunc(id, priority.Hot), NotRejected
	}
	if a.estimatedWait(priority) > maxWait || len(a.queue) >= a.queueLimit() {
		a.mu.Unlock()
		return nil, RejectedQueueFull
	}
	w := &waiter{Priority: priority, decision: make(chan RejectReason, 1)}
	heap.Push(&a.queue, w)
	a.mu.Unlock()
	return a.await(ctx, id, w, priority.Deadline.Sub(now))
}

// await waits until a queued request is decided, timeout has passed or ctx ends.
func (a *Agent) await(ctx context.Context, id string, w *waiter, timeout time.Duration) (func(), RejectReason) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reason := RejectedCanceled
	select {
	case decision := <-w.decision:
		if decision == NotRejected {
			return a.releaseFunc(id, w.Hot), NotRejected
		}
		return nil, decision
	case <-timer.C:
		reason = RejectedLate
	case <-ctx.Done():
	}
	if !a.dequeue(w) {
		// It was decided meanwhile: a slot that came too late goes back.
		if decision := <-w.decision; decision == NotRejected {
			a.releaseFunc(id, w.Hot)()
		}
	}
	return nil, reason
}

// dequeue takes w out of the queue; false means that it was decided already.
func (a *Agent) dequeue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.index == notQueued {
		return false
	}
	heap.Remove(&a.queue, w.index)
	return true
}

// rejects says why no request for the incarnation id is taken now.
func (a *Agent) rejects(id string) RejectReason {
	switch {
	case a.stopping:
		return RejectedStopping
	case !a.status.Known:
		return RejectedNoEndpoint
	case a.status.ID != id:
		return RejectedOtherIncarnation
	case a.status.State != lifecycle.Ready:
		return RejectedDraining
	case !a.status.Healthy:
		return RejectedUnhealthy
	}
	return NotRejected
}

func (a *Agent) slotCount() int { return max(a.status.Slots, 1) }

// hasFreeSlot tells whether a request may start without queueing. Others pass
// queued reads of hot keys, which wait for slots that they may not have.
func (a *Agent) hasFreeSlot(p Priority, now time.Time) bool {
	if a.slots.running >= a.status.Slots {
		return false
	}
	if p.Hot {
		return len(a.queue) == 0 && a.slots.hot < a.hotSlotLimit(now)
	}
	return a.queue.onlyHot()
}

// hotSlotLimit is how many slots reads of hot keys may hold now.
func (a *Agent) hotSlotLimit(now time.Time) int {
	n := a.slotCount()
	if now.Sub(a.slots.lastOther) > reservationPeriod || n == 1 {
		return n
	}
	return n - max(n/reservedSlotDivisor, 1)
}

func (a *Agent) estimatedWait(p Priority) time.Duration {
	return a.slots.serviceTime * time.Duration(a.queue.ahead(p)) / time.Duration(a.slotCount())
}

func (a *Agent) queueLimit() int {
	return int(a.options.QueuePerSlot*float64(a.status.Slots)) + extraQueueLength
}

// assignSlots gives free slots to those who wait. Reads of hot keys that may have
// no more of them let others pass.
func (a *Agent) assignSlots() {
	var passed []*waiter
	for len(a.queue) > 0 && a.slots.running < a.status.Slots {
		w := heap.Pop(&a.queue).(*waiter)
		if w.Hot && a.slots.hot >= a.hotSlotLimit(a.options.Now()) {
			passed = append(passed, w)
			continue
		}
		a.slots.occupy(w.Hot)
		w.decision <- NotRejected
	}
	for _, w := range passed {
		heap.Push(&a.queue, w)
	}
}

// rejectQueued empties the queue.
func (a *Agent) rejectQueued(reason RejectReason) {
	for len(a.queue) > 0 {
		heap.Pop(&a.queue).(*waiter).decision <- reason
	}
}

// releaseFunc returns what frees a slot of the incarnation id. It does nothing
// once another incarnation runs.
func (a *Agent) releaseFunc(id string, hot bool) func() {
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.status.ID != id || a.slots.running == 0 {
			return
		}
		a.slots.release(hot)
		if a.rejects(id) == NotRejected {
			a.assignSlots()
		}
	}
}
