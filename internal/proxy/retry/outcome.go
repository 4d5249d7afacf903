package retry

// Outcome is the result of one attempt.
type Outcome int

const (
	// Answered means that the endpoint itself sent a valid response.
	Answered Outcome = iota
	// Rejected means that the sidecar of the endpoint refused the attempt, could
	// not be reached or could not reach the endpoint. The endpoint has not seen
	// the request.
	Rejected
	// Unreachable means that an endpoint without a sidecar could not be connected
	// to, or that the request was not sent on the connection.
	Unreachable
	// Declined means that the endpoint received the request and stated that it has
	// not run it.
	Declined
	// Failed means that the attempt ended without a usable response. The request
	// may have run.
	Failed
	// TimedOut means that the attempt was still in progress at the request's
	// deadline. The request may have run.
	TimedOut
	// Canceled means that the client disconnected during the attempt.
	Canceled
)

// outcomeNames are the names of the outcomes in stored request records and
// replay files.
var outcomeNames = [...]string{
	Answered:    "ran",
	Rejected:    "bounced",
	Unreachable: "unmet",
	Declined:    "turned away",
	Failed:      "unsure",
	TimedOut:    "late",
	Canceled:    "quit",
}

// String returns the name of the outcome in request records.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome returns the outcome with the given name in request records, and
// false if there is none.
func ParseOutcome(name string) (Outcome, bool) {
	for o, n := range outcomeNames {
		if n == name {
			return Outcome(o), true
		}
	}
	return 0, false
}
