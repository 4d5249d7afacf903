package retry

// Outcome is how one attempt ended.
type Outcome int

const (
	// Answered attempts got the endpoint's own complete response.
	Answered Outcome = iota
	// Rejected attempts were refused by the node beside the endpoint, or did not
	// reach it: the endpoint has not seen them.
	Rejected
	// Unreachable attempts found no connection to the endpoint.
	Unreachable
	// Declined attempts reached the endpoint, which said that it has not run the
	// request.
	Declined
	// Failed attempts broke off; the request may have run.
	Failed
	// TimedOut attempts were still under way when the request's time was over;
	// the request may have run.
	TimedOut
	// Canceled attempts were given up because the client left.
	Canceled
)

// outcomeNames are the outcomes as request records keep them.
var outcomeNames = [...]string{
	Answered:    "ran",
	Rejected:    "bounced",
	Unreachable: "unmet",
	Declined:    "turned away",
	Failed:      "unsure",
	TimedOut:    "late",
	Canceled:    "quit",
}

// String returns the outcome as request records keep it.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome reads an outcome from a request record.
func ParseOutcome(name string) (Outcome, bool) {
	for o, n := range outcomeNames {
		if n == name {
			return Outcome(o), true
		}
	}
	return 0, false
}
