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
	// failureReportInterval is the interval at which an edge reports failing endpoints to
	// the master.
	failureReportInterval = 500 * time.Millisecond
	// preferredEndpoints is the size of the subset of a service's endpoints in its
	// zone that an edge prefers. Subsetting avoids connections from every edge to every
	// endpoint.
	preferredEndpoints = 24
	// edgeMaxLinger limits how long an edge without requests in flight continues to
	// serve after it was told to stop.
	edgeMaxLinger = 3 * time.Second
)

func registerEdge(c *commandLine) {
	command := c.app.Command(roleEdge, "Run the gateway, which routes client requests to the endpoints listed by the platform.")
	c.handle(command, func() error { return runRole(roleEdge, &c.global, runEdge) })
}

// runEdge runs the gateway until the process is told to stop. Its outbound chain calls
// the endpoints directly, without sidecars in front of them.
func runEdge(p *process) error {
	options := p.options
	listeners, err := listenAll(options.BindAddrs(options.InternalAddr(), options.Network.Listen.Ingress, options.Network.Listen.Ready)...)
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
	node.runShutdown(node.shutdown(outbound, edgeMaxLinger))
	return nil
}

func newEdgeOutbound(node *trafficNode) *proxy.Outbound {
	options := node.outboundOptions()
	pooled := rpc.NewTransport(300*time.Millisecond, 800*time.Millisecond, 6*time.Second, 4)
	pooled.MaxIdleConns = node.maxIdleUpstream()
	options.AppClient = proxy.NewAppClient(pooled,
		rpc.NewTransport(300*time.Millisecond, 800*time.Millisecond, time.Second, 1))
	return proxy.NewOutbound(options)
}

// reportFailures reports failing endpoints to the master periodically, because these
// endpoints have no sidecars that report their failures. It never returns.
func reportFailures(node *trafficNode) {
	for range time.Tick(failureReportInterval) {
		reports := node.balancer.FailureReports()
		node.agent.UpdateState(func(state *meshpb.NodeState) { state.FailureReports = reports })
	}
}
