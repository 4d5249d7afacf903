package meshtest

import "corkcove/internal/rpc/meshpb"

const (
	// recordedSpan is the time span that a recording covers: the whole test.
	recordedSpan = testDurationLimit
	// maxReportedRecords is greater than maxRecords, so that reports are never
	// truncated.
	maxReportedRecords = 1 << 30
)

// Recording returns the replay file that `replay save` would write for this mesh.
func (m *Mesh) Recording() *meshpb.ReplayFile {
	recording := &meshpb.ReplayFile{Version: 1, SpanUs: recordedSpan.Microseconds()}
	requested := collectedVersions{views: map[uint64]bool{}, configs: map[uint64]bool{}}
	for _, n := range m.Nodes {
		report := n.report()
		recording.Nodes = append(recording.Nodes, report)
		snapshots := n.Records.Snapshots(requested.requestMissing(report))
		recording.Views = append(recording.Views, snapshots.Views...)
		recording.Configs = append(recording.Configs, snapshots.Configs...)
	}
	return recording
}

// report returns the node's answer to a RequestRecords call.
func (n *Node) report() *meshpb.RequestRecordsResponse {
	r := n.Records.Report(recordedSpan, 0, maxReportedRecords)
	r.Node, r.Zone, r.Service, r.Role = n.Name, n.Endpoint.Zone, n.Endpoint.Service, "sidecar"
	r.Ratio, r.Slack, r.WindowS = RetryRatio, RetrySlack, RetryWindow.Seconds()
	r.RemoteWeight, r.BulkWeight = remoteWeight, bulkWeight
	return r
}

// collectedVersions has the versions of the views and configurations that have been
// requested for a recording.
type collectedVersions struct {
	views   map[uint64]bool
	configs map[uint64]bool
}

// requestMissing returns a request for the views and configurations that a report
// refers to and that have not been requested before, and marks them as requested.
func (v collectedVersions) requestMissing(report *meshpb.RequestRecordsResponse) *meshpb.SnapshotsRequest {
	request := &meshpb.SnapshotsRequest{}
	for _, view := range report.Views {
		if !v.views[view.Version] {
			v.views[view.Version] = true
			request.Views = append(request.Views, view)
		}
	}
	for _, config := range report.Configs {
		if !v.configs[config.Version] {
			v.configs[config.Version] = true
			request.Configs = append(request.Configs, config.Version)
		}
	}
	return request
}
