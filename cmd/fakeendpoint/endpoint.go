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

// The endpoint states that this program reports, and the software version of its
// endpoints.
const (
	stateReady      = "ready"
	stateDraining   = "draining"
	softwareVersion = "v1"
)

const (
	healthPath = "/health"
	// heartbeatTimeout bounds each heartbeat request to the sidecar.
	heartbeatTimeout = time.Second
	// drainDuration is the time for which the endpoint serves after SIGTERM or SIGINT.
	drainDuration = 2 * time.Second

	headerRequestID        = "X-Request-Id"
	headerInstanceID       = "X-Instance-Id"
	headerExpectedInstance = "X-Expect-Instance"
	headerNotRun           = "X-Not-Run"
	headerServerSeal       = "X-Server-Seal"
	headerCallerService    = "X-Caller-Service"
)

// endpointOptions holds the flags of the endpoint command.
type endpointOptions struct {
	address string
	// controlAddress is empty if the endpoint has no sidecar.
	controlAddress string
	service        string
	zone           string
	// slots is the number of requests that are processed at once.
	slots          int
	processingTime time.Duration
	// heartbeatInterval is the time between heartbeats.
	heartbeatInterval time.Duration
}

// endpoint is a simulated application instance. It handles requests and sends
// heartbeats to its sidecar.
type endpoint struct {
	options endpointOptions
	id      string
	// slots is a semaphore that holds one entry for each request in progress.
	slots    chan struct{}
	draining atomic.Bool
	client   *http.Client
	// heartbeatSequence is the number of the last heartbeat. Only the goroutine of
	// sendHeartbeats uses it.
	heartbeatSequence int
}

// newEndpoint returns an endpoint with a random ID.
func newEndpoint(options endpointOptions) *endpoint {
	var id [4]byte
	// Read never returns an error: it ends the process if there is no randomness.
	_, _ = rand.Read(id[:])
	return &endpoint{options: options, id: "i-" + hex.EncodeToString(id[:]), slots: make(chan struct{}, options.slots), client: &http.Client{Timeout: heartbeatTimeout}}
}

// runEndpoint serves requests until SIGTERM or SIGINT. It returns an error if the
// server fails.
func runEndpoint(options endpointOptions) error {
	e := newEndpoint(options)
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(options.address, e) }()
	return e.sendHeartbeats(failed)
}

// sendHeartbeats sends heartbeats until SIGTERM or SIGINT. It then reports the endpoint
// as draining, waits for drainDuration and deregisters the endpoint. An error from
// serveErr ends it at once.
func (e *endpoint) sendHeartbeats(serveErr <-chan error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ticker := time.NewTicker(e.options.heartbeatInterval)
	defer ticker.Stop()
	e.sendHeartbeat(http.MethodPut, stateReady)
	for {
		select {
		case err := <-serveErr:
			return err
		case <-ticker.C:
			e.sendHeartbeat(http.MethodPut, stateReady)
		case <-stop:
			e.draining.Store(true)
			e.sendHeartbeat(http.MethodPut, stateDraining)
			time.Sleep(drainDuration)
			e.sendHeartbeat(http.MethodDelete, stateDraining)
			return nil
		}
	}
}

// ServeHTTP answers health checks, with status 503 while draining, and requests. It
// rejects requests that expect another instance with status 421 and X-Not-Run.
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
	e.process(w, r)
}

// process handles a request after waiting for a free slot, and occupies the slot for
// the processing time.
func (e *endpoint) process(w http.ResponseWriter, r *http.Request) {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	// A request with a truncated body is answered too, with the number of bytes
	// received.
	received, _ := io.Copy(io.Discard, r.Body)
	time.Sleep(e.options.processingTime)
	w.Header().Set(headerServerSeal, e.id)
	_, _ = fmt.Fprintf(w, "%s answered for %s, %d bytes came\n", e.id, r.Header.Get(headerCallerService), received)
}

// heartbeat is the body of a heartbeat request. The JSON keys are part of the sidecar's
// API.
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

// sendHeartbeat sends a heartbeat with the given state to the sidecar, if there is one.
// Errors are ignored, as the next heartbeat replaces a lost one.
func (e *endpoint) sendHeartbeat(method, state string) {
	if e.options.controlAddress == "" {
		return
	}
	e.heartbeatSequence++
	o := e.options
	body, err := json.Marshal(heartbeat{Service: o.service, Address: o.address, Zone: o.zone, SoftwareVersion: softwareVersion, Slots: o.slots, State: state, Sequence: e.heartbeatSequence})
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
