// Package subscriber knows the endpoint beside this node: its life, its beats,
// its drain, and how many requests it may be given at once.
package endpointagent

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

var Error = errs.Class("subscriber")

type RejectReason string

const (
	NotRejected              RejectReason = ""
	RejectedNoEndpoint       RejectReason = "no-life"
	RejectedOtherIncarnation RejectReason = "other-life"
	RejectedDraining         RejectReason = "draining"
	RejectedUnhealthy        RejectReason = "unsound"
	RejectedQueueFull        RejectReason = "full"
	RejectedLate             RejectReason = "late"
	RejectedStopping         RejectReason = "stopping"
	RejectedCanceled         RejectReason = "gave-up"
)

type Heartbeat struct {
	ID              string
	Service         string
	Addr            string
	Zone            string
	SoftwareVersion string
	Slots           int
	State           string
	Warmup          time.Duration
	Seq             uint64
}

// Life is what other nodes are told about the endpoint.
type Status struct {
	Heartbeat
	Healthy bool
	Known   bool
	// Ill is the share of its requests that it failed of late, in percent; 0
	// while it does well enough.
	FailurePercent int
}

type Load struct {
	Running     int
	Queued      int
	Slots       int
	ServiceTime time.Duration
}

type Options struct {
	Service           string
	HeartbeatInterval time.Duration
	MissedHeartbeats  float64
	QueuePerSlot      float64
	Now               func() time.Time
	Logf              func(f string, a ...any)
	OnChange          func(Status)
}

// Place orders the queue: what can still be answered in time goes first, then
// by rank and deadline.
type Priority struct {
	Late     bool
	Rank     int
	Deadline time.Time
	// Hot marks a read of a key that draws a crowd: it stands behind others of
	// its rank, and leaves a share of the slots to them.
	Hot bool
}

func (p Priority) before(o Priority) bool {
	if p.Late != o.Late {
		return o.Late
	}
	if p.Rank != o.Rank {
		return p.Rank < o.Rank
	}
	if p.Hot != o.Hot {
		return o.Hot
	}
	return p.Deadline.Before(o.Deadline)
}

type seat struct {
	Priority
	ch chan RejectReason
	ix int
}

type line []*seat

func (l line) Len() int           { return len(l) }
func (l line) Less(i, j int) bool { return l[i].before(l[j].Priority) }
func (l line) Swap(i, j int)      { l[i], l[j] = l[j], l[i]; l[i].ix, l[j].ix = i, j }
func (l *line) Push(x any)        { s := x.(*seat); s.ix = len(*l); *l = append(*l, s) }
func (l *line) Pop() any {
	o := *l
	s := o[len(o)-1]
	*l = o[:len(o)-1]
	s.ix = -1
	return s
}

// Desk is guarded by one short lock; nothing blocks while it is held.
type Agent struct {
	o      Options
	mu     sync.Mutex
	life   Status
	dead   map[string]uint64
	last   time.Time
	coldTo time.Time
	stop   bool
	run    int
	wait   line
	work   time.Duration
	fails  int
	ills   illness
	hot    int
	other  time.Time
}

const (
	// spared is the part of the slots that hot reads leave to the rest, while
	// the rest has come within sparedFor.
	spared    = 4
	sparedFor = time.Second
)

// hotMost is how many slots reads of hot keys may hold now.
func (d *Agent) hotMost(now time.Time) int {
	n := max(d.life.Slots, 1)
	if now.Sub(d.other) > sparedFor || n == 1 {
		return n
	}
	return n - max(n/spared, 1)
}

func New(o Options) *Agent {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Agent{o: o, dead: map[string]uint64{}}
}

func (d *Agent) changed(was Status) func() {
	l := d.life
	if l.ID == was.ID && l.State == was.State && l.Healthy == was.Healthy && l.Slots == was.Slots && l.Known == was.Known && l.FailurePercent == was.FailurePercent &&
		(l.Warmup > 0) == (was.Warmup > 0) {
		return func() {}
	}
	d.o.Logf("endpoint %s: %s sound=%v slots=%d cold=%v (was %s %s sound=%v)", l.ID, l.State, l.Healthy, l.Slots, l.Warmup, was.ID, was.State, was.Healthy)
	return func() { d.o.OnChange(l) }
}

