package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"corkcove/internal/controlapi"
	"corkcove/internal/endpointagent"
	"corkcove/internal/lifecycle"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const (
	// missedHeartbeats is how many heartbeats an endpoint may miss.
	missedHeartbeats = 3
	// queuePerSlot is how many requests may wait for each slot of the endpoint.
	queuePerSlot = 1.5
	// endpointTickInterval is how often the endpoint's heartbeats are checked.
	endpointTickInterval = 250 * time.Millisecond
	// inboundBufferBytes is the most that is kept of a response's body.
	inboundBufferBytes = 64 << 10
	// inboundIdleTimeout ends idle connections of other nodes.
	inboundIdleTimeout = 2 * time.Minute
	// sidecarMaxLinger is how long a sidecar serves on without requests after it
	// was told to end.
	sidecarMaxLinger = 2500 * time.Millisecond
)

func registerSidecar(c *commandLine) {
	command := c.app.Command(roleSidecar, "Carry the traffic of the endpoint on this machine.")
	c.handle(command, func() error { return runRole(roleSidecar, &c.global, runSidecar) })
}

// sidecarListeners are all addresses of a sidecar.
type sidecarListeners struct {
	internal, inbound, outbound, ready, control net.Listener
}

func listenSidecar(options settings.Options) (sidecarListeners, error) {
	addresses := options.Network.Listen
	l, err := listenAll(options.InternalAddr(), addresses.Inbound, addresses.Outbound, addresses.Ready, addresses.Control)
	if err != nil {
		return sidecarListeners{}, err
	}
	return sidecarListeners{internal: l[0], inbound: l[1], outbound: l[2], ready: l[3], control: l[4]}, nil
}

// sidecar is a traffic node with an endpoint beside it.
type sidecar struct {
	*trafficNode
	endpoint *endpointagent.Agent
	pacer    *proxy.Pacer
	// endpointTransport reaches the endpoint.
	endpointTransport *http.Transport
	inbound           *proxy.Inbound
	outbound          *proxy.Outbound
}

func runSidecar(p *process) error {
	listeners, err := listenSidecar(p.options)
	if err != nil {
		return err
	}
	s := newSidecar(p)
	s.serveOutbound(listeners.outbound, s.outbound)
	go s.probeKnownEndpoint()
	s.serveInternal(listeners.internal, s.outbound.Flows, 0)
	serve(&http.Server{Handler: s.inbound, IdleTimeout: inboundIdleTimeout}, listeners.inbound)
	s.serveReadiness(listeners.ready)
	serve(&http.Server{Handler: controlapi.NewEndpointServer(s.endpoint), IdleTimeout: externalIdleTimeout}, listeners.control)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.runAgent(ctx)
	go s.checkHeartbeats()

	s.waitForStop()
	shutdown := s.shutdown(s.outbound, sidecarMaxLinger)
	shutdown.Inbound, shutdown.StopInbound = s.inbound, s.stopInbound
	shutdown.Run()
	return nil
}

func newSidecar(p *process) *sidecar {
	self := p.options.Self
	balancer := loadbalancer.New(self.ZoneName, remoteWeight, bulkWeight).SetLocalNode(self.NodeName)
	s := &sidecar{
		trafficNode:       newTrafficNode(p, balancer, &meshpb.NodeState{Inbound: p.options.Network.Listen.Inbound, Service: self.ServiceName}),
		pacer:             proxy.NewPacer(self.Limits.LinkMbps),
		endpointTransport: rpc.NewTransport(300*time.Millisecond, 0, 4*time.Second, 64),
	}
	s.endpoint = endpointagent.New(endpointagent.Options{Service: self.ServiceName, HeartbeatInterval: settings.Seconds(p.options.Platform.HeartbeatSeconds),
		MissedHeartbeats: missedHeartbeats, QueuePerSlot: queuePerSlot, Log: p.log("endpointagent"), OnChange: s.reportEndpoint})
	s.inbound = s.newInbound()
	s.outbound = s.newOutbound()
	return s
}

// reportEndpoint tells the master the endpoint's status.
func (s *sidecar) reportEndpoint(status endpointagent.Status) {
	self := s.options.Self
	s.agent.UpdateState(func(state *meshpb.NodeState) {
		state.Endpoint = &meshpb.Endpoint{Id: status.ID, Service: self.ServiceName, Addr: self.AppAddr, Zone: self.ZoneName,
			Slots: uint32(status.Slots), State: string(status.State), WarmupMs: uint64(status.Warmup / time.Millisecond), SoftwareVersion: status.SoftwareVersion,
			Healthy: status.Healthy, FailurePercent: uint32(status.FailurePercent)}
	})
}

func (s *sidecar) newInbound() *proxy.Inbound {
	self := s.options.Self
	return proxy.NewInbound(proxy.InboundOptions{AppAddr: self.AppAddr, LinkMbps: self.Limits.LinkMbps, Pacer: s.pacer, Agent: s.endpoint,
		AppClient: proxy.NewAppClient(s.endpointTransport, rpc.NewTransport(300*time.Millisecond, 0, time.Second, 1)), BufferLimit: inboundBufferBytes})
}

func (s *sidecar) newOutbound() *proxy.Outbound {
	transport := rpc.NewTransport(200*time.Millisecond, 600*time.Millisecond, 30*time.Second, 64)
	transport.ExpectContinueTimeout = time.Second
	options := s.outboundOptions()
	options.Service, options.Transport, options.Pacer = s.options.Self.ServiceName, transport, s.pacer
	return proxy.NewOutbound(options)
}

// checkHeartbeats looks for missed heartbeats. It doesn't return.
func (s *sidecar) checkHeartbeats() {
	for range time.Tick(endpointTickInterval) {
		s.endpoint.Tick()
	}
}

// stopInbound ends the admission of requests to the endpoint.
func (s *sidecar) stopInbound() {
	s.endpoint.Stop()
	s.agent.UpdateState(func(state *meshpb.NodeState) { state.State = string(lifecycle.Stopping) })
}
