package main

import (
	"context"
	"time"

	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// failureReportInterval is how often an edge tells the master which endpoints
	// fail.
	failureReportInterval = 500 * time.Millisecond
	// preferredEndpoints is how many endpoints of a service an edge prefers, so
	// that not each edge keeps connections to all.
	preferredEndpoints = 24
	// edgeMaxLinger is how long an edge serves on without requests after it was
	// told to end.
	edgeMaxLinger = 3 * time.Second
)

func registerEdge(c *commandLine) {
	command := c.app.Command(roleEdge, "Carry the traffic of clients to the endpoints that the platform lists.")
	c.handle(command, func() error { return runRole(roleEdge, &c.global, runEdge) })
}

// runEdge runs the gateway: the outbound chain in front of endpoints that it
// calls itself.
func runEdge(p *process) error {
	options := p.options
	listeners, err := listenAll(options.InternalAddr(), options.Network.Listen.Ingress, options.Network.Listen.Ready)
	if err != nil {
		return err
	}
	internal, ingress, ready := listeners[0], listeners[1], listeners[2]
	balancer := loadbalancer.New(options.Self.ZoneName, remoteWeight, bulkWeight).PreferSubset(options.Self.NodeName, preferredEndpoints)
	node := newTrafficNode(p, balancer, &meshpb.NodeState{})
	outbound := newEdgeOutbound(node)
	node.serveOutbound(ingress, outbound)
	node.serveInternal(internal, outbound.Flows, preferredEndpoints)
	node.serveReadiness(ready)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node.runAgent(ctx)
	go reportFailures(node)

	node.waitForStop()
	node.shutdown(outbound, edgeMaxLinger).Run()
	return nil
}

func newEdgeOutbound(node *trafficNode) *proxy.Outbound {
	options := node.outboundOptions()
	options.AppClient = proxy.NewAppClient(rpc.NewTransport(300*time.Millisecond, 800*time.Millisecond, 6*time.Second, 4),
		rpc.NewTransport(300*time.Millisecond, 800*time.Millisecond, time.Second, 1))
	return proxy.NewOutbound(options)
}

// reportFailures tells the master which endpoints fail, since they have no
// sidecars that would. It doesn't return.
func reportFailures(node *trafficNode) {
	for range time.Tick(failureReportInterval) {
		reports := node.balancer.FailureReports()
		node.agent.UpdateState(func(state *meshpb.NodeState) { state.FailureReports = reports })
	}
}
