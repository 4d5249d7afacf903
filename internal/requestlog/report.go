package requestlog

import (
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Report returns the records of the last span that have ended, without as many
// of the oldest as offset says and at most limit. Its Next is the offset for the
// call after it, or 0 if there are no more; the first report also has what was in
// force meanwhile.
func (r *Recorder) Report(span time.Duration, offset, limit uint32) *meshpb.RequestRecordsResponse {
	if r == nil {
		return &meshpb.RequestRecordsResponse{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	since := now - min(span, r.span).Microseconds()
	report := &meshpb.RequestRecordsResponse{NowUs: now, BeganUs: max(r.began, since), Unfinished: uint64(max(r.open, 0))}
	r.reportRecords(report, since, offset, limit)
	if offset == 0 {
		r.reportVersions(report, since)
		r.reportSamples(report, since)
	}
	return report
}

func (r *Recorder) reportRecords(report *meshpb.RequestRecordsResponse, since int64, offset, limit uint32) {
	size := uint64(len(r.ring))
	oldest := uint64(0)
	if r.ended > size {
		oldest = r.ended - size
	}
	if oldest > 0 && size > 0 {
		first := r.ring[oldest%size]
		if first.AtUs > since && r.began < first.AtUs {
			report.Dropped = oldest
			report.LostUs = first.AtUs - report.BeganUs
		}
	}
	found := uint32(0)
	for i := oldest; i < r.ended; i++ {
		record := r.ring[i%size]
		if record.AtUs < since {
			continue
		}
		found++
		if found <= offset {
			continue
		}
		if uint32(len(report.Records)) == limit {
			report.Next = found - 1
			return
		}
		report.Records = append(report.Records, record)
	}
}

// reportVersions adds the views and configurations that were in force after
// since.
func (r *Recorder) reportVersions(report *meshpb.RequestRecordsResponse, since int64) {
	for i, v := range r.views {
		if i == len(r.views)-1 || r.views[i+1].since > since {
			report.Views = append(report.Views, &meshpb.VersionChange{AtUs: v.since, Epoch: v.view.Epoch, Version: v.view.Version})
		}
	}
	for i, c := range r.configs {
		if i == len(r.configs)-1 || r.configs[i+1].since > since {
			report.Configs = append(report.Configs, &meshpb.VersionChange{AtUs: c.since, Version: c.version})
		}
	}
}

func (r *Recorder) reportSamples(report *meshpb.RequestRecordsResponse, since int64) {
	for _, sample := range r.samples {
		if sample.AtUs > since {
			report.BudgetSamples = append(report.BudgetSamples, sample)
		}
	}
}

// Snapshots returns the views and configurations that are asked for, as far as
// they are kept.
func (r *Recorder) Snapshots(request *meshpb.SnapshotsRequest) *meshpb.SnapshotsResponse {
	response := &meshpb.SnapshotsResponse{}
	if r == nil {
		return response
	}
	// What is in the slices does not change, so the lock is not needed for long.
	r.mu.Lock()
	views, configs := r.views, r.configs
	r.mu.Unlock()
	for _, wanted := range request.Views {
		if view := findView(views, wanted); view != nil {
			response.Views = append(response.Views, view.ForNodes())
		}
	}
	for _, version := range request.Configs {
		if config, ok := findConfig(configs, version); ok {
			response.Configs = append(response.Configs, &meshpb.ConfigSnapshot{Version: version, Packed: rpc.Compress(config.marshal())})
		}
	}
	return response
}

func findView(views []effectiveView, wanted *meshpb.VersionChange) *meshpb.View {
	for _, v := range views {
		if v.view.Epoch == wanted.Epoch && v.view.Version == wanted.Version {
			return v.view
		}
	}
	return nil
}

func findConfig(configs []effectiveConfig, version uint64) (effectiveConfig, bool) {
	for _, c := range configs {
		if c.version == version {
			return c, true
		}
	}
	return effectiveConfig{}, false
}