// Beat takes an endpoint's own word. False means that the call was late or of
// a life that has ended.
func (d *Agent) RecordHeartbeat(b Heartbeat) bool {
	d.mu.Lock()
	was := d.life
	if n, ok := d.dead[b.ID]; ok && b.Seq <= n || b.ID == was.ID && was.Known && b.Seq != 0 && b.Seq <= was.Seq {
		d.mu.Unlock()
		return false
	}
	if was.Known && was.ID != "" && was.ID != b.ID {
		d.dead[was.ID] = 1 << 62
		if _, ok := d.dead[b.ID]; ok {
			d.mu.Unlock()
			return false
		}
		d.flush(RejectedOtherIncarnation)
		d.run, d.hot = 0, 0
	}
	if was.ID == b.ID && was.State == "draining" && b.State == "ready" {
		b.State = "draining"
	}
	if was.ID != b.ID {
		d.ills = illness{}
	}
	d.life = Status{Heartbeat: b, Healthy: true, Known: true, FailurePercent: d.ills.ill}
	d.last = d.o.Now()
	d.coldTo = d.last.Add(b.Warmup)
	if was.ID != b.ID || !was.Healthy {
		d.fails = 0
	}
	if b.State != "ready" {
		d.flush(RejectedDraining)
	}
	d.fill()
	f := d.changed(was)
	d.mu.Unlock()
	f()
	return true
}

