package replay

import (
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/routeconfig"
)

// Scenario is what a simulation runs under; what is nil is taken from the
// recording.
type Scenario struct {
	// Config is the proposed configuration, in force at each node from the start.
	Config *routeconfig.Config
	// Retries are the proposed settings of the retry budget.
	Retries *RetrySettings
	// Seed determines all random choices; equal seeds give equal reports.
	Seed uint64
	// HotKeys bounds how widely the keys of a proposal's routes are spread in the
	// simulation.
	HotKeys hotkeys.Options
}

// RetrySettings are the settings of the retry budget: it grows by Ratio for each
// request within Window, on top of Slack. A forecast stores them.
type RetrySettings struct {
	Ratio  float64       `json:"Ratio"`
	Slack  float64       `json:"Slack"`
	Window time.Duration `json:"Window"`
}

// Options are what a recording must meet before it is decided on, and how its
// requests are told apart and watched.
type Options struct {
	// MaxMismatch is the share of requests, from 0 to 1, that the control run may
	// fail to reproduce.
	MaxMismatch float64
	// MinCoverage is the share, from 0 to 1, of what the nodes forwarded in the
	// span that the recording must still have.
	MinCoverage float64
	// ByNode tells flows apart by the node where they begin, not by its zone.
	ByNode bool
	// WatchedRoutes are flagged like routes whose requests must not run twice.
	WatchedRoutes []string
	// WarmUp is how much of the recording's beginning is simulated but not counted
	// in the flows: the widths of hot keys need a while to settle.
	WarmUp time.Duration
}
