package requestlog

import (
	"slices"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

const (
	// maxViews and maxConfigs limit the number of retained views and configurations.
	maxViews   = 512
	maxConfigs = 16
	// maxBudgetSamples limits the number of samples of all retry budgets. If it is
	// exceeded, the oldest evictedBudgetSamples are discarded.
	maxBudgetSamples     = 256
	evictedBudgetSamples = maxBudgetSamples / 4
	// budgetSampleInterval is the minimum time between two samples of a service's
	// retry budget.
	budgetSampleInterval = time.Second
)

// Recorder keeps the records of a node's recent requests. Its int64 times are Unix
// times in microseconds.
type Recorder struct {
	now       func() time.Time
	retention time.Duration

	mu sync.Mutex
	// startedAt is the time at which the recorder was created.
	startedAt int64
	// ring holds the records. Record n is at index n modulo the size of the ring;
	// added counts all records since the start.
	ring  []*meshpb.RequestRecord
	added uint64
	// inProgress counts the requests in progress.
	inProgress       int
	views            []activatedView
	configs          []activatedConfig
	budgetSamples    []*meshpb.BudgetSample
	lastBudgetSample map[string]int64
}

// activatedView is a view and the time at which it came into force.
type activatedView struct {
	since int64
	view  *meshpb.View
}

// activatedConfig is a configuration and the time at which it came into force.
type activatedConfig struct {
	since   int64
	version uint64
	marshal func() []byte
}

// New returns a recorder that keeps up to size records. Reports cover at most the
// retention time before the call, and now returns the current time.
func New(size int, retention time.Duration, now func() time.Time) *Recorder {
	return &Recorder{
		now:              now,
		retention:        retention,
		startedAt:        now().UnixMicro(),
		ring:             make([]*meshpb.RequestRecord, size),
		lastBudgetSample: map[string]int64{},
	}
}

// Begin counts a request as in progress until End is called. The recorder must not be
// nil.
func (r *Recorder) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress++
}

// End adds the record of a completed request; a nil record only ends the count that
// Begin started. balance returns the remaining retry budget of a service. The recorder
// must not be nil.
func (r *Recorder) End(record *meshpb.RequestRecord, balance func(service string) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress--
	if record == nil || len(r.ring) == 0 {
		return
	}
	r.ring[r.added%uint64(len(r.ring))] = record
	r.added++
	if record.Service != "" {
		r.sampleBudget(record.Service, record.AtUs+record.TookUs, balance)
	}
}

// sampleBudget adds a sample of a service's retry budget unless the last one is too
// recent.
func (r *Recorder) sampleBudget(service string, at int64, balance func(service string) float64) {
	if at-r.lastBudgetSample[service] <= budgetSampleInterval.Microseconds() {
		return
	}
	r.lastBudgetSample[service] = at
	r.budgetSamples = append(r.budgetSamples, &meshpb.BudgetSample{AtUs: at, Service: service, Remaining: balance(service)})
	if len(r.budgetSamples) > maxBudgetSamples {
		r.budgetSamples = slices.Clone(r.budgetSamples[evictedBudgetSamples:])
	}
}

// RecordView records that a view came into force at this node.
func (r *Recorder) RecordView(view *meshpb.View) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	r.views = append(r.views, activatedView{now, view})
	expired := r.countExpired(len(r.views), maxViews, now, func(i int) int64 { return r.views[i].since })
	if expired > 0 {
		r.views = slices.Clone(r.views[expired:])
	}
}

// RecordConfig records that a configuration came into force at this node. marshal
// encodes the complete configuration and is called only when a snapshot is requested.
func (r *Recorder) RecordConfig(version uint64, marshal func() []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	r.configs = append(r.configs, activatedConfig{now, version, marshal})
	expired := r.countExpired(len(r.configs), maxConfigs, now, func(i int) int64 { return r.configs[i].since })
	if expired > 0 {
		r.configs = slices.Clone(r.configs[expired:])
	}
}

// countExpired returns the number of oldest entries to discard: those that exceed
// limit, and those whose successor came into force longer than the retention time ago.
func (r *Recorder) countExpired(count, limit int, now int64, since func(int) int64) int {
	expired := 0
	for expired < count-1 && (count-expired > limit || now-since(expired+1) > r.retention.Microseconds()) {
		expired++
	}
	return expired
}
