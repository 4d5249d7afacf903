package endpointagent

import (
	"time"

	"corkcove/internal/lifecycle"
)

// Heartbeat is what an endpoint says of itself.
type Heartbeat struct {
	// ID names the incarnation; an endpoint that restarts has another.
	ID      string
	Service string
	Addr    string
	Zone    string
	// SoftwareVersion is the version of the endpoint's program.
	SoftwareVersion string
	// Slots is how many requests the endpoint serves at once.
	Slots int
	// State is lifecycle.Ready or lifecycle.Draining.
	State lifecycle.State
	// Warmup is how long the endpoint still needs to reach its full speed.
	Warmup time.Duration
	// Seq rises with each heartbeat of one incarnation; 0 is never out of order.
	Seq uint64
}

// Status is what other nodes are told about the endpoint.
type Status struct {
	Heartbeat
	// Healthy is false while heartbeats are missing or connections are refused.
	Healthy bool
	// Known tells that there is an endpoint at all.
	Known bool
	// FailurePercent is the share of its recent requests that the endpoint
	// failed; 0 while it does well enough.
	FailurePercent int
}

// differsFrom tells whether other nodes would act on the difference between the
// two.
func (s Status) differsFrom(previous Status) bool {
	return s.ID != previous.ID || s.State != previous.State || s.Slots != previous.Slots ||
		s.Healthy != previous.Healthy || s.Known != previous.Known || s.FailurePercent != previous.FailurePercent ||
		(s.Warmup > 0) != (previous.Warmup > 0)
}
