package replay

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const forecastVersion = 1

// Forecast is what a rehearsal foretells of a proposal, kept until it is live.
type Forecast struct {
	Format          int            `json:"corkcoveForecast"`
	CreatedAt       time.Time      `json:"made"`
	ConfigVersion   uint64         `json:"configuration"`
	ConfigSum       string         `json:"configurationSum"`
	Retries         *RetrySettings `json:"retries,omitempty"`
	ByNode          bool           `json:"byNode"`
	ControlMismatch float64        `json:"controlOff"`
	Coverage        float64        `json:"coverage"`
	FlagCount       int            `json:"flags"`
	Flows           []FlowForecast
}

type FlowForecast struct {
	Flow
	Shares *Shares `json:"shares"`
}

// Foretell keeps what a report says of the flows under the proposal.
func (r *Report) Forecast(rules Scenario, byNode bool, now time.Time) Forecast {
	f := Forecast{Format: forecastVersion, CreatedAt: now.UTC(), Retries: rules.Retries, ByNode: byNode, ControlMismatch: r.ControlMismatch, Coverage: r.Coverage, FlagCount: len(r.Flags)}
	if rules.Config != nil {
		f.ConfigVersion, f.ConfigSum = rules.Config.Version, rules.Config.ContentDigest()
	}
	for _, s := range r.Shifts {
		f.Flows = append(f.Flows, FlowForecast{s.Flow, s.New})
	}
	return f
}

func (f Forecast) Save(path string) error {
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(b, '\n'), 0o644))
}

func ReadForecast(path string) (f Forecast, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return f, Error.Wrap(err)
	}
	if err := json.Unmarshal(b, &f); err != nil {
		return f, Error.New("%s: cut short, or no forecast of `corkcove replay run --save`: %v", path, err)
	}
	switch {
	case f.Format == 0:
		return f, Error.New("%s: this is no forecast of `corkcove replay run --save`", path)
	case f.Format != forecastVersion:
		return f, Error.New("%s: a forecast of version %d, which is not known", path, f.Format)
	case len(f.Flows) == 0:
		return f, Error.New("%s: the forecast has no flows", path)
	}
	for _, x := range f.Flows {
		if x.Shares == nil {
			return f, Error.New("%s: the flow %s has no shares", path, x.Flow)
		}
	}
	return f, nil
}

// Outside is one share that is not where it was foretold to be.
type Deviation struct {
	Flow
	Dimension string  `json:"what"`
	Value     string  `json:"value"`
	Forecast  float64 `json:"foretold"`
	Actual    float64 `json:"actual"`
	Low       float64 `json:"from"`
	High      float64 `json:"to"`
}

// Compared is a forecast beside what happened.
type Comparison struct {
	Flows         []FlowComparison `json:"flows"`
	SharesChecked int              `json:"sharesChecked"`
	Deviations    []Deviation      `json:"outside"`
	MissingFlows  []Flow           `json:"notSeen"`
	NewFlows      []Flow           `json:"notForetold"`
	SparseFlows   []Flow           `json:"tooFew"`
	Requests      int              `json:"requests"`
	OtherRequests int              `json:"underOtherConfigurations"`
	Z             float64          `json:"z"`
	Coverage      float64          `json:"coverage"`
}

type FlowComparison struct {
	Flow
	Forecast   *Shares `json:"foretold"`
	Actual     *Shares `json:"actual"`
	Deviations int     `json:"outside"`
}

// CompareBars bound a comparison: Miss is the chance that any flow of a right
// forecast is called outside, Slack what the model may be off beyond chance,
// Least how many requests a flow must have on both sides, Settle how long after
// a node took the configuration its requests begin to count.
type CompareOptions struct {
	FalseAlarmRate float64
	Tolerance      float64
	MinRequests    int
	WarmUp         time.Duration
	AnyConfig      bool
	MinCoverage    float64
}

