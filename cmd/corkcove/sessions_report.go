package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// sessionReport combines the sessions and moves reported by all nodes.
type sessionReport struct {
	// Open counts all sessions, Kept those whose key has no move, Moved the keys
	// that have moves.
	Open  int `json:"open"`
	Kept  int `json:"kept"`
	Moved int `json:"moved"`
	// NotPinned counts the rows of Sessions that no node reports as pinned.
	NotPinned int `json:"notYetPinned"`
	// Split counts the sessions that are at more than one endpoint.
	Split int `json:"atTwoInstances"`
	// Dropped counts the sessions and moves that nodes dropped for lack of space.
	Dropped  uint64       `json:"forgotten"`
	Sessions []sessionRow `json:"sessions"`
	Moves    []moveRow    `json:"moves"`
	// Unreachable are the names of the nodes that did not respond.
	Unreachable []string `json:"didNotAnswer"`
}

// sessionRow is a session at one endpoint, with the nodes that report it there.
type sessionRow struct {
	Key      string   `json:"key"`
	Service  string   `json:"service"`
	Endpoint string   `json:"endpoint"`
	Pinned   bool     `json:"pinned"`
	Since    string   `json:"since"`
	Config   string   `json:"configuration"`
	Nodes    []string `json:"nodes"`
}

