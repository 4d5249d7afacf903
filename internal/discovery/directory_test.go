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

type platform struct {
	pages map[string]string
	code  int
	calls int
}

func (p *platform) RoundTrip(q *http.Request) (*http.Response, error) {
	p.calls++
	w := httptest.NewRecorder()
	if p.code != 0 {
		w.WriteHeader(p.code)
	} else {
		w.WriteString(p.pages[q.URL.Query().Get("pageToken")])
	}
	return w.Result(), nil
}

const cols = `"columnNames":["serviceName","address","siteName","stamp","slotCount","state","coldLeftS","id"]`

func list(next string, rows string) string {
	return fmt.Sprintf(`{"instanceList":{%s,"rowList":[%s]},"nextToken":%s}`, cols, rows, next)
}

func reader(p *platform) (*Client, *time.Duration) {
	r := New(Options{Address: "10.0.0.1:80", RequestsPerSecond: 50, HTTPClient: &http.Client{Transport: p}})
	now, waited := time.Unix(0, 0), time.Duration(0)
	r.now = func() time.Time { return now }
	r.wait = func(_ context.Context, d time.Duration) error { now = now.Add(d); waited += d; return nil }
	return r, &waited
}

func yes() bool { return true }

func TestListIsReadPageByPageUnderTheRate(t *testing.T) {
	p := &platform{pages: map[string]string{
		"":    list(`"p-1"`, `["s","10.0.0.2:80","z","v1",6,"ready",1.5,"i-1"],["s","10.0.0.3:80","z","v1",6,"draining",null,"i-2"]`),
		"p-1": list(`null`, `["s","10.0.0.4:80","z","v1",6,"ready",0,"i-3"]`),
	}}
	r, waited := reader(p)
	for range 3 {
		es, err := r.List(context.Background(), yes)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(es), qt.Equals, 3)
		qt.Assert(t, es[0].WarmupMs, qt.Equals, uint64(1500))
		qt.Assert(t, es[1].State, qt.Equals, "draining")
	}
	qt.Assert(t, *waited >= 5*40*time.Millisecond, qt.IsTrue, qt.Commentf("6 calls at half of 50/s in %v", *waited))
}

func TestMalformedRowsAreSkippedAndBrokenReadingsChangeNothing(t *testing.T) {
	p := &platform{pages: map[string]string{"": list(`null`,
		`["s","10.0.0.2:80","z","v1",6,"ready",0,"i-1"],["s","10.0.0.2:80","z","v1",6,"ready",0,"i-1"],["s","10.0.0.3:80","z","v1",0,"ready",0,"i-2"],`+
			`["s","10.0.0.4:80","z","v1",6,"odd",0,"i-4"],["s",null,"z","v1",6,"ready",0,"i-5"],["s","10.0.0.6:80"],[7]`)}}
	r, _ := reader(p)
	es, err := r.List(context.Background(), yes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(es), qt.Equals, 1)
	for name, body := range map[string]string{"cut": `{"instanceList":{`, "no token": `{"instanceList":{"columnNames":[],"rowList":[]}}`,
		"loop": list(`"p-1"`, ``), "no list": `{"nextToken":null}`} {
		p.pages = map[string]string{"": body, "p-1": list(`"p-1"`, ``)}
		_, err := r.List(context.Background(), yes)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	p.code = 429
	_, err = r.List(context.Background(), yes)
	var b StatusError
	qt.Assert(t, errors.As(err, &b) && b.Code == 429, qt.IsTrue)
	p.code, p.calls = 0, 0
	_, err = r.List(context.Background(), func() bool { return false })
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, p.calls, qt.Equals, 0)
}
