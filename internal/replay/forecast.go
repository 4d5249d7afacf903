package replay

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// forecastFormat is the version of the file format of forecasts.
const forecastFormat = 1

// Forecast is the expected distribution of requests under a proposal. It is stored
// as JSON until the proposal takes effect. The keys must not change, because
// existing files have them.
type Forecast struct {
	// Format is forecastFormat. It is 0 if a JSON file is not a forecast.
	Format int `json:"corkcoveForecast"`
	// CreatedAt is in UTC.
	CreatedAt time.Time `json:"made"`
	// ConfigVersion and ConfigDigest identify the proposed configuration; they are
	// zero if only retry settings were proposed.
	ConfigVersion uint64 `json:"configuration"`
	ConfigDigest  string `json:"configurationSum"`
	// Retries are the proposed retry budget settings, nil if unchanged.
	Retries *RetrySettings `json:"retries,omitempty"`
	// ByNode is true if Flow.Origin is a node, false if it is a zone.
	ByNode bool `json:"byNode"`
	// ControlMismatch and Coverage are copied from the report, FlagCount is the
	// number of its flags.
	ControlMismatch float64 `json:"controlOff"`
	Coverage        float64 `json:"coverage"`
	FlagCount       int     `json:"flags"`
	// Flows has at least one entry in a valid file.
	Flows []FlowForecast `json:"Flows"`
}

// FlowForecast is the expected distribution of one flow.
type FlowForecast struct {
	Flow
	// Shares is never nil in a valid file.
	Shares *Shares `json:"shares"`
}

// Forecast returns the forecast to store for the scenario that the report is of;
// byNode must equal Options.ByNode of the simulation.
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
		f.ConfigVersion, f.ConfigDigest = scenario.Config.Version, scenario.Config.ContentDigest()
	}
	for _, shift := range r.Shifts {
		f.Flows = append(f.Flows, FlowForecast{shift.Flow, shift.New})
	}
	return f
}

// Save writes the forecast to the named file and overwrites an existing one. It
// returns the error of the write.
func (f Forecast) Save(path string) error {
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(b, '\n'), 0o644))
}

// ReadForecast reads a forecast from the named file. It returns an error if the file
// cannot be read, is not a forecast, has another format version, or is incomplete.
func ReadForecast(path string) (Forecast, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Forecast{}, Error.Wrap(err)
	}
	var f Forecast
	if err := json.Unmarshal(b, &f); err != nil {
		return f, Error.New("%s: truncated, or not a forecast of `corkcove replay run --save`: %v", path, err)
	}
	return f, f.validate(path)
}

// validate checks a decoded forecast; path is only for the error messages.
func (f Forecast) validate(path string) error {
	switch {
	case f.Format == 0:
		return Error.New("%s: not a forecast of `corkcove replay run --save`", path)
	case f.Format != forecastFormat:
		return Error.New("%s: unsupported forecast format version %d, want %d", path, f.Format, forecastFormat)
	case len(f.Flows) == 0:
		return Error.New("%s: the forecast has no flows", path)
	}
	for _, flow := range f.Flows {
		if flow.Shares == nil {
			return Error.New("%s: flow %q has no shares", path, flow.Flow)
		}
	}
	return nil
}

// checkRecording returns an error unless the recording was taken while the proposal
// was in force: its retry settings at all nodes, and its configuration at some time.
func (f Forecast) checkRecording(recording *meshpb.ReplayFile) error {
	if err := f.checkRetrySettings(recording); err != nil {
		return err
	}
	return f.checkConfig(recording)
}

// checkRetrySettings returns an error that names the first node with other retry
// settings than the proposed ones.
func (f Forecast) checkRetrySettings(recording *meshpb.ReplayFile) error {
	if f.Retries == nil {
		return nil
	}
	window := f.Retries.Window.Seconds()
	for _, node := range recording.Nodes {
		if node.Ratio != f.Retries.Ratio || node.Slack != f.Retries.Slack || node.WindowS != window {
			return Error.New("node %s has retryRatio %v, retrySlack %v, retryWindowS %v; the forecast is for %v, %v, %v",
				node.Node, node.Ratio, node.Slack, node.WindowS, f.Retries.Ratio, f.Retries.Slack, window)
		}
	}
	return nil
}

// checkConfig returns an error if the recording does not have the proposed
// configuration version, or has it with another content.
func (f Forecast) checkConfig(recording *meshpb.ReplayFile) error {
	if f.ConfigDigest == "" {
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
		if config.ContentDigest() != f.ConfigDigest {
			return Error.New("the forecast is for another proposal than the recorded %s: the contents of the configurations differ", routeconfig.FormatVersion(f.ConfigVersion))
		}
		return nil
	}
	return Error.New("the forecast is for %s, which was not in force during the recording (in force: %s)", routeconfig.FormatVersion(f.ConfigVersion), strings.Join(inForce, ", "))
}
