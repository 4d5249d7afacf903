package proxy

import (
	"strings"
	"sync"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// The words of a dispatch's fate, as records keep them.
var fates = map[result]string{answered: "ran", bounced: "bounced", unmet: "unmet", turned: "turned away", broken: "unsure", timeout: "late", quit: "quit"}

// FateOf reads such a word.
func ParseOutcome(s string) (Outcome, bool) {
	for r, w := range fates {
		if w == s {
			return r, true
		}
	}
	return 0, false
}

func (r result) String() string { return fates[r] }

// record is the ticket of a request under way; a nil one notes nothing.
type record struct {
	mu sync.Mutex
	t  *meshpb.RequestRecord
	of func(string) float64
}

func (b *Outbound) begin(t *trip) *record {
	if b.o.RequestLog == nil {
		return nil
	}
	b.o.RequestLog.Begin()
	r := t.r
	return &record{of: b.o.RetryBudget.Balance, t: &meshpb.RequestRecord{Id: r.Header.Get(hdrID), AtUs: t.t0.UnixMicro(), Method: r.Method, Host: strings.Clone(r.Host), Target: strings.Clone(r.RequestURI),
		Caller: b.o.Service, BodyBytes: r.ContentLength}}
}

func (b *Outbound) file(t *trip) {
	if t.rec == nil {
		return
	}
	t.rec.mu.Lock()
	x := t.rec.t
	t.rec.t = nil
	t.rec.mu.Unlock()
	x.TookUs = time.Since(t.t0).Microseconds()
	if t.route != nil {
		x.Route, x.Kind, x.LatencyTargetUs, x.Service, x.Session = t.route.Name, t.route.Kind.String(), t.route.LatencyTarget.Microseconds(), t.to, t.pinned
		x.DueUs, x.FirstSeen = t.due.Sub(t.t0).Microseconds(), t.fresh
	}
	if t.plan != nil {
		x.Config = t.plan.Version
	}
	if d, ok := deadline(t.r.Header); ok {
		x.DeadlineUs = d.Microseconds()
	}
	b.o.RequestLog.End(x, t.rec.of)
}

func (r *record) drawn(x float64) {
	if r != nil {
		r.t.Draw = x
	}
}

// header keeps the values that a policy asks for.
func (r *record) header(get func(string) string) func(string) string {
	if r == nil {
		return get
	}
	return func(n string) string {
		v := get(n)
		if r.t.Headers == nil {
			r.t.Headers = map[string]string{}
		}
		r.t.Headers[n] = v
		return v
	}
}

func (r *record) dispatched(t *trip, to *remote, y reply, at time.Time) {
	if r == nil {
		return
	}
	d := &meshpb.Attempt{Endpoint: to.id, Node: to.node, AtUs: at.Sub(t.t0).Microseconds(), TookUs: y.took.Microseconds(), Outcome: fates[y.res], Service: t.to}
	if y.p != nil && y.res == answered {
		d.Code = uint32(y.p.StatusCode)
	}
	r.mu.Lock()
	if r.t != nil {
		r.t.Attempts = append(r.t.Attempts, d)
	}
	r.mu.Unlock()
}

func (r *record) end(code int, why string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	if r.t != nil {
		r.t.Code, r.t.Outcome = uint32(code), why
	}
	r.mu.Unlock()
}
