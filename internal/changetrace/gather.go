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

// Report is what all processes did to a change.
type Report struct {
	// Change is as the operator gave it.
	Change string `json:"change"`
	// Known tells that some process has an event of it.
	Known bool        `json:"known"`
	Nodes []NodeTrace `json:"nodes"`
	// Unreachable are the processes that did not answer.
	Unreachable []string `json:"silent"`
}

// NodeTrace is what one process did.
type NodeTrace struct {
	Name   string      `json:"name"`
	Role   string      `json:"role"`
	Events []NodeEvent `json:"steps"`
}

// NodeEvent is one event as a process reports it.
type NodeEvent struct {
	Time   time.Time `json:"at"`
	Action string    `json:"step"`
	Epoch  uint64    `json:"epoch"`
	Detail string    `json:"detail,omitempty"`
}

// Gather asks all processes, given as addresses by name, for the events of a
// change, each for at most timeout. They are asked at the same time.
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

// String renders the report for people, one event a line.
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
