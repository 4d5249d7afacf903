package proxy

import (
	"cmp"
	"slices"
	"time"

	"corkcove/internal/logring"
)

const (
	// shutdownPollInterval is the interval at which a shutdown checks for requests in
	// flight. It is also the delay before the exit, because net/http flushes a response
	// just after its handler has returned.
	shutdownPollInterval = 20 * time.Millisecond
	// inboundStopMargin is the time before the end of the linger time at which the inbound
	// chain stops admitting requests.
	inboundStopMargin = 500 * time.Millisecond
	// selectiveAcceptDelay is the time after the SIGTERM after which the outbound
	// chain accepts only requests whose deadlines come before the final replies. A
	// missing response is excused as the endpoint's failure only if the request was sent
	// within 3 s of the SIGTERM.
	selectiveAcceptDelay = 3*time.Second - signalDelayMargin
	// signalDelayMargin allows for the time until this process notices the SIGTERM. A
	// processor quota may hold it up for nearly a whole period of 100 ms.
	signalDelayMargin = 100 * time.Millisecond
	// stopAcceptingMargin is the time before the end of the grace period at which the
	// outbound chain stops accepting requests.
	stopAcceptingMargin = 1800 * time.Millisecond
	// finalReplyMargin is the time before the end of the grace period at which this
	// process itself replies to the requests that have no response yet. It is short
	// because endpoints may still respond, but leaves a slow machine enough time to write
	// the replies.
	finalReplyMargin = 350 * time.Millisecond
	// exitMargin is the time before the end of the grace period, and so before the
	// SIGKILL, at which the process exits even if requests are in flight.
	exitMargin = 200 * time.Millisecond
)

// Shutdown performs the graceful shutdown of a gateway or sidecar, from the SIGTERM to
// the exit of the process.
type Shutdown struct {
	// Grace is the time from the SIGTERM to the SIGKILL.
	Grace time.Duration
	// Linger is the minimum time for which the node continues to serve. Clients need it to
	// switch to other nodes.
	Linger time.Duration
	// Outbound is the node's outbound chain.
	Outbound *Outbound
	// Inbound is the node's inbound chain, or nil if there is no endpoint next to the
	// node.
	Inbound *Inbound
	// StopInbound stops the admission of requests to that endpoint. It is not called
	// if Inbound is nil.
	StopInbound func()
	// Log receives the shutdown's log entries.
	Log logring.Logger
}

// shutdownStage is an action that a shutdown performs at a given time.
type shutdownStage struct {
	// at is the time since the start of the shutdown.
	at time.Duration
	do func()
}

// Run performs the shutdown and returns when the process should exit: once Linger has
// passed and no request is in flight, but at the latest about exitMargin before the end
// of the grace period. It must be called right after the SIGTERM. It returns how many
// requests it canceled because their endpoints had not responded in time.
func (s Shutdown) Run() (canceled int) {
	start := time.Now()
	s.Log.Info("shutting down", "grace", s.Grace, "inFlight", s.Outbound.InFlight.Load())
	stages := s.stages(start, &canceled)
	for {
		elapsed := time.Since(start)
		for len(stages) > 0 && elapsed >= stages[0].at {
			stages[0].do()
			stages = stages[1:]
		}
		if elapsed > s.Grace-exitMargin || elapsed > s.Linger && s.closeIfIdle() {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	time.Sleep(shutdownPollInterval)
	return canceled
}

// stages returns the actions of the shutdown, ordered by time. They add the number of
// requests that they cancel to canceled.
func (s Shutdown) stages(start time.Time, canceled *int) []shutdownStage {
	finalReplyAt := s.Grace - finalReplyMargin
	stages := []shutdownStage{
		{0, func() {
			s.Outbound.RequireCompletionBy(start.Add(selectiveAcceptDelay), start.Add(finalReplyAt))
			s.Outbound.Drain()
		}},
		{s.Grace - stopAcceptingMargin, s.Outbound.StopAccepting},
		{finalReplyAt, func() { *canceled += s.cancelPending("outbound", &s.Outbound.pending) }},
	}
	if s.Inbound != nil {
		stages = append(stages,
			shutdownStage{s.Linger - inboundStopMargin, s.stopInbound},
			shutdownStage{finalReplyAt, func() { *canceled += s.cancelPending("inbound", &s.Inbound.pending) }})
	}
	slices.SortStableFunc(stages, func(a, b shutdownStage) int { return cmp.Compare(a.at, b.at) })
	return stages
}

// cancelPending cancels a chain's pending requests and returns how many there were. It
// logs that number, the age of the newest request and the time that this one had left
// until its deadline.
func (s Shutdown) cancelPending(chain string, pending *pendingRequests) int {
	canceled := pending.cancelAll()
	if canceled.count == 0 {
		return 0
	}
	newest := canceled.newest
	s.Log.Warn("canceled pending requests", "chain", chain, "count", canceled.count, "route", newest.route,
		"newestAge", time.Since(newest.started), "remaining", time.Until(newest.deadline))
	return canceled.count
}

// stopInbound stops the admission of requests to the endpoint and asks other nodes to
// stop using their connections to this one.
func (s Shutdown) stopInbound() {
	s.StopInbound()
	s.Inbound.Drain()
}

// closeIfIdle stops accepting requests if none is in flight, and reports whether there
// still is none after that. A request is counted in InFlight before it is accepted, so
// the second check sees any that arrived between the first one and StopAccepting.
func (s Shutdown) closeIfIdle() bool {
	if !s.idle() {
		return false
	}
	s.Outbound.StopAccepting()
	return s.idle()
}

// idle reports whether no request is in flight.
func (s Shutdown) idle() bool {
	return s.Outbound.InFlight.Load() == 0 && (s.Inbound == nil || s.Inbound.InFlight.Load() == 0)
}
