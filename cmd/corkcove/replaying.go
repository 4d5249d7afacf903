package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"corkcove/internal/replay"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

const ticketPage = 2000

// saveReplay takes what all nodes remember of the last span into one file, node
// by node as they answer.
func (t *tool) saveReplay(file string, span time.Duration, most int) error {
	if span <= 0 {
		return fmt.Errorf("--span: %v must be above 0", span)
	}
	if most < 1 || most > 256 {
		return fmt.Errorf("--parallel: %d must be from 1 to 256", most)
	}
	ss, err := t.status()
	if err != nil {
		return err
	}
	if !ss[0].Master {
		return fmt.Errorf("there is no master now, so the nodes are not known")
	}
	addr := map[string]string{}
	for _, n := range ss[0].Nodes {
		addr[n.Name] = n.Addr
	}
	f, err := os.CreateTemp(dirOf(file), ".replay-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	out := bufio.NewWriterSize(f, 1<<20)
	w, err := replay.NewWriter(out)
	if err != nil {
		return err
	}
	s := saving{t: t, w: w, addr: addr, views: map[viewMark]bool{}, configs: map[uint64]bool{}}
	silent := eachOf(ss, most, func(addr string) (*meshpb.RequestRecordsResponse, error) { return t.tickets(addr, span) }, s.node)
	if err := s.err; err != nil {
		return err
	}
	if err := w.Close(&meshpb.ReplayTrailer{CreatedUs: time.Now().UnixMicro(), SpanUs: span.Microseconds(), Unreachable: silent}); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), file); err != nil {
		return err
	}
	fmt.Printf("%d requests of %d nodes, %d views, %d configurations in %s\n", s.requests, s.nodes, len(s.views), len(s.configs), file)
	if s.lossy > 0 {
		fmt.Printf("%d nodes' rings lost part of the span, %.1f s at most (recordSet.requests)\n", s.lossy, s.lost.Seconds())
	}
	for _, n := range silent {
		fmt.Fprintf(stderr, "%s did not answer; its requests are missing\n", n)
	}
	if len(silent) > 0 {
		return fmt.Errorf("%d nodes did not answer", len(silent))
	}
	if s.requests == 0 {
		return fmt.Errorf("no node carried a request in the last %v, or none keeps a record", span)
	}
	return nil
}

type viewMark struct{ epoch, version uint64 }

// saving writes nodes' records in the order that they come; one at a time.
type saving struct {
	t               *tool
	w               *replay.Writer
	addr            map[string]string
	views           map[viewMark]bool
	configs         map[uint64]bool
	nodes, requests int
	lossy           int
	lost            time.Duration
	err             error
}

func (s *saving) node(r *meshpb.RequestRecordsResponse) {
	if s.err != nil {
		return
	}
	s.nodes++
	s.requests += len(r.Records)
	if r.LostUs > 0 {
		s.lossy++
		s.lost = max(s.lost, time.Duration(r.LostUs)*time.Microsecond)
	}
	if s.err = s.w.WriteNode(r); s.err != nil {
		return
	}
	q := &meshpb.SnapshotsRequest{}
	for _, v := range r.Views {
		if !s.views[viewMark{v.Epoch, v.Version}] {
			q.Views = append(q.Views, v)
		}
	}
	for _, p := range r.Configs {
		if !s.configs[p.Version] {
			q.Configs = append(q.Configs, p.Version)
		}
	}
	if len(q.Views)+len(q.Configs) == 0 {
		return
	}
	p, err := rpc.Call(toolWait, s.t.lines.Diagnostics(s.addr[r.Node]).Snapshots, q)
	if err != nil {
		return
	}
	for _, v := range p.Views {
		s.views[viewMark{v.Epoch, v.Version}] = true
		s.err = errors.Join(s.err, s.w.WriteView(v))
	}
	for _, d := range p.Configs {
		s.configs[d.Version] = true
		s.err = errors.Join(s.err, s.w.WriteConfig(d))
	}
}

func dirOf(file string) string {
	for i := len(file) - 1; i >= 0; i-- {
		if file[i] == '/' {
			return file[:i+1]
		}
	}
	return "."
}

