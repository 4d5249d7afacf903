// Package tracer keeps what a process did to each change, and gathers it from
// all processes.
package changetrace

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"corkcove/internal/logring"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("tracer")

const (
	KindConfig = "configuration"
	KindView   = "view"
)

// Step is one thing done to a change: Kind and Stamp name the change for its
// users, Shard and Mark its place in the control state.
type Event struct {
	Time         time.Time
	Action       string
	Kind         string
	Version      uint64
	Shard        int
	Epoch        uint64
	ShardVersion uint64
}

// Ring keeps the last steps behind a short lock.
type Ring struct {
	mu sync.Mutex
	ss logring.Buffer[Event]
}

func NewRing(size int) *Ring { return &Ring{ss: logring.NewBuffer[Event](size)} }

func (r *Ring) Add(s Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ss.Put(s)
}

func (r *Ring) all() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ss.All()
}

// Change is what an operator asks for: r12 (a configuration), view:9, or
// key:group.name for the last put of a key that is remembered, or pin:KEY for
// a session under its hashed key.
type Change struct {
	Kind    string
	Version uint64
}

func ParseChange(s string) (Change, error) {
	bad := Error.New("%q is no change: give a configuration such as r12, a view such as view:9, a key such as key:g1.a, or a session such as pin:0a1b", s)
	if k, ok := strings.CutPrefix(s, "pin:"); ok && k != "" {
		return Change{Kind: "pin " + k}, nil
	}
	if k, ok := strings.CutPrefix(s, "key:"); ok && k != "" {
		return Change{Kind: "cell " + k}, nil
	}
	kind, n := KindConfig, strings.TrimPrefix(s, "r")
	if v, ok := strings.CutPrefix(s, "view:"); ok {
		kind, n = KindView, v
	} else if n == s {
		return Change{}, bad
	}
	x, err := strconv.ParseUint(n, 10, 64)
	if err != nil || x == 0 {
		return Change{}, bad
	}
	return Change{kind, x}, nil
}

// Find gives the steps of a change, and the first commit that covers it.
func (r *Ring) Find(c Change) []*meshpb.TraceEvent {
	ss := r.all()
	if c.Version == 0 {
		for _, s := range ss {
			if s.Kind == c.Kind {
				c.Version = max(c.Version, s.Version)
			}
		}
	}
	var out []*meshpb.TraceEvent
	marks := map[[2]uint64]int{}
	for _, s := range ss {
		hit := s.Kind == c.Kind && s.Version == c.Version
		if s.Kind == "" {
			for m, sh := range marks {
				if sh == s.Shard && m[0] == s.Epoch && s.ShardVersion >= m[1] {
					hit = true
					delete(marks, m)
				}
			}
		}
		if !hit {
			continue
		}
		d := ""
		if s.ShardVersion > 0 {
			d = fmt.Sprintf("shard %d version %d", s.Shard, s.ShardVersion)
			if s.Kind != "" && s.Action == "proposed" {
				marks[[2]uint64{s.Epoch, s.ShardVersion}] = s.Shard
			}
		}
		out = append(out, &meshpb.TraceEvent{AtUs: s.Time.UnixMicro(), Step: s.Action, Epoch: s.Epoch, Detail: d})
	}
	return out
}

type Report struct {
	Change      string      `json:"change"`
	Known       bool        `json:"known"`
	Nodes       []NodeTrace `json:"nodes"`
	Unreachable []string    `json:"silent"`
}

type NodeTrace struct {
	Name   string      `json:"name"`
	Role   string      `json:"role"`
	Events []NodeEvent `json:"steps"`
}

type NodeEvent struct {
	Time   time.Time `json:"at"`
	Action string    `json:"step"`
	Epoch  uint64    `json:"epoch"`
	Detail string    `json:"detail,omitempty"`
}

// Gather asks every process by name and address.
func Gather(l *rpc.Clients, what string, at map[string]string, wait time.Duration) Report {
	rep := Report{Change: what, Unreachable: []string{}, Nodes: []NodeTrace{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, a := range at {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := rpc.Call(wait, l.Diagnostics(a).Trace, &meshpb.TraceRequest{Subject: what})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rep.Unreachable = append(rep.Unreachable, n)
				return
			}
			x := NodeTrace{Name: r.Node, Role: r.Role, Events: []NodeEvent{}}
			for _, l := range r.Lines {
				x.Events = append(x.Events, NodeEvent{time.UnixMicro(l.AtUs).UTC(), l.Step, l.Epoch, l.Detail})
				rep.Known = true
			}
			rep.Nodes = append(rep.Nodes, x)
		}()
	}
	wg.Wait()
	sort.Strings(rep.Unreachable)
	sort.Slice(rep.Nodes, func(i, j int) bool {
		a, b := rep.Nodes[i], rep.Nodes[j]
		return a.Role < b.Role || a.Role == b.Role && a.Name < b.Name
	})
	return rep
}

func (r Report) String() string {
	var b strings.Builder
	for _, n := range r.Nodes {
		if len(n.Events) == 0 {
			fmt.Fprintf(&b, "%-8s %-28s nothing known of it\n", n.Role, n.Name)
		}
		for _, l := range n.Events {
			fmt.Fprintf(&b, "%-8s %-28s %s  %-12s epoch %d  %s\n", n.Role, n.Name, l.Time.Format("15:04:05.000000"), l.Action, l.Epoch, l.Detail)
		}
	}
	for _, s := range r.Unreachable {
		fmt.Fprintf(&b, "%-8s %-28s did not answer\n", "?", s)
	}
	return b.String()
}
