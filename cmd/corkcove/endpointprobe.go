package main

import (
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"corkcove/internal/settings"
)

const (
	// probeTimeout bounds one call of the endpoint's health check.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the time between two looks whether a probe is possible.
	probeInterval = 20 * time.Millisecond
	// maxProbes bounds the calls.
	maxProbes = 3
	// instanceHeader has the id of the endpoint that answers.
	instanceHeader = "X-Instance-Id"
)

// probeKnownEndpoint asks the endpoint who it is, when this process has started
// beside one that runs already, rather than wait for its next heartbeat. It
// needs the routes and, from the master, the endpoint that was here last.
func (s *sidecar) probeKnownEndpoint() {
	client := &http.Client{Transport: s.endpointTransport, Timeout: probeTimeout}
	deadline := time.Now().Add(settings.Seconds(s.options.Platform.HeartbeatSeconds))
	for probes := 0; probes < maxProbes && time.Now().Before(deadline) && !s.endpoint.Status().Known; {
		time.Sleep(probeInterval)
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

// probe returns the id of the endpoint if it is healthy.
func (s *sidecar) probe(client *http.Client, path string) (id string, ok bool) {
	response, err := sling.New().Client(client).Get("http://" + s.options.Self.AppAddr + path).ReceiveSuccess(nil)
	if err != nil || response == nil || response.StatusCode != http.StatusOK {
		return "", false
	}
	return response.Header.Get(instanceHeader), true
}
