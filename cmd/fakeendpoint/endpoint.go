package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// The states that an endpoint reports, and the only software version of this
// one.
const (
	stateReady      = "ready"
	stateDraining   = "draining"
	softwareVersion = "v1"
)

const (
	healthPath = "/health"
	// heartbeatTimeout bounds the call of the sidecar.
	heartbeatTimeout = time.Second
	// drainTime is how long the endpoint goes on serving after SIGTERM.
	drainTime = 2 * time.Second

	headerRequestID        = "X-Request-Id"
	headerInstanceID       = "X-Instance-Id"
	headerExpectedInstance = "X-Expect-Instance"
	headerNotRun           = "X-Not-Run"
	headerSeal             = "X-Server-Seal"
	headerCaller           = "X-Caller-Service"
)

// endpointOptions are the flags of the endpoint.
type endpointOptions struct {
	address string
	// controlAddress is empty if the endpoint has no sidecar.
	controlAddress    string
	service           string
	zone              string
	slots             int
	workTime          time.Duration
	heartbeatInterval time.Duration
}

// endpoint is an application that takes requests.
type endpoint struct {
	options endpointOptions
	id      string
	// slots has an entry for each request that is worked on.
	slots    chan struct{}
	draining atomic.Bool
	client   *http.Client
	// sequence numbers the heartbeats; only the goroutine of run uses it.
	sequence int
}

func newEndpoint(options endpointOptions) *endpoint {
	var id [4]byte
	// It never fails: without randomness the process ends.
	_, _ = rand.Read(id[:])
	return &endpoint{options: options, id: "i-" + hex.EncodeToString(id[:]), slots: make(chan struct{}, options.slots), client: &http.Client{Timeout: heartbeatTimeout}}
}

// runEndpoint serves until SIGTERM or SIGINT.
func runEndpoint(options endpointOptions) error {
	e := newEndpoint(options)
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(options.address, e) }()
	return e.run(failed)
}

// run sends heartbeats until the process is told to end, and says goodbye.
func (e *endpoint) run(failed <-chan error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ticker := time.NewTicker(e.options.heartbeatInterval)
	defer ticker.Stop()
	e.sendHeartbeat(http.MethodPut, stateReady)
	for {
		select {
		case err := <-failed:
			return err
		case <-ticker.C:
			e.sendHeartbeat(http.MethodPut, stateReady)
		case <-stop:
			e.draining.Store(true)
			e.sendHeartbeat(http.MethodPut, stateDraining)
			time.Sleep(drainTime)
			e.sendHeartbeat(http.MethodDelete, stateDraining)
			return nil
		}
	}
}

// ServeHTTP answers health checks and requests.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set(headerInstanceID, e.id)
	if r.URL.Path == healthPath {
		if e.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != e.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.work(w, r)
}

// work takes a slot for as long as a request takes.
func (e *endpoint) work(w http.ResponseWriter, r *http.Request) {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	// A body that breaks off is answered all the same, with what came.
	received, _ := io.Copy(io.Discard, r.Body)
	time.Sleep(e.options.workTime)
	w.Header().Set(headerSeal, e.id)
	_, _ = fmt.Fprintf(w, "%s answered for %s, %d bytes came\n", e.id, r.Header.Get(headerCaller), received)
}

// heartbeat is what the endpoint tells the sidecar. The keys are the wire's.
type heartbeat struct {
	Service         string `json:"serviceName"`
	Address         string `json:"address"`
	Zone            string `json:"siteName"`
	SoftwareVersion string `json:"stamp"`
	Slots           int    `json:"slotCount"`
	State           string `json:"state"`
	WarmupSeconds   int    `json:"coldLeftS"`
	Sequence        int    `json:"callSeq"`
}

// sendHeartbeat tells the sidecar the state; one that is lost is followed by the
// next.
func (e *endpoint) sendHeartbeat(method, state string) {
	if e.options.controlAddress == "" {
		return
	}
	e.sequence++
	o := e.options
	body, err := json.Marshal(heartbeat{Service: o.service, Address: o.address, Zone: o.zone, SoftwareVersion: softwareVersion, Slots: o.slots, State: state, Sequence: e.sequence})
	if err != nil {
		return
	}
	request, err := http.NewRequest(method, "http://"+o.controlAddress+"/-/endpoints/"+e.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := e.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
