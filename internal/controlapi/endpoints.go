package controlapi

import (
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
	"corkcove/internal/names"
)

const (
	// maxSlots is the maximum number of slots of an endpoint; it counts as having no
	// more, whatever it reports.
	maxSlots = 1 << 20
	// maxWarmupSeconds is the longest warm-up time of an endpoint, likewise.
	maxWarmupSeconds = 1e6
)

// EndpointServer serves the endpoint next to a sidecar. It passes heartbeats and
// deregistrations to the endpoint agent, which owns the state.
type EndpointServer struct {
	Mux
	agent *endpointagent.Agent
}

// heartbeatRequest is the body of a heartbeat. See endpointagent.Heartbeat.
type heartbeatRequest struct {
	ServiceName string `json:"serviceName"`
	// Address is the host and port that the endpoint listens on.
	Address  string `json:"address"`
	ZoneName string `json:"siteName"`
	// SoftwareVersion is the version of the endpoint's program.
	SoftwareVersion string `json:"stamp"`
	// SlotCount is the number of requests that the endpoint serves concurrently.
	SlotCount int `json:"slotCount"`
	// State is lifecycle.Ready or lifecycle.Draining.
	State lifecycle.State `json:"state"`
	// WarmupSeconds is the time until the endpoint reaches its full speed.
	WarmupSeconds float64 `json:"coldLeftS"`
	// Sequence increases with each heartbeat.
	Sequence uint64 `json:"callSeq"`
}

// NewEndpointServer returns a server that reports to agent.
func NewEndpointServer(agent *endpointagent.Agent) *EndpointServer {
	s := &EndpointServer{agent: agent}
	s.handle("PUT /-/endpoints/{}", jsonHandler(writeResponse, s.recordHeartbeat))
	s.handle("DELETE /-/endpoints/{}", jsonHandler(writeResponse, s.deregister))
	return s
}

func (s *EndpointServer) recordHeartbeat(r request, body heartbeatRequest) (empty, error) {
	if body.State != lifecycle.Ready && body.State != lifecycle.Draining {
		return empty{}, errMalformed("state is neither ready nor draining")
	}
	if body.SlotCount < 1 {
		return empty{}, errMalformed("slotCount must be 1 at least")
	}
	if !names.ValidHeaderValue(r.name) {
		return empty{}, errMalformed("the id must be text that a header can carry")
	}
	s.agent.RecordHeartbeat(endpointagent.Heartbeat{
		ID: r.name, Service: body.ServiceName, Addr: body.Address, Zone: body.ZoneName, SoftwareVersion: body.SoftwareVersion,
		Slots: min(body.SlotCount, maxSlots), State: body.State, Warmup: warmupFromSeconds(body.WarmupSeconds), Seq: body.Sequence,
	})
	return empty{}, nil
}

func (s *EndpointServer) deregister(r request, _ empty) (empty, error) {
	s.agent.Deregister(r.name)
	return empty{}, nil
}

// warmupFromSeconds returns a duration between 0 and maxWarmupSeconds.
func warmupFromSeconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxWarmupSeconds) * float64(time.Second))
}