// moveRow is one move of a session, with the nodes that report it.
type moveRow struct {
	Key    string   `json:"key"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	Reason string   `json:"why"`
	Config string   `json:"configuration"`
	First  string   `json:"first"`
	Nodes  []string `json:"nodes"`
	// firstMicros is the time of First as a Unix time in microseconds.
	firstMicros int64
}

// sessionKey identifies a session of a service.
type sessionKey struct{ key, service string }

// placement is a session at an endpoint.
type placement struct {
	sessionKey
	endpoint string
}

// moveKey identifies a move independently of the node that reports it. from and to
// are each a service and an endpoint.
type moveKey struct{ key, from, to, reason string }

// sessionJoin joins the responses of the nodes.
type sessionJoin struct {
	// lastUsed maps each session to the report of it with the latest use.
	lastUsed map[sessionKey]*meshpb.Session
	// leftEndpoints maps each session to the endpoints that it has moved away from.
	leftEndpoints map[sessionKey]map[string]bool
	rows          map[placement]*sessionRow
	moves         map[moveKey]*moveRow
}

func newSessionReport(responses []*meshpb.SessionsResponse, unreachable []string) sessionReport {
	j := sessionJoin{lastUsed: map[sessionKey]*meshpb.Session{}, leftEndpoints: map[sessionKey]map[string]bool{}, rows: map[placement]*sessionRow{}, moves: map[moveKey]*moveRow{}}
	report := sessionReport{Unreachable: unreachable}
	for _, r := range responses {
		report.Dropped += r.Dropped
		j.addMoves(r)
		j.addLastUsed(r)
	}
	for _, r := range responses {
		j.addRows(r)
	}
	report.Moves = j.sortedMoves()
	report.Sessions = j.sortedRows()
	report.count()
	return report
}

func (j *sessionJoin) addMoves(r *meshpb.SessionsResponse) {
	for _, m := range r.Moves {
		id := moveKey{m.Key, m.Service + " " + m.From, m.ToService + " " + m.To, m.Why}
		row := j.moves[id]
		if row == nil {
			row = &moveRow{Key: m.Key, From: id.from, To: id.to, Reason: m.Why, Config: routeconfig.FormatVersion(m.Config), firstMicros: m.AtUs}
			j.moves[id] = row
		}
		row.firstMicros = min(row.firstMicros, m.AtUs)
		row.Nodes = append(row.Nodes, r.Node+" "+formatMicros(m.AtUs))
		session := sessionKey{m.Key, m.Service}
		if j.leftEndpoints[session] == nil {
			j.leftEndpoints[session] = map[string]bool{}
		}
		j.leftEndpoints[session][m.From] = true
	}
}

func (j *sessionJoin) addLastUsed(r *meshpb.SessionsResponse) {
	for _, s := range r.Sessions {
		id := sessionKey{s.Key, s.Service}
		if other := j.lastUsed[id]; other == nil || s.UsedUs > other.UsedUs {
			j.lastUsed[id] = s
		}
	}
}

// addRows adds the sessions of a response. It skips outdated entries, in which a
// node still has a session at an endpoint that the session has moved away from,
// unless that is where the session was used last.
func (j *sessionJoin) addRows(r *meshpb.SessionsResponse) {
	for _, s := range r.Sessions {
		id := sessionKey{s.Key, s.Service}
		if j.leftEndpoints[id][s.Endpoint] && j.lastUsed[id].Endpoint != s.Endpoint {
			continue
		}
		key := placement{id, s.Endpoint}
		row := j.rows[key]
		if row == nil {
			row = &sessionRow{Key: s.Key, Service: s.Service, Endpoint: s.Endpoint, Config: routeconfig.FormatVersion(s.Config), Since: formatMicros(s.SinceUs)}
			j.rows[key] = row
		}
		row.Pinned = row.Pinned || s.Pinned
		row.Nodes = append(row.Nodes, r.Node)
	}
}

func (j *sessionJoin) sortedMoves() []moveRow {
	rows := []moveRow{}
	for row := range maps.Values(j.moves) {
		row.First = formatMicros(row.firstMicros)
		slices.Sort(row.Nodes)
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b moveRow) int {
		return cmp.Or(cmp.Compare(a.firstMicros, b.firstMicros), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

func (j *sessionJoin) sortedRows() []sessionRow {
	rows := []sessionRow{}
	for row := range maps.Values(j.rows) {
		slices.Sort(row.Nodes)
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b sessionRow) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return rows
}

// count computes the counters from the rows.
func (r *sessionReport) count() {
	moved := map[string]bool{}
	for _, m := range r.Moves {
		moved[m.Key] = true
	}
	r.Moved = len(moved)
	endpoints := map[sessionKey]int{}
	for _, s := range r.Sessions {
		endpoints[sessionKey{s.Key, s.Service}]++
		if !s.Pinned {
			r.NotPinned++
		}
	}
	for id, n := range endpoints {
		r.Open++
		if n > 1 {
			r.Split++
		}
		if !moved[id.key] {
			r.Kept++
		}
	}
}

// String formats the report for the terminal.
func (r sessionReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d open, %d kept, %d moved, %d not yet pinned, %d seen at two instances\n", r.Open, r.Kept, r.Moved, r.NotPinned, r.Split)
	if len(r.Moves) > 0 {
		const row = "%-24s %-30s %-30s %-8s %-6s %s\n"
		fmt.Fprintf(&b, "\n"+row, "session", "from", "to", "why", "under", "node and time")
		for _, m := range r.Moves {
			fmt.Fprintf(&b, row, m.Key, m.From, m.To, m.Reason, m.Config, strings.Join(m.Nodes, ", "))
		}
	}
	if len(r.Sessions) > 0 {
		const row = "%-24s %-16s %-16s %-12s %-6s %-12s %s\n"
		fmt.Fprintf(&b, "\n"+row, "session", "service", "endpoint", "state", "under", "since", "nodes")
		for _, s := range r.Sessions {
			state := "pinned"
			if !s.Pinned {
				state = "not pinned"
			}
			fmt.Fprintf(&b, row, s.Key, s.Service, s.Endpoint, state, s.Config, s.Since, strings.Join(s.Nodes, ", "))
		}
	}
	if r.Dropped > 0 {
		fmt.Fprintf(&b, "\n%d sessions or moves were forgotten: the nodes' bounds are full\n", r.Dropped)
	}
	for _, name := range r.Unreachable {
		fmt.Fprintf(&b, "%s did not answer\n", name)
	}
	return b.String()
}
