package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout is the second of silence after which callers turn to another node.
const callTimeout = time.Second

// Answer is the answer to a call; Status is 0 if there was none.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// String returns what a record says of the answer.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d %s", a.Status, bytes.TrimSpace(a.Body))
}

// Field returns a number of a JSON body, or 0.
func (a Answer) Field(name string) uint64 {
	var fields map[string]json.Number
	if json.Unmarshal(a.Body, &fields) != nil {
		return 0
	}
	var n uint64
	_, _ = fmt.Sscan(fields[name].String(), &n)
	return n
}

// Call sends one request and reads its answer. Redirects (307) are followed twice, as
// the pages tell callers.
func Call(client *http.Client, method, url, body string, header http.Header) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	for name, values := range header {
		request.Header[name] = values
	}
	return do(client, request)
}

// NewCaller returns a client that follows two redirects.
func NewCaller() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableCompression: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
}

// PutConfiguration sends the first configuration until it is taken.
func (m *Mesh) PutConfiguration(configuration string) error {
	caller := NewCaller()
	turn := 0
	return WaitFor(15*time.Second, func() bool {
		core := m.Cores[turn%len(m.Cores)]
		turn++
		answer := Call(caller, http.MethodPut, "http://"+m.Control(core)+"/-/configuration", configuration, http.Header{"If-Match": {"0"}})
		return answer.Status == http.StatusOK
	})
}

// AwaitReady waits until a sidecar answers the readiness probe with 200.
func (m *Mesh) AwaitReady(p *Process) error {
	caller := NewCaller()
	return WaitFor(15*time.Second, func() bool {
		return Call(caller, http.MethodGet, "http://"+m.Ready(p)+"/-/readiness", "", nil).Status == http.StatusOK
	})
}
