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
	// maxMissedHeartbeats is the number of consecutive heartbeats that an endpoint may
	// miss.
	maxMissedHeartbeats = 3
	// queuePerSlot is the maximum number of queued requests per slot of the endpoint.
	queuePerSlot = 1.5
	// endpointTickInterval is the interval at which the sidecar checks for missed
	// heartbeats.
	endpointTickInterval = 250 * time.Millisecond
	// maxInboundBuffer is the maximum number of bytes of a response body that the inbound
	// chain buffers.
	maxInboundBuffer = 64 << 10
	// inboundIdleTimeout is the idle timeout for connections from other nodes.
	inboundIdleTimeout = 2 * time.Minute
	// sidecarMaxLinger limits how long a sidecar without requests in flight continues
	// to serve after it was told to stop.
	sidecarMaxLinger = 2500 * time.Millisecond
)

func registerSidecar(c *commandLine) {
	command := c.app.Command(roleSidecar, "Run the sidecar proxy for the endpoint on this machine.")
	c.handle(command, func() error { return runRole(roleSidecar, &c.global, runSidecar) })
}

// sidecarListeners holds the listeners of a sidecar.
type sidecarListeners struct {
	internal, inbound, outbound, ready, control net.Listener
}

func listenSidecar(options settings.Options) (sidecarListeners, error) {
	addresses := options.Network.Listen
	l, err := listenAll(options.BindAddrs(options.InternalAddr(), addresses.Inbound, addresses.Outbound, addresses.Ready, addresses.Control)...)
	if err != nil {
		return sidecarListeners{}, err
	}
	return sidecarListeners{internal: l[0], inbound: l[1], outbound: l[2], ready: l[3], control: l[4]}, nil
}

// sidecar is a traffic node that also proxies requests to the endpoint on its machine.
type sidecar struct {
	*trafficNode
	endpoint *endpointagent.Agent
	pacer    *proxy.Pacer
	// endpointTransport is the HTTP transport for requests to the endpoint.
	endpointTransport *http.Transport
	inbound           *proxy.Inbound
	outbound          *proxy.Outbound
}

// runSidecar runs a sidecar until the process is told to stop.
func runSidecar(p *process) error {
	listeners, err := listenSidecar(p.options)
	if err != nil {
		return err
	}
	s := newSidecar(p)
	s.serveOutbound(listeners.outbound, s.outbound)
	go s.probeKnownEndpoint()
	s.serveInternal(listeners.internal, s.outbound.Flows, 0)
	s.serve(&http.Server{Handler: s.inbound, IdleTimeout: inboundIdleTimeout}, listeners.inbound)
	s.serveReadiness(listeners.ready)
	s.serve(&http.Server{Handler: controlapi.NewEndpointServer(s.endpoint), IdleTimeout: externalIdleTimeout}, listeners.control)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.runAgent(ctx)
	go s.checkHeartbeats()

	s.waitForStop()
	shutdown := s.shutdown(s.outbound, sidecarMaxLinger)
	shutdown.Inbound, shutdown.StopInbound = s.inbound, s.stopInbound
	s.runShutdown(shutdown)
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
		MissedHeartbeats: maxMissedHeartbeats, QueuePerSlot: queuePerSlot, Log: p.log("endpointagent"), OnChange: s.reportEndpoint})
	s.agent.OnLastEndpoint = s.restoreLeavingEndpoint
	s.inbound = s.newInbound()
	s.outbound = s.newOutbound()
	return s
}

// restoreLeavingEndpoint restores the state of an endpoint that has announced its shutdown
// before this process started.
func (s *sidecar) restoreLeavingEndpoint(last *meshpb.Endpoint) {
	if last.Service != s.options.Self.ServiceName || !last.AnnouncedShutdown {
		return
	}
	s.endpoint.RestoreLeaving(endpointagent.Heartbeat{ID: last.Id, Service: last.Service, Addr: last.Addr, Zone: last.Zone,
		SoftwareVersion: last.SoftwareVersion, Slots: int(last.Slots), State: lifecycle.State(last.State)})
}

// reportEndpoint reports the endpoint's status to the master.
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
		AppClient: proxy.NewAppClient(s.endpointTransport, rpc.NewTransport(300*time.Millisecond, 0, time.Second, 1)), BufferLimit: maxInboundBuffer, Log: s.log("inbound")})
}

func (s *sidecar) newOutbound() *proxy.Outbound {
	transport := rpc.NewTransport(200*time.Millisecond, 600*time.Millisecond, 30*time.Second, 64)
	transport.ExpectContinueTimeout = proxy.ContinueTimeout
	transport.MaxIdleConns = s.maxIdleUpstream()
	options := s.outboundOptions()
	options.Service, options.Transport, options.Pacer = s.options.Self.ServiceName, transport, s.pacer
	return proxy.NewOutbound(options)
}

// checkHeartbeats checks for missed heartbeats periodically. It never returns.
func (s *sidecar) checkHeartbeats() {
	for range time.Tick(endpointTickInterval) {
		s.endpoint.Tick()
	}
}

// stopInbound stops admitting requests to the endpoint, and reports the node as
// stopping.
func (s *sidecar) stopInbound() {
	s.endpoint.Stop()
	s.agent.UpdateState(func(state *meshpb.NodeState) { state.State = string(lifecycle.Stopping) })
}
