package main

import (
	"fmt"
	"strings"
	"time"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

func registerHotKeys(c *commandLine) {
	command := c.app.Command("keys", "Show the hot keys: how many endpoints their reads are spread over, since when and why.")
	c.handleTool(command, runHotKeys)
}

// runHotKeys prints the master's hot keys. A key is shown as a hash of the key and
// its service.
func runHotKeys(client *coreClient) error {
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	report := newHotKeyReport(master)
	return client.printResult(report, report.String())
}

// hotKeyReport is the output of the keys command.
type hotKeyReport struct {
	Hot []hotKeyRow `json:"hot"`
	// Widened and Narrowed count the changes of a key's width since the present
	// master took over.
	Widened  uint64 `json:"widened"`
	Narrowed uint64 `json:"narrowed"`
	// Refused counts how often a key was not made hot because hotSet.most keys
	// already were.
	Refused uint64 `json:"refusedForWantOfPlaces"`
}

// hotKeyRow describes one hot key.
type hotKeyRow struct {
	// Key is the hash of the key in hexadecimal.
	Key     string `json:"key"`
	Service string `json:"service"`
	Route   string `json:"route"`
	// Width is the number of endpoints that the reads are spread over.
	Width uint32 `json:"width"`
	// ReadsPerSecond is summed over all nodes; Nodes counts them.
	ReadsPerSecond float64 `json:"readsPerS"`
	Nodes          uint32  `json:"nodes"`
	Since          string  `json:"since"`
	Reason         string  `json:"why"`
}

func newHotKeyReport(master *meshpb.StatusResponse) hotKeyReport {
	counts := master.GetHotCounts()
	report := hotKeyReport{Hot: []hotKeyRow{}, Widened: counts.GetWidened(), Narrowed: counts.GetNarrowed(), Refused: counts.GetRefused()}
	for _, k := range master.Hot {
		report.Hot = append(report.Hot, hotKeyRow{Key: logring.Hex(k.Key).String(), Service: k.Service, Route: k.Route, Width: k.Width,
			ReadsPerSecond: k.PerS, Nodes: k.Nodes, Since: formatMicros(k.SinceUs), Reason: k.Why})
	}
	return report
}

// String formats the report for the terminal.
func (r hotKeyReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d hot keys; since this master leads: %d widened, %d narrowed, %d times no place (hotSet.most)\n", len(r.Hot), r.Widened, r.Narrowed, r.Refused)
	if len(r.Hot) > 0 {
		fmt.Fprintf(&b, "\n%-18s %-14s %-16s %6s %-14s %s\n", "key", "service", "route", "width", "since", "why")
	}
	for _, k := range r.Hot {
		fmt.Fprintf(&b, "%-18s %-14s %-16s %6d %-14s %s\n", k.Key, k.Service, k.Route, k.Width, k.Since, k.Reason)
	}
	return b.String()
}

// formatMicros formats the time of day in UTC of a Unix time in microseconds.
func formatMicros(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("15:04:05.000")
}
