package endpointagent

import (
	"container/heap"
	"context"
	"time"

	"corkcove/internal/lifecycle"
)

const (
	// reservedSlotDivisor is the number of slots for each slot that reads of hot keys may
	// not use, so that other requests find one free. At least one slot is reserved, but
	// none at an endpoint with a single slot.
	reservedSlotDivisor = 4
	// reservationPeriod is the time after the last request that is not a hot read at
	// which the reservation ends.
	reservationPeriod = time.Second
	// extraQueueLength is added to the queue limit derived from the slots, so that an
	// endpoint with a single slot has a queue too.
	extraQueueLength = 2
	// serviceTimeSmoothing is the smoothing divisor of the moving average of service
	// times: each new sample has a weight of 1/serviceTimeSmoothing.
	serviceTimeSmoothing = 16
)

// Load is the utilization of the endpoint's slots and queue.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Slots is the number of slots, at least 1.
	Slots int
	// ServiceTime is the moving average of the time that a request takes at the
	// endpoint, or 0 before the first response.
	ServiceTime time.Duration
}

// slotUsage counts the requests that hold a slot and averages their service time.
type slotUsage struct {
	running int
	// runningHotReads is the number of running requests that are reads of hot keys.
	runningHotReads int
	// lastNonHotRequest is the arrival time of the last request that is not a hot read.
	lastNonHotRequest time.Time
	serviceTime       time.Duration
}

func (s *slotUsage) acquire(hotRead bool) {
	s.running++
	if hotRead {
		s.runningHotReads++
	}
}

func (s *slotUsage) release(hotRead bool) {
	s.running--
	if hotRead {
		s.runningHotReads--
	}
}

// recordServiceTime adds the service time of one request to the moving average.
func (s *slotUsage) recordServiceTime(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	if s.serviceTime == 0 {
		s.serviceTime = elapsed
	}
	s.serviceTime += (elapsed - s.serviceTime) / serviceTimeSmoothing
}

// Load returns the current load of the endpoint.
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

// QueueObserver is informed that a request must wait for a slot.
type QueueObserver interface {
	// Queued is called on the goroutine of the request, after it has joined the queue.
	// The request may be assigned a slot while Queued runs.
	Queued()
}

// Admit assigns a slot of the incarnation id to a request. If no slot is available,
// it waits in a queue ordered by priority until a slot is assigned, the request is
// rejected, priority.Deadline passes or ctx ends. It rejects the request immediately
// if the incarnation accepts no requests, if the estimated wait exceeds maxWait, or
// if the queue is full.
//
// If the request joins the queue, Admit calls observer.Queued, unless observer is nil.
//
// If the reason is NotRejected, the caller holds a slot and must call the returned
// function exactly once, when the endpoint has finished the request. Otherwise the
// returned function is nil.
func (a *Agent) Admit(ctx context.Context, id string, priority Priority, maxWait time.Duration, observer QueueObserver) (func(), RejectReason) {
	a.mu.Lock()
	if reason := a.rejectReason(id); reason != NotRejected {
		a.mu.Unlock()
		return nil, reason
	}
	now := a.options.Now()
	if !priority.HotRead {
		a.slots.lastNonHotRequest = now
	}
	if a.hasFreeSlot(priority, now) {
		a.slots.acquire(priority.HotRead)
		a.mu.Unlock()
		return a.releaseFunc(id, priority.HotRead), NotRejected
	}
	if a.estimatedWait(priority) > maxWait || len(a.queue) >= a.queueLimit() {
		a.mu.Unlock()
		return nil, RejectedQueueFull
	}
	w := &waiter{Priority: priority, decision: make(chan RejectReason, 1)}
	heap.Push(&a.queue, w)
	a.mu.Unlock()
	if observer != nil {
		observer.Queued()
	}
	return a.awaitDecision(ctx, id, w, priority.Deadline.Sub(a.options.Now()))
}

