package endpointagent

import (
	"sync"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/logring"
)

// unhealthyAfterRefusals is the number of consecutive refused connections after which
// the endpoint is unhealthy. A single refusal may be caused by a full listen backlog.
const unhealthyAfterRefusals = 2

// Options configure an Agent.
type Options struct {
	// Service is the name of the service that the local endpoint belongs to.
	Service string
	// HeartbeatInterval is the interval at which the endpoint sends heartbeats.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of heartbeat intervals without a heartbeat or
	// response after which the endpoint is unhealthy.
	MissedHeartbeats float64
	// QueuePerSlot is the number of requests that may be queued per slot.
	QueuePerSlot float64
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
	// Log receives the status changes. It is called with the agent's lock held.
	Log logring.Logger
	// OnChange is called with the new status after each change that is relevant to
	// other nodes. It must not be nil. It is called without the agent's lock held, on
	// the goroutine that made the change, so calls may be concurrent.
	OnChange func(Status)
}

// Agent tracks the status of the local endpoint and admits requests to its slots. It
// is safe for concurrent use. Its mutex is held only briefly and never across a
// blocking operation.
type Agent struct {
	options Options

	mu     sync.Mutex
	status Status
	// endedIncarnations contains the incarnations that deregistered or were replaced.
	// Heartbeats that still arrive from them are ignored.
	endedIncarnations map[string]bool
	// lastContact is the time of the endpoint's last heartbeat, response or
	// successful probe.
	lastContact time.Time
	warmupEnd   time.Time
	// consecutiveRefusals is the number of consecutive refused connections. It is reset
	// by a response, by the first heartbeat of an incarnation and by a heartbeat that
	// makes the endpoint healthy again.
	consecutiveRefusals int
	outcomes            outcomeStats
	stopping            bool

	slots slotUsage
	queue waitQueue
}

// New returns an agent that knows no endpoint yet.
func New(options Options) *Agent {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Agent{options: options, endedIncarnations: map[string]bool{}}
}

// update calls change with the lock held. If this changed the status in a way that is
// relevant to other nodes, update logs the change and, after releasing the lock, calls
// OnChange.
func (a *Agent) update(change func()) {
	a.mu.Lock()
	previous := a.status
	change()
	current := a.status
	changed := current.differsFrom(previous)
	if changed {
		a.options.Log.Info("endpoint status changed", "endpoint", current.ID, "state", current.State, "healthy", current.Healthy, "slots", current.Slots,
			"warmup", current.Warmup, "previousEndpoint", previous.ID, "previousState", previous.State, "previousHealthy", previous.Healthy)
	}
	a.mu.Unlock()
	if changed {
		a.options.OnChange(current)
	}
}

// RecordHeartbeat applies a heartbeat of the endpoint. It returns false and changes
// nothing if the heartbeat is out of order or comes from an incarnation that has
// ended.
func (a *Agent) RecordHeartbeat(h Heartbeat) (accepted bool) {
	a.update(func() {
		if a.isStale(h) {
			return
		}
		a.replaceIncarnation(h.ID)
		a.applyHeartbeat(h)
		accepted = true
	})
	return accepted
}

// isStale reports whether a heartbeat comes from an ended incarnation or, unless its Seq
// is 0, is not newer than the last one.
func (a *Agent) isStale(h Heartbeat) bool {
	if a.endedIncarnations[h.ID] {
		return true
	}
	return a.status.Known && h.ID == a.status.ID && h.Seq != 0 && h.Seq <= a.status.Seq
}

// replaceIncarnation ends the current incarnation if id is a different one. The slot
// counts restart at zero: requests that still run at the ended incarnation hold no slot
// of the new one.
func (a *Agent) replaceIncarnation(id string) {
	if !a.status.Known || a.status.ID == "" || a.status.ID == id {
		return
	}
	a.endedIncarnations[a.status.ID] = true
	a.rejectQueued(RejectedOtherIncarnation)
	a.slots.running, a.slots.runningHotReads = 0, 0
}

