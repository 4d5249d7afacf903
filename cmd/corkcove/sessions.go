package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"corkcove/internal/clustercontroller"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

type sessionLine struct {
	Key      string   `json:"key"`
	Service  string   `json:"service"`
	Endpoint string   `json:"endpoint"`
	Pinned   bool     `json:"pinned"`
	Since    string   `json:"since"`
	Config   string   `json:"configuration"`
	Nodes    []string `json:"nodes"`
}

type moveLine struct {
	Key    string   `json:"key"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	Why    string   `json:"why"`
	Config string   `json:"configuration"`
	First  string   `json:"first"`
	Nodes  []string `json:"nodes"`
	at     int64
}

// sessionSheet joins what all nodes know of sessions.
type sessionSheet struct {
	Open     int           `json:"open"`
	Kept     int           `json:"kept"`
	Moved    int           `json:"moved"`
	Loose    int           `json:"notYetPinned"`
	Split    int           `json:"atTwoInstances"`
	Dropped  uint64        `json:"forgotten"`
	Sessions []sessionLine `json:"sessions"`
	Moves    []moveLine    `json:"moves"`
	Silent   []string      `json:"didNotAnswer"`
}

func joinSessions(rs []*meshpb.SessionsResponse, silent []string) sessionSheet {
	type at struct{ key, service string }
	type seat struct {
		at
		endpoint string
	}
	sheet := sessionSheet{Silent: silent, Sessions: []sessionLine{}, Moves: []moveLine{}}
	lines := map[seat]*sessionLine{}
	latest := map[at]*meshpb.Session{}
	type hop struct{ key, from, to, why string }
	hops := map[hop]*moveLine{}
	movedTo := map[at]map[string]bool{}
	for _, r := range rs {
		sheet.Dropped += r.Dropped
		for _, m := range r.Moves {
			h := hop{m.Key, m.Service + " " + m.From, m.ToService + " " + m.To, m.Why}
			l := hops[h]
			if l == nil {
				l = &moveLine{Key: m.Key, From: h.from, To: h.to, Why: m.Why, Config: routeconfig.FormatVersion(m.Config), at: m.AtUs}
				hops[h] = l
			}
			l.at = min(l.at, m.AtUs)
			l.Nodes = append(l.Nodes, r.Node+" "+clock(m.AtUs))
			k := at{m.Key, m.Service}
			if movedTo[k] == nil {
				movedTo[k] = map[string]bool{}
			}
			movedTo[k][m.From] = true
		}
		for _, s := range r.Sessions {
			k := at{s.Key, s.Service}
			if o := latest[k]; o == nil || s.UsedUs > o.UsedUs {
				latest[k] = s
			}
		}
	}
	moved := map[string]bool{}
	for _, l := range hops {
		l.First = clock(l.at)
		slices.Sort(l.Nodes)
		sheet.Moves = append(sheet.Moves, *l)
		moved[l.Key] = true
	}
	slices.SortFunc(sheet.Moves, func(a, b moveLine) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Key, b.Key)) })
	for _, r := range rs {
		for _, s := range r.Sessions {
			k := at{s.Key, s.Service}
			if movedTo[k][s.Endpoint] && latest[k].Endpoint != s.Endpoint {
				continue
			}
			p := seat{k, s.Endpoint}
			l := lines[p]
			if l == nil {
				l = &sessionLine{Key: s.Key, Service: s.Service, Endpoint: s.Endpoint, Config: routeconfig.FormatVersion(s.Config), Since: clock(s.SinceUs)}
				lines[p] = l
			}
			l.Pinned = l.Pinned || s.Pinned
			l.Nodes = append(l.Nodes, r.Node)
		}
	}
	n := map[at]int{}
	for p, l := range lines {
		slices.Sort(l.Nodes)
		sheet.Sessions = append(sheet.Sessions, *l)
		n[p.at]++
		if !l.Pinned {
			sheet.Loose++
		}
	}
	for k, x := range n {
		sheet.Open++
		if x > 1 {
			sheet.Split++
		}
		if !moved[k.key] {
			sheet.Kept++
		}
	}
	sheet.Moved = len(moved)
	slices.SortFunc(sheet.Sessions, func(a, b sessionLine) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return sheet
}

func clock(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05.000") }

func (s sessionSheet) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d open, %d kept, %d moved, %d not yet pinned, %d seen at two instances\n", s.Open, s.Kept, s.Moved, s.Loose, s.Split)
	if len(s.Moves) > 0 {
		fmt.Fprintf(&b, "\n%-24s %-30s %-30s %-8s %-6s %s\n", "session", "from", "to", "why", "under", "node and time")
		for _, m := range s.Moves {
			fmt.Fprintf(&b, "%-24s %-30s %-30s %-8s %-6s %s\n", m.Key, m.From, m.To, m.Why, m.Config, strings.Join(m.Nodes, ", "))
		}
	}
	if len(s.Sessions) > 0 {
		fmt.Fprintf(&b, "\n%-24s %-16s %-16s %-12s %-6s %-12s %s\n", "session", "service", "endpoint", "state", "under", "since", "nodes")
		for _, l := range s.Sessions {
			st := "pinned"
			if !l.Pinned {
				st = "not pinned"
			}
			fmt.Fprintf(&b, "%-24s %-16s %-16s %-12s %-6s %-12s %s\n", l.Key, l.Service, l.Endpoint, st, l.Config, l.Since, strings.Join(l.Nodes, ", "))
		}
	}
	if s.Dropped > 0 {
		fmt.Fprintf(&b, "\n%d sessions or moves were forgotten: the nodes' bounds are full\n", s.Dropped)
	}
	for _, n := range s.Silent {
		fmt.Fprintf(&b, "%s did not answer\n", n)
	}
	return b.String()
}

const askAtOnce = 16

// each calls all nodes that the master knows, and names those that are silent.
func each[R any](ss []*meshpb.StatusResponse, call func(addr string) (R, error)) (out []R, silent []string) {
	silent = eachOf(ss, askAtOnce, call, func(r R) { out = append(out, r) })
	return out, silent
}

// eachOf calls all nodes, most at once, and hands on each answer as it comes,
// one at a time.
func eachOf[R any](ss []*meshpb.StatusResponse, most int, call func(addr string) (R, error), got func(R)) (silent []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sem := make(chan bool, most)
	for _, n := range ss[0].Nodes {
		if n.Addr == "" {
			continue
		}
		wg.Add(1)
		sem <- true
		go func() {
			defer wg.Done()
			defer func() { <-sem }()
			r, err := call(n.Addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, n.Name)
				return
			}
			got(r)
		}()
	}
	wg.Wait()
	slices.Sort(silent)
	return silent
}

func (t *tool) sessions(since string) error {
	var from uint64
	if since != "" {
		n, err := routeconfig.ParseVersion(since)
		if err != nil {
			return err
		}
		from = n
	}
	ss, err := t.status()
	if err != nil {
		return err
	}
	if !ss[0].Master {
		return clustercontroller.Error.New("there is no master now, so the nodes are not known")
	}
	rs, silent := each(ss, func(addr string) (*meshpb.SessionsResponse, error) {
		return rpc.Call(toolWait, t.lines.Diagnostics(addr).Sessions, &meshpb.SessionsRequest{Since: from})
	})
	s := joinSessions(rs, silent)
	t.print(s, s.String())
	switch {
	case s.Split > 0:
		return fmt.Errorf("%d sessions were seen at two instances", s.Split)
	case len(silent) > 0:
		return fmt.Errorf("%d nodes did not answer", len(silent))
	}
	return nil
}