func (t *tool) tickets(addr string, span time.Duration) (*meshpb.RequestRecordsResponse, error) {
	var all *meshpb.RequestRecordsResponse
	from := uint32(0)
	for {
		r, err := rpc.Call(toolWait, t.lines.Diagnostics(addr).RequestRecords, &meshpb.RequestRecordsRequest{SpanUs: span.Microseconds(), Offset: from, Limit: ticketPage})
		if err != nil {
			return nil, err
		}
		if all == nil {
			all = r
		} else {
			all.Records = append(all.Records, r.Records...)
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
	bars               replay.Options
	save               string
	filter             replay.Filter
	json               bool
}

// runReplay needs no core: all it reads is in the file.
func runReplay(o replayOpts) error {
	c, err := replay.ReadFile(o.file)
	if err != nil {
		return err
	}
	r := replay.Scenario{Seed: o.seed, HotKeys: hotOptions(settings.DefaultHotKeys())}
	if o.config != "" {
		b, err := os.ReadFile(o.config)
		if err != nil {
			return err
		}
		d, err := routeconfig.Parse(b)
		if err != nil {
			return fmt.Errorf("%s: %w", o.config, err)
		}
		r.Config = &d
	}
	if o.opts != "" {
		if r.Retries, err = retriesOf(o.opts); err != nil {
			return err
		}
	}
	if r.Config == nil && r.Retries == nil {
		return fmt.Errorf("nothing is to change: give --config, --options or both")
	}
	if b := o.bars; b.MaxMismatch < 0 || b.MaxMismatch > 1 || b.MinCoverage < 0 || b.MinCoverage > 1 || b.WarmUp < 0 {
		return fmt.Errorf("--off and --coverage must be from 0 to 1, --settle not below 0")
	}
	rep, err := replay.Simulate(c, r, o.bars)
	if err != nil {
		return err
	}
	if o.save != "" {
		if err := rep.Forecast(r, o.bars.ByNode, time.Now()).Save(o.save); err != nil {
			return err
		}
	}
	t := &tool{json: o.json}
	t.print(rep, rep.Text(o.filter, o.most))
	switch {
	case rep.ControlMismatch > o.bars.MaxMismatch:
		return fmt.Errorf("the old rules do not give back %.2f%% of the record, %.2f%% is allowed: don't decide on this", 100*rep.ControlMismatch, 100*o.bars.MaxMismatch)
	case !rep.Usable:
		return fmt.Errorf("the record has %.1f%% of what the nodes carried, %.1f%% is needed: don't decide on this", 100*rep.Coverage, 100*o.bars.MinCoverage)
	case len(rep.Flags) > 0:
		return fmt.Errorf("%d purchases, payments, uploads or checks would be sent twice, dropped or left waiting that are not under the old rules", len(rep.Flags))
	case rep.SevereCount() > 0:
		return fmt.Errorf("%d requests would be doubled, vanish or stall that are not under the old rules", rep.SevereCount())
	}
	return nil
}

type compareOpts struct {
	forecast, file string
	bars           replay.CompareOptions
	most           int
	json           bool
}

// compareReplay holds a kept forecast against a record taken once the change
// is live.
func compareReplay(o compareOpts) error {
	if b := o.bars; b.FalseAlarmRate <= 0 || b.FalseAlarmRate >= 1 || b.Tolerance < 0 || b.Tolerance > 1 || b.MinRequests < 1 || b.WarmUp < 0 || b.MinCoverage < 0 || b.MinCoverage > 1 {
		return fmt.Errorf("--miss must lie between 0 and 1, --slack and --coverage from 0 to 1, --least must be 1 at least, --settle not below 0")
	}
	f, err := replay.ReadForecast(o.forecast)
	if err != nil {
		return err
	}
	c, err := replay.ReadFile(o.file)
	if err != nil {
		return err
	}
	r, err := f.Compare(c, o.bars)
	if err != nil {
		return err
	}
	t := &tool{json: o.json}
	t.print(r, r.Text(o.most))
	switch {
	case len(r.Deviations) > 0:
		return fmt.Errorf("%d of %d shares are not where they were foretold", len(r.Deviations), r.SharesChecked)
	case len(r.Flows) == 0:
		return fmt.Errorf("no flow has enough requests on both sides to tell")
	}
	return nil
}

func retriesOf(file string) (*replay.RetrySettings, error) {
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
	return &replay.RetrySettings{Ratio: *v.Ratio, Slack: *v.Slack, Window: settings.Seconds(*v.Window)}, nil
}