// applyHeartbeat updates the status from an accepted heartbeat, then rejects the queued
// requests or assigns them the free slots.
func (a *Agent) applyHeartbeat(h Heartbeat) {
	previous := a.status
	sameIncarnation := previous.ID == h.ID
	if sameIncarnation && previous.State == lifecycle.Draining && h.State == lifecycle.Ready {
		// A drain is final: an incarnation cannot return from Draining to Ready.
		h.State = lifecycle.Draining
	}
	if !sameIncarnation {
		a.outcomes = outcomeStats{}
	}
	a.status = Status{Heartbeat: h, Healthy: true, Known: true, FailurePercent: a.outcomes.failurePercent}
	a.lastContact = a.options.Now()
	a.warmupEnd = a.lastContact.Add(h.Warmup)
	if !sameIncarnation || !previous.Healthy {
		a.consecutiveRefusals = 0
	}
	if h.State != lifecycle.Ready {
		a.rejectQueued(RejectedDraining)
	}
	a.assignSlots()
}

// Deregister ends the incarnation id at the endpoint's request.
func (a *Agent) Deregister(id string) {
	a.update(func() {
		a.endedIncarnations[id] = true
		if a.status.ID == id {
			a.status.State = lifecycle.Gone
			a.rejectQueued(RejectedDraining)
		}
	})
}

// RestoreLeaving records the last heartbeat of an incarnation that was draining or gone
// before this process started. Other heartbeats of that incarnation that still arrive, or
// have arrived since the start, do not make it ready.
func (a *Agent) RestoreLeaving(last Heartbeat) {
	a.update(func() {
		if last.State == lifecycle.Gone || a.status.Known && a.status.ID != last.ID {
			a.endedIncarnations[last.ID] = true
		}
		if !a.status.Known {
			a.status = Status{Heartbeat: last, Healthy: true, Known: true}
			a.lastContact = a.options.Now()
		}
		if a.status.ID != last.ID || a.status.State == lifecycle.Gone {
			return
		}
		a.status.State = last.State
		a.rejectQueued(RejectedDraining)
	})
}

// RecordProbe records an endpoint that responded to a health check before this agent
// received its first heartbeat. It does nothing if an endpoint is already known, if id
// is empty, or if the incarnation id has ended.
func (a *Agent) RecordProbe(id string, slots int) {
	a.update(func() {
		if a.status.Known || id == "" || a.endedIncarnations[id] {
			return
		}
		a.status = Status{
			Heartbeat: Heartbeat{ID: id, Service: a.options.Service, Slots: slots, State: lifecycle.Ready},
			Healthy:   true,
			Known:     true,
		}
		a.lastContact = a.options.Now()
	})
}

// Stop rejects all queued requests and all later ones.
func (a *Agent) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	a.rejectQueued(RejectedStopping)
}

// Tick marks the endpoint unhealthy after MissedHeartbeats intervals without contact,
// ends its warm-up when it is due, and resets an expired failure percentage. It must be
// called several times per heartbeat interval.
func (a *Agent) Tick() {
	a.update(func() {
		now := a.options.Now()
		timeout := time.Duration(a.options.MissedHeartbeats * float64(a.options.HeartbeatInterval))
		if a.status.Known && a.status.Healthy && now.Sub(a.lastContact) > timeout {
			a.markUnhealthy()
		}
		if a.status.Warmup > 0 && now.After(a.warmupEnd) {
			a.status.Warmup = 0
		}
		a.outcomes.expire(now)
		a.status.FailurePercent = a.outcomes.failurePercent
	})
}

// markUnhealthy marks the endpoint unhealthy until its next accepted heartbeat and
// rejects all queued requests.
func (a *Agent) markUnhealthy() {
	a.status.Healthy = false
	a.rejectQueued(RejectedUnhealthy)
}

// RecordConnectionRefused records that a connection to the endpoint's address could not
// be established. It does nothing if id is not the current incarnation.
func (a *Agent) RecordConnectionRefused(id string) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.consecutiveRefusals++
		if a.consecutiveRefusals >= unhealthyAfterRefusals && a.status.Healthy {
			a.markUnhealthy()
		}
	})
}

// RecordResponse records that the endpoint responded to a request and how long that
// took. It does nothing if id is not the current incarnation.
func (a *Agent) RecordResponse(id string, elapsed time.Duration) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.consecutiveRefusals = 0
		a.lastContact = a.options.Now()
		a.slots.recordServiceTime(elapsed)
	})
}

// RecordOutcome records whether the endpoint served a request successfully. It does
// nothing if id is not the current incarnation.
func (a *Agent) RecordOutcome(id string, success bool) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.outcomes.record(success, a.options.Now())
		a.status.FailurePercent = a.outcomes.failurePercent
	})
}

// Status returns the current status of the endpoint.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status
}
