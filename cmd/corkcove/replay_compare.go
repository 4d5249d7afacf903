package main

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/replay"
)

// replayCompareOptions are the arguments and flags of replay compare.
type replayCompareOptions struct {
	// forecastFile is the output of replay run --save, recordFile that of replay
	// save.
	forecastFile, recordFile string
	comparison               replay.CompareOptions
	// limit is the maximum number of rows of each kind in the list.
	limit int
}

func registerReplayCompare(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("compare", "Compare a saved forecast with a recording made after the change went live. Exits with code 1 if a flow deviates from the forecast.")
	var o replayCompareOptions
	command.Arg("forecast", "Forecast written by replay run --save.").Required().StringVar(&o.forecastFile)
	command.Arg("file", "Recording written by replay save after the change.").Required().StringVar(&o.recordFile)
	command.Flag("false-alarm-rate", "Probability, between 0 and 1, that a correct forecast is reported as wrong.").Default("0.01").Float64Var(&o.comparison.FalseAlarmRate)
	deprecatedFlag(command, "miss").Float64Var(&o.comparison.FalseAlarmRate)
	command.Flag("tolerance", "How far a share may deviate, from 0 to 1, beyond random variation.").Default("0.03").Float64Var(&o.comparison.Tolerance)
	deprecatedFlag(command, "slack").Float64Var(&o.comparison.Tolerance)
	command.Flag("min-requests", "Minimum number of requests that a flow needs in the forecast and in the recording to be compared.").Default("30").IntVar(&o.comparison.MinRequests)
	deprecatedFlag(command, "least").IntVar(&o.comparison.MinRequests)
	command.Flag("warm-up", "How long after a node applied the change its requests are ignored.").Default("1s").DurationVar(&o.comparison.WarmUp)
	deprecatedFlag(command, "settle").DurationVar(&o.comparison.WarmUp)
	registerCoverageFlag(command, &o.comparison.MinCoverage)
	command.Flag("any-config", "Compare even if the active configuration is not the one that was forecast.").BoolVar(&o.comparison.AnyConfig)
	deprecatedFlag(command, "any").BoolVar(&o.comparison.AnyConfig)
	registerLimitFlag(command, "Maximum number of rows listed of each kind.", &o.limit)
	c.handle(command, func() error { return runReplayCompare(&c.global, o) })
}

// check returns an error if a flag is out of range.
func (o replayCompareOptions) check() error {
	c := o.comparison
	if c.FalseAlarmRate <= 0 || c.FalseAlarmRate >= 1 {
		return errors.New("--false-alarm-rate must be greater than 0 and less than 1")
	}
	if !isFraction(c.Tolerance) || !isFraction(c.MinCoverage) {
		return errors.New("--tolerance and --coverage must be between 0 and 1")
	}
	if c.MinRequests < 1 || c.WarmUp < 0 {
		return errors.New("--min-requests must be at least 1 and --warm-up must not be negative")
	}
	return nil
}

// runReplayCompare compares the two files without querying the core. It fails if a
// share deviates from the forecast or no flow could be compared.
func runReplayCompare(global *globalOptions, o replayCompareOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	forecast, err := replay.ReadForecast(o.forecastFile)
	if err != nil {
		return err
	}
	recording, err := replay.ReadFile(o.recordFile)
	if err != nil {
		return err
	}
	comparison, err := forecast.Compare(recording, o.comparison)
	if err != nil {
		return err
	}
	if err := global.printResult(comparison, comparison.Text(o.limit)); err != nil {
		return err
	}
	switch {
	case len(comparison.Deviations) > 0:
		return fmt.Errorf("%d of %d shares deviate from the forecast", len(comparison.Deviations), comparison.SharesChecked)
	case len(comparison.Flows) == 0:
		return errors.New("no flow has enough requests in both the forecast and the recording to be compared")
	}
	return nil
}