func (d *Agent) Deregister(id string) {
	d.mu.Lock()
	was := d.life
	d.dead[id] = 1 << 62
	if d.life.ID == id {
		d.life.State = "gone"
		d.flush(RejectedDraining)
	}
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

// Found notes an endpoint that answered a probe before its first beat.
func (d *Agent) RecordProbe(id string, slots int) {
	d.mu.Lock()
	was := d.life
	if was.Known || id == "" || d.dead[id] > 0 {
		d.mu.Unlock()
		return
	}
	d.life = Status{Heartbeat: Heartbeat{ID: id, Service: d.o.Service, Slots: slots, State: "ready"}, Healthy: true, Known: true}
	d.last = d.o.Now()
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

func (d *Agent) Stop() {
	d.mu.Lock()
	d.stop = true
	d.flush(RejectedStopping)
	d.mu.Unlock()
}

// Tick marks an endpoint whose beats stay out.
func (d *Agent) Tick() {
	d.mu.Lock()
	was := d.life
	now := d.o.Now()
	if d.life.Known && d.life.Healthy && now.Sub(d.last) > time.Duration(d.o.MissedHeartbeats*float64(d.o.HeartbeatInterval)) {
		d.life.Healthy = false
		d.flush(RejectedUnhealthy)
	}
	if d.life.Warmup > 0 && now.After(d.coldTo) {
		d.life.Warmup = 0
	}
	d.ills.fade(now)
	d.life.FailurePercent = d.ills.ill
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

// Refused notes that the endpoint's address took no connection.
func (d *Agent) RecordConnectionRefused(id string) {
	d.mu.Lock()
	was := d.life
	if d.life.ID == id {
		d.fails++
		if d.fails >= 2 && d.life.Healthy {
			d.life.Healthy = false
			d.flush(RejectedUnhealthy)
		}
	}
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

// Answered notes that the endpoint answered something.
func (d *Agent) RecordResponse(id string, took time.Duration) {
	d.mu.Lock()
	was := d.life
	if d.life.ID == id {
		d.fails = 0
		d.last = d.o.Now()
		if took > 0 {
			if d.work == 0 {
				d.work = took
			}
			d.work += (took - d.work) / 16
		}
	}
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

// Judged notes whether the endpoint did what it was asked.
func (d *Agent) RecordOutcome(id string, good bool) {
	d.mu.Lock()
	was := d.life
	if d.life.ID == id {
		d.ills.note(good, d.o.Now())
		d.life.FailurePercent = d.ills.ill
	}
	f := d.changed(was)
	d.mu.Unlock()
	f()
}

func (d *Agent) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

func (d *Agent) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{d.run, len(d.wait), max(d.life.Slots, 1), d.work}
}

func (d *Agent) flush(r RejectReason) {
	for len(d.wait) > 0 {
		heap.Pop(&d.wait).(*seat).ch <- r
	}
}

func (d *Agent) open(id string) RejectReason {
	switch {
	case d.stop:
		return RejectedStopping
	case !d.life.Known:
		return RejectedNoEndpoint
	case d.life.ID != id:
		return RejectedOtherIncarnation
	case d.life.State != "ready":
		return RejectedDraining
	case !d.life.Healthy:
		return RejectedUnhealthy
	}
	return NotRejected
}

// fill gives free slots to those who wait; hot reads that may have no more of
// them let others pass.
func (d *Agent) fill() {
	var passed []*seat
	for len(d.wait) > 0 && d.run < d.life.Slots {
		s := heap.Pop(&d.wait).(*seat)
		if s.Hot && d.hot >= d.hotMost(d.o.Now()) {
			passed = append(passed, s)
			continue
		}
		d.take(s.Hot)
		s.ch <- NotRejected
	}
	for _, s := range passed {
		heap.Push(&d.wait, s)
	}
}

// onlyHot tells that none but hot reads wait.
func (d *Agent) onlyHot() bool {
	for _, s := range d.wait {
		if !s.Hot {
			return false
		}
	}
	return true
}

func (d *Agent) take(hot bool) {
	d.run++
	if hot {
		d.hot++
	}
}

// Admit waits for a slot by rank and deadline, or turns away at once where the
// wait would be longer than most. With None the caller holds a slot of the
// life id and must call the release it gets.
func (d *Agent) Admit(ctx context.Context, id string, at Priority, most time.Duration) (func(), RejectReason) {
	d.mu.Lock()
	if r := d.open(id); r != NotRejected {
		d.mu.Unlock()
		return nil, r
	}
	now := d.o.Now()
	if !at.Hot {
		d.other = now
	}
	if d.run < d.life.Slots && (len(d.wait) == 0 || !at.Hot && d.onlyHot()) && !(at.Hot && d.hot >= d.hotMost(now)) {
		d.take(at.Hot)
		d.mu.Unlock()
		return d.releaser(id, at.Hot), NotRejected
	}
	ahead := 1
	for _, s := range d.wait {
		if !at.before(s.Priority) {
			ahead++
		}
	}
	est := d.work * time.Duration(ahead) / time.Duration(max(d.life.Slots, 1))
	if est > most || len(d.wait) >= int(d.o.QueuePerSlot*float64(d.life.Slots))+2 {
		d.mu.Unlock()
		return nil, RejectedQueueFull
	}
	s := &seat{Priority: at, ch: make(chan RejectReason, 1)}
	heap.Push(&d.wait, s)
	d.mu.Unlock()
	t := time.NewTimer(at.Deadline.Sub(now))
	defer t.Stop()
	r := RejectedCanceled
	select {
	case r := <-s.ch:
		if r == NotRejected {
			return d.releaser(id, at.Hot), NotRejected
		}
		return nil, r
	case <-t.C:
		r = RejectedLate
	case <-ctx.Done():
	}
	d.mu.Lock()
	if s.ix >= 0 {
		heap.Remove(&d.wait, s.ix)
		d.mu.Unlock()
		return nil, r
	}
	d.mu.Unlock()
	if x := <-s.ch; x == NotRejected {
		d.releaser(id, at.Hot)()
	}
	return nil, r
}

func (d *Agent) releaser(id string, hot bool) func() {
	return func() {
		d.mu.Lock()
		if d.life.ID == id && d.run > 0 {
			d.run--
			if hot {
				d.hot--
			}
			if d.open(id) == NotRejected {
				d.fill()
			}
		}
		d.mu.Unlock()
	}
}
