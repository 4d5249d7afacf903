package replay

import (
	"fmt"
	"strings"
	"time"

	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
)

// Attempt is one attempt to send a request to an endpoint.
type Attempt struct {
	// Endpoint is the ID of the endpoint, Service the name of its service.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Outcome is the name of the attempt's retry.Outcome.
	Outcome string `json:"fate"`
	// AtMs is the time from the request's arrival to the start of the attempt, TookMs
	// the duration of the attempt, both in milliseconds.
	AtMs   int64 `json:"atMs"`
	TookMs int64 `json:"tookMs"`
	// FromModel is true if the attempt is not in the recording.
	FromModel bool `json:"fromModel,omitempty"`
	outcome   retry.Outcome
	code      int
}

// mayHaveRun reports whether the endpoint has processed, or may have processed, the
// request.
func (a Attempt) mayHaveRun() bool {
	switch a.outcome {
	case retry.Answered, retry.Failed, retry.TimedOut, retry.Canceled:
		return true
	}
	return false
}

// Result is the outcome of one request in one simulation.
type Result struct {
	// Route is the name of the matched route, Kind its kind and Service the service
	// that the request goes to. Each is empty if the request ended before it was
	// determined, for example because no route matched.
	Route   string `json:"binding"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Code is the HTTP status, or 0 if the client disconnected before the response.
	Code int `json:"code"`
	// TookMs is the time from the request's arrival to its end, in milliseconds.
	TookMs int64 `json:"tookMs"`
	// Attempts lists the attempts in the order in which they ended.
	Attempts []Attempt `json:"dispatches"`
	// FromModel is true if the result depends on data that is not in the recording.
	FromModel bool `json:"fromModel"`
	// SessionEndpoint is the ID of the endpoint that the request's session is
	// assigned to.
	SessionEndpoint string `json:"-"`

	kind          routeconfig.RouteKind
	latencyTarget time.Duration
	// timeLimit is the maximum duration of the request, or 0 if the request ended
	// before the limit was determined.
	timeLimit  time.Duration
	took       time.Duration
	clientGone bool
	// answered is true if the response came from an endpoint, not from the node.
	answered bool
}

// String returns the status, the duration and the attempts as reports show them.
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
