// Package localreply defines the responses that the mesh generates itself when it
// does not forward a response of an endpoint.
//
// The status code guarantees whether the request has run. 503, 429, 408 and 421
// mean that the request has not run and never will, so that the client may safely
// retry it; 502 and 504 mean that it may have run.
//
// The package is a constant table without state. Package proxy writes the
// responses to clients.
package localreply

import (
	"net/http"
	"time"
)

// Reply identifies a response that the mesh generates itself.
type Reply int

const (
	// NoRoute means that no route of the configuration matches the request.
	NoRoute Reply = iota
	// NotReady means that this node has no configuration or view yet, or is
	// shutting down.
	NotReady
	// Malformed means that the request's target is invalid.
	Malformed
	// BodyTooLarge means that the request's body exceeds the configured limit.
	BodyTooLarge
	// NoEndpoint means that no endpoint accepted the request.
	NoEndpoint
	// Expired means that the deadline passed before the request reached an endpoint.
	Expired
	// InvalidResponse means that an endpoint that may have run the request sent no
	// valid complete response.
	InvalidResponse
	// TimedOut means that the deadline passed while an endpoint may have been running
	// the request.
	TimedOut
	// BodyIncomplete means that the request's body ended early or could not be read.
	BodyIncomplete
	// Forbidden means that the route's policy denies the request.
	Forbidden
	// ShuttingDown means that this node's process exits before the endpoint, which
	// may have run the request, has responded.
	ShuttingDown

	// Count is the number of replies.
	Count = int(iota)
)

const (
	// retryAfterNotReady is the minimum delay before clients retry at a node that is
	// not ready. A node needs about this long to become ready.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterNoCapacity is the minimum delay before clients retry if no endpoint
	// accepted the request (NoEndpoint) or the deadline passed before the request
	// reached one (Expired).
	retryAfterNoCapacity = 100 * time.Millisecond
)

// definition is the content of a reply.
type definition struct {
	code int
	// retryAfter is the minimum delay of a retry, or 0 if the reply suggests none.
	retryAfter time.Duration
	// text is the body.
	text string
}

// definitions holds the content of each reply. Clients receive the texts as
// response bodies.
var definitions = [Count]definition{
	NoRoute:         {code: http.StatusNotFound, text: "no binding"},
	NotReady:        {code: http.StatusServiceUnavailable, retryAfter: retryAfterNotReady, text: "not ready"},
	Malformed:       {code: http.StatusBadRequest, text: "malformed request"},
	BodyTooLarge:    {code: http.StatusRequestEntityTooLarge, text: "body too large"},
	NoEndpoint:      {code: http.StatusServiceUnavailable, retryAfter: retryAfterNoCapacity, text: "no endpoint can take this now; it has not run"},
	Expired:         {code: http.StatusServiceUnavailable, retryAfter: retryAfterNoCapacity, text: "out of time; it has not run"},
	InvalidResponse: {code: http.StatusBadGateway, text: "the endpoint gave no whole answer; it may have run"},
	TimedOut:        {code: http.StatusGatewayTimeout, text: "out of time; it may have run"},
	BodyIncomplete:  {code: http.StatusBadRequest, text: "the body did not arrive whole"},
	Forbidden:       {code: http.StatusForbidden, text: "the binding's policy bars this request"},
	ShuttingDown:    {code: http.StatusGatewayTimeout, text: "shutting down; it may have run"},
}

// Code returns the reply's HTTP status code.
func (r Reply) Code() int { return definitions[r].code }

// Text returns the reply's body.
func (r Reply) Text() string { return definitions[r].text }

// RetryAfter returns the minimum delay before the client should retry, or 0 if the
// reply suggests no retry.
func (r Reply) RetryAfter() time.Duration { return definitions[r].retryAfter }

// GuaranteesNotRun reports whether an HTTP status code guarantees that the request
// has not run and never will.
func GuaranteesNotRun(code int) bool {
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
