package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"corkcove/internal/changetrace"
	"corkcove/internal/lifecycle"
	"corkcove/internal/loadestimate"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const toolWait = 2 * time.Second

var stderr = os.Stderr

// tool knows how to reach the core.
type tool struct {
	lines *rpc.Clients
	cores []string
	json  bool
}

func newTool(file string, cores []string, asJSON bool) (*tool, error) {
	if len(cores) == 0 {
		if file == "" {
			file = settings.Path()
		}
		o, err := settings.Load(file, "")
		if err != nil {
			return nil, fmt.Errorf("no --core was given, and the settings name none: %w", err)
		}
		cores = o.SeedInternalAddrs()
	}
	return &tool{lines: rpc.NewClients(&http.Client{Transport: rpc.Transport(time.Second, 2*time.Second, time.Second, 2)}), cores: cores, json: asJSON}, nil
}

// status asks each core node known; the master's answer comes first.
func (t *tool) status() ([]*meshpb.StatusResponse, error) {
	seen := map[string]bool{}
	todo := append([]string{}, t.cores...)
	var out []*meshpb.StatusResponse
	var last error
	for len(todo) > 0 {
		a := todo[0]
		todo = todo[1:]
		if seen[a] {
			continue
		}
		seen[a] = true
		r, err := rpc.Call(toolWait, t.lines.Control(a).Status, &meshpb.StatusRequest{})
		if err != nil {
			last = err
			continue
		}
		out = append(out, r)
		for _, m := range r.Membership.GetMembers() {
			todo = append(todo, m.Addr)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no core node answers at %s: %v", strings.Join(t.cores, ", "), last)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Master && !out[j].Master })
	return out, nil
}

func (t *tool) print(v any, text string) {
	if !t.json {
		fmt.Print(text)
		return
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	e.Encode(v)
}

func (t *tool) runStatus() error {
	ss, err := t.status()
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, s := range ss {
		role := "core"
		if s.Master {
			role = "master"
		}
		own := 0
		for _, l := range s.Shards {
			if l.Owner != "" {
				own++
			}
		}
		fmt.Fprintf(&b, "%-7s %-24s member=%v disk=%v membership %d with %d, %d of %d shards with an owner\n", role, s.Node, s.Member, s.DiskSound,
			s.Membership.GetVersion(), len(s.Membership.GetMembers()), own, len(s.Shards))
	}
	b.WriteString(shardText(ss))
	m := ss[0]
	if !m.Master {
		b.WriteString("no master now\n")
		t.print(ss, b.String())
		return nil
	}
	fmt.Fprintf(&b, "epoch %d, view %d, configuration r%d\n", m.Epoch, m.View, m.Config)
	if m.Listed > 0 {
		fmt.Fprintf(&b, "%d endpoints from the platform's list\n", m.Listed)
	}
	for _, g := range m.Greys {
		fmt.Fprintf(&b, "grey: %s answers badly\n", g)
	}
	b.WriteString("\n")
	fmt.Fprintf(&b, "%-28s %-14s %-12s %-16s %-9s %-9s %-11s %s\n", "node", "site", "service", "endpoint", "reported", "official", "user", "why")
	for _, n := range m.Nodes {
		fmt.Fprintf(&b, "%-28s %-14s %-12s %-16s %-9s %-9s %-11s %s\n", n.Name, n.Zone, n.Service, n.Endpoint, n.Reported, n.Official, n.User, n.Why)
	}
	t.print(ss, b.String())
	return nil
}

// shardText tells who owns what, how far the copies are, and what may be lost.
func shardText(ss []*meshpb.StatusResponse) string {
	var b strings.Builder
	lose, learners := map[uint32]int32{}, map[string]bool{}
	for _, s := range ss {
		for _, l := range s.Shards {
			if !l.Owned || l.LeaseMs == 0 {
				continue
			}
			lose[l.Shard] = l.MayLose
			fmt.Fprintf(&b, "shard %-2d owned by %-22s epoch %d, version %d, committed %d, lease for %d ms, may lose %d more", l.Shard, s.Node, l.Epoch, l.Version, l.Committed, l.LeaseMs, l.MayLose)
			for _, c := range l.Copies {
				if c.Learner {
					learners[c.Addr] = true
				}
				switch {
				case !c.Reached:
					fmt.Fprintf(&b, "; %s not reached", c.Addr)
				case !c.Known:
					fmt.Fprintf(&b, "; %s has an earlier epoch", c.Addr)
				case c.Behind > 0:
					fmt.Fprintf(&b, "; %s is %d behind", c.Addr, c.Behind)
				case c.Leaving:
					fmt.Fprintf(&b, "; %s is leaving", c.Addr)
				case !c.Sound:
					fmt.Fprintf(&b, "; %s would not take over", c.Addr)
				}
			}
			b.WriteString("\n")
		}
	}
	if len(ss[0].Shards) > len(lose) {
		fmt.Fprintf(&b, "%d of %d shards are served by none of those who answered\n", len(ss[0].Shards)-len(lose), len(ss[0].Shards))
	}
	least := int32(1 << 30)
	for _, n := range lose {
		least = min(least, n)
	}
	if len(lose) > 0 {
		fmt.Fprintf(&b, "the core may lose %d more members now\n", max(least, 0))
	}
	for _, a := range slices.Sorted(maps.Keys(learners)) {
		fmt.Fprintf(&b, "learner %s waits for a place\n", a)
	}
	return b.String()
}

func (t *tool) setState(node, state string) error {
	if !lifecycle.State(state).SettableByUser() {
		return fmt.Errorf("%q is no state: give up, maintenance, retired or down", state)
	}
	todo := append([]string{}, t.cores...)
	why := "no core node answers"
	for i := 0; i < len(todo) && i < 8; i++ {
		r, err := rpc.Call(toolWait, t.lines.Control(todo[i]).SetState, &meshpb.SetStateRequest{Node: node, State: state})
		if err != nil {
			continue
		}
		if r.Ok {
			fmt.Printf("%s: %s\n", node, state)
			return nil
		}
		why = r.Why
		if r.MasterAddr == "" {
			if r.Why != "not the master" {
				break
			}
			continue
		}
		todo = append(todo[:i+1], append([]string{r.MasterAddr}, todo[i+1:]...)...)
	}
	return fmt.Errorf("%s", why)
}

// all names every process that the core knows, with its address.
func all(ss []*meshpb.StatusResponse) map[string]string {
	at := map[string]string{}
	for _, s := range ss {
		for _, m := range s.Membership.GetMembers() {
			at["core "+m.Addr] = m.Addr
		}
		for _, n := range s.Nodes {
			if n.Addr != "" {
				at[n.Name] = n.Addr
			}
		}
	}
	return at
}

func (t *tool) trace(what string) error {
	if _, err := changetrace.ParseChange(what); err != nil {
		return err
	}
	ss, err := t.status()
	if err != nil {
		return err
	}
	r := changetrace.Gather(t.lines, what, all(ss), toolWait)
	t.print(r, r.String())
	if !r.Known {
		return fmt.Errorf("no process that answered knows %s", what)
	}
	return nil
}

func (t *tool) origins() ([]loadestimate.Origin, *meshpb.StatusResponse, error) {
	ss, err := t.status()
	if err != nil {
		return nil, nil, err
	}
	if !ss[0].Master {
		return nil, nil, fmt.Errorf("there is no master now, so the view is not known")
	}
	var os []loadestimate.Origin
	for _, n := range ss[0].Nodes {
		if n.Addr == "" {
			continue
		}
		r, err := rpc.Call(toolWait, t.lines.Diagnostics(n.Addr).Flows, &meshpb.FlowsRequest{})
		if err != nil {
			fmt.Fprintf(stderr, "%s did not answer; its requests are left out\n", n.Name)
			continue
		}
		os = append(os, loadestimate.Origin{Node: r.Node, Zone: r.Zone, RemoteWeight: r.RemoteWeight, BulkWeight: r.BulkWeight, Flows: r.Flows})
	}
	return os, ss[0], nil
}

func (t *tool) estimate(c loadestimate.Change, save string) error {
	from, s, err := t.origins()
	if err != nil {
		return err
	}
	var es []*meshpb.Endpoint
	for _, n := range s.Nodes {
		if lifecycle.State(n.Official) == lifecycle.Up {
			es = append(es, &meshpb.Endpoint{Id: n.Endpoint, Service: n.Service, Zone: n.Zone, Slots: n.Slots, State: n.Official, Node: n.Name})
		}
	}
	e, err := loadestimate.Run(from, es, c, loadestimate.Options{Duration: 120 * time.Second, Seed: 1})
	if err != nil {
		return err
	}
	if save != "" {
		b, err := json.MarshalIndent(e, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(save, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-28s %-16s %-10s %10s %10s %7s\n", "requests from", "binding", "kind", "a second", "would move", "share")
	tot := map[string][2]float64{}
	for _, x := range e.Summaries {
		share := 0.0
		if x.Rate > 0 {
			share = 100 * x.Moved / x.Rate
		}
		fmt.Fprintf(&b, "%-28s %-16s %-10s %10.2f %10.2f %6.1f%%\n", x.From, x.Route, x.Kind, x.Rate, x.Moved, share)
		k := tot[x.Kind]
		tot[x.Kind] = [2]float64{k[0] + x.Rate, k[1] + x.Moved}
	}
	for k, v := range tot {
		fmt.Fprintf(&b, "all %-40s %21.2f %10.2f\n", k, v[0], v[1])
	}
	b.WriteString("\n")
	to := map[string][2]float64{}
	for _, r := range e.EndpointRates {
		n := to[r.Node+" "+r.Endpoint]
		to[r.Node+" "+r.Endpoint] = [2]float64{n[0] + r.Before, n[1] + r.After}
	}
	var ks []string
	for k := range to {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	for _, k := range ks {
		fmt.Fprintf(&b, "%-46s now %8.2f/s, then %8.2f/s\n", k, to[k][0], to[k][1])
	}
	t.print(e, b.String())
	return nil
}

func (t *tool) checkEstimate(file string, within float64) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var e loadestimate.Estimate
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("%s holds no estimate: %w", file, err)
	}
	os, _, err := t.origins()
	if err != nil {
		return err
	}
	vs := loadestimate.Check(e, os)
	if len(vs) == 0 {
		return fmt.Errorf("none of the bindings in %s has flows now", file)
	}
	var w strings.Builder
	bad := 0
	fmt.Fprintf(&w, "%-16s %-10s %9s %9s %9s\n", "binding", "kind", "foretold", "measured", "off by")
	for _, v := range vs {
		fmt.Fprintf(&w, "%-16s %-10s %8.1f%% %8.1f%% %8.1f%%\n", v.Route, v.Kind, 100*v.Forecast, 100*v.Measured, 100*v.Difference)
		if v.Difference > within {
			bad++
		}
	}
	t.print(vs, w.String())
	if bad > 0 {
		return fmt.Errorf("%d of %d bindings are off by more than %.0f%%", bad, len(vs), 100*within)
	}
	return nil
}
