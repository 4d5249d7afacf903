package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pelletier/go-toml/v2"

	"corkcove/internal/replay"
	"corkcove/internal/routeconfig"
	"corkcove/internal/settings"
)

// replayRunOptions are the arguments and flags of replay run.
type replayRunOptions struct {
	// file is the recording.
	file string
	// configFile and retryFile hold the new configuration and the new retry
	// settings; either may be empty, but not both.
	configFile, retryFile string
	seed                  uint64
	// limit is the maximum number of requests and session moves listed.
	limit      int
	simulation replay.Options
	// forecastFile is the file that the forecast is saved to; if empty, it is not
	// saved.
	forecastFile string
	filter       replay.Filter
}

func registerReplayRun(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("run", "Simulate a recording under the old and the new configuration. Exits with code 1 if requests would be sent twice, dropped or left waiting.")
	var o replayRunOptions
	command.Arg("file", "Recording written by replay save.").Required().StringVar(&o.file)
	command.Flag("config", "File with the complete new configuration in JSON.").StringVar(&o.configFile)
	command.Flag("retry-settings", "Settings file with the new termTable.boundSet.retryRatio, retrySlack and retryWindowS.").StringVar(&o.retryFile)
	deprecatedFlag(command, "options").StringVar(&o.retryFile)
	command.Flag("seed", "Seed of the random number generator.").Default("1").Uint64Var(&o.seed)
	registerLimitFlag(command, "Maximum number of requests and session moves listed.", &o.limit)
	command.Flag("max-mismatch", "Share of the recorded requests, from 0 to 1, that the simulation of the old configuration may fail to reproduce.").Default("0.02").Float64Var(&o.simulation.MaxMismatch)
	deprecatedFlag(command, "off").Float64Var(&o.simulation.MaxMismatch)
	registerCoverageFlag(command, &o.simulation.MinCoverage)
	command.Flag("per-node", "Group flows by the node where they originate instead of its zone.").BoolVar(&o.simulation.ByNode)
	deprecatedFlag(command, "by-node").BoolVar(&o.simulation.ByNode)
	command.Flag("watch", "Also flag affected requests of this route; may be repeated.").StringsVar(&o.simulation.WatchedRoutes)
	command.Flag("warm-up", "Length of the initial part of the recording that is excluded from the flows.").Default("0s").DurationVar(&o.simulation.WarmUp)
	deprecatedFlag(command, "settle").DurationVar(&o.simulation.WarmUp)
	command.Flag("save", "Save the forecast to this file for compare.").StringVar(&o.forecastFile)
	command.Flag("route", "List only requests of this route.").StringVar(&o.filter.Route)
	command.Flag("kind", "List only requests of this route kind.").EnumVar(&o.filter.Kind, "", "pure", "effectful", "upload", "download")
	command.Flag("node", "List only requests that originated at this node.").StringVar(&o.filter.Node)
	command.Flag("verdict", "List only requests with this verdict.").StringVar(&o.filter.Verdict)
	c.handle(command, func() error { return runReplay(&c.global, o) })
}

// check returns an error if nothing would change or a flag is out of range.
func (o replayRunOptions) check() error {
	if o.configFile == "" && o.retryFile == "" {
		return errors.New("nothing to simulate: specify --config, --retry-settings or both")
	}
	s := o.simulation
	if !isFraction(s.MaxMismatch) || !isFraction(s.MinCoverage) || s.WarmUp < 0 {
		return errors.New("--max-mismatch and --coverage must be between 0 and 1 and --warm-up must not be negative")
	}
	return nil
}

// isFraction reports whether x is between 0 and 1, inclusive.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// runReplay simulates the recording without querying the core. It fails if the
// result is unreliable or the change would harm requests.
func runReplay(global *globalOptions, o replayRunOptions) error {
	recording, err := replay.ReadFile(o.file)
	if err != nil {
		return err
	}
	scenario, err := o.scenario()
	if err != nil {
		return err
	}
	if err := o.check(); err != nil {
		return err
	}
	report, err := replay.Simulate(recording, scenario, o.simulation)
	if err != nil {
		return err
	}
	if o.forecastFile != "" {
		if err := report.Forecast(scenario, o.simulation.ByNode, time.Now()).Save(o.forecastFile); err != nil {
			return err
		}
	}
	if err := global.printResult(report, report.Text(o.filter, o.limit)); err != nil {
		return err
	}
	return checkReplayReport(report, o.simulation)
}

// checkReplayReport returns an error if the report is unreliable, because the
// simulation does not reproduce the recording or the recording is incomplete, or if
// the change would harm requests.
func checkReplayReport(report *replay.Report, bounds replay.Options) error {
	switch {
	case report.ControlMismatch > bounds.MaxMismatch:
		return fmt.Errorf("unreliable result: the simulation of the old configuration does not reproduce %.2f%% of the recorded requests, at most %.2f%% is allowed", 100*report.ControlMismatch, 100*bounds.MaxMismatch)
	case !report.Usable:
		return fmt.Errorf("unreliable result: the recording contains %.1f%% of the nodes' requests, at least %.1f%% is required", 100*report.Coverage, 100*bounds.MinCoverage)
	case len(report.Flags) > 0:
		return fmt.Errorf("%d flagged requests would be sent twice, dropped or left waiting under the new configuration but not under the old one", len(report.Flags))
	case report.SevereCount() > 0:
		return fmt.Errorf("%d requests are doubled, vanished or stalled under the new configuration but not under the old one", report.SevereCount())
	}
	return nil
}

// scenario reads the new configuration and the new retry settings.
func (o replayRunOptions) scenario() (replay.Scenario, error) {
	scenario := replay.Scenario{Seed: o.seed, HotKeys: hotKeyOptions(settings.DefaultHotKeys())}
	if o.configFile != "" {
		data, err := os.ReadFile(o.configFile)
		if err != nil {
			return scenario, err
		}
		config, err := routeconfig.Parse(data)
		if err != nil {
			return scenario, fmt.Errorf("%s: %w", o.configFile, err)
		}
		scenario.Config = &config
	}
	if o.retryFile != "" {
		retries, err := readRetrySettings(o.retryFile)
		if err != nil {
			return scenario, err
		}
		scenario.Retries = retries
	}
	return scenario, nil
}

// retrySettingsFile is the part of a settings file that configures the retry
// budget.
type retrySettingsFile struct {
	Terms struct {
		Bounds struct {
			Ratio  *float64 `toml:"retryRatio"`
			Slack  *float64 `toml:"retrySlack"`
			Window *float64 `toml:"retryWindowS"`
		} `toml:"boundSet"`
	} `toml:"termTable"`
}

// readRetrySettings reads the retry settings, all of which must be present.
func readRetrySettings(file string) (*replay.RetrySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var content retrySettingsFile
	if err := toml.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	bounds := content.Terms.Bounds
	if bounds.Ratio == nil || bounds.Slack == nil || bounds.Window == nil {
		return nil, fmt.Errorf("%s: termTable.boundSet must contain retryRatio, retrySlack and retryWindowS", file)
	}
	if *bounds.Ratio < 0 || *bounds.Slack < 0 || *bounds.Window <= 0 {
		return nil, fmt.Errorf("%s: retryRatio and retrySlack must not be negative and retryWindowS must be positive", file)
	}
	return &replay.RetrySettings{Ratio: *bounds.Ratio, Slack: *bounds.Slack, Window: settings.Seconds(*bounds.Window)}, nil
}
