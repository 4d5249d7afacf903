package main

import (
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"corkcove/internal/dialplan"
	"corkcove/internal/options"
	"corkcove/internal/replay"
	"corkcove/internal/trunk"
)

const ticketPage = 2000

// saveReplay takes what all nodes remember of the last span into one file.
func (t *tool) saveReplay(file string, span time.Duration) error {
	ss, err := t.status()
	if err != nil {
		return err
	}
	if !ss[0].Master {
		return fmt.Errorf("there is no master now, so the nodes are not known")
	}
	c := &trunk.Carried{MadeUs: time.Now().UnixMicro(), SpanUs: span.Microseconds()}
	rs, silent := each(ss, func(addr string) (*trunk.TicketsResp, error) { return t.tickets(addr, span) })
	addr := map[string]string{}
	for _, n := range ss[0].Nodes {
		addr[n.Name] = n.Addr
	}
	type mark struct{ epoch, stamp uint64 }
	views, configs := map[mark]bool{}, map[uint64]bool{}
	for _, r := range rs {
		c.Nodes = append(c.Nodes, r)
		q := &trunk.PartsReq{}
		for _, v := range r.Views {
			if k := (mark{v.Epoch, v.Stamp}); !views[k] {
				q.Views = append(q.Views, v)
			}
		}
		for _, p := range r.Configs {
			if !configs[p.Stamp] {
				q.Configs = append(q.Configs, p.Stamp)
			}
		}
		if len(q.Views)+len(q.Configs) == 0 {
			continue
		}
		p, err := trunk.Call(toolWait, t.lines.Tracer(addr[r.Node]).Parts, q)
		if err != nil {
			continue
		}
		for _, v := range p.Views {
			views[mark{v.Epoch, v.Stamp}] = true
			c.Views = append(c.Views, v)
		}
		for _, d := range p.Configs {
			configs[d.Stamp] = true
			c.Configs = append(c.Configs, d)
		}
	}
	c.Silent = silent
	f, err := os.CreateTemp(dirOf(file), ".replay-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := replay.Write(f, c); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), file); err != nil {
		return err
	}
	n, dropped := 0, uint64(0)
	for _, r := range c.Nodes {
		n += len(r.Tickets)
		dropped += r.Dropped
	}
	fmt.Printf("%d requests of %d nodes, %d views, %d configurations in %s\n", n, len(c.Nodes), len(c.Views), len(c.Configs), file)
	if dropped > 0 {
		fmt.Printf("%d requests had been dropped from full records (recordSet.requests)\n", dropped)
	}
	for _, s := range silent {
		fmt.Fprintf(stderr, "%s did not answer; its requests are missing\n", s)
	}
	if len(silent) > 0 {
		return fmt.Errorf("%d nodes did not answer", len(silent))
	}
	if n == 0 {
		return fmt.Errorf("no node carried a request in the last %v, or none keeps a record", span)
	}
	return nil
}

func dirOf(file string) string {
	for i := len(file) - 1; i >= 0; i-- {
		if file[i] == '/' {
			return file[:i+1]
		}
	}
	return "."
}

func (t *tool) tickets(addr string, span time.Duration) (*trunk.TicketsResp, error) {
	var all *trunk.TicketsResp
	from := uint32(0)
	for {
		r, err := trunk.Call(toolWait, t.lines.Tracer(addr).Tickets, &trunk.TicketsReq{SpanUs: span.Microseconds(), From: from, Most: ticketPage})
		if err != nil {
			return nil, err
		}
		if all == nil {
			all = r
		} else {
			all.Tickets = append(all.Tickets, r.Tickets...)
		}
		if r.Next == 0 {
			return all, nil
		}
		from = r.Next
	}
}

type replayOpts struct {
	file, config, opts string
	seed               uint64
	most               int
	off                float64
	filter             replay.Filter
	json               bool
}

// runReplay needs no core: all it reads is in the file.
func runReplay(o replayOpts) error {
	c, err := replay.Read(o.file)
	if err != nil {
		return err
	}
	r := replay.Rules{Seed: o.seed}
	if o.config != "" {
		b, err := os.ReadFile(o.config)
		if err != nil {
			return err
		}
		d, err := dialplan.Read(b)
		if err != nil {
			return fmt.Errorf("%s: %w", o.config, err)
		}
		r.Plan = &d
	}
	if o.opts != "" {
		if r.Retries, err = retriesOf(o.opts); err != nil {
			return err
		}
	}
	if r.Plan == nil && r.Retries == nil {
		return fmt.Errorf("nothing is to change: give --config, --options or both")
	}
	rep, err := replay.Play(c, r, o.off)
	if err != nil {
		return err
	}
	t := &tool{json: o.json}
	t.print(rep, rep.Text(o.filter, o.most))
	switch {
	case !rep.Fit:
		return fmt.Errorf("the old rules do not give back %.2f%% of the record, %.2f%% is allowed: don't decide on this", 100*rep.Control, 100*o.off)
	case rep.Grave() > 0:
		return fmt.Errorf("%d requests would be doubled, vanish or stall that are not under the old rules", rep.Grave())
	}
	return nil
}

func retriesOf(file string) (*replay.Retries, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var x struct {
		Terms struct {
			Bounds struct {
				Ratio  *float64 `toml:"retryRatio"`
				Slack  *float64 `toml:"retrySlack"`
				Window *float64 `toml:"retryWindowS"`
			} `toml:"boundSet"`
		} `toml:"termTable"`
	}
	if err := toml.Unmarshal(b, &x); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	v := x.Terms.Bounds
	if v.Ratio == nil || v.Slack == nil || v.Window == nil {
		return nil, fmt.Errorf("%s: termTable.boundSet must hold retryRatio, retrySlack and retryWindowS", file)
	}
	if *v.Ratio < 0 || *v.Slack < 0 || *v.Window <= 0 {
		return nil, fmt.Errorf("%s: retryRatio and retrySlack must not be below 0, retryWindowS must be above", file)
	}
	return &replay.Retries{Ratio: *v.Ratio, Slack: *v.Slack, Window: options.Secs(*v.Window)}, nil
}
