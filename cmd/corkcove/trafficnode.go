package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/nodeagent"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/requestlog"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const (
	// remoteWeight is the factor by which the load balancer multiplies the score of an
	// endpoint in another zone (a lower score is better), and bulkWeight the factor for
	// bulk requests.
	remoteWeight = 2.2
	bulkWeight   = 5

	// registerInterval is the initial interval between attempts to register. It grows
	// while registration fails.
	registerInterval = 120 * time.Millisecond
	// reregisterAfter is the time without a poll of a master after which a node registers
	// again.
	reregisterAfter = 2400 * time.Millisecond

	// maxOutboundBuffer is the maximum number of bytes of a body that the outbound chain
	// buffers.
	maxOutboundBuffer = 256 << 10
	// deadlineMargin is subtracted from the client's deadline to get that of an endpoint.
	deadlineMargin = 3 * time.Millisecond

	// hotKeyReportInterval is the interval at which the read rates of keys are checked.
	hotKeyReportInterval = time.Second
	// hotKeyGrowthFactor is the growth of a key's rate since the last report above
	// which it is reported immediately.
	hotKeyGrowthFactor = 1.5

	// internalIdleTimeout is the idle timeout for connections from other processes of
	// the mesh. It is longer than the idle timeout of their clients, so that the
	// clients close connections first.
	internalIdleTimeout = 3 * time.Minute
	// externalIdleTimeout is the idle timeout for connections from callers outside the
	// mesh: the platform, endpoints and operators.
	externalIdleTimeout = time.Minute

	// readinessPath is the URL path of the platform's readiness probe.
	readinessPath = "/-/readiness"
)

// trafficNode contains what sidecars and edges have in common: the node agent, which
// receives views and configurations from the master, and the components of the
// outbound chain. The fields are set before the goroutines that use them start.
// routes and stopping are atomic; the other components are safe for concurrent use.
type trafficNode struct {
	*process
	agent       *nodeagent.Agent
	balancer    *loadbalancer.Balancer
	sessions    *affinity.Sessions
	requestLog  *requestlog.Recorder
	retryBudget *retry.Budget
	keyMeter    *hotkeys.Meter
	// routes is the compiled configuration in force.
	routes atomic.Pointer[routeconfig.Table]
	// clients accepts the connections of clients. It is set by serveOutbound.
	clients *clientListener
	// stopping is set when the process is told to stop.
	stopping atomic.Bool
}

// newTrafficNode creates a traffic node and initializes its agent. The caller sets in
// state what is specific to its role; the common fields are added here.
func newTrafficNode(p *process, balancer *loadbalancer.Balancer, state *meshpb.NodeState) *trafficNode {
	options, bounds := p.options, p.options.Requirements.Bounds
	clients := rpc.NewClients(&http.Client{Transport: rpc.NewTransport(300*time.Millisecond, 2*time.Second, 90*time.Second, 4)})
	agent := &nodeagent.Agent{Clients: clients, Seeds: options.SeedInternalAddrs(), Incarnation: newID(), Name: options.Self.NodeName, RegisterAfter: reregisterAfter,
		Now: p.now, Log: p.log("nodeagent"), Trace: p.trace}
	state.Name, state.Incarnation, state.Addr, state.Zone = options.Self.NodeName, agent.Incarnation, options.InternalAddr(), options.Self.ZoneName
	state.State = string(lifecycle.Up)
	agent.Init(state)
	n := &trafficNode{process: p, agent: agent, balancer: balancer, requestLog: newRequestLog(options.RequestLog)}
	agent.OnView = func(view *meshpb.View) {
		balancer.ApplyView(view)
		n.requestLog.RecordView(view)
	}
	go p.reloadSeeds(func() bool { return agent.View() == nil }, func(o settings.Options) { agent.SetSeeds(o.SeedInternalAddrs()) })
	balancer.SlowStart(settings.Seconds(options.HotKeys.SlowStartSeconds))
	n.sessions = newSessions(p, clients, agent)
	n.retryBudget = retry.NewBudget(bounds.RetryRatio, bounds.RetrySlack, settings.Seconds(bounds.RetryWindowSeconds), balancer.NodeCount, p.now)
	n.keyMeter = hotkeys.NewMeter(time.Now)
	return n
}

