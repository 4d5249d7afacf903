// Package ticket keeps a record of the requests that a node carried, in a
// bounded ring: who asked what, where it was dispatched, what became of it.
// Bodies are not kept, nor header values that no policy asked for.
package requestlog

import (
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	keepMarks   = 512
	keepConfigs = 16
	balances    = 256
	eachS       = time.Second
)

type viewAt struct {
	at   int64
	view *meshpb.View
}

type configAt struct {
	at      int64
	version uint64
	doc     func() []byte
}

// Recorder is guarded by one short lock; a nil one keeps nothing.
type Recorder struct {
	mu      sync.Mutex
	now     func() time.Time
	span    time.Duration
	ring    []*meshpb.RequestRecord
	n       uint64
	open    int
	began   int64
	views   []viewAt
	configs []configAt
	bal     []*meshpb.BudgetSample
	balAt   map[string]int64
}

// New keeps the last most requests of the last span.
func New(most int, span time.Duration, now func() time.Time) *Recorder {
	return &Recorder{now: now, span: span, ring: make([]*meshpb.RequestRecord, most), began: now().UnixMicro(), balAt: map[string]int64{}}
}

func (r *Recorder) Begin() {
	r.mu.Lock()
	r.open++
	r.mu.Unlock()
}

func (r *Recorder) End(t *meshpb.RequestRecord, left func(service string) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if t == nil || len(r.ring) == 0 {
		return
	}
	r.ring[r.n%uint64(len(r.ring))] = t
	r.n++
	at := t.AtUs + t.TookUs
	if t.Service != "" && at-r.balAt[t.Service] > eachS.Microseconds() {
		r.balAt[t.Service] = at
		r.bal = append(r.bal, &meshpb.BudgetSample{AtUs: at, Service: t.Service, Remaining: left(t.Service)})
		if len(r.bal) > balances {
			r.bal = append([]*meshpb.BudgetSample(nil), r.bal[balances/4:]...)
		}
	}
}

// View notes a view that came into force here.
func (r *Recorder) RecordView(v *meshpb.View) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().UnixMicro()
	r.views = append(r.views, viewAt{at, v})
	n := 0
	for n < len(r.views)-1 && (len(r.views)-n > keepMarks || at-r.views[n+1].at > r.span.Microseconds()) {
		n++
	}
	if n > 0 {
		r.views = append([]viewAt(nil), r.views[n:]...)
	}
}

// Config notes a configuration that came into force here; doc writes it whole.
func (r *Recorder) RecordConfig(version uint64, doc func() []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().UnixMicro()
	r.configs = append(r.configs, configAt{at, version, doc})
	n := 0
	for n < len(r.configs)-1 && (len(r.configs)-n > keepConfigs || at-r.configs[n+1].at > r.span.Microseconds()) {
		n++
	}
	if n > 0 {
		r.configs = append([]configAt(nil), r.configs[n:]...)
	}
}

// Report gives the tickets of the last span that ended, from the one numbered
// from; next is 0 once there are no more.
func (r *Recorder) Report(span time.Duration, from, most uint32) *meshpb.RequestRecordsResponse {
	if r == nil {
		return &meshpb.RequestRecordsResponse{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now().UnixMicro()
	since := now - min(span, r.span).Microseconds()
	o := &meshpb.RequestRecordsResponse{NowUs: now, BeganUs: max(r.began, since), Unfinished: uint64(max(r.open, 0))}
	size := uint64(len(r.ring))
	first := uint64(0)
	if r.n > size {
		first = r.n - size
	}
	if first > 0 && size > 0 {
		if t := r.ring[first%size]; t.AtUs > since && r.began < t.AtUs {
			o.Dropped = first
			o.LostUs = t.AtUs - o.BeganUs
		}
	}
	k := uint32(0)
	for i := first; i < r.n; i++ {
		t := r.ring[i%size]
		if t.AtUs < since {
			continue
		}
		if k++; k <= from {
			continue
		}
		if uint32(len(o.Records)) == most {
			o.Next = k - 1
			break
		}
		o.Records = append(o.Records, t)
	}
	if from == 0 {
		for i, v := range r.views {
			if i == len(r.views)-1 || r.views[i+1].at > since {
				o.Views = append(o.Views, &meshpb.VersionChange{AtUs: v.at, Epoch: v.view.Epoch, Version: v.view.Version})
			}
		}
		for i, c := range r.configs {
			if i == len(r.configs)-1 || r.configs[i+1].at > since {
				o.Configs = append(o.Configs, &meshpb.VersionChange{AtUs: c.at, Version: c.version})
			}
		}
		for _, b := range r.bal {
			if b.AtUs > since {
				o.BudgetSamples = append(o.BudgetSamples, b)
			}
		}
	}
	return o
}

// Parts gives the views and configurations that are asked for and kept here.
func (r *Recorder) Snapshots(q *meshpb.SnapshotsRequest) *meshpb.SnapshotsResponse {
	if r == nil {
		return &meshpb.SnapshotsResponse{}
	}
	r.mu.Lock()
	vs, cs := r.views, r.configs
	r.mu.Unlock()
	o := &meshpb.SnapshotsResponse{}
	for _, x := range q.Views {
		for _, v := range vs {
			if v.view.Epoch == x.Epoch && v.view.Version == x.Version {
				o.Views = append(o.Views, v.view.Lean())
				break
			}
		}
	}
	for _, s := range q.Configs {
		for _, c := range cs {
			if c.version == s {
				o.Configs = append(o.Configs, &meshpb.ConfigSnapshot{Version: s, Packed: rpc.Pack(c.doc())})
				break
			}
		}
	}
	return o
}
