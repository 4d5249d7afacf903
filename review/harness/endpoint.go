package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatInterval is beatS of the settings.
const beatInterval = 1500 * time.Millisecond

// Run is one request that an endpoint began to work on.
type Run struct {
	ID         string
	Start, End time.Time
	// Outcome says how the work ended.
	Outcome string
}

// OutcomeAnswered is the outcome of a run that ended with the endpoint's answer.
const OutcomeAnswered = "answered 200"

// DescribeRuns returns what a record says of runs, with times relative to a moment.
func DescribeRuns(runs []Run, since time.Time) string {
	if len(runs) == 0 {
		return "none"
	}
	var texts []string
	for _, run := range runs {
		text := fmt.Sprintf("began %.3f s", run.Start.Sub(since).Seconds())
		if !run.End.IsZero() {
			text += fmt.Sprintf(", ended %.3f s, %s", run.End.Sub(since).Seconds(), run.Outcome)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

// Endpoint is a stand-in for an application endpoint beside a sidecar: it serves
// requests as the pages describe and sends heartbeats to the sidecar.
type Endpoint struct {
	// ID is the id of this life of the endpoint.
	ID string

	mesh    *Mesh
	sidecar *Process
	service string
	zone    string
	// work returns how long the endpoint works on a request.
	work  func(*http.Request) time.Duration
	slots chan struct{}

	mu   sync.Mutex
	runs []*Run
}

// StartEndpoint starts an endpoint with the given number of slots.
func (m *Mesh) StartEndpoint(sidecar *Process, service, zone string, slots int, work func(*http.Request) time.Duration) (*Endpoint, error) {
	e := &Endpoint{ID: "i-" + sidecar.Name, mesh: m, sidecar: sidecar, service: service, zone: zone, work: work,
		slots: make(chan struct{}, slots)}
	listener, err := net.Listen("tcp", m.App(sidecar))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, e) }()
	go e.sendBeats()
	return e, nil
}

// sendBeats sends heartbeats until the process of the case ends.
func (e *Endpoint) sendBeats() {
	caller := NewCaller()
	for sequence := 1; ; sequence++ {
		body, err := json.Marshal(map[string]any{"serviceName": e.service, "address": e.mesh.App(e.sidecar), "siteName": e.zone,
			"stamp": "v1", "slotCount": cap(e.slots), "state": "ready", "coldLeftS": 0, "callSeq": sequence})
		if err != nil {
			return
		}
		answer := Call(caller, http.MethodPut, "http://"+e.mesh.Control(e.sidecar)+"/-/endpoints/"+e.ID, string(body), nil)
		pause := beatInterval
		if answer.Status != http.StatusOK {
			pause = beatInterval / 10
		}
		time.Sleep(pause)
	}
}

// Runs returns the runs of a request.
func (e *Endpoint) Runs(id string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []Run
	for _, run := range e.runs {
		if run.ID == id {
			found = append(found, *run)
		}
	}
	return found
}

// ServeHTTP answers health checks and requests. It has no queue beyond its slots: the
// sidecar sends no more than these.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.ID)
		return
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case id == "":
		e.turnAway(w, http.StatusBadRequest)
	case expected != "" && expected != e.ID:
		e.turnAway(w, http.StatusMisdirectedRequest)
	default:
		e.run(w, r, id)
	}
}

func (e *Endpoint) turnAway(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(status)
}

// run works on a request until it is done, its deadline has passed or its connection
// is closed.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, id string) {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		ms = 60000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		e.turnAway(w, http.StatusServiceUnavailable)
		return
	}
	run := e.begin(id)
	select {
	case <-time.After(e.work(r)):
		e.end(run, OutcomeAnswered)
		w.Header().Set("X-Server-Seal", e.ID+"."+id)
		_, _ = fmt.Fprintf(w, "%s ran %s\n", e.ID, id)
	case <-ctx.Done():
		if r.Context().Err() != nil {
			e.end(run, "dropped, its connection was closed")
			return
		}
		e.end(run, "answered 504 at its deadline")
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func (e *Endpoint) begin(id string) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{ID: id, Start: time.Now()}
	e.runs = append(e.runs, run)
	return run
}

func (e *Endpoint) end(run *Run, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.End, run.Outcome = time.Now(), outcome
}
