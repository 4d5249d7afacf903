package replay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// CompareOptions bound a comparison of a forecast with a recording.
type CompareOptions struct {
	// FalseAlarmRate is the chance, between 0 and 1, that any share of a right
	// forecast is called a deviation.
	FalseAlarmRate float64
	// Tolerance is what a share may be off, from 0 to 1, beyond chance: what the
	// model does not get right.
	Tolerance float64
	// MinRequests is how many requests a flow must have on both sides.
	MinRequests int
	// WarmUp is how long after a node took the configuration its requests begin to
	// count.
	WarmUp time.Duration
	// AnyConfig compares also if another configuration than the proposal is in
	// force.
	AnyConfig bool
	// MinCoverage is the share, from 0 to 1, of what the nodes forwarded that the
	// recording must have.
	MinCoverage float64
}

// Comparison is a forecast beside what happened.
type Comparison struct {
	// Flows are those with enough requests on both sides.
	Flows         []FlowComparison `json:"flows"`
	SharesChecked int              `json:"sharesChecked"`
	Deviations    []Deviation      `json:"outside"`
	// MissingFlows were forecast and have no request, NewFlows have requests and
	// were not forecast, SparseFlows have too few requests to tell.
	MissingFlows []Flow `json:"notSeen"`
	NewFlows     []Flow `json:"notForetold"`
	SparseFlows  []Flow `json:"tooFew"`
	// Requests counts those under the change, OtherRequests those under another
	// configuration or within the warm-up.
	Requests      int `json:"requests"`
	OtherRequests int `json:"underOtherConfigurations"`
	// MaxStandardErrors is how many standard errors a share may be off.
	MaxStandardErrors float64 `json:"z"`
	Coverage          float64 `json:"coverage"`
}

// FlowComparison is one flow's forecast beside its actual shares.
type FlowComparison struct {
	Flow
	Forecast   *Shares `json:"foretold"`
	Actual     *Shares `json:"actual"`
	Deviations int     `json:"outside"`
}

// Deviation is one share that is not where it was forecast to be.
type Deviation struct {
	Flow
	// Dimension is what the share is of: service, node, path or attempts.
	Dimension string  `json:"what"`
	Value     string  `json:"value"`
	Forecast  float64 `json:"foretold"`
	Actual    float64 `json:"actual"`
	// Low and High bound where the actual share should lie.
	Low  float64 `json:"from"`
	High float64 `json:"to"`
}

// dimension is one way to tell a flow's requests apart.
type dimension struct {
	name   string
	counts func(*Shares) map[string]int
}

var dimensions = []dimension{
	{"service", func(s *Shares) map[string]int { return s.Service }},
	{"node", func(s *Shares) map[string]int { return s.Node }},
	{"path", func(s *Shares) map[string]int { return s.Path }},
	{"attempts", func(s *Shares) map[string]int { return s.Attempts }},
}

// Compare holds the forecast against a recording that was taken once the change
// was live.
func (f Forecast) Compare(recording *meshpb.ReplayFile, options CompareOptions) (*Comparison, error) {
	if err := f.checkRecording(recording); err != nil && !options.AnyConfig {
		return nil, err
	}
	version := f.ConfigVersion
	if version == 0 || options.AnyConfig {
		version = newestConfig(recording)
	}
	actual, other := actualShares(recording, version, f.ByNode, options.WarmUp)
	c := &Comparison{
		Flows:         []FlowComparison{},
		Deviations:    []Deviation{},
		MissingFlows:  []Flow{},
		NewFlows:      []Flow{},
		SparseFlows:   []Flow{},
		OtherRequests: other,
		Coverage:      coverageOf(recording),
	}
	if c.Coverage < options.MinCoverage {
		return nil, Error.New("the record has only %.1f%% of what the nodes carried, %.1f%% is needed", 100*c.Coverage, 100*options.MinCoverage)
	}
	for _, shares := range actual {
		c.Requests += shares.Requests
	}
	if c.Requests == 0 {
		return nil, Error.New("the record has no request that was carried under %s", routeconfig.FormatVersion(version))
	}
	c.matchFlows(f.Flows, actual, options.MinRequests)
	c.MaxStandardErrors = zScore(options.FalseAlarmRate, c.SharesChecked)
	for i := range c.Flows {
		c.checkShares(&c.Flows[i], options.Tolerance)
	}
	return c, nil
}

// newestConfig returns the newest version in the recording.
func newestConfig(recording *meshpb.ReplayFile) uint64 {
	version := uint64(0)
	for _, snapshot := range recording.Configs {
		version = max(version, snapshot.Version)
	}
	return version
}

func coverageOf(recording *meshpb.ReplayFile) float64 {
	r := &Report{}
	r.setCoverage(recording)
	return r.Coverage
}