// awaitDecision waits until a queued request is admitted or rejected, the timeout
// expires or ctx ends.
func (a *Agent) awaitDecision(ctx context.Context, id string, w *waiter, timeout time.Duration) (func(), RejectReason) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reason := RejectedCanceled
	select {
	case decision := <-w.decision:
		if decision == NotRejected {
			return a.releaseFunc(id, w.HotRead), NotRejected
		}
		return nil, decision
	case <-timer.C:
		reason = RejectedDeadlineExceeded
	case <-ctx.Done():
	}
	if !a.removeFromQueue(w) {
		// The decision was sent in the meantime: release a slot assigned too late.
		if decision := <-w.decision; decision == NotRejected {
			a.releaseFunc(id, w.HotRead)()
		}
	}
	return nil, reason
}

// removeFromQueue removes w from the queue. It returns false if w has already been
// admitted or rejected.
func (a *Agent) removeFromQueue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.heapIndex == notQueued {
		return false
	}
	heap.Remove(&a.queue, w.heapIndex)
	return true
}

// rejectReason returns the reason why requests for the incarnation id are currently
// rejected, or NotRejected.
func (a *Agent) rejectReason(id string) RejectReason {
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

// slotCount returns the endpoint's number of slots, but at least 1, so that it can be
// used as a divisor.
func (a *Agent) slotCount() int { return max(a.status.Slots, 1) }

// hasFreeSlot reports whether a request can start without queueing. Requests other
// than hot reads overtake queued hot reads, because the free slots may be reserved.
func (a *Agent) hasFreeSlot(p Priority, now time.Time) bool {
	if a.slots.running >= a.status.Slots {
		return false
	}
	if p.HotRead {
		return len(a.queue) == 0 && a.slots.runningHotReads < a.hotSlotLimit(now)
	}
	return a.queue.containsOnlyHotReads()
}

// hotSlotLimit returns the number of slots that hot reads may currently hold.
func (a *Agent) hotSlotLimit(now time.Time) int {
	n := a.slotCount()
	if now.Sub(a.slots.lastNonHotRequest) > reservationPeriod || n == 1 {
		return n
	}
	return n - max(n/reservedSlotDivisor, 1)
}

// estimatedWait estimates the queueing time of a request from its position in the
// queue and the average service time.
func (a *Agent) estimatedWait(p Priority) time.Duration {
	return a.slots.serviceTime * time.Duration(a.queue.position(p)) / time.Duration(a.slotCount())
}

// queueLimit returns the number of requests that may wait in the queue.
func (a *Agent) queueLimit() int {
	return int(a.options.QueuePerSlot*float64(a.status.Slots)) + extraQueueLength
}

// assignSlots assigns free slots to queued requests in priority order. Hot reads
// that have reached their slot limit stay in the queue, and others overtake them.
func (a *Agent) assignSlots() {
	var skipped []*waiter
	for len(a.queue) > 0 && a.slots.running < a.status.Slots {
		w := heap.Pop(&a.queue).(*waiter)
		if w.HotRead && a.slots.runningHotReads >= a.hotSlotLimit(a.options.Now()) {
			skipped = append(skipped, w)
			continue
		}
		a.slots.acquire(w.HotRead)
		w.decision <- NotRejected
	}
	for _, w := range skipped {
		heap.Push(&a.queue, w)
	}
}

// rejectQueued rejects all queued requests with reason.
func (a *Agent) rejectQueued(reason RejectReason) {
	for len(a.queue) > 0 {
		heap.Pop(&a.queue).(*waiter).decision <- reason
	}
}

// releaseFunc returns a function that releases a slot of the incarnation id and
// assigns free slots to queued requests. The function does nothing once another
// incarnation has replaced id.
func (a *Agent) releaseFunc(id string, hotRead bool) func() {
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.status.ID != id || a.slots.running == 0 {
			return
		}
		a.slots.release(hotRead)
		if a.rejectReason(id) == NotRejected {
			a.assignSlots()
		}
	}
}
