package changetrace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Report holds the events of a change from all processes.
type Report struct {
	// Change is the identifier that the operator specified.
	Change string `json:"change"`
	// Known is set if at least one process has an event of the change.
	Known bool `json:"known"`
	// Nodes holds the processes that answered, sorted by role and name.
	Nodes []NodeTrace `json:"nodes"`
	// Unreachable holds the sorted names of the processes that did not answer.
	Unreachable []string `json:"silent"`
}

// NodeTrace holds the events of a change at one process.
type NodeTrace struct {
	// Name is the process's node name.
	Name string `json:"name"`
	// Role is the process's role, such as core or sidecar.
	Role string `json:"role"`
	// Events are in the order in which they were recorded.
	Events []NodeEvent `json:"steps"`
}

// NodeEvent is an event as reported by a process.
type NodeEvent struct {
	// Time is in UTC, by the process's clock.
	Time time.Time `json:"at"`
	// Action is what the process did, such as proposed or committed.
	Action string `json:"step"`
	// Epoch is the epoch of the change, or 0 if the event has none.
	Epoch uint64 `json:"epoch"`
	// Detail is the event's shard and version, or empty if it has none.
	Detail string `json:"detail,omitempty"`
}

// Gather queries all processes concurrently for the events of a change, waiting at
// most timeout for each. The keys of addresses are the names of the processes.
func Gather(clients *rpc.Clients, change string, addresses map[string]string, timeout time.Duration) Report {
	report := Report{Change: change, Unreachable: []string{}, Nodes: []NodeTrace{}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for name, address := range addresses {
		calls.Go(func() {
			response, err := rpc.Call(timeout, clients.Diagnostics(address).Trace, &meshpb.TraceRequest{Subject: change})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Unreachable = append(report.Unreachable, name)
				return
			}
			report.add(response)
		})
	}
	calls.Wait()
	slices.Sort(report.Unreachable)
	slices.SortFunc(report.Nodes, func(a, b NodeTrace) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name))
	})
	return report
}

func (r *Report) add(response *meshpb.TraceResponse) {
	node := NodeTrace{Name: response.Node, Role: response.Role, Events: []NodeEvent{}}
	for _, e := range response.Lines {
		node.Events = append(node.Events, NodeEvent{time.UnixMicro(e.AtUs).UTC(), e.Step, e.Epoch, e.Detail})
		r.Known = true
	}
	r.Nodes = append(r.Nodes, node)
}

// String formats the report as human-readable text, one event per line.
func (r Report) String() string {
	var b strings.Builder
	for _, n := range r.Nodes {
		if len(n.Events) == 0 {
			fmt.Fprintf(&b, "%-8s %-28s nothing known of it\n", n.Role, n.Name)
		}
		for _, e := range n.Events {
			fmt.Fprintf(&b, "%-8s %-28s %s  %-12s epoch %d  %s\n", n.Role, n.Name, e.Time.Format("15:04:05.000000"), e.Action, e.Epoch, e.Detail)
		}
	}
	for _, name := range r.Unreachable {
		fmt.Fprintf(&b, "%-8s %-28s did not answer\n", "?", name)
	}
	return b.String()
}
