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

// sessionReport joins what all nodes know of sessions.
type sessionReport struct {
	Open      int `json:"open"`
	Kept      int `json:"kept"`
	Moved     int `json:"moved"`
	NotPinned int `json:"notYetPinned"`
	// Split counts the sessions that were seen at two endpoints.
	Split       int          `json:"atTwoInstances"`
	Dropped     uint64       `json:"forgotten"`
	Sessions    []sessionRow `json:"sessions"`
	Moves       []moveRow    `json:"moves"`
	Unreachable []string     `json:"didNotAnswer"`
}

// sessionRow is a session at one endpoint.
type sessionRow struct {
	Key      string   `json:"key"`
	Service  string   `json:"service"`
	Endpoint string   `json:"endpoint"`
	Pinned   bool     `json:"pinned"`
	Since    string   `json:"since"`
	Config   string   `json:"configuration"`
	Nodes    []string `json:"nodes"`
}

// moveRow is one move of a session, with the nodes that saw it.
type moveRow struct {
	Key    string   `json:"key"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	Reason string   `json:"why"`
	Config string   `json:"configuration"`
	First  string   `json:"first"`
	Nodes  []string `json:"nodes"`
	// firstMicros is the time that First says.
	firstMicros int64
}

// sessionID names a session of a service.
type sessionID struct{ key, service string }

// placement is a session at an endpoint.
type placement struct {
	sessionID
	endpoint string
}

// moveID names a move, whichever node saw it.
type moveID struct{ key, from, to, reason string }

// sessionJoin gathers the nodes' answers.
type sessionJoin struct {
	// latest has of each session the answer in which it was used last.
	latest map[sessionID]*meshpb.Session
	// left has the endpoints that a session has moved away from.
	left  map[sessionID]map[string]bool
	rows  map[placement]*sessionRow
	moves map[moveID]*moveRow
}

func newSessionReport(responses []*meshpb.SessionsResponse, unreachable []string) sessionReport {
	j := sessionJoin{latest: map[sessionID]*meshpb.Session{}, left: map[sessionID]map[string]bool{}, rows: map[placement]*sessionRow{}, moves: map[moveID]*moveRow{}}
	report := sessionReport{Unreachable: unreachable}
	for _, r := range responses {
		report.Dropped += r.Dropped
		j.addMoves(r)
		j.addLatest(r)
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
		id := moveID{m.Key, m.Service + " " + m.From, m.ToService + " " + m.To, m.Why}
		row := j.moves[id]
		if row == nil {
			row = &moveRow{Key: m.Key, From: id.from, To: id.to, Reason: m.Why, Config: routeconfig.FormatVersion(m.Config), firstMicros: m.AtUs}
			j.moves[id] = row
		}
		row.firstMicros = min(row.firstMicros, m.AtUs)
		row.Nodes = append(row.Nodes, r.Node+" "+formatMicros(m.AtUs))
		session := sessionID{m.Key, m.Service}
		if j.left[session] == nil {
			j.left[session] = map[string]bool{}
		}
		j.left[session][m.From] = true
	}
}

func (j *sessionJoin) addLatest(r *meshpb.SessionsResponse) {
	for _, s := range r.Sessions {
		id := sessionID{s.Key, s.Service}
		if other := j.latest[id]; other == nil || s.UsedUs > other.UsedUs {
			j.latest[id] = s
		}
	}
}

// addRows leaves out what a node has not yet unlearnt: an endpoint that the
// session has left, unless it was used there last.
func (j *sessionJoin) addRows(r *meshpb.SessionsResponse) {
	for _, s := range r.Sessions {
		id := sessionID{s.Key, s.Service}
		if j.left[id][s.Endpoint] && j.latest[id].Endpoint != s.Endpoint {
			continue
		}
		at := placement{id, s.Endpoint}
		row := j.rows[at]
		if row == nil {
			row = &sessionRow{Key: s.Key, Service: s.Service, Endpoint: s.Endpoint, Config: routeconfig.FormatVersion(s.Config), Since: formatMicros(s.SinceUs)}
			j.rows[at] = row
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

// count sets the numbers from the rows.
func (r *sessionReport) count() {
	moved := map[string]bool{}
	for _, m := range r.Moves {
		moved[m.Key] = true
	}
	r.Moved = len(moved)
	endpoints := map[sessionID]int{}
	for _, s := range r.Sessions {
		endpoints[sessionID{s.Key, s.Service}]++
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
