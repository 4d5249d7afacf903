package main

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/replay"
)

type replayCompareOptions struct {
	forecastFile, recordFile string
	comparison               replay.CompareOptions
	// limit is how many rows of each kind are listed.
	limit int
}

func registerReplayCompare(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("compare", "Hold a kept forecast against a record taken once the change is live; exit code 1 if a flow is not as foretold.")
	var o replayCompareOptions
	command.Arg("forecast", "A file of replay run --save.").Required().StringVar(&o.forecastFile)
	command.Arg("file", "A file of replay save, taken since.").Required().StringVar(&o.recordFile)
	command.Flag("false-alarm-rate", "Chance that a right forecast is called wrong.").Default("0.01").Float64Var(&o.comparison.FalseAlarmRate)
	formerName(command, "miss").Float64Var(&o.comparison.FalseAlarmRate)
	command.Flag("tolerance", "What a share may be off beyond chance.").Default("0.03").Float64Var(&o.comparison.Tolerance)
	formerName(command, "slack").Float64Var(&o.comparison.Tolerance)
	command.Flag("min-requests", "How many requests a flow needs on both sides.").Default("30").IntVar(&o.comparison.MinRequests)
	formerName(command, "least").IntVar(&o.comparison.MinRequests)
	command.Flag("warm-up", "How long after a node took the change its requests begin to count.").Default("1s").DurationVar(&o.comparison.WarmUp)
	formerName(command, "settle").DurationVar(&o.comparison.WarmUp)
	coverageFlag(command, &o.comparison.MinCoverage)
	command.Flag("any-config", "Compare even if another proposal than the one foretold is in force.").BoolVar(&o.comparison.AnyConfig)
	formerName(command, "any").BoolVar(&o.comparison.AnyConfig)
	limitFlag(command, "How many lines of each sort are shown.", &o.limit)
	c.handle(command, func() error { return runReplayCompare(&c.global, o) })
}

func (o replayCompareOptions) check() error {
	c := o.comparison
	if c.FalseAlarmRate <= 0 || c.FalseAlarmRate >= 1 {
		return errors.New("--false-alarm-rate must lie between 0 and 1")
	}
	if !isShare(c.Tolerance) || !isShare(c.MinCoverage) {
		return errors.New("--tolerance and --coverage must be from 0 to 1")
	}
	if c.MinRequests < 1 || c.WarmUp < 0 {
		return errors.New("--min-requests must be 1 at least, --warm-up not below 0")
	}
	return nil
}

// runReplayCompare needs no core: all it reads is in the files.
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
		return fmt.Errorf("%d of %d shares are not where they were foretold", len(comparison.Deviations), comparison.SharesChecked)
	case len(comparison.Flows) == 0:
		return errors.New("no flow has enough requests on both sides to tell")
	}
	return nil
}
