// Package localreply has the responses that the mesh writes itself, where no
// endpoint's own response is passed on.
//
// A status code is a promise. 503, 429, 408 and 421 say that the request has not
// run and never will, so that a client may send it again; 502 and 504 say that
// it may have run.
//
// The package is a fixed table: it has no state and writes nothing to a client,
// which is for package proxy to do.
package localreply

import (
	"net/http"
	"time"
)

// Reply names a response that the mesh writes itself.
type Reply int

const (
	// NoRoute says that the configuration has no route for the request.
	NoRoute Reply = iota
	// NotReady says that this node has no configuration or view yet, or is
	// shutting down.
	NotReady
	// Malformed says that the request's target can't be served.
	Malformed
	// BodyTooLarge says that the request's body is over the configured limit.
	BodyTooLarge
	// NoEndpoint says that no endpoint could take the request.
	NoEndpoint
	// Expired says that the request's time was over before it reached an endpoint.
	Expired
	// Broken says that an endpoint that may have run the request gave no complete
	// response.
	Broken
	// TimedOut says that the request's time was over at an endpoint that may have
	// run it.
	TimedOut
	// BodyIncomplete says that the request's body broke off.
	BodyIncomplete
	// Forbidden says that the route's policy does not allow the request.
	Forbidden
	// ShuttingDown says that this node's process ends before the endpoint, which
	// may have run the request, has answered.
	ShuttingDown

	// Count is the number of replies.
	Count = int(iota)
)

const (
	// retryAfterStart is the least time after which a client is asked to retry
	// at a node that is not ready: a node needs about that long to become ready.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterBusy is the least time after which a client is asked to retry
	// where no endpoint had room.
	retryAfterBusy = 100 * time.Millisecond
)

// definition is what a reply looks like.
type definition struct {
	code       int
	retryAfter time.Duration
	text       string
}

var definitions = [Count]definition{
	NoRoute:        {code: http.StatusNotFound, text: "no binding"},
	NotReady:       {code: http.StatusServiceUnavailable, retryAfter: retryAfterStart, text: "not ready"},
	Malformed:      {code: http.StatusBadRequest, text: "malformed request"},
	BodyTooLarge:   {code: http.StatusRequestEntityTooLarge, text: "body too large"},
	NoEndpoint:     {code: http.StatusServiceUnavailable, retryAfter: retryAfterBusy, text: "no endpoint can take this now; it has not run"},
	Expired:        {code: http.StatusServiceUnavailable, retryAfter: retryAfterBusy, text: "out of time; it has not run"},
	Broken:         {code: http.StatusBadGateway, text: "the endpoint gave no whole answer; it may have run"},
	TimedOut:       {code: http.StatusGatewayTimeout, text: "out of time; it may have run"},
	BodyIncomplete: {code: http.StatusBadRequest, text: "the body did not arrive whole"},
	Forbidden:      {code: http.StatusForbidden, text: "the binding's policy bars this request"},
	ShuttingDown:   {code: http.StatusGatewayTimeout, text: "shutting down; it may have run"},
}

// Code returns the reply's status code.
func (r Reply) Code() int { return definitions[r].code }

// Text returns the reply's body.
func (r Reply) Text() string { return definitions[r].text }

// RetryAfter returns the least time after which the client is asked to retry, or
// 0 where it is not asked to.
func (r Reply) RetryAfter() time.Duration { return definitions[r].retryAfter }

// GuaranteesNotRun tells whether a status code says that the request has not run
// and never will.
func GuaranteesNotRun(code int) bool {
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
