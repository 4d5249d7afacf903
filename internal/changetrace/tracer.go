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
	Config = "configuration"
	View   = "view"
)

// Step is one thing done to a change: Kind and Stamp name the change for its
// users, Shard and Mark its place in the control state.
type Step struct {
	At      time.Time
	What    string
	Kind    string
	Version uint64
	Shard   int
	Epoch   uint64
	Mark    uint64
}

// Ring keeps the last steps behind a short lock.
type Ring struct {
	mu sync.Mutex
	ss logring.Buffer[Step]
}

func NewRing(size int) *Ring { return &Ring{ss: logring.NewBuffer[Step](size)} }

func (r *Ring) Add(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ss.Put(s)
}

func (r *Ring) all() []Step {
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

func Parse(s string) (Change, error) {
	bad := Error.New("%q is no change: give a configuration such as r12, a view such as view:9, a key such as key:g1.a, or a session such as pin:0a1b", s)
	if k, ok := strings.CutPrefix(s, "pin:"); ok && k != "" {
		return Change{Kind: "pin " + k}, nil
	}
	if k, ok := strings.CutPrefix(s, "key:"); ok && k != "" {
		return Change{Kind: "cell " + k}, nil
	}
	kind, n := Config, strings.TrimPrefix(s, "r")
	if v, ok := strings.CutPrefix(s, "view:"); ok {
		kind, n = View, v
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
				if sh == s.Shard && m[0] == s.Epoch && s.Mark >= m[1] {
					hit = true
					delete(marks, m)
				}
			}
		}
		if !hit {
			continue
		}
		d := ""
		if s.Mark > 0 {
			d = fmt.Sprintf("shard %d version %d", s.Shard, s.Mark)
			if s.Kind != "" && s.What == "proposed" {
				marks[[2]uint64{s.Epoch, s.Mark}] = s.Shard
			}
		}
		out = append(out, &meshpb.TraceEvent{AtUs: s.At.UnixMicro(), Step: s.What, Epoch: s.Epoch, Detail: d})
	}
	return out
}

type Report struct {
	Change string   `json:"change"`
	Known  bool     `json:"known"`
	Nodes  []Node   `json:"nodes"`
	Silent []string `json:"silent"`
}

type Node struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Lines []Line `json:"steps"`
}

type Line struct {
	At     time.Time `json:"at"`
	Step   string    `json:"step"`
	Epoch  uint64    `json:"epoch"`
	Detail string    `json:"detail,omitempty"`
}

// Gather asks every process by name and address.
func Gather(l *rpc.Clients, what string, at map[string]string, wait time.Duration) Report {
	rep := Report{Change: what, Silent: []string{}, Nodes: []Node{}}
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
				rep.Silent = append(rep.Silent, n)
				return
			}
			x := Node{Name: r.Node, Role: r.Role, Lines: []Line{}}
			for _, l := range r.Lines {
				x.Lines = append(x.Lines, Line{time.UnixMicro(l.AtUs).UTC(), l.Step, l.Epoch, l.Detail})
				rep.Known = true
			}
			rep.Nodes = append(rep.Nodes, x)
		}()
	}
	wg.Wait()
	sort.Strings(rep.Silent)
	sort.Slice(rep.Nodes, func(i, j int) bool {
		a, b := rep.Nodes[i], rep.Nodes[j]
		return a.Role < b.Role || a.Role == b.Role && a.Name < b.Name
	})
	return rep
}

func (r Report) String() string {
	var b strings.Builder
	for _, n := range r.Nodes {
		if len(n.Lines) == 0 {
			fmt.Fprintf(&b, "%-8s %-28s nothing known of it\n", n.Role, n.Name)
		}
		for _, l := range n.Lines {
			fmt.Fprintf(&b, "%-8s %-28s %s  %-12s epoch %d  %s\n", n.Role, n.Name, l.At.Format("15:04:05.000000"), l.Step, l.Epoch, l.Detail)
		}
	}
	for _, s := range r.Silent {
		fmt.Fprintf(&b, "%-8s %-28s did not answer\n", "?", s)
	}
	return b.String()
}
