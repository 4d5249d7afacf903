package requestlog

import (
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/names"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Report returns up to limit records of requests that started within the last span,
// skipping the offset oldest of them. Next in the response is the offset for the next
// call, or 0 if there are no more records. The response for offset 0 also holds the
// versions of the view and configuration that were in force and the budget samples.
func (r *Recorder) Report(span time.Duration, offset, limit uint32) *meshpb.RequestRecordsResponse {
	if r == nil {
		return &meshpb.RequestRecordsResponse{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	since := now - min(span, r.retention).Microseconds()
	report := &meshpb.RequestRecordsResponse{NowUs: now, BeganUs: max(r.startedAt, since), Unfinished: uint64(max(r.inProgress, 0))}
	r.addRecords(report, since, offset, limit)
	if offset == 0 {
		r.addVersions(report, since)
		r.addBudgetSamples(report, since)
	}
	return report
}

// addRecords adds the records from since on, and how many records were overwritten
// if the ring no longer holds the start of the span.
func (r *Recorder) addRecords(report *meshpb.RequestRecordsResponse, since int64, offset, limit uint32) {
	size := uint64(len(r.ring))
	oldest := uint64(0)
	if r.added > size {
		oldest = r.added - size
	}
	if oldest > 0 && size > 0 {
		first := r.ring[oldest%size]
		if first.AtUs > since && r.startedAt < first.AtUs {
			report.Dropped = oldest
			report.LostUs = first.AtUs - report.BeganUs
		}
	}
	found := uint32(0)
	for i := oldest; i < r.added; i++ {
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
		report.Records = append(report.Records, sendable(record))
	}
}

// sendable returns the record with the texts that come from the client escaped, because a
// message can carry valid UTF-8 only. A record that needs no escape is returned itself.
func sendable(record *meshpb.RequestRecord) *meshpb.RequestRecord {
	if hasValidTexts(record) {
		return record
	}
	escaped := proto.CloneOf(record)
	escaped.Id, escaped.Method = names.Escape(record.Id), names.Escape(record.Method)
	escaped.Host, escaped.Target = names.Escape(record.Host), names.Escape(record.Target)
	escaped.Headers = map[string]string{}
	for name, value := range record.Headers {
		escaped.Headers[names.Escape(name)] = names.Escape(value)
	}
	return escaped
}

func hasValidTexts(record *meshpb.RequestRecord) bool {
	for name, value := range record.Headers {
		if !utf8.ValidString(name) || !utf8.ValidString(value) {
			return false
		}
	}
	return utf8.ValidString(record.Id) && utf8.ValidString(record.Method) && utf8.ValidString(record.Host) && utf8.ValidString(record.Target)
}

// addVersions adds the versions of the view and the configuration that were in force
// after since.
func (r *Recorder) addVersions(report *meshpb.RequestRecordsResponse, since int64) {
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

// addBudgetSamples adds the samples of the retry budgets that were taken after since.
func (r *Recorder) addBudgetSamples(report *meshpb.RequestRecordsResponse, since int64) {
	for _, sample := range r.budgetSamples {
		if sample.AtUs > since {
			report.BudgetSamples = append(report.BudgetSamples, sample)
		}
	}
}

// Snapshots returns those of the requested views and configurations that are still
// retained.
func (r *Recorder) Snapshots(request *meshpb.SnapshotsRequest) *meshpb.SnapshotsResponse {
	response := &meshpb.SnapshotsResponse{}
	if r == nil {
		return response
	}
	// The elements of the slices are never modified, so the mutex only protects the
	// slice headers.
	r.mu.Lock()
	views, configs := r.views, r.configs
	r.mu.Unlock()
	for _, requested := range request.Views {
		if view := findView(views, requested); view != nil {
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

func findView(views []activatedView, requested *meshpb.VersionChange) *meshpb.View {
	for _, v := range views {
		if v.view.Epoch == requested.Epoch && v.view.Version == requested.Version {
			return v.view
		}
	}
	return nil
}

func findConfig(configs []activatedConfig, version uint64) (activatedConfig, bool) {
	for _, c := range configs {
		if c.version == version {
			return c, true
		}
	}
	return activatedConfig{}, false
}
