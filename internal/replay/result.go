package replay

import (
	"fmt"
	"strings"
	"time"

	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
)

// Attempt is one attempt of a request at an endpoint.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Outcome is the name of the attempt's retry.Outcome.
	Outcome string `json:"fate"`
	// AtMs is when the attempt began, counted from the request's arrival.
	AtMs   int64 `json:"atMs"`
	TookMs int64 `json:"tookMs"`
	// FromModel tells that the recording has no such attempt.
	FromModel bool `json:"fromModel,omitempty"`
	outcome   retry.Outcome
	code      int
}

// mayHaveRun tells that the endpoint ran the request, or may have.
func (a Attempt) mayHaveRun() bool {
	switch a.outcome {
	case retry.Answered, retry.Failed, retry.TimedOut, retry.Canceled:
		return true
	}
	return false
}

// Result is how one request ended in one simulation.
type Result struct {
	Route   string `json:"binding"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Code is the HTTP status, 0 if the client left before it got one.
	Code     int       `json:"code"`
	TookMs   int64     `json:"tookMs"`
	Attempts []Attempt `json:"dispatches"`
	// FromModel tells that something in it was not in the recording.
	FromModel bool `json:"fromModel"`
	// SessionEndpoint is the endpoint that the request's session is assigned to.
	SessionEndpoint string `json:"-"`

	kind          routeconfig.RouteKind
	latencyTarget time.Duration
	// timeLimit is how long the request might take, 0 if it ended before that was
	// known.
	timeLimit  time.Duration
	took       time.Duration
	clientGone bool
	// answered tells that the response is an endpoint's own.
	answered bool
}

// String returns the result as reports show it.
func (r Result) String() string {
	if len(r.Attempts) == 0 {
		return fmt.Sprintf("%d in %d ms (nowhere)", r.Code, r.TookMs)
	}
	return fmt.Sprintf("%d in %d ms (%s)", r.Code, r.TookMs, attemptsText(r.Attempts))
}

func attemptsText(attempts []Attempt) string {
	var words []string
	for _, a := range attempts {
		words = append(words, a.Endpoint+" "+a.Outcome)
	}
	return strings.Join(words, ", ")
}
