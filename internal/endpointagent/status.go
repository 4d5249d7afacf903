package endpointagent

import (
	"time"

	"corkcove/internal/lifecycle"
)

// Heartbeat is the state that an endpoint reports about itself.
type Heartbeat struct {
	// ID identifies the incarnation. A restarted endpoint has a new ID.
	ID string
	// Service is the name of the service that the endpoint belongs to.
	Service string
	// Addr is the host and port that the endpoint listens on.
	Addr string
	// Zone is the name of the endpoint's zone.
	Zone string
	// SoftwareVersion is the version of the endpoint's program.
	SoftwareVersion string
	// Slots is the number of requests that the endpoint serves concurrently.
	Slots int
	// State is lifecycle.Ready or lifecycle.Draining in a heartbeat. In a Status it can
	// also be lifecycle.Gone.
	State lifecycle.State
	// Warmup is the remaining time until the endpoint reaches its full speed.
	Warmup time.Duration
	// Seq increases with each heartbeat of an incarnation. A heartbeat with Seq 0 is
	// always accepted as in order.
	Seq uint64
}

// Status is the agent's view of the endpoint, which other nodes receive through the
// master.
type Status struct {
	// Heartbeat is the last heartbeat. Its State and Warmup are updated between
	// heartbeats.
	Heartbeat
	// Healthy is false after missed heartbeats or refused connections, until the next
	// heartbeat.
	Healthy bool
	// Known is true once the agent has received a heartbeat or a successful probe.
	Known bool
	// FailurePercent is the percentage of requests that had failed when the endpoint
	// was found to be failing, rounded down to a multiple of 20. It is 0 while the
	// endpoint is not failing.
	FailurePercent int
}

// differsFrom reports whether s differs from previous in a way that is relevant to other
// nodes. Of the warm-up, only its start and end are.
func (s Status) differsFrom(previous Status) bool {
	return s.ID != previous.ID || s.State != previous.State || s.Slots != previous.Slots ||
		s.Healthy != previous.Healthy || s.Known != previous.Known || s.FailurePercent != previous.FailurePercent ||
		(s.Warmup > 0) != (previous.Warmup > 0)
}
