package logring

import (
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// timeLayout is the format of an entry's time in the output of Flush.
const timeLayout = "15:04:05.000"

// Ring keeps the most recent entries in memory until Flush writes them to klog.
// It is safe for concurrent use.
type Ring struct {
	// flushInterval is the minimum time between two flushes.
	flushInterval time.Duration
	// observe, if set, is called with each entry while mu is held.
	observe func(Entry)

	mu sync.Mutex
	// entries are reused in turn; each keeps the capacity of its KeysAndValues.
	entries []Entry
	// oldest is the index of the oldest entry once the ring is full; it is 0 before.
	oldest    int
	lastFlush time.Time
}

// New returns a ring that keeps the last size entries and flushes them at most
// once per flushInterval. The size must be positive. The observer, if it is not
// nil, is called with each entry as it is logged, by one goroutine at a time. It
// must neither retain the entry's KeysAndValues nor log to the same ring.
func New(size int, flushInterval time.Duration, observer func(Entry)) *Ring {
	return &Ring{flushInterval: flushInterval, observe: observer, entries: make([]Entry, 0, size)}
}

// WriteNow is an observer that writes each entry to klog as it is logged.
func WriteNow(e Entry) { klog.Info(e.String()) }

// Logger returns a logger that adds entries of the component to the ring.
func (r *Ring) Logger(component string) Logger { return Logger{ring: r, component: component} }

// add copies the pairs, so that the caller's slice need not be allocated on the
// heap.
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

// nextSlot returns the entry to overwrite: an unused one while there is any, and
// the oldest after that.
func (r *Ring) nextSlot() *Entry {
	if n := len(r.entries); n < cap(r.entries) {
		r.entries = r.entries[:n+1]
		return &r.entries[n]
	}
	e := &r.entries[r.oldest]
	r.oldest = (r.oldest + 1) % len(r.entries)
	return e
}

// Entries returns a copy of the entries in the ring, oldest first.
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

// Flush writes the reason and the entries to klog as one warning and empties the
// ring. It does nothing if less than the flush interval has passed since the last
// flush.
func (r *Ring) Flush(reason string) {
	entries, ok := r.drainForFlush(time.Now())
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

// drainForFlush empties the ring and returns its entries, or returns false if the
// last flush is too recent.
func (r *Ring) drainForFlush(now time.Time) ([]Entry, bool) {
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
