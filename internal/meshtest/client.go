package meshtest

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is what all requests of a test mesh name in their Host header.
const host = "a"

// Response is what a user agent received.
type Response struct {
	RequestID  string
	StatusCode int
	Body       string
	// Took is the time until the response's header.
	Took time.Duration
	// RetryAfter is the header of this name.
	RetryAfter string
	// Failed tells that there was no response, or that it broke off.
	Failed bool
}

// Send sends one request to a node over a connection of its own, under the next
// request ID. An empty session sends none.
func (m *Mesh) Send(n *Node, method, path, session string, deadline time.Duration) Response {
	response := Response{RequestID: fmt.Sprintf("q%d", m.lastRequest.Add(1))}
	request, err := http.NewRequest(method, "http://"+outboundAddress(n.Endpoint.ID)+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(requestIDHeader, response.RequestID)
	request.Header.Set(deadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	if session != "" {
		request.Header.Set(sessionHeader, session)
	}
	transport := m.Network.Transport()
	transport.DisableKeepAlives = true
	start := time.Now()
	received, err := transport.RoundTrip(request)
	response.Took = time.Since(start)
	if err != nil {
		response.Failed = true
		return response
	}
	defer func() { _ = received.Body.Close() }() // what it could tell, ReadAll has told
	body, err := io.ReadAll(received.Body)
	response.StatusCode, response.Body = received.StatusCode, string(body)
	response.RetryAfter, response.Failed = received.Header.Get("Retry-After"), err != nil
	return response
}
