package meshtest

import "corkcove/internal/rpc/meshpb"

const (
	// recordedSpan is how far back a recording reaches: all of a test.
	recordedSpan = longTest
	// maxReportedRecords is more than a node keeps.
	maxReportedRecords = 1 << 30
)

// Recording returns what `replay save` would gather from the nodes.
func (m *Mesh) Recording() *meshpb.ReplayFile {
	recording := &meshpb.ReplayFile{Version: 1, SpanUs: recordedSpan.Microseconds()}
	known := knownSnapshots{views: map[uint64]bool{}, configs: map[uint64]bool{}}
	for _, n := range m.Nodes {
		report := n.report()
		recording.Nodes = append(recording.Nodes, report)
		snapshots := n.Records.Snapshots(known.missing(report))
		recording.Views = append(recording.Views, snapshots.Views...)
		recording.Configs = append(recording.Configs, snapshots.Configs...)
	}
	return recording
}

func (n *Node) report() *meshpb.RequestRecordsResponse {
	r := n.Records.Report(recordedSpan, 0, maxReportedRecords)
	r.Node, r.Zone, r.Service, r.Role = n.Name, n.Endpoint.Zone, n.Endpoint.Service, "sidecar"
	r.Ratio, r.Slack, r.WindowS = RetryRatio, RetrySlack, RetryWindow.Seconds()
	r.RemoteWeight, r.BulkWeight = remoteWeight, bulkWeight
	return r
}

// knownSnapshots are the versions of views and configurations that a recording
// has already.
type knownSnapshots struct {
	views   map[uint64]bool
	configs map[uint64]bool
}

// missing asks for what a node's report names and is not known, and counts it as
// known.
func (k knownSnapshots) missing(report *meshpb.RequestRecordsResponse) *meshpb.SnapshotsRequest {
	request := &meshpb.SnapshotsRequest{}
	for _, view := range report.Views {
		if !k.views[view.Version] {
			k.views[view.Version] = true
			request.Views = append(request.Views, view)
		}
	}
	for _, config := range report.Configs {
		if !k.configs[config.Version] {
			k.configs[config.Version] = true
			request.Configs = append(request.Configs, config.Version)
		}
	}
	return request
}
