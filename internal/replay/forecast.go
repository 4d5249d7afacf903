package replay

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// forecastFormat is the version of the stored form of a forecast.
const forecastFormat = 1

// Forecast is what a simulation expects of a proposal, stored as JSON until the
// proposal is live. Its keys are those of files that exist.
type Forecast struct {
	// Format is forecastFormat; 0 in a file that is no forecast.
	Format    int       `json:"corkcoveForecast"`
	CreatedAt time.Time `json:"made"`
	// ConfigVersion and ConfigSum name the proposed configuration; they are zero if
	// only settings were proposed.
	ConfigVersion uint64 `json:"configuration"`
	ConfigSum     string `json:"configurationSum"`
	// Retries are the proposed settings of the retry budget, nil if unchanged.
	Retries *RetrySettings `json:"retries,omitempty"`
	// ByNode tells that flows are told apart by node and not by zone.
	ByNode bool `json:"byNode"`
	// ControlMismatch, Coverage and FlagCount are those of the report.
	ControlMismatch float64        `json:"controlOff"`
	Coverage        float64        `json:"coverage"`
	FlagCount       int            `json:"flags"`
	Flows           []FlowForecast `json:"Flows"`
}

// FlowForecast is the expected distribution of one flow.
type FlowForecast struct {
	Flow
	Shares *Shares `json:"shares"`
}

// Forecast keeps what the report expects of the flows under the scenario.
func (r *Report) Forecast(scenario Scenario, byNode bool, now time.Time) Forecast {
	f := Forecast{
		Format:          forecastFormat,
		CreatedAt:       now.UTC(),
		Retries:         scenario.Retries,
		ByNode:          byNode,
		ControlMismatch: r.ControlMismatch,
		Coverage:        r.Coverage,
		FlagCount:       len(r.Flags),
	}
	if scenario.Config != nil {
		f.ConfigVersion, f.ConfigSum = scenario.Config.Version, scenario.Config.ContentDigest()
	}
	for _, shift := range r.Shifts {
		f.Flows = append(f.Flows, FlowForecast{shift.Flow, shift.New})
	}
	return f
}

// Save writes the forecast to the named file.
func (f Forecast) Save(path string) error {
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(b, '\n'), 0o644))
}

// ReadForecast reads a forecast from the named file.
func ReadForecast(path string) (Forecast, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Forecast{}, Error.Wrap(err)
	}
	var f Forecast
	if err := json.Unmarshal(b, &f); err != nil {
		return f, Error.New("%s: cut short, or no forecast of `corkcove replay run --save`: %v", path, err)
	}
	return f, f.validate(path)
}

func (f Forecast) validate(path string) error {
	switch {
	case f.Format == 0:
		return Error.New("%s: this is no forecast of `corkcove replay run --save`", path)
	case f.Format != forecastFormat:
		return Error.New("%s: a forecast of version %d, which is not known", path, f.Format)
	case len(f.Flows) == 0:
		return Error.New("%s: the forecast has no flows", path)
	}
	for _, flow := range f.Flows {
		if flow.Shares == nil {
			return Error.New("%s: the flow %s has no shares", path, flow.Flow)
		}
	}
	return nil
}

// checkRecording returns an error unless the recording was taken while the
// forecast's proposal was in force.
func (f Forecast) checkRecording(recording *meshpb.ReplayFile) error {
	if err := f.checkRetries(recording); err != nil {
		return err
	}
	return f.checkConfig(recording)
}

func (f Forecast) checkRetries(recording *meshpb.ReplayFile) error {
	if f.Retries == nil {
		return nil
	}
	window := f.Retries.Window.Seconds()
	for _, node := range recording.Nodes {
		if node.Ratio != f.Retries.Ratio || node.Slack != f.Retries.Slack || node.WindowS != window {
			return Error.New("%s runs under retryRatio %v, retrySlack %v, retryWindowS %v; the forecast is of %v, %v, %v",
				node.Node, node.Ratio, node.Slack, node.WindowS, f.Retries.Ratio, f.Retries.Slack, window)
		}
	}
	return nil
}

func (f Forecast) checkConfig(recording *meshpb.ReplayFile) error {
	if f.ConfigSum == "" {
		return nil
	}
	var inForce []string
	for _, snapshot := range recording.Configs {
		config, err := parseSnapshot(snapshot)
		if err != nil {
			return Error.Wrap(err)
		}
		if snapshot.Version != f.ConfigVersion {
			inForce = append(inForce, routeconfig.FormatVersion(snapshot.Version))
			continue
		}
		if config.ContentDigest() != f.ConfigSum {
			return Error.New("the forecast is of another proposal than the %s that is in force: their contents differ", routeconfig.FormatVersion(f.ConfigVersion))
		}
		return nil
	}
	return Error.New("the forecast is of %s, which was not in force while the record was taken (%s)", routeconfig.FormatVersion(f.ConfigVersion), strings.Join(inForce, ", "))
}
