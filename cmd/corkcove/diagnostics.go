package main

import (
	"context"
	"time"

	"corkcove/internal/changetrace"
	"corkcove/internal/proxy"
	"corkcove/internal/rpc/meshpb"
)

// processDiagnostics implements the Diagnostics service of a core node. A core
// node proxies no traffic, so only Trace returns anything recorded.
type processDiagnostics struct{ *process }

// Trace returns the recorded steps of a change that are still in the trace ring
// of this process.
func (d processDiagnostics) Trace(_ context.Context, request *meshpb.TraceRequest) (*meshpb.TraceResponse, error) {
	change, err := changetrace.ParseChange(request.Subject)
	if err != nil {
		return nil, err
	}
	events := d.traceRing.Find(change)
	return &meshpb.TraceResponse{Node: d.options.Self.NodeName, Role: d.role, Lines: events, Known: len(events) > 0}, nil
}

// Flows returns no flows: the process proxies no requests.
func (d processDiagnostics) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	return &meshpb.FlowsResponse{Node: d.options.Self.NodeName, Zone: d.options.Self.ZoneName}, nil
}

// Sessions returns no sessions.
func (d processDiagnostics) Sessions(context.Context, *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	return &meshpb.SessionsResponse{Node: d.options.Self.NodeName}, nil
}

// RequestRecords returns no records, only the data of addProcessInfo.
func (d processDiagnostics) RequestRecords(context.Context, *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	return d.addProcessInfo(&meshpb.RequestRecordsResponse{}), nil
}

// Snapshots returns no snapshots.
func (d processDiagnostics) Snapshots(context.Context, *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return &meshpb.SnapshotsResponse{}, nil
}

// addProcessInfo sets the node, zone, service, role and retry budget of the
// process in the response.
func (d processDiagnostics) addProcessInfo(response *meshpb.RequestRecordsResponse) *meshpb.RequestRecordsResponse {
	self, bounds := d.options.Self, d.options.Requirements.Bounds
	response.Node, response.Zone, response.Service, response.Role = self.NodeName, self.ZoneName, self.ServiceName, d.role
	response.Ratio, response.Slack, response.WindowS = bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindowSeconds
	return response
}

// nodeDiagnostics implements the Diagnostics service of a traffic node.
type nodeDiagnostics struct {
	processDiagnostics
	node  *trafficNode
	flows *proxy.FlowMeter
	// preferredEndpoints is the number of endpoints of a service that the node prefers; 0
	// means all.
	preferredEndpoints uint32
	// remoteWeight and bulkWeight are the load balancer's factors for endpoints in
	// other zones.
	remoteWeight, bulkWeight float64
}

func newNodeDiagnostics(n *trafficNode, flows *proxy.FlowMeter, preferredEndpoints uint32) nodeDiagnostics {
	remote, bulk := n.balancer.Weights()
	return nodeDiagnostics{processDiagnostics: processDiagnostics{n.process}, node: n, flows: flows, preferredEndpoints: preferredEndpoints,
		remoteWeight: remote, bulkWeight: bulk}
}

// Flows returns the rates of the requests that this node has sent recently.
func (d nodeDiagnostics) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	flows, window := d.flows.Report()
	return &meshpb.FlowsResponse{Node: d.options.Self.NodeName, Zone: d.options.Self.ZoneName, RemoteWeight: d.remoteWeight, BulkWeight: d.bulkWeight,
		Flows: flows, WindowS: window.Seconds()}, nil
}

// Sessions returns the open sessions, and the moves since the configuration
// version in the request.
func (d nodeDiagnostics) Sessions(_ context.Context, request *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	response := &meshpb.SessionsResponse{Node: d.options.Self.NodeName, Config: d.node.agent.ConfigVersion()}
	response.Sessions, response.Moves, response.Dropped = d.node.sessions.Report(request.Since)
	return response, nil
}

// RequestRecords returns one page of the records of the requested span.
func (d nodeDiagnostics) RequestRecords(_ context.Context, request *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	response := d.addProcessInfo(d.node.requestLog.Report(time.Duration(request.SpanUs)*time.Microsecond, request.Offset, request.Limit))
	response.RemoteWeight, response.BulkWeight, response.PreferredEndpoints = d.remoteWeight, d.bulkWeight, d.preferredEndpoints
	return response, nil
}

// Snapshots returns the requested views and configurations, as far as the request
// log still has them.
func (d nodeDiagnostics) Snapshots(_ context.Context, request *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return d.node.requestLog.Snapshots(request), nil
}
