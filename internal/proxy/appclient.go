package proxy

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// freshConnectionPeriod is the time after the reset of a reused connection during which
// requests that must not run twice are sent on new connections.
const freshConnectionPeriod = 12 * time.Second

// maxDeclinedBodyBytes is the maximum number of bytes that are read of a response's body
// if its endpoint declined the request.
const maxDeclinedBodyBytes = 4 << 10

// AppClient sends requests to endpoints. If a reused connection is reset, the request
// sent on it may or may not have run. After such a reset the client sends requests
// that must not run twice on new connections for a while. It is safe for concurrent
// use.
type AppClient struct {
	// pooled reuses connections.
	pooled http.RoundTripper
	// fresh uses a new connection for each request.
	fresh http.RoundTripper
	// closeIdle closes the idle connections of pooled.
	closeIdle func()
	// freshUntil is the Unix time in nanoseconds until which requests that must not
	// run twice use fresh.
	freshUntil atomic.Int64
}

// NewAppClient returns a client that reuses connections of the pooled transport and
// opens new ones with the fresh transport, whose keep-alives it disables.
func NewAppClient(pooled, fresh *http.Transport) *AppClient {
	fresh.DisableKeepAlives = true
	return &AppClient{pooled: pooled, fresh: fresh, closeIdle: pooled.CloseIdleConnections}
}

// callOutcome is the result of AppClient.send.
type callOutcome int

const (
	// callAnswered means that the endpoint's response was received and accepted.
	callAnswered callOutcome = iota
	// callNotSent means that the call failed before the request was written.
	callNotSent
	// callDialFailed means that no connection could be established.
	callDialFailed
	// callDeclined means that the endpoint responded that it has not run the request.
	callDeclined
	// callFailed means that the endpoint may have received the request, but its
	// response is missing or was not accepted.
	callFailed
)

// send sends a request to an endpoint. With callAnswered it returns the response, whose
// body the caller must close. With callDeclined it returns the response, whose body is
// closed, and an error, and with the other outcomes only an error. A response without
// requestID as its request ID is not accepted.
func (c *AppClient) send(r *http.Request, requestID string, idempotent bool) (*http.Response, callOutcome, error) {
	var sent, reused atomic.Bool
	ctx, length := r.Context(), r.ContentLength
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused.Store(info.Reused)
			extendUserTimeout(ctx, info.Conn, length)
		},
		WroteHeaders: func() { sent.Store(true) },
	}))
	response, err := c.transport(idempotent).RoundTrip(r)
	if err != nil {
		if sent.Load() && reused.Load() && r.Context().Err() == nil {
			c.freshUntil.Store(time.Now().Add(freshConnectionPeriod).UnixNano())
		}
		switch {
		case sent.Load():
			return nil, callFailed, err
		case isDialError(err):
			return nil, callDialFailed, err
		}
		return nil, callNotSent, err
	}
	if isDeclined(response, requestID) {
		discard(response, maxDeclinedBodyBytes)
		return response, callDeclined, Error.New("endpoint declined the request with status %d", response.StatusCode)
	}
	if reason := invalidReason(response, requestID, idempotent); reason != "" {
		closeBody(response)
		c.closeIdle()
		return nil, callFailed, Error.New("%s", reason)
	}
	return response, callAnswered, nil
}

// transport returns the transport for a request.
func (c *AppClient) transport(idempotent bool) http.RoundTripper {
	if !idempotent && time.Now().UnixNano() < c.freshUntil.Load() {
		return c.fresh
	}
	return c.pooled
}

// isDeclined reports whether an endpoint responded that it has not run the request: with
// headerNotRun and a status of 400 or above, or with 421 Misdirected Request.
func isDeclined(response *http.Response, requestID string) bool {
	if response.Header.Get(headerRequestID) != requestID {
		return false
	}
	_, notRun := response.Header[headerNotRun]
	return notRun && response.StatusCode >= 400 || response.StatusCode == http.StatusMisdirectedRequest
}

// isDialError reports whether err means that no connection could be established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
