package endpointagent

import (
	"sync"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/logring"
)

// unhealthyAfterRefusals is how many connections in a row the endpoint's address
// refuses before it counts as unhealthy: one may be a full backlog.
const unhealthyAfterRefusals = 2

// Options of an Agent.
type Options struct {
	// Service is the service of the endpoint beside this node.
	Service string
	// HeartbeatInterval is the time between two heartbeats of the endpoint.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is how many intervals may pass without a sign of life
	// before the endpoint counts as unhealthy.
	MissedHeartbeats float64
	// QueuePerSlot is how many requests may wait for each slot.
	QueuePerSlot float64
	// Now gives the time; nil means time.Now.
	Now func() time.Time
	// Log is called with the agent's lock held.
	Log logring.Logger
	// OnChange is called with each status that other nodes act on.
	OnChange func(Status)
}

// Agent keeps the status of the endpoint beside this node and admits requests to
// it. It is guarded by one short lock; nothing blocks while that is held.
type Agent struct {
	options Options

	mu     sync.Mutex
	status Status
	// ended has the incarnations that left or were replaced: what still comes from
	// them is late.
	ended map[string]bool
	// lastContact is when the endpoint last gave a sign of life.
	lastContact time.Time
	warmUntil   time.Time
	// refusals counts connections refused in a row.
	refusals int
	outcomes outcomeStats
	stopping bool

	slots slots
	queue waitQueue
}

// New creates an agent that knows of no endpoint yet.
func New(o Options) *Agent {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Agent{options: o, ended: map[string]bool{}}
}

// update runs change under the lock, then reports a status that became another
// one to OnChange, outside of it.
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

// RecordHeartbeat takes an endpoint's account of itself. False means that the
// heartbeat came out of order or from an incarnation that has ended; nothing was
// changed then.
func (a *Agent) RecordHeartbeat(h Heartbeat) (accepted bool) {
	a.update(func() {
		if a.outdated(h) {
			return
		}
		a.replaceIncarnation(h.ID)
		a.applyHeartbeat(h)
		accepted = true
	})
	return accepted
}

// outdated tells that a heartbeat is of an ended incarnation or was overtaken by
// another.
func (a *Agent) outdated(h Heartbeat) bool {
	if a.ended[h.ID] {
		return true
	}
	return a.status.Known && h.ID == a.status.ID && h.Seq != 0 && h.Seq <= a.status.Seq
}

// replaceIncarnation ends the incarnation that ran before, if id is another one.
func (a *Agent) replaceIncarnation(id string) {
	if !a.status.Known || a.status.ID == "" || a.status.ID == id {
		return
	}
	a.ended[a.status.ID] = true
	a.rejectQueued(RejectedOtherIncarnation)
	a.slots.running, a.slots.hot = 0, 0
}

func (a *Agent) applyHeartbeat(h Heartbeat) {
	previous := a.status
	sameIncarnation := previous.ID == h.ID
	if sameIncarnation && previous.State == lifecycle.Draining && h.State == lifecycle.Ready {
		// A drain that was announced is not taken back.
		h.State = lifecycle.Draining
	}
	if !sameIncarnation {
		a.outcomes = outcomeStats{}
	}
	a.status = Status{Heartbeat: h, Healthy: true, Known: true, FailurePercent: a.outcomes.failurePercent}
	a.lastContact = a.options.Now()
	a.warmUntil = a.lastContact.Add(h.Warmup)
	if !sameIncarnation || !previous.Healthy {
		a.refusals = 0
	}
	if h.State != lifecycle.Ready {
		a.rejectQueued(RejectedDraining)
	}
	a.assignSlots()
}

// Deregister ends the incarnation id at the endpoint's own request.
func (a *Agent) Deregister(id string) {
	a.update(func() {
		a.ended[id] = true
		if a.status.ID == id {
			a.status.State = lifecycle.Gone
			a.rejectQueued(RejectedDraining)
		}
	})
}

// RecordProbe notes an endpoint that answered a health check before its first
// heartbeat.
func (a *Agent) RecordProbe(id string, slots int) {
	a.update(func() {
		if a.status.Known || id == "" || a.ended[id] {
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

// Stop rejects everything from now on.
func (a *Agent) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	a.rejectQueued(RejectedStopping)
}

// Tick marks an endpoint whose heartbeats are missing, and lets its warm-up and old
// failures end. It is called a few times in each heartbeat interval.
func (a *Agent) Tick() {
	a.update(func() {
		now := a.options.Now()
		timeout := time.Duration(a.options.MissedHeartbeats * float64(a.options.HeartbeatInterval))
		if a.status.Known && a.status.Healthy && now.Sub(a.lastContact) > timeout {
			a.becomeUnhealthy()
		}
		if a.status.Warmup > 0 && now.After(a.warmUntil) {
			a.status.Warmup = 0
		}
		a.outcomes.expire(now)
		a.status.FailurePercent = a.outcomes.failurePercent
	})
}

func (a *Agent) becomeUnhealthy() {
	a.status.Healthy = false
	a.rejectQueued(RejectedUnhealthy)
}

// RecordConnectionRefused notes that the endpoint's address took no connection.
func (a *Agent) RecordConnectionRefused(id string) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.refusals++
		if a.refusals >= unhealthyAfterRefusals && a.status.Healthy {
			a.becomeUnhealthy()
		}
	})
}

// RecordResponse notes that the endpoint answered a request, after took.
func (a *Agent) RecordResponse(id string, took time.Duration) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.refusals = 0
		a.lastContact = a.options.Now()
		a.slots.observe(took)
	})
}

// RecordOutcome notes whether the endpoint did what it was asked.
func (a *Agent) RecordOutcome(id string, success bool) {
	a.update(func() {
		if a.status.ID != id {
			return
		}
		a.outcomes.record(success, a.options.Now())
		a.status.FailurePercent = a.outcomes.failurePercent
	})
}

// Status returns what is known of the endpoint.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status
}
