package rig2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Visit is what an endpoint saw of a request.
type Visit struct {
	// Reached is the time at which the request's head arrived.
	Reached time.Time
	// Ran is the time at which the endpoint began to work on it, after its whole body had
	// arrived; zero if it did not.
	Ran time.Time
	// Ended is the time at which the work ended, and Answered is set if an answer was sent.
	// Without it the connection was closed before.
	Ended    time.Time
	Answered bool
	// Broken is the time at which reading the body failed; zero if it did not.
	Broken time.Time
}

// Endpoint is a sound endpoint: it works on Slots requests at once, queues a few more,
// turns away requests for other instances, and drops a request when its connection closes.
type Endpoint struct {
	// ID is the endpoint's id, Service the service that it belongs to.
	ID, Service string
	// Slots is the number of requests that it works on at once, Work the time for each.
	Slots int
	Work  time.Duration
	// Pause is how long it pauses in reading a body, behind the first 32 KB.
	Pause time.Duration

	slots  chan struct{}
	server *http.Server

	mu     sync.Mutex
	visits map[string]*Visit
	// sequence is the callSeq of the last beat, leaving is set once the endpoint signs off.
	sequence int
	leaving  bool
}

// StartEndpoint starts an endpoint on a sidecar machine.
func (r *Rig) StartEndpoint(machine int, e *Endpoint) {
	e.slots = make(chan struct{}, e.Slots)
	e.visits = map[string]*Visit{}
	e.server = &http.Server{Addr: r.AppAddr(machine), Handler: e, IdleTimeout: 10 * time.Second}
	go func() {
		if err := e.server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			r.Logf("endpoint %s ends: %v", e.ID, err)
		}
	}()
	go func() {
		for !e.isLeaving() {
			r.sendBeat(machine, e, e.nextSequence())
			time.Sleep(1500 * time.Millisecond)
		}
	}()
}

func (e *Endpoint) nextSequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

func (e *Endpoint) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// sendBeat sends a beat of a ready endpoint and returns the status of the answer, 0 if
// there is none.
func (r *Rig) sendBeat(machine int, e *Endpoint, sequence int) int {
	body, err := json.Marshal(map[string]any{
		"serviceName": e.Service, "address": r.AppAddr(machine), "siteName": site(machine), "stamp": "v1",
		"slotCount": e.Slots, "state": "ready", "coldLeftS": 0, "callSeq": sequence,
	})
	if err != nil {
		return 0
	}
	return r.callEndpoints(http.MethodPut, machine, e, body)
}

// callEndpoints sends a call about an endpoint to the control address beside it.
func (r *Rig) callEndpoints(method string, machine int, e *Endpoint, body []byte) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/-/endpoints/%s", r.BeatAddr(machine), e.ID), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// LateBeat sends a beat that comes after the given time.
func (r *Rig) LateBeat(machine int, e *Endpoint, late time.Duration) {
	sequence := e.nextSequence()
	r.Logf("endpoint %s sends beat %d, which comes %v late", e.ID, sequence, late)
	time.AfterFunc(late, func() {
		r.Logf("beat %d of %s comes: answered %d", sequence, e.ID, r.sendBeat(machine, e, sequence))
	})
}

// SignOff makes the endpoint send DELETE; it serves on. It reports whether that was
// acknowledged.
func (r *Rig) SignOff(machine int, e *Endpoint) bool {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	status := r.callEndpoints(http.MethodDelete, machine, e, nil)
	r.Logf("endpoint %s signs off: answered %d", e.ID, status)
	return status == http.StatusOK
}

// End ends the endpoint, with the requests that it works on.
func (r *Rig) End(e *Endpoint) {
	_ = e.server.Close()
	r.Logf("endpoint %s ends", e.ID)
}

// Visits returns copies of what the endpoint saw, by request id.
func (e *Endpoint) Visits() map[string]Visit {
	e.mu.Lock()
	defer e.mu.Unlock()
	visits := map[string]Visit{}
	for id, v := range e.visits {
		visits[id] = *v
	}
	return visits
}

func (e *Endpoint) update(v *Visit, change func(*Visit)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(v)
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", e.ID)
	if r.URL.Path == "/health" {
		if e.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v := &Visit{Reached: time.Now()}
	e.mu.Lock()
	e.visits[id] = v
	e.mu.Unlock()
	if !e.readBody(r) {
		e.update(v, func(v *Visit) { v.Broken = time.Now() })
		return
	}
	e.work(w, r, v)
}

// readBody reads the body of a request, with a pause if there is one.
func (e *Endpoint) readBody(r *http.Request) bool {
	if e.Pause > 0 {
		if _, err := io.CopyN(io.Discard, r.Body, 32<<10); err != nil {
			return errors.Is(err, io.EOF)
		}
		time.Sleep(e.Pause)
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// work waits for a slot, works on the request and answers it.
func (e *Endpoint) work(w http.ResponseWriter, r *http.Request, v *Visit) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.update(v, func(v *Visit) { v.Ran = time.Now() })
	timer := time.NewTimer(e.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		e.update(v, func(v *Visit) { v.Ended = time.Now() })
		return
	}
	e.update(v, func(v *Visit) { v.Ended, v.Answered = time.Now(), true })
	w.Header().Set("X-Server-Seal", e.ID+".seal")
	_, _ = fmt.Fprintf(w, "done by %s\n", e.ID)
}