// happened gathers how the flows of a record were carried under one
// configuration.
func happened(c *meshpb.ReplayFile, version uint64, byNode bool, settle time.Duration) (map[Flow]*Shares, int) {
	a := atlasOf(c)
	out := map[Flow]*Shares{}
	other := 0
	fl := &flows{byNode: byNode}
	for _, n := range c.Nodes {
		from := int64(0)
		for _, p := range n.Configs {
			if p.Version == version {
				from = p.AtUs + settle.Microseconds()
			}
		}
		for _, t := range n.Records {
			if t.Config != version || t.AtUs < from {
				other++
				continue
			}
			if t.Code == 0 {
				continue
			}
			k := Flow{cmp.Or(t.Route, "(none)"), t.Kind, fl.origin(n)}
			if out[k] == nil {
				out[k] = newShares()
			}
			out[k].add(a.carried(t, n.Zone), t.AtUs/blockUs)
		}
	}
	for _, s := range out {
		s.clump()
	}
	return out, other
}

// Matches tells whether the record was taken under the forecast's proposal.
func (f Forecast) CheckRecording(c *meshpb.ReplayFile) error {
	if f.Retries != nil {
		for _, n := range c.Nodes {
			if n.Ratio != f.Retries.Ratio || n.Slack != f.Retries.Slack || n.WindowS != f.Retries.Window.Seconds() {
				return Error.New("%s runs under retryRatio %v, retrySlack %v, retryWindowS %v; the forecast is of %v, %v, %v", n.Node, n.Ratio, n.Slack, n.WindowS,
					f.Retries.Ratio, f.Retries.Slack, f.Retries.Window.Seconds())
			}
		}
	}
	if f.ConfigSum == "" {
		return nil
	}
	var had []string
	for _, d := range c.Configs {
		b, err := rpc.Unpack(d.Packed)
		if err != nil {
			return Error.Wrap(err)
		}
		x, err := routeconfig.Parse(b)
		if err != nil {
			return Error.Wrap(err)
		}
		if d.Version == f.ConfigVersion {
			if x.ContentDigest() == f.ConfigSum {
				return nil
			}
			return Error.New("the forecast is of another proposal than the %s that is in force: their contents differ", routeconfig.FormatVersion(f.ConfigVersion))
		}
		had = append(had, routeconfig.FormatVersion(d.Version))
	}
	return Error.New("the forecast is of %s, which was not in force while the record was taken (%s)", routeconfig.FormatVersion(f.ConfigVersion), strings.Join(had, ", "))
}

// newest gives the newest configuration of a record.
func newest(c *meshpb.ReplayFile) uint64 {
	s := uint64(0)
	for _, d := range c.Configs {
		s = max(s, d.Version)
	}
	return s
}

// Compare holds a forecast against a record that was taken once the change was
// live.
func (f Forecast) Compare(c *meshpb.ReplayFile, b CompareOptions) (*Comparison, error) {
	if err := f.CheckRecording(c); err != nil && !b.AnyConfig {
		return nil, err
	}
	version := f.ConfigVersion
	if version == 0 || b.AnyConfig {
		version = newest(c)
	}
	live, other := happened(c, version, f.ByNode, b.WarmUp)
	out := &Comparison{Flows: []FlowComparison{}, Deviations: []Deviation{}, MissingFlows: []Flow{}, NewFlows: []Flow{}, SparseFlows: []Flow{}, OtherRequests: other}
	r := &Report{}
	r.coverage(c)
	out.Coverage = r.Coverage
	if r.Coverage < b.MinCoverage {
		return nil, Error.New("the record has only %.1f%% of what the nodes carried, %.1f%% is needed", 100*r.Coverage, 100*b.MinCoverage)
	}
	type share struct {
		what string
		of   func(*Shares) map[string]int
	}
	all := []share{{"service", func(s *Shares) map[string]int { return s.Service }}, {"node", func(s *Shares) map[string]int { return s.Node }},
		{"path", func(s *Shares) map[string]int { return s.Path }}, {"attempts", func(s *Shares) map[string]int { return s.Attempts }}}
	for _, s := range live {
		out.Requests += s.Requests
	}
	if out.Requests == 0 {
		return nil, Error.New("the record has no request that was carried under %s", routeconfig.FormatVersion(version))
	}
	known := map[Flow]bool{}
	type pair struct {
		FlowForecast
		got *Shares
	}
	var ps []pair
	for _, x := range f.Flows {
		known[x.Flow] = true
		got := live[x.Flow]
		switch {
		case got == nil:
			out.MissingFlows = append(out.MissingFlows, x.Flow)
		case min(got.Requests, x.Shares.Requests) < b.MinRequests:
			out.SparseFlows = append(out.SparseFlows, x.Flow)
		default:
			ps = append(ps, pair{x, got})
			for _, s := range all {
				out.SharesChecked += len(union(s.of(x.Shares), s.of(got)))
			}
		}
	}
	for k := range live {
		if !known[k] {
			out.NewFlows = append(out.NewFlows, k)
		}
	}
	slices.SortFunc(out.NewFlows, Flow.compare)
	out.Z = math.Sqrt2 * math.Erfinv(1-b.FalseAlarmRate/float64(max(out.SharesChecked, 1)))
	for _, p := range ps {
		cf := FlowComparison{Flow: p.Flow, Forecast: p.Shares, Actual: p.got}
		for _, s := range all {
			m, g := s.of(p.Shares), s.of(p.got)
			for _, v := range union(m, g) {
				from, to := within(m[v], p.Shares.Requests, p.got.Requests, p.Shares.Overdispersion, p.got.Overdispersion, out.Z, b.Tolerance)
				x := float64(g[v]) / float64(p.got.Requests)
				if x < from || x > to {
					out.Deviations = append(out.Deviations, Deviation{p.Flow, s.what, v, float64(m[v]) / float64(p.Shares.Requests), x, from, to})
					cf.Deviations++
				}
			}
		}
		out.Flows = append(out.Flows, cf)
	}
	return out, nil
}

