package meshtest

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// requestHost is the Host header of all requests.
const requestHost = "a"

// Response is the outcome of a request as its user agent sees it.
type Response struct {
	// RequestID is the ID under which the request was sent.
	RequestID string
	// StatusCode is the HTTP status, or 0 if no response header arrived.
	StatusCode int
	// Body is the part of the response body that arrived.
	Body string
	// Latency is the time from sending the request to the arrival of the response
	// header, or to the error if none arrived.
	Latency time.Duration
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	// Failed reports that there was no response or that its body was truncated.
	Failed bool
}

// Send sends a request with an empty body to the outbound listener of a node, over a
// new connection and with a new request ID. The deadline is only sent as a header;
// Send does not enforce it. If session is empty, the session header is omitted.
// Errors of the transport are reported by Response.Failed. Send panics if method or
// path is invalid.
func (m *Mesh) Send(n *Node, method, path, session string, deadline time.Duration) Response {
	response := Response{RequestID: fmt.Sprintf("q%d", m.lastRequest.Add(1))}
	request, err := http.NewRequest(method, "http://"+outboundAddress(n.Endpoint.ID)+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = requestHost
	request.Header.Set(requestIDHeader, response.RequestID)
	request.Header.Set(deadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	if session != "" {
		request.Header.Set(sessionHeader, session)
	}
	transport := m.Network.Transport()
	transport.DisableKeepAlives = true
	start := time.Now()
	received, err := transport.RoundTrip(request)
	response.Latency = time.Since(start)
	if err != nil {
		response.Failed = true
		return response
	}
	defer func() { _ = received.Body.Close() }() // read errors are returned by io.ReadAll
	body, err := io.ReadAll(received.Body)
	response.StatusCode, response.Body = received.StatusCode, string(body)
	response.RetryAfter, response.Failed = received.Header.Get("Retry-After"), err != nil
	return response
}
