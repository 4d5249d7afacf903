package main

import "github.com/alecthomas/kingpin/v2"

func registerReplay(c *commandLine) {
	replay := c.app.Command("replay", "Simulate recorded traffic under a new configuration or new retry settings before they are deployed.")
	registerReplaySave(c, replay)
	registerReplayRun(c, replay)
	registerReplayCompare(c, replay)
}

// registerLimitFlag registers --limit, how many rows of each kind a replay command
// lists.
func registerLimitFlag(command *kingpin.CmdClause, help string, limit *int) {
	command.Flag("limit", help).Default("40").IntVar(limit)
	deprecatedFlag(command, "most").IntVar(limit)
}

// registerCoverageFlag registers --coverage, the share of the traffic that a
// recording must contain.
func registerCoverageFlag(command *kingpin.CmdClause, share *float64) {
	command.Flag("coverage", "Share of the nodes' requests, from 0 to 1, that the recording must contain.").Default("0.9").Float64Var(share)
}
