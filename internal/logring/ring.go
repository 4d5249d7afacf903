package logring

import (
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// timeLayout is how an entry's time is written out.
const timeLayout = "15:04:05.000"

// Ring keeps the last entries in memory and writes them out when something
// goes wrong.
type Ring struct {
	// flushInterval is the least time between two writings.
	flushInterval time.Duration
	// observe, if set, is called with each entry, under the lock.
	observe func(Entry)

	mu sync.Mutex
	// entries are reused in turn; each keeps the capacity of its pairs.
	entries []Entry
	// oldest is the index of the oldest entry once all of them are used.
	oldest    int
	lastFlush time.Time
}

// New returns a ring of the last size entries that is written out at most once
// in flushInterval. The observer, if there is one, is called with each entry
// as it is logged, by one goroutine at a time; it must not keep the entry's
// pairs nor log to the same ring.
func New(size int, flushInterval time.Duration, observer func(Entry)) *Ring {
	return &Ring{flushInterval: flushInterval, observe: observer, entries: make([]Entry, 0, size)}
}

// WriteNow is an observer that writes each entry out as it is logged.
func WriteNow(e Entry) { klog.Info(e.String()) }

// Logger returns the logger of a component.
func (r *Ring) Logger(component string) Logger { return Logger{ring: r, component: component} }

// add copies the pairs, so that the caller's slice need not be allocated.
func (r *Ring) add(level Level, component, message string, keysAndValues []any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.nextSlot()
	e.Time, e.Level, e.Component, e.Message = now, level, component, message
	clear(e.KeysAndValues)
	e.KeysAndValues = append(e.KeysAndValues[:0], keysAndValues...)
	if r.observe != nil {
		r.observe(*e)
	}
}

// nextSlot returns the entry to be written to: an unused one as long as there
// is any, then the oldest.
func (r *Ring) nextSlot() *Entry {
	if n := len(r.entries); n < cap(r.entries) {
		r.entries = r.entries[:n+1]
		return &r.entries[n]
	}
	e := &r.entries[r.oldest]
	r.oldest = (r.oldest + 1) % len(r.entries)
	return e
}

// Entries returns a copy of the kept entries, the oldest first.
func (r *Ring) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyEntries()
}

func (r *Ring) copyEntries() []Entry {
	out := slices.Concat(r.entries[r.oldest:], r.entries[:r.oldest])
	for i := range out {
		out[i].KeysAndValues = slices.Clone(out[i].KeysAndValues)
	}
	return out
}

// Flush writes the reason and the kept entries out as one klog warning, and
// forgets the entries. Within flushInterval of the last writing it does
// nothing.
func (r *Ring) Flush(reason string) {
	entries, ok := r.takeForFlush(time.Now())
	if !ok {
		return
	}
	var b strings.Builder
	b.WriteString(reason)
	for _, e := range entries {
		b.WriteString("\n  ")
		b.WriteString(e.Time.Format(timeLayout))
		b.WriteByte(' ')
		e.format(&b)
	}
	klog.Warning(b.String())
}

// takeForFlush empties the ring; false means that the last writing is too
// recent.
func (r *Ring) takeForFlush(now time.Time) ([]Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastFlush.IsZero() && now.Sub(r.lastFlush) < r.flushInterval {
		return nil, false
	}
	r.lastFlush = now
	entries := r.copyEntries()
	r.entries, r.oldest = r.entries[:0], 0
	return entries, true
}
