package main

import "github.com/alecthomas/kingpin/v2"

func registerReplay(c *commandLine) {
	replay := c.app.Command("replay", "Play carried traffic again under other rules before they are pushed.")
	registerReplaySave(c, replay)
	registerReplayRun(c, replay)
	registerReplayCompare(c, replay)
}

// limitFlag registers how many rows of each kind a replay command lists.
func limitFlag(command *kingpin.CmdClause, help string, limit *int) {
	command.Flag("limit", help).Default("40").IntVar(limit)
	formerName(command, "most").IntVar(limit)
}

// coverageFlag registers how much of the traffic a record must have.
func coverageFlag(command *kingpin.CmdClause, share *float64) {
	command.Flag("coverage", "Share of what the nodes carried that the record must have.").Default("0.9").Float64Var(share)
}
