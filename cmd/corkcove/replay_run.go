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

type replayRunOptions struct {
	// file is the record.
	file string
	// configFile and retryFile have the new rules; either may be empty.
	configFile, retryFile string
	seed                  uint64
	// limit is how many requests and moves are listed.
	limit      int
	simulation replay.Options
	// saveTo is where the forecast is kept; nowhere if it is empty.
	saveTo string
	filter replay.Filter
}

func registerReplayRun(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("run", "Play a saved file under the old rules and under the new; exit code 1 if requests would be sent twice, dropped or left waiting.")
	var o replayRunOptions
	command.Arg("file", "A file of replay save.").Required().StringVar(&o.file)
	command.Flag("config", "The new configuration, whole, as JSON.").StringVar(&o.configFile)
	command.Flag("retry-settings", "A settings file with the new termTable.boundSet.retryRatio, retrySlack and retryWindowS.").StringVar(&o.retryFile)
	formerName(command, "options").StringVar(&o.retryFile)
	command.Flag("seed", "Where chance begins.").Default("1").Uint64Var(&o.seed)
	limitFlag(command, "How many requests and moves are listed.", &o.limit)
	command.Flag("max-mismatch", "Share of the record that the old rules may fail to give back.").Default("0.02").Float64Var(&o.simulation.MaxMismatch)
	formerName(command, "off").Float64Var(&o.simulation.MaxMismatch)
	coverageFlag(command, &o.simulation.MinCoverage)
	command.Flag("per-node", "Tell flows apart by the node where they begin, not its zone.").BoolVar(&o.simulation.ByNode)
	formerName(command, "by-node").BoolVar(&o.simulation.ByNode)
	command.Flag("watch", "Flag the requests of this route too; may be repeated.").StringsVar(&o.simulation.WatchedRoutes)
	command.Flag("warm-up", "How much of the record's beginning is not counted in the flows.").Default("0s").DurationVar(&o.simulation.WarmUp)
	formerName(command, "settle").DurationVar(&o.simulation.WarmUp)
	command.Flag("save", "Keep the forecast in a file for compare.").StringVar(&o.saveTo)
	command.Flag("route", "List only this route.").StringVar(&o.filter.Route)
	command.Flag("kind", "List only this kind.").EnumVar(&o.filter.Kind, "", "pure", "effectful", "upload", "download")
	command.Flag("node", "List only requests that began at this node.").StringVar(&o.filter.Node)
	command.Flag("verdict", "List only this verdict.").StringVar(&o.filter.Verdict)
	c.handle(command, func() error { return runReplay(&c.global, o) })
}

func (o replayRunOptions) check() error {
	if o.configFile == "" && o.retryFile == "" {
		return errors.New("nothing is to change: give --config, --retry-settings or both")
	}
	s := o.simulation
	if !isShare(s.MaxMismatch) || !isShare(s.MinCoverage) || s.WarmUp < 0 {
		return errors.New("--max-mismatch and --coverage must be from 0 to 1, --warm-up not below 0")
	}
	return nil
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

// runReplay needs no core: all it reads is in the file.
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
	if o.saveTo != "" {
		if err := report.Forecast(scenario, o.simulation.ByNode, time.Now()).Save(o.saveTo); err != nil {
			return err
		}
	}
	if err := global.printResult(report, report.Text(o.filter, o.limit)); err != nil {
		return err
	}
	return judgeReplay(report, o.simulation)
}

// judgeReplay returns an error if the report can't be relied on or the change
// does harm.
func judgeReplay(report *replay.Report, bounds replay.Options) error {
	switch {
	case report.ControlMismatch > bounds.MaxMismatch:
		return fmt.Errorf("the old rules do not give back %.2f%% of the record, %.2f%% is allowed: don't decide on this", 100*report.ControlMismatch, 100*bounds.MaxMismatch)
	case !report.Usable:
		return fmt.Errorf("the record has %.1f%% of what the nodes carried, %.1f%% is needed: don't decide on this", 100*report.Coverage, 100*bounds.MinCoverage)
	case len(report.Flags) > 0:
		return fmt.Errorf("%d purchases, payments, uploads or checks would be sent twice, dropped or left waiting that are not under the old rules", len(report.Flags))
	case report.SevereCount() > 0:
		return fmt.Errorf("%d requests would be doubled, vanish or stall that are not under the old rules", report.SevereCount())
	}
	return nil
}

// scenario reads the new rules.
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

// retrySettingsFile is the part of a settings file that says how often requests
// are tried again.
type retrySettingsFile struct {
	Terms struct {
		Bounds struct {
			Ratio  *float64 `toml:"retryRatio"`
			Slack  *float64 `toml:"retrySlack"`
			Window *float64 `toml:"retryWindowS"`
		} `toml:"boundSet"`
	} `toml:"termTable"`
}

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
		return nil, fmt.Errorf("%s: termTable.boundSet must hold retryRatio, retrySlack and retryWindowS", file)
	}
	if *bounds.Ratio < 0 || *bounds.Slack < 0 || *bounds.Window <= 0 {
		return nil, fmt.Errorf("%s: retryRatio and retrySlack must not be below 0, retryWindowS must be above", file)
	}
	return &replay.RetrySettings{Ratio: *bounds.Ratio, Slack: *bounds.Slack, Window: settings.Seconds(*bounds.Window)}, nil
}
