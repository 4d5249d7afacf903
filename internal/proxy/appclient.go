package proxy

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// freshConnectionPeriod is how long new connections are used for requests that
// must not run twice after a reused one was reset.
const freshConnectionPeriod = 12 * time.Second

// maxDeclinedBodyBytes is how much of the response of an endpoint that declined a
// request is read.
const maxDeclinedBodyBytes = 4 << 10

// AppClient sends requests to endpoints. A reset on a connection that was used
// before proves nothing about the request sent on it; once one was seen, what
// must not run twice goes on new connections for a while. It is safe for
// concurrent use.
type AppClient struct {
	pooled    http.RoundTripper
	fresh     http.RoundTripper
	closeIdle func()
	// freshUntil is the Unix time in nanoseconds until which new connections are
	// used.
	freshUntil atomic.Int64
}

// NewAppClient returns a client that keeps connections with the pooled
// transport, and none with the fresh one.
func NewAppClient(pooled, fresh *http.Transport) *AppClient {
	fresh.DisableKeepAlives = true
	return &AppClient{pooled: pooled, fresh: fresh, closeIdle: pooled.CloseIdleConnections}
}

// callOutcome is how the call of an endpoint ended.
type callOutcome int

const (
	// callAnswered calls brought the endpoint's response.
	callAnswered callOutcome = iota
	// callNotSent calls failed before the request was written.
	callNotSent
	// callDialFailed calls found no connection.
	callDialFailed
	// callDeclined calls were answered that the request has not run.
	callDeclined
	// callFailed calls failed once the request may have been read.
	callFailed
)

// send returns the endpoint's response, or what is known of a request without
// one. With callDeclined there are a response, whose body is closed, and an
// error.
func (c *AppClient) send(r *http.Request, requestID string, idempotent bool) (*http.Response, callOutcome, error) {
	var sent, reused atomic.Bool
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
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
		return response, callDeclined, Error.New("%s", strconv.Itoa(response.StatusCode))
	}
	if reason := invalidReason(response, requestID, idempotent); reason != "" {
		closeBody(response)
		c.closeIdle()
		return nil, callFailed, Error.New("%s", reason)
	}
	return response, callAnswered, nil
}

func (c *AppClient) transport(idempotent bool) http.RoundTripper {
	if !idempotent && time.Now().UnixNano() < c.freshUntil.Load() {
		return c.fresh
	}
	return c.pooled
}

// isDeclined tells that an endpoint says that it has not run the request.
func isDeclined(response *http.Response, requestID string) bool {
	if response.Header.Get(headerRequestID) != requestID {
		return false
	}
	_, notRun := response.Header[headerNotRun]
	return notRun && response.StatusCode >= 400 || response.StatusCode == http.StatusMisdirectedRequest
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
