package controlapi

import (
	"time"

	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
)

// Beats is the interface for the endpoint beside a node.
type EndpointServer struct {
	Mux
	sub *endpointagent.Agent
}

type beatReq struct {
	ServiceName string  `json:"serviceName"`
	Address     string  `json:"address"`
	ZoneName    string  `json:"siteName"`
	Version     string  `json:"stamp"`
	SlotCount   int     `json:"slotCount"`
	State       string  `json:"state"`
	ColdLeftS   float64 `json:"coldLeftS"`
	CallSeq     uint64  `json:"callSeq"`
}

func NewEndpointServer(s *endpointagent.Agent) *EndpointServer {
	b := &EndpointServer{sub: s}
	b.add("PUT /-/endpoints/{}", handle(nil, b.beat))
	b.add("DELETE /-/endpoints/{}", handle(nil, b.leave))
	return b
}

func (b *EndpointServer) beat(c call, q beatReq) verdict {
	if s := lifecycle.State(q.State); s != lifecycle.Ready && s != lifecycle.Draining {
		return verdict{out: malformed, why: "state is neither ready nor draining"}
	}
	if q.SlotCount < 1 {
		return verdict{out: malformed, why: "slotCount must be 1 at least"}
	}
	b.sub.RecordHeartbeat(endpointagent.Heartbeat{ID: c.id, Service: q.ServiceName, Addr: q.Address, Zone: q.ZoneName, SoftwareVersion: q.Version,
		Slots: q.SlotCount, State: lifecycle.State(q.State), Warmup: time.Duration(q.ColdLeftS * float64(time.Second)), Seq: q.CallSeq})
	return verdict{body: none{}}
}

func (b *EndpointServer) leave(c call, _ none) verdict {
	b.sub.Deregister(c.id)
	return verdict{body: none{}}
}
