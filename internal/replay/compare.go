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

// CompareOptions are the thresholds for comparing a forecast with a recording.
type CompareOptions struct {
	// FalseAlarmRate is the accepted probability, between 0 and 1, that an accurate
	// forecast is reported to deviate, that is, that Comparison.Deviations is not empty.
	FalseAlarmRate float64
	// Tolerance is the difference between a forecast and an actual share, from 0 to
	// 1, that is accepted in addition to sampling error. It covers the systematic
	// error of the model.
	Tolerance float64
	// MinRequests is the number of requests that a flow must have both in the
	// forecast and in the recording to be compared.
	MinRequests int
	// WarmUp is the time after a node applied the configuration during which its
	// requests are not counted.
	WarmUp time.Duration
	// AnyConfig skips the check that the recording was taken under the proposed
	// configuration and retry settings. The requests under the newest recorded
	// configuration are compared.
	AnyConfig bool
	// MinCoverage is the lower bound of Comparison.Coverage, from 0 to 1.
	MinCoverage float64
}

// Comparison is the result of comparing a forecast with a recording.
type Comparison struct {
	// Flows are the flows with enough requests in the forecast and in the recording.
	Flows []FlowComparison `json:"flows"`
	// SharesChecked is the number of shares compared over all Flows.
	SharesChecked int `json:"sharesChecked"`
	// Deviations are the shares of Flows that lie outside their expected intervals.
	Deviations []Deviation `json:"outside"`
	// MissingFlows were forecast and have no recorded requests. NewFlows have
	// recorded requests and were not forecast. SparseFlows have too few requests to
	// be compared.
	MissingFlows []Flow `json:"notSeen"`
	NewFlows     []Flow `json:"notForetold"`
	SparseFlows  []Flow `json:"tooFew"`
	// Requests counts the requests under the compared configuration, OtherRequests
	// those under another configuration or within the warm-up.
	Requests      int `json:"requests"`
	OtherRequests int `json:"underOtherConfigurations"`
	// MaxStandardErrors is the accepted difference of a share, in standard errors.
	MaxStandardErrors float64 `json:"z"`
	// Coverage is the share, from 0 to 1, of the span that the recording covers,
	// averaged over all nodes; a node that did not answer covers nothing.
	Coverage float64 `json:"coverage"`
}

// FlowComparison holds the forecast and the actual shares of one flow.
type FlowComparison struct {
	Flow
	// Forecast are the shares of the forecast file, Actual those of the recording.
	Forecast *Shares `json:"foretold"`
	Actual   *Shares `json:"actual"`
	// Deviations is the number of the flow's entries in Comparison.Deviations.
	Deviations int `json:"outside"`
}

// Deviation is an actual share that lies outside its expected interval.
type Deviation struct {
	Flow
	// Dimension is service, node, path or attempts, Value the service, node, path or
	// number of attempts that the share is of.
	Dimension string `json:"what"`
	Value     string `json:"value"`
	// Forecast and Actual are shares of the flow's requests, from 0 to 1.
	Forecast float64 `json:"foretold"`
	Actual   float64 `json:"actual"`
	// Low and High bound the interval in which the actual share is expected.
	Low  float64 `json:"from"`
	High float64 `json:"to"`
}

// dimension is a property by which the requests of a flow are counted.
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

// Compare compares the forecast with a recording that was taken after the proposal
// took effect. It returns an error if the recording was taken under another
// configuration or other retry settings (unless options.AnyConfig is set), if its
// coverage is below options.MinCoverage, or if no request in it can be compared.
func (f Forecast) Compare(recording *meshpb.ReplayFile, options CompareOptions) (*Comparison, error) {
	if err := f.checkRecording(recording); err != nil && !options.AnyConfig {
		return nil, err
	}
	version := f.ConfigVersion
	if version == 0 || options.AnyConfig {
		version = newestConfigVersion(recording)
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
		return nil, Error.New("the recording covers only %.1f%% of what the nodes forwarded; %.1f%% is required", 100*c.Coverage, 100*options.MinCoverage)
	}
	for _, shares := range actual {
		c.Requests += shares.Requests
	}
	if c.Requests == 0 {
		return nil, Error.New("the recording contains no request that was forwarded under %s after the warm-up", routeconfig.FormatVersion(version))
	}
	c.matchFlows(f.Flows, actual, options.MinRequests)
	c.MaxStandardErrors = zScore(options.FalseAlarmRate, c.SharesChecked)
	for i := range c.Flows {
		c.checkShares(&c.Flows[i], options.Tolerance)
	}
	return c, nil
}

// newestConfigVersion returns the highest configuration version in the recording,
// 0 if it has none.
func newestConfigVersion(recording *meshpb.ReplayFile) uint64 {
	version := uint64(0)
	for _, snapshot := range recording.Configs {
		version = max(version, snapshot.Version)
	}
	return version
}

// coverageOf returns the coverage as Report.Coverage defines it.
func coverageOf(recording *meshpb.ReplayFile) float64 {
	r := &Report{}
	r.setCoverage(recording)
	return r.Coverage
}

// actualShares returns the shares of each flow under one configuration version, and
// the number of requests under other versions or within the warm-up. Requests
// without a status are left out, because their clients left before the response.
func actualShares(recording *meshpb.ReplayFile, version uint64, byNode bool, warmUp time.Duration) (map[Flow]*Shares, int) {
	locations := locateEndpoints(recording)
	shares := map[Flow]*Shares{}
	other := 0
	for _, node := range recording.Nodes {
		fromUs := countingStartUs(node, version, warmUp)
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
			shares[flow].add(locations.recordedForwarding(record, node.Zone), record.AtUs)
		}
	}
	for _, s := range shares {
		s.setOverdispersion()
	}
	return shares, other
}

// countingStartUs returns when the warm-up ends at a node that applied the version,
// in microseconds since the Unix epoch; 0 if the node's report does not list it.
func countingStartUs(node *meshpb.RequestRecordsResponse, version uint64, warmUp time.Duration) int64 {
	fromUs := int64(0)
	for _, config := range node.Configs {
		if config.Version == version {
			fromUs = config.AtUs + warmUp.Microseconds()
		}
	}
	return fromUs
}

// matchFlows sorts the flows into Flows, MissingFlows, NewFlows and SparseFlows, and
// counts the shares of those in Flows.
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

// zScore returns the two-sided bound, in standard errors, that n shares of an
// accurate forecast exceed at most with the probability falseAlarmRate in total
// (Bonferroni correction).
func zScore(falseAlarmRate float64, n int) float64 {
	return math.Sqrt2 * math.Erfinv(1-falseAlarmRate/float64(max(n, 1)))
}

// checkShares appends the deviations of one flow to c.Deviations.
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

// unionOfKeys returns the sorted keys of both maps.
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

// shareInterval returns the interval in which the actual share of a value is
// expected if count of the forecast's requests have that value. Its width accounts
// for the sampling variance of both samples, each scaled by its overdispersion. The
// variance is estimated with one more request with the value and one more without,
// so that the interval of a share of 0 or 1 has a width above 0 too.
func shareInterval(count int, forecast, actual *Shares, z, tolerance float64) (low, high float64) {
	forecastRequests, actualRequests := float64(forecast.Requests), float64(actual.Requests)
	p := (float64(count) + 1) / (forecastRequests + 2)
	inverseSize := max(forecast.Overdispersion, 1)/forecastRequests + max(actual.Overdispersion, 1)/actualRequests
	width := z*math.Sqrt(p*(1-p)*inverseSize) + tolerance
	share := float64(count) / forecastRequests
	return max(share-width, 0), min(share+width, 1)
}
