package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// countingTransport answers each request with a valid response and counts them.
type countingTransport struct {
	calls int
}

func (c *countingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.calls++
	return &http.Response{StatusCode: 200, Header: http.Header{headerRequestID: {"r"}, headerSeal: {"s"}}, Body: http.NoBody}, nil
}

// The test sets freshUntil, as send does after the reset of a reused connection.
func TestNewConnectionsAfterAReusedOneWasReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pooled, fresh := &countingTransport{}, &countingTransport{}
		client := &AppClient{pooled: pooled, fresh: fresh, closeIdle: func() {}}
		send := func(idempotent bool) {
			r, err := http.NewRequest("POST", "http://a/", nil)
			qt.Assert(t, err, qt.IsNil)
			_, outcome, err := client.send(r, "r", idempotent)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, outcome, qt.Equals, callAnswered)
		}
		send(false)
		qt.Assert(t, []int{pooled.calls, fresh.calls}, qt.DeepEquals, []int{1, 0})
		client.freshUntil.Store(time.Now().Add(freshConnectionPeriod).UnixNano())
		send(false)
		send(true)
		qt.Assert(t, []int{pooled.calls, fresh.calls}, qt.DeepEquals, []int{2, 1})
		<-time.After(freshConnectionPeriod + time.Second)
		send(false)
		qt.Assert(t, []int{pooled.calls, fresh.calls}, qt.DeepEquals, []int{3, 1})
	})
}
