package requestlog

import (
	"slices"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	// maxViews and maxConfigs bound the views and configurations that are kept.
	maxViews   = 512
	maxConfigs = 16
	// maxSamples bounds the samples of the retry budget; if there are more, the
	// oldest quarter goes.
	maxSamples     = 256
	droppedSamples = maxSamples / 4
	// sampleInterval is the least time between two samples of a service's budget.
	sampleInterval = time.Second
)

// Recorder keeps the records of a node's requests. Times are Unix times in
// microseconds.
type Recorder struct {
	now  func() time.Time
	span time.Duration

	mu    sync.Mutex
	began int64
	// ring has the records, the one numbered n at n modulo its size; ended counts
	// all that were put in.
	ring  []*meshpb.RequestRecord
	ended uint64
	// open counts the requests under way.
	open       int
	views      []effectiveView
	configs    []effectiveConfig
	samples    []*meshpb.BudgetSample
	lastSample map[string]int64
}

// effectiveView is a view and since when it was in force.
type effectiveView struct {
	since int64
	view  *meshpb.View
}

// effectiveConfig is a configuration and since when it was in force.
type effectiveConfig struct {
	since   int64
	version uint64
	marshal func() []byte
}

// New returns a recorder that keeps the last records of the last span, size at
// most.
func New(size int, span time.Duration, now func() time.Time) *Recorder {
	return &Recorder{
		now:        now,
		span:       span,
		began:      now().UnixMicro(),
		ring:       make([]*meshpb.RequestRecord, size),
		lastSample: map[string]int64{},
	}
}

// Begin counts a request under way until End.
func (r *Recorder) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open++
}

// End keeps the record of a request that has ended; balance returns what is left
// of a service's retry budget.
func (r *Recorder) End(record *meshpb.RequestRecord, balance func(service string) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if record == nil || len(r.ring) == 0 {
		return
	}
	r.ring[r.ended%uint64(len(r.ring))] = record
	r.ended++
	if record.Service != "" {
		r.sampleBudget(record.Service, record.AtUs+record.TookUs, balance)
	}
}

func (r *Recorder) sampleBudget(service string, at int64, balance func(service string) float64) {
	if at-r.lastSample[service] <= sampleInterval.Microseconds() {
		return
	}
	r.lastSample[service] = at
	r.samples = append(r.samples, &meshpb.BudgetSample{AtUs: at, Service: service, Remaining: balance(service)})
	if len(r.samples) > maxSamples {
		r.samples = slices.Clone(r.samples[droppedSamples:])
	}
}

// RecordView notes a view that came into force here.
func (r *Recorder) RecordView(view *meshpb.View) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	r.views = append(r.views, effectiveView{now, view})
	outdated := r.countOutdated(len(r.views), maxViews, now, func(i int) int64 { return r.views[i].since })
	if outdated > 0 {
		r.views = slices.Clone(r.views[outdated:])
	}
}

// RecordConfig notes a configuration that came into force here; marshal writes
// all of it.
func (r *Recorder) RecordConfig(version uint64, marshal func() []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	r.configs = append(r.configs, effectiveConfig{now, version, marshal})
	outdated := r.countOutdated(len(r.configs), maxConfigs, now, func(i int) int64 { return r.configs[i].since })
	if outdated > 0 {
		r.configs = slices.Clone(r.configs[outdated:])
	}
}

// countOutdated returns how many of the oldest entries go: those beyond limit,
// and those whose successor was in force before the span began.
func (r *Recorder) countOutdated(count, limit int, now int64, since func(int) int64) int {
	outdated := 0
	for outdated < count-1 && (count-outdated > limit || now-since(outdated+1) > r.span.Microseconds()) {
		outdated++
	}
	return outdated
}
