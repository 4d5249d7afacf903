package proxy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shutdownPoll is how often a shutdown looks at what still runs. It is also
	// the wait before the exit: net/http flushes an answer just after its handler
	// has returned.
	shutdownPoll = 20 * time.Millisecond
	// inboundLead is how long before the end of the linger time the inbound chain
	// stops admitting requests.
	inboundLead = 500 * time.Millisecond
	// selectiveAfter is when requests are accepted only if they end in time. An
	// endpoint's silence excuses only those sent up to 3 s after the SIGTERM; the
	// rest is for the signal's way to this process.
	selectiveAfter = 3*time.Second - 50*time.Millisecond
	// closeLead is how long before the end of the grace period no more requests
	// are accepted.
	closeLead = 1800 * time.Millisecond
	// finalAnswerLead is how long before the end of the grace period requests
	// without an answer get one from this process. It is kept short, since an
	// endpoint may still answer, and long enough for a slowed machine to write.
	finalAnswerLead = 350 * time.Millisecond
	// exitLead is how long before the end of the grace period, and the SIGKILL,
	// the process exits whatever still runs.
	exitLead = 200 * time.Millisecond
)

// Shutdown is the graceful shutdown of a node that carries traffic, from the
// SIGTERM to the exit.
type Shutdown struct {
	// Grace is the time from the SIGTERM to the SIGKILL.
	Grace time.Duration
	// Linger is how long the node goes on serving at least: clients need a while
	// to go elsewhere.
	Linger   time.Duration
	Outbound *Outbound
	// Inbound is nil at a node without an endpoint beside it.
	Inbound *Inbound
	// StopInbound ends the admission of requests to that endpoint.
	StopInbound func()
}

type shutdownStage struct {
	at time.Duration
	do func()
}

// Run serves on and returns when the process should exit.
func (s Shutdown) Run() {
	start := time.Now()
	stages := s.stages(start)
	for {
		elapsed := time.Since(start)
		for len(stages) > 0 && elapsed >= stages[0].at {
			stages[0].do()
			stages = stages[1:]
		}
		if elapsed > s.Grace-exitLead || elapsed > s.Linger && s.closeIfIdle() {
			break
		}
		time.Sleep(shutdownPoll)
	}
	time.Sleep(shutdownPoll)
}

func (s Shutdown) stages(start time.Time) []shutdownStage {
	finalAnswers := s.Grace - finalAnswerLead
	stages := []shutdownStage{
		{0, s.Outbound.Drain},
		{selectiveAfter, func() { s.Outbound.RequireCompletionBy(start.Add(finalAnswers)) }},
		{s.Grace - closeLead, s.Outbound.StopAccepting},
		{finalAnswers, s.Outbound.pending.cancelAll},
	}
	if s.Inbound != nil {
		stages = append(stages,
			shutdownStage{s.Linger - inboundLead, s.stopInbound},
			shutdownStage{finalAnswers, s.Inbound.pending.cancelAll})
	}
	slices.SortStableFunc(stages, func(a, b shutdownStage) int { return cmp.Compare(a.at, b.at) })
	return stages
}

func (s Shutdown) stopInbound() {
	s.StopInbound()
	s.Inbound.Drain()
}

// closeIfIdle tells that no request is in flight and that none will be accepted.
// A request is counted as in flight before it is accepted, so that the second
// look finds any that came between the first one and the closing.
func (s Shutdown) closeIfIdle() bool {
	if !s.idle() {
		return false
	}
	s.Outbound.StopAccepting()
	return s.idle()
}

// idle tells that no request is in flight.
func (s Shutdown) idle() bool {
	return s.Outbound.InFlight.Load() == 0 && (s.Inbound == nil || s.Inbound.InFlight.Load() == 0)
}
