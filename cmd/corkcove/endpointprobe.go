package main

import (
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"corkcove/internal/settings"
)

const (
	// probeTimeout limits one request to the endpoint's health check.
	probeTimeout = 400 * time.Millisecond
	// probePollInterval is the interval at which the preconditions of a probe are checked.
	probePollInterval = 20 * time.Millisecond
	// maxProbes limits the number of requests.
	maxProbes = 3
	// instanceHeader is the response header with the ID of the endpoint.
	instanceHeader = "X-Instance-Id"
)

// probeKnownEndpoint detects an endpoint that was already running when this process
// started, without waiting for the endpoint's next heartbeat: it probes the health
// check and compares the returned ID with the endpoint that the master last knew at
// this node. It waits for the routes, which contain the health check's path, and for
// the master to name that endpoint. It gives up after maxProbes probes, one heartbeat
// interval, or a response with another ID.
func (s *sidecar) probeKnownEndpoint() {
	client := &http.Client{Transport: s.endpointTransport, Timeout: probeTimeout}
	deadline := time.Now().Add(settings.Seconds(s.options.Platform.HeartbeatSeconds))
	for probes := 0; probes < maxProbes && time.Now().Before(deadline) && !s.endpoint.Status().Known; {
		time.Sleep(probePollInterval)
		routes, last := s.routes.Load(), s.agent.LastEndpoint()
		if routes == nil || last.GetId() == "" || last.Service != s.options.Self.ServiceName {
			continue
		}
		service, ok := routes.ServiceIndex(s.options.Self.ServiceName)
		if !ok {
			return
		}
		probes++
		id, ok := s.probe(client, routes.Services[service].HealthCheckPath)
		if !ok {
			continue
		}
		if id != last.Id {
			return
		}
		s.endpoint.RecordProbe(last.Id, int(last.Slots))
	}
}

// probe calls the health check at path. ok means status 200; id is the ID in the
// response.
func (s *sidecar) probe(client *http.Client, path string) (id string, ok bool) {
	response, err := sling.New().Client(client).Get("http://" + s.options.Self.AppAddr + path).ReceiveSuccess(nil)
	if err != nil || response == nil || response.StatusCode != http.StatusOK {
		return "", false
	}
	return response.Header.Get(instanceHeader), true
}
