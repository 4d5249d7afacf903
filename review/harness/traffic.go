package harness

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Sent is one request of a client, with its answer.
type Sent struct {
	ID             string
	SentAt, DoneAt time.Time
	Answer         Answer
}

// Sealed reports whether an endpoint's own answer came back.
func (s Sent) Sealed() bool { return s.Answer.Header.Get("X-Server-Seal") != "" }

// Request is a request that a client on a sidecar's machine sends.
type Request struct {
	// Sidecar is the sidecar of the machine.
	Sidecar *Process
	// Method, Host, Target and Body are those of the request; Header holds further headers.
	Method, Host, Target, Body string
	Header                     http.Header
	// ID is the X-Request-Id.
	ID string
	// Deadline is how long the client waits.
	Deadline time.Duration
}

// NewClient returns a client that opens a new connection for each request.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
}

// Send sends a request to the outboundAddr of a sidecar, as the clients on its machine
// do, and waits for the answer until the deadline.
func (m *Mesh) Send(client *http.Client, r Request) Sent {
	sent := Sent{ID: r.ID, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.Outbound(r.Sidecar)+r.Target, bytes.NewReader([]byte(r.Body)))
	if err == nil {
		request.Host = r.Host
		for name, values := range r.Header {
			request.Header[name] = values
		}
		request.Header.Set("X-Request-Id", r.ID)
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
		sent.Answer = do(client, request)
	} else {
		sent.Answer = Answer{Err: err}
	}
	sent.DoneAt = time.Now()
	return sent
}

func do(client *http.Client, request *http.Request) Answer {
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: data, Err: err}
}