// actualShares counts how the flows of a recording were forwarded under one
// configuration, and how many requests were not under it for long enough.
func actualShares(recording *meshpb.ReplayFile, version uint64, byNode bool, warmUp time.Duration) (map[Flow]*Shares, int) {
	locations := locateEndpoints(recording)
	shares := map[Flow]*Shares{}
	other := 0
	for _, node := range recording.Nodes {
		fromUs := countedFromUs(node, version, warmUp)
		for _, record := range node.Records {
			if record.Config != version || record.AtUs < fromUs {
				other++
				continue
			}
			if record.Code == 0 {
				continue
			}
			flow := Flow{cmp.Or(record.Route, unmatchedRoute), record.Kind, originOf(node, byNode)}
			if shares[flow] == nil {
				shares[flow] = newShares()
			}
			shares[flow].add(locations.recorded(record, node.Zone), record.AtUs)
		}
	}
	for _, s := range shares {
		s.setOverdispersion()
	}
	return shares, other
}

// countedFromUs is when a node's requests begin to count.
func countedFromUs(node *meshpb.RequestRecordsResponse, version uint64, warmUp time.Duration) int64 {
	fromUs := int64(0)
	for _, config := range node.Configs {
		if config.Version == version {
			fromUs = config.AtUs + warmUp.Microseconds()
		}
	}
	return fromUs
}

// matchFlows sorts flows by whether they can be compared, and counts the shares
// of those that can.
func (c *Comparison) matchFlows(forecasts []FlowForecast, actual map[Flow]*Shares, minRequests int) {
	known := map[Flow]bool{}
	for _, forecast := range forecasts {
		known[forecast.Flow] = true
		got := actual[forecast.Flow]
		switch {
		case got == nil:
			c.MissingFlows = append(c.MissingFlows, forecast.Flow)
		case min(got.Requests, forecast.Shares.Requests) < minRequests:
			c.SparseFlows = append(c.SparseFlows, forecast.Flow)
		default:
			c.Flows = append(c.Flows, FlowComparison{Flow: forecast.Flow, Forecast: forecast.Shares, Actual: got})
			for _, d := range dimensions {
				c.SharesChecked += len(unionOfKeys(d.counts(forecast.Shares), d.counts(got)))
			}
		}
	}
	for flow := range actual {
		if !known[flow] {
			c.NewFlows = append(c.NewFlows, flow)
		}
	}
	slices.SortFunc(c.NewFlows, Flow.compare)
}

// zScore is how many standard errors each of n shares may be off, so that all
// lie within but for the false alarm rate.
func zScore(falseAlarmRate float64, n int) float64 {
	return math.Sqrt2 * math.Erfinv(1-falseAlarmRate/float64(max(n, 1)))
}

// checkShares adds the deviations of one flow.
func (c *Comparison) checkShares(flow *FlowComparison, tolerance float64) {
	forecast, actual := flow.Forecast, flow.Actual
	for _, d := range dimensions {
		expected, got := d.counts(forecast), d.counts(actual)
		for _, value := range unionOfKeys(expected, got) {
			low, high := shareInterval(expected[value], forecast, actual, c.MaxStandardErrors, tolerance)
			share := float64(got[value]) / float64(actual.Requests)
			if share >= low && share <= high {
				continue
			}
			c.Deviations = append(c.Deviations, Deviation{
				Flow:      flow.Flow,
				Dimension: d.name,
				Value:     value,
				Forecast:  float64(expected[value]) / float64(forecast.Requests),
				Actual:    share,
				Low:       low,
				High:      high,
			})
			flow.Deviations++
		}
	}
}

func unionOfKeys(a, b map[string]int) []string {
	union := map[string]bool{}
	for k := range a {
		union[k] = true
	}
	for k := range b {
		union[k] = true
	}
	return slices.Sorted(maps.Keys(union))
}

// shareInterval is where the actual share of a value should lie that count of
// the forecast's requests have. Both samples vary, each the more the larger its
// overdispersion is. The estimate adds one request with the value and one
// without, so that a share of 0 or 1 has a width too.
func shareInterval(count int, forecast, actual *Shares, z, tolerance float64) (low, high float64) {
	forecastRequests, actualRequests := float64(forecast.Requests), float64(actual.Requests)
	p := (float64(count) + 1) / (forecastRequests + 2)
	inverseSize := max(forecast.Overdispersion, 1)/forecastRequests + max(actual.Overdispersion, 1)/actualRequests
	width := z*math.Sqrt(p*(1-p)*inverseSize) + tolerance
	share := float64(count) / forecastRequests
	return max(share-width, 0), min(share+width, 1)
}
