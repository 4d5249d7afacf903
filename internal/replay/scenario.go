package replay

import (
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/routeconfig"
)

// Scenario describes a proposed change to simulate. Settings that are nil are taken
// from the recording.
type Scenario struct {
	// Config is the proposed configuration, in force at each node from the start.
	Config *routeconfig.Config
	// Retries is the proposed retry budget.
	Retries *RetrySettings
	// Seed seeds all random choices. Equal seeds give equal reports.
	Seed uint64
	// HotKeys limits how reads of hot keys are spread over endpoints. It is used only
	// if Config has routes with hot keys.
	HotKeys hotkeys.Options
}

// RetrySettings are the settings of the retry budget, which allows Ratio times the
// requests of any Window, plus Slack. They are stored in forecast files.
type RetrySettings struct {
	// Ratio is the number of additional attempts allowed per request.
	Ratio float64 `json:"Ratio"`
	// Slack is a number of additional attempts that all nodes together may make in
	// any window, whatever the number of requests.
	Slack float64 `json:"Slack"`
	// Window is the length of the sliding window. It is stored in
	// nanoseconds.
	Window time.Duration `json:"Window"`
}

// Options sets how good a recording must be for its report to be usable, how its
// requests are grouped into flows, and which of them are flagged.
type Options struct {
	// MaxMismatch is the maximum fraction of requests, from 0 to 1, that the control
	// run fails to reproduce.
	MaxMismatch float64
	// MinCoverage is the minimum coverage, from 0 to 1: the fraction of the span for
	// which the nodes still have records of the requests that they forwarded.
	MinCoverage float64
	// ByNode distinguishes flows by the node that they start from instead of its
	// zone.
	ByNode bool
	// WatchedRoutes names further routes whose requests are flagged if the proposal
	// harms them. Requests that must not run twice, and requests on routes that
	// endpoints call, are flagged in any case.
	WatchedRoutes []string
	// WarmUp is the time from the first recorded request in which requests are
	// simulated but not counted in flows, because the widths of hot keys take a while
	// to settle.
	WarmUp time.Duration
}
