package logring

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

type Line struct {
	At   time.Time
	Area string
	Text string
}

// Ring keeps the last lines in memory and writes them out when something
// goes wrong.
type Ring struct {
	mu   sync.Mutex
	ls   Buffer[Line]
	last time.Time
	gap  time.Duration
	echo bool
}

func New(size int, gap time.Duration, echo bool) *Ring {
	return &Ring{ls: NewBuffer[Line](size), gap: gap, echo: echo}
}

func (r *Ring) Note(area, f string, a ...any) {
	l := Line{time.Now(), area, fmt.Sprintf(f, a...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.echo {
		klog.Info(l.Area + ": " + l.Text)
	}
	r.ls.Put(l)
}

func (r *Ring) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ls.All()
}

// Spill writes the ring out, at most once in each gap.
func (r *Ring) Spill(why string) {
	now := time.Now()
	r.mu.Lock()
	if !r.last.IsZero() && now.Sub(r.last) < r.gap {
		r.mu.Unlock()
		return
	}
	r.last = now
	ls := r.ls.All()
	r.ls.Clear()
	r.mu.Unlock()
	var b strings.Builder
	for _, l := range ls {
		fmt.Fprintf(&b, "\n  %s %s: %s", l.At.Format("15:04:05.000"), l.Area, l.Text)
	}
	klog.Warningf("%s%s", why, b.String())
}
