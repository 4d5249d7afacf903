package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakePlatform is an HTTP transport that returns a page by its token, or the status if
// one is set.
type fakePlatform struct {
	pages    map[string]string
	status   int
	requests int
}

func (p *fakePlatform) RoundTrip(request *http.Request) (*http.Response, error) {
	p.requests++
	recorder := httptest.NewRecorder()
	if p.status != 0 {
		recorder.WriteHeader(p.status)
	} else {
		_, _ = recorder.WriteString(p.pages[request.URL.Query().Get("pageToken")])
	}
	return recorder.Result(), nil
}

const columns = `"columnNames":["serviceName","address","siteName","stamp","slotCount","state","coldLeftS","id"]`

// pageJSON returns a page; nextToken and rows are JSON text.
func pageJSON(nextToken, rows string) string {
	return fmt.Sprintf(`{"instanceList":{%s,"rowList":[%s]},"nextToken":%s}`, columns, rows, nextToken)
}

// newTestClient returns a client whose clock advances only while it sleeps, and the
// total time slept.
func newTestClient(p *fakePlatform) (client *Client, slept *time.Duration) {
	client = New(Options{Address: "10.0.0.1:80", RequestsPerSecond: 50, HTTPClient: &http.Client{Transport: p}})
	now, slept := time.Unix(0, 0), new(time.Duration)
	client.now = func() time.Time { return now }
	client.sleep = func(_ context.Context, d time.Duration) error {
		now = now.Add(d)
		*slept += d
		return nil
	}
	return client, slept
}

func isMaster() bool { return true }

func TestListReadsAllPagesWithinRateLimit(t *testing.T) {
	p := &fakePlatform{pages: map[string]string{
		"":    pageJSON(`"p-1"`, `["s","10.0.0.2:80","z","v1",6,"ready",1.5,"i-1"],["s","10.0.0.3:80","z","v1",6,"draining",null,"i-2"]`),
		"p-1": pageJSON(`null`, `["s","10.0.0.4:80","z","v1",6,"ready",0,"i-3"]`),
	}}
	client, slept := newTestClient(p)
	for range 3 {
		endpoints, err := client.List(context.Background(), isMaster)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(endpoints), qt.Equals, 3)
		qt.Assert(t, endpoints[0].WarmupMs, qt.Equals, uint64(1500))
		qt.Assert(t, endpoints[1].State, qt.Equals, "draining")
	}
	qt.Assert(t, *slept >= 5*40*time.Millisecond, qt.IsTrue, qt.Commentf("6 requests at half of 50/s in %v", *slept))
}

// Guards against a view that cannot be sent, and requests that cannot be addressed, because
// of one row.
func TestRowsThatNoMessageCanCarryAreSkipped(t *testing.T) {
	p := &fakePlatform{pages: map[string]string{"": pageJSON(`null`,
		"[\"s\",\"10.0.0.2:80\",\"z\xe9\",\"v1\",6,\"ready\",0,\"i-1\"],[\"s\",\"10.0.0.3:80\",\"z\",\"v1\",6,\"ready\",0,\"i-\xe9\"],"+
			`["s","10.0.0.4:80","z","v1",6,"ready",0,"i\r\nX-Not-Run: 1"],["s","10.0.0.5:80","z","v1",6,"ready",0," i"],["s","10.0.0.6:80","z","v1",6,"ready",0,"é"]`)}}
	client, _ := newTestClient(p)
	endpoints, err := client.List(context.Background(), isMaster)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, endpoints, qt.HasLen, 1)
	qt.Assert(t, endpoints[0].Id, qt.Equals, "é")
}

func TestMalformedRowsAreSkippedAndMalformedPagesFail(t *testing.T) {
	p := &fakePlatform{pages: map[string]string{"": pageJSON(`null`,
		`["s","10.0.0.2:80","z","v1",6,"ready",0,"i-1"],["s","10.0.0.2:80","z","v1",6,"ready",0,"i-1"],["s","10.0.0.3:80","z","v1",0,"ready",0,"i-2"],`+
			`["s","10.0.0.4:80","z","v1",6,"odd",0,"i-4"],["s",null,"z","v1",6,"ready",0,"i-5"],["s","10.0.0.6:80"],[7]`)}}
	client, _ := newTestClient(p)
	endpoints, err := client.List(context.Background(), isMaster)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(endpoints), qt.Equals, 1)
	for name, body := range map[string]string{"truncated": `{"instanceList":{`, "no token": `{"instanceList":{"columnNames":[],"rowList":[]}}`,
		"token loop": pageJSON(`"p-1"`, ``), "no list": `{"nextToken":null}`} {
		p.pages = map[string]string{"": body, "p-1": pageJSON(`"p-1"`, ``)}
		_, err := client.List(context.Background(), isMaster)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	p.status = 429
	_, err = client.List(context.Background(), isMaster)
	var statusError StatusError
	qt.Assert(t, errors.As(err, &statusError) && statusError.Code == 429, qt.IsTrue)
	p.status, p.requests = 0, 0
	_, err = client.List(context.Background(), func() bool { return false })
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, p.requests, qt.Equals, 0)
}
