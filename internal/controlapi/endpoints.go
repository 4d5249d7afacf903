package controlapi

import (
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
)

// EndpointServer serves the endpoint beside a sidecar. The state it changes
// belongs to the endpoint agent.
type EndpointServer struct {
	Mux
	agent *endpointagent.Agent
}

// heartbeatRequest is an endpoint's report of itself.
type heartbeatRequest struct {
	ServiceName     string          `json:"serviceName"`
	Address         string          `json:"address"`
	ZoneName        string          `json:"siteName"`
	SoftwareVersion string          `json:"stamp"`
	SlotCount       int             `json:"slotCount"`
	State           lifecycle.State `json:"state"`
	WarmupSeconds   float64         `json:"coldLeftS"`
	// Sequence rises with each report.
	Sequence uint64 `json:"callSeq"`
}

// NewEndpointServer returns the server that feeds an endpoint agent.
func NewEndpointServer(agent *endpointagent.Agent) *EndpointServer {
	s := &EndpointServer{agent: agent}
	s.handle("PUT /-/endpoints/{}", jsonHandler(finishLocally, s.recordHeartbeat))
	s.handle("DELETE /-/endpoints/{}", jsonHandler(finishLocally, s.deregister))
	return s
}

func (s *EndpointServer) recordHeartbeat(r request, body heartbeatRequest) (empty, error) {
	if body.State != lifecycle.Ready && body.State != lifecycle.Draining {
		return empty{}, errMalformed("state is neither ready nor draining")
	}
	if body.SlotCount < 1 {
		return empty{}, errMalformed("slotCount must be 1 at least")
	}
	s.agent.RecordHeartbeat(endpointagent.Heartbeat{
		ID: r.name, Service: body.ServiceName, Addr: body.Address, Zone: body.ZoneName, SoftwareVersion: body.SoftwareVersion,
		Slots: body.SlotCount, State: body.State, Warmup: seconds(body.WarmupSeconds), Seq: body.Sequence,
	})
	return empty{}, nil
}

func (s *EndpointServer) deregister(r request, _ empty) (empty, error) {
	s.agent.Deregister(r.name)
	return empty{}, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
