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
	// remoteWeight is how much slower an endpoint of another zone counts, and
	// bulkWeight how much slower for bulk requests.
	remoteWeight = 2.2
	bulkWeight   = 5

	// registerInterval is how often a node tries to register at first.
	registerInterval = 120 * time.Millisecond
	// registerAfter is how long no master may have polled a node before it
	// registers anew.
	registerAfter = 2400 * time.Millisecond

	// outboundBufferBytes is the most that is kept of a body on the way out.
	outboundBufferBytes = 256 << 10
	// deadlineMargin is how much sooner than the client's deadline an endpoint has
	// to answer.
	deadlineMargin = 3 * time.Millisecond

	// hotKeyReportInterval is how often the rates of keys are looked at.
	hotKeyReportInterval = time.Second
	// hotKeyGrowth is by how much a key's rate must have grown to be told at once.
	hotKeyGrowth = 1.5

	// internalIdleTimeout ends idle connections from other processes of the mesh:
	// longer than these keep them, so that they close them first.
	internalIdleTimeout = 3 * time.Minute
	// externalIdleTimeout ends idle connections of callers outside the mesh: the
	// platform, endpoints, operators.
	externalIdleTimeout = time.Minute

	readinessPath = "/-/readiness"
)

// trafficNode is what a sidecar and an edge have in common: the node's agent,
// which hears of views and configurations from the master, and what the outbound
// chain is made of. Its fields are set before any of its goroutines starts;
// routes and stopping are atomic, the others guard themselves.
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
	// stopping is set once the process has been told to end.
	stopping atomic.Bool
}

// newTrafficNode starts the node's agent. The state has what only this role says
// of itself.
func newTrafficNode(p *process, balancer *loadbalancer.Balancer, state *meshpb.NodeState) *trafficNode {
	options, bounds := p.options, p.options.Requirements.Bounds
	clients := rpc.NewClients(&http.Client{Transport: rpc.NewTransport(300*time.Millisecond, 2*time.Second, 90*time.Second, 4)})
	agent := &nodeagent.Agent{Clients: clients, Seeds: options.SeedInternalAddrs(), Incarnation: newID(), Name: options.Self.NodeName, RegisterAfter: registerAfter,
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

// newRequestLog returns nil, which keeps no record, if the settings say so.
func newRequestLog(s settings.RequestLog) *requestlog.Recorder {
	if s.MaxRequests == 0 {
		return nil
	}
	return requestlog.New(s.MaxRequests, settings.Seconds(s.RetentionSeconds), time.Now)
}

// outboundOptions are what both roles' outbound chains have.
func (n *trafficNode) outboundOptions() proxy.OutboundOptions {
	return proxy.OutboundOptions{Balancer: n.balancer, Routes: &n.routes, RetryBudget: n.retryBudget, Sessions: n.sessions, RequestLog: n.requestLog,
		KeyMeter: n.keyMeter, Ready: n.agent.Ready, Log: n.log("outbound"), BufferLimit: outboundBufferBytes, DeadlineMargin: deadlineMargin}
}

// serveOutbound passes requests to the outbound chain, under the limits of the
// configurations that the agent applies from now on.
func (n *trafficNode) serveOutbound(listener net.Listener, outbound *proxy.Outbound) {
	limited := newLimitedListener(listener, outbound)
	n.applyConfigs(limited.setLimits)
}

// serveInternal answers the master, its relays and the tools.
func (n *trafficNode) serveInternal(listener net.Listener, flows *proxy.FlowMeter, preferredEndpoints uint32) {
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(n.agent))
	rpc.Handle(mux, meshpb.NewDiagnosticsServer(newNodeDiagnostics(n, flows, preferredEndpoints)))
	serve(&http.Server{Handler: mux, IdleTimeout: internalIdleTimeout}, listener)
}

// serveReadiness tells the platform whether the node takes requests.
func (n *trafficNode) serveReadiness(listener net.Listener) {
	handler := readinessHandler(func() bool { return !n.stopping.Load() && n.agent.Ready() })
	serve(&http.Server{Handler: handler, IdleTimeout: externalIdleTimeout}, listener)
}

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

// runAgent registers the node with the master and reports hot keys until ctx
// ends.
func (n *trafficNode) runAgent(ctx context.Context) {
	go n.agent.Run(ctx, registerInterval)
	go n.reportHotKeys(ctx)
}

// reportHotKeys tells the master which keys this node reads most. New or more
// reads go at once, fewer with the next poll. A node without such routes does
// nothing.
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
			if rate.PerS > hotKeyGrowth*reported[rate.Key] {
				update = n.agent.UpdateState
			}
		}
		reported = current
		update(func(state *meshpb.NodeState) { state.KeyRates = rates })
	}
}

// waitForStop returns once the process has been told to end; the node is no
// longer ready then.
func (n *trafficNode) waitForStop() {
	n.process.waitForStop()
	n.stopping.Store(true)
}

// shutdown has what both roles' shutdowns have. The node serves on for at least
// half of its grace time, but no longer than maxLinger if nothing runs.
func (n *trafficNode) shutdown(outbound *proxy.Outbound, maxLinger time.Duration) proxy.Shutdown {
	grace := settings.Seconds(n.options.Requirements.Bounds.GraceSeconds)
	return proxy.Shutdown{Grace: grace, Linger: min(grace/2, maxLinger), Outbound: outbound}
}