func union(a, b map[string]int) []string {
	m := map[string]bool{}
	for k := range a {
		m[k] = true
	}
	for k := range b {
		m[k] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// within is where the share of a second sample of m requests should lie, after k
// of a first of n had the property: both samples vary, each the more the more
// its requests come in clumps.
func within(k, n, m int, clumpN, clumpM, z, slack float64) (from, to float64) {
	p := (float64(k) + 1) / (float64(n) + 2)
	d := z*math.Sqrt(p*(1-p)*(max(clumpN, 1)/float64(n)+max(clumpM, 1)/float64(m))) + slack
	at := float64(k) / float64(n)
	return max(at-d, 0), min(at+d, 1)
}

func (c *Comparison) Text(most int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests under the change, %d under others or too early; coverage %.1f%%\n", c.Requests, c.OtherRequests, 100*c.Coverage)
	fmt.Fprintf(&b, "%d flows, %d shares compared, each within %.1f standard errors of both samples\n\n", len(c.Flows), c.SharesChecked, c.Z)
	fmt.Fprintf(&b, "%-20s %-10s %-26s %9s %9s %8s  %s\n", "route", "kind", "from", "foretold", "carried", "outside", "service, foretold -> carried")
	for i, f := range c.Flows {
		if i == most {
			fmt.Fprintf(&b, "and %d more flows\n", len(c.Flows)-i)
			break
		}
		fmt.Fprintf(&b, "%-20s %-10s %-26s %9d %9d %8d  %s -> %s\n", f.Route, f.Kind, f.Origin, f.Forecast.Requests, f.Actual.Requests, f.Deviations,
			sharesText(f.Forecast.Service, f.Forecast.Requests), sharesText(f.Actual.Service, f.Actual.Requests))
	}
	for i, o := range c.Deviations {
		if i == 0 {
			b.WriteString("\n")
		}
		if i == most {
			fmt.Fprintf(&b, "and %d more outside\n", len(c.Deviations)-i)
			break
		}
		fmt.Fprintf(&b, "OUTSIDE %s: %s %s was foretold for %.1f%%, carried %.1f%% (should lie between %.1f%% and %.1f%%)\n", o.Flow, o.Dimension, o.Value, 100*o.Forecast, 100*o.Actual,
			100*o.Low, 100*o.High)
	}
	for _, x := range []struct {
		word string
		fs   []Flow
	}{{"not seen since", c.MissingFlows}, {"not foretold", c.NewFlows}, {"too few requests to tell", c.SparseFlows}} {
		for i, f := range x.fs {
			if i == most {
				fmt.Fprintf(&b, "%s: and %d more flows\n", x.word, len(x.fs)-i)
				break
			}
			fmt.Fprintf(&b, "%s: %s\n", x.word, f)
		}
	}
	return b.String()
}
