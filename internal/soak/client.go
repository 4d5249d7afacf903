package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	// silenceLimit is the timeout of an attempt.
	silenceLimit = time.Second
	// maxRedirects is the number of redirects that a caller follows.
	maxRedirects = 2
	// maxAnswerBytes limits what is read of an answer.
	maxAnswerBytes = 1 << 16
)

// client sends the attempts of one caller and records them.
type client struct {
	caller  string
	http    *http.Client
	history *History
	start   time.Time
}

// newClient returns a client that keeps connections open, or opens one for each attempt.
func newClient(caller string, keepAlive bool, history *History, start time.Time) *client {
	transport := &http.Transport{DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 1}
	redirect := func(_ *http.Request, via []*http.Request) error {
		if len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	}
	return &client{caller, &http.Client{Transport: transport, CheckRedirect: redirect, Timeout: silenceLimit}, history, start}
}

// requestBody is the body of a request.
type requestBody struct {
	Owner        string  `json:"holderId,omitempty"`
	TTLSeconds   float64 `json:"holdS,omitempty"`
	FencingToken uint64  `json:"fenceNo,omitempty"`
	Payload      string  `json:"payload,omitempty"`
}

// answerBody is the body of a successful answer.
type answerBody struct {
	FencingToken uint64 `json:"fenceNo"`
	Revision     uint64 `json:"revision"`
	// Payload is a number or the text of a cell.
	Payload json.RawMessage `json:"payload"`
}

// addTo completes a successful attempt.
func (b answerBody) addTo(a *Attempt) error {
	switch a.Operation {
	case Acquire:
		a.Token = b.FencingToken
	case Number:
		return json.Unmarshal(b.Payload, &a.Value)
	case Put:
		a.Value = b.Revision
	case Get:
		a.Value = b.Revision
		return json.Unmarshal(b.Payload, &a.Payload)
	}
	return nil
}

// methods maps each operation to its method and path.
var methods = map[Operation]struct{ method, path string }{
	Acquire: {http.MethodPost, "/-/locks/"},
	Renew:   {http.MethodPut, "/-/locks/"},
	Release: {http.MethodDelete, "/-/locks/"},
	Number:  {http.MethodPost, "/-/numbers/"},
	Put:     {http.MethodPut, "/-/cells/"},
	Get:     {http.MethodGet, "/-/cells/"},
}

// send sends an attempt to a member, completes it with the answer, and records it. ttl
// and token are those of the attempt.
func (c *client) send(ctx context.Context, target *member, a Attempt) Attempt {
	a.Caller, a.Member = c.caller, target.name
	var body requestBody
	switch a.Operation {
	case Acquire, Renew, Release:
		body = requestBody{Owner: c.caller, TTLSeconds: a.TTL.Seconds(), FencingToken: a.Token}
	case Put:
		body = requestBody{Payload: a.Payload}
	}
	// A struct of strings and numbers is always encodable.
	data, _ := json.Marshal(body)
	call := methods[a.Operation]
	a.SentAt = time.Since(c.start)
	a = c.exchange(ctx, a, call.method, "http://"+target.controlAddress()+call.path+a.Name, data)
	c.history.Add(a)
	return a
}

// exchange sends the request and adds the answer to the attempt.
func (c *client) exchange(ctx context.Context, a Attempt, method, url string, body []byte) Attempt {
	if method == http.MethodGet {
		body = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return a
	}
	// Without GetBody the transport sends each request at most once.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return a
	}
	a.AnsweredAt, a.Status = time.Since(c.start), response.StatusCode
	var answer answerBody
	if a.Status != statusOK {
		return a
	}
	if json.Unmarshal(data, &answer) != nil || answer.addTo(&a) != nil {
		// An answer that cannot be read counts as none.
		a.AnsweredAt, a.Status = 0, 0
	}
	return a
}
