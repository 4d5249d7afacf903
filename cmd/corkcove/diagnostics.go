package main

import (
	"context"
	"time"

	"corkcove/internal/changetrace"
	"corkcove/internal/proxy"
	"corkcove/internal/rpc/meshpb"
)

// processDiagnostics answers the tools' questions to a core node, which
// carries no traffic: only its trace has anything.
type processDiagnostics struct{ *process }

// Trace returns the steps of a change that this process remembers.
func (d processDiagnostics) Trace(_ context.Context, request *meshpb.TraceRequest) (*meshpb.TraceResponse, error) {
	change, err := changetrace.ParseChange(request.Subject)
	if err != nil {
		return nil, err
	}
	events := d.traceRing.Find(change)
	return &meshpb.TraceResponse{Node: d.options.Self.NodeName, Role: d.role, Lines: events, Known: len(events) > 0}, nil
}

// Flows returns that no requests were carried.
func (d processDiagnostics) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	return &meshpb.FlowsResponse{Node: d.options.Self.NodeName, Zone: d.options.Self.ZoneName}, nil
}

// Sessions returns none.
func (d processDiagnostics) Sessions(context.Context, *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	return &meshpb.SessionsResponse{Node: d.options.Self.NodeName}, nil
}

// RequestRecords returns none.
func (d processDiagnostics) RequestRecords(context.Context, *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	return d.newRecordsResponse(&meshpb.RequestRecordsResponse{}), nil
}

// Snapshots returns none.
func (d processDiagnostics) Snapshots(context.Context, *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return &meshpb.SnapshotsResponse{}, nil
}

// newRecordsResponse adds to the records what the process is and which bounds
// are in force.
func (d processDiagnostics) newRecordsResponse(response *meshpb.RequestRecordsResponse) *meshpb.RequestRecordsResponse {
	self, bounds := d.options.Self, d.options.Requirements.Bounds
	response.Node, response.Zone, response.Service, response.Role = self.NodeName, self.ZoneName, self.ServiceName, d.role
	response.Ratio, response.Slack, response.WindowS = bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindowSeconds
	return response
}

// nodeDiagnostics answers the tools' questions to a traffic node.
type nodeDiagnostics struct {
	processDiagnostics
	node  *trafficNode
	flows *proxy.FlowMeter
	// preferredEndpoints is how many endpoints of a service the node prefers; 0
	// is all.
	preferredEndpoints       uint32
	remoteWeight, bulkWeight float64
}

func newNodeDiagnostics(n *trafficNode, flows *proxy.FlowMeter, preferredEndpoints uint32) nodeDiagnostics {
	remote, bulk := n.balancer.Weights()
	return nodeDiagnostics{processDiagnostics: processDiagnostics{n.process}, node: n, flows: flows, preferredEndpoints: preferredEndpoints,
		remoteWeight: remote, bulkWeight: bulk}
}

// Flows returns the rates of the requests that began here.
func (d nodeDiagnostics) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	flows, window := d.flows.Report()
	return &meshpb.FlowsResponse{Node: d.options.Self.NodeName, Zone: d.options.Self.ZoneName, RemoteWeight: d.remoteWeight, BulkWeight: d.bulkWeight,
		Flows: flows, WindowS: window.Seconds()}, nil
}

// Sessions returns the open sessions, and their moves since a configuration.
func (d nodeDiagnostics) Sessions(_ context.Context, request *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	response := &meshpb.SessionsResponse{Node: d.options.Self.NodeName, Config: d.node.agent.ConfigVersion()}
	response.Sessions, response.Moves, response.Dropped = d.node.sessions.Report(request.Since)
	return response, nil
}

// RequestRecords returns a page of the records of the last span.
func (d nodeDiagnostics) RequestRecords(_ context.Context, request *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	response := d.newRecordsResponse(d.node.requestLog.Report(time.Duration(request.SpanUs)*time.Microsecond, request.Offset, request.Limit))
	response.RemoteWeight, response.BulkWeight, response.PreferredEndpoints = d.remoteWeight, d.bulkWeight, d.preferredEndpoints
	return response, nil
}

// Snapshots returns the views and configurations that the records name.
func (d nodeDiagnostics) Snapshots(_ context.Context, request *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return d.node.requestLog.Snapshots(request), nil
}