// newRequestLog returns the recorder of requests, or nil, which records nothing, if
// the settings disable it.
func newRequestLog(s settings.RequestLog) *requestlog.Recorder {
	if s.MaxRequests == 0 {
		return nil
	}
	return requestlog.New(s.MaxRequests, settings.Seconds(s.RetentionSeconds), time.Now)
}

// outboundOptions returns the options that the outbound chains of both roles share.
func (n *trafficNode) outboundOptions() proxy.OutboundOptions {
	return proxy.OutboundOptions{Balancer: n.balancer, Routes: &n.routes, RetryBudget: n.retryBudget, Sessions: n.sessions, RequestLog: n.requestLog,
		KeyMeter: n.keyMeter, Ready: n.agent.Ready, Log: n.log("outbound"), BufferLimit: maxOutboundBuffer, DeadlineMargin: deadlineMargin}
}

// serveOutbound serves the listener with the outbound chain. The limits follow the
// configurations that the agent applies from now on.
func (n *trafficNode) serveOutbound(listener net.Listener, outbound *proxy.Outbound) {
	n.clients = newClientListener(listener, outbound, n.clientLimiter(), n.log("listen"))
	n.applyConfigs(n.clients.setLimits)
}

// serveInternal serves the RPCs of the master, its relays and the tools.
func (n *trafficNode) serveInternal(listener net.Listener, flows *proxy.FlowMeter, preferredEndpoints uint32) {
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(n.agent))
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(newNodeDiagnostics(n, flows, preferredEndpoints)))
	n.serve(&http.Server{Handler: mux, IdleTimeout: internalIdleTimeout}, listener)
}

// serveReadiness serves the readiness probe of the platform. It must be called after
// serveOutbound.
func (n *trafficNode) serveReadiness(listener net.Listener) {
	handler := readinessHandler(func() bool { return !n.stopping.Load() && n.agent.Ready() && n.clients.acceptsClients() })
	n.serve(&http.Server{Handler: handler, IdleTimeout: externalIdleTimeout}, listener)
}

// readinessHandler responds to readiness probes with 200 if ready returns true, and
// 503 otherwise.
func readinessHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != readinessPath:
			w.WriteHeader(http.StatusNotFound)
		case !ready():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}

// runAgent starts goroutines that register the node with the master and report hot
// keys. They end when ctx is cancelled.
func (n *trafficNode) runAgent(ctx context.Context) {
	go n.agent.Run(ctx, registerInterval)
	go n.reportHotKeys(ctx)
}

// reportHotKeys reports to the master which keys this node reads most. New keys and
// rates that grew by more than hotKeyGrowthFactor are reported immediately, other
// changes with the next poll. Without routes that define a hot key, there is nothing
// to report.
func (n *trafficNode) reportHotKeys(ctx context.Context) {
	ticker := time.NewTicker(hotKeyReportInterval)
	defer ticker.Stop()
	reported := map[uint64]float64{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		rates, unchanged := n.keyMeter.Rates()
		if unchanged {
			continue
		}
		update := n.agent.UpdateStateWithoutWake
		current := map[uint64]float64{}
		for _, rate := range rates {
			current[rate.Key] = rate.PerS
			if rate.PerS > hotKeyGrowthFactor*reported[rate.Key] {
				update = n.agent.UpdateState
			}
		}
		reported = current
		update(func(state *meshpb.NodeState) { state.KeyRates = rates })
	}
}

// waitForStop blocks until the process is told to stop, and then makes the node not
// ready.
func (n *trafficNode) waitForStop() {
	n.process.waitForStop()
	n.stopping.Store(true)
}

// shutdown returns the graceful shutdown that both roles share. The node continues to
// serve for half of the grace period, but at most for maxLinger. After that it
// continues only while requests are in flight.
func (n *trafficNode) shutdown(outbound *proxy.Outbound, maxLinger time.Duration) proxy.Shutdown {
	grace := settings.Seconds(n.options.Requirements.Bounds.GraceSeconds)
	return proxy.Shutdown{Grace: grace, Linger: min(grace/2, maxLinger), Outbound: outbound, Log: n.log("shutdown")}
}

// runShutdown runs the shutdown. If it canceled requests, it writes the log entries
// out, because the process exits afterwards.
func (n *trafficNode) runShutdown(s proxy.Shutdown) {
	if s.Run() > 0 {
		n.logRing.Flush("requests canceled at shutdown")
	}
}
