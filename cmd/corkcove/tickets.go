package main

import (
	"context"
	"time"

	"corkcove/internal/requestlog"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

func (p *process) newTickets() *requestlog.Recorder {
	if p.options.RequestLog.MaxRequests == 0 {
		return nil
	}
	return requestlog.New(p.options.RequestLog.MaxRequests, settings.Seconds(p.options.RequestLog.RetentionSeconds), time.Now)
}

func (t teller) RequestRecords(_ context.Context, q *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	r := t.tickets.Report(time.Duration(q.SpanUs)*time.Microsecond, q.Offset, q.Limit)
	s, b := t.options.Self, t.options.Requirements.Bounds
	r.Node, r.Zone, r.Service, r.Role = s.NodeName, s.ZoneName, s.ServiceName, t.role
	r.Ratio, r.Slack, r.WindowS, r.RemoteWeight, r.BulkWeight, r.PreferredEndpoints = b.RetryRatio, b.RetrySlack, b.RetryWindowSeconds, t.far, t.heavy, t.near
	return r, nil
}

func (t teller) Snapshots(_ context.Context, q *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return t.tickets.Snapshots(q), nil
}
