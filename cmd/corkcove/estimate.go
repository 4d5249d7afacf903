package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/loadestimate"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// estimateDuration is how much traffic an estimate simulates.
	estimateDuration = 120 * time.Second
	// estimateSeed makes two estimates of the same flows equal.
	estimateSeed = 1
	// addedEndpoint names the endpoint, and its node, that doesn't exist yet.
	addedEndpoint = "to-be-added"
)

func registerEstimate(c *commandLine) {
	estimate := c.app.Command("estimate", "Tell which requests would go to another endpoint before one is added or retired.")
	retire := estimate.Command("retire", "Estimate the retirement of a node or endpoint.")
	retired := retire.Arg("node", "The node's name or the endpoint's id.").Required().String()
	retireFile := retire.Flag("save", "Keep the estimate in a file for check.").String()
	c.handleTool(retire, func(client *coreClient) error {
		return runEstimate(client, loadestimate.Change{Retire: *retired}, *retireFile)
	})
	add := estimate.Command("add", "Estimate the addition of an endpoint.")
	service := add.Arg("service", "Its service.").Required().String()
	zone := add.Arg("site", "Its site.").Required().String()
	slots := add.Arg("slots", "Its slots.").Required().Uint32()
	addFile := add.Flag("save", "Keep the estimate in a file for check.").String()
	c.handleTool(add, func(client *coreClient) error {
		added := &meshpb.Endpoint{Id: addedEndpoint, Service: *service, Zone: *zone, Slots: *slots, State: string(lifecycle.Up), Node: addedEndpoint}
		return runEstimate(client, loadestimate.Change{Add: added}, *addFile)
	})
	check := estimate.Command("check", "Hold a kept estimate against the flows of the last seconds.")
	file := check.Arg("file", "The kept estimate.").Required().String()
	tolerance := check.Flag("within", "Share of requests that may have gone elsewhere than foretold.").Default("0.1").Float64()
	c.handleTool(check, func(client *coreClient) error { return runEstimateCheck(client, *file, *tolerance) })
}

// origins asks each node for its flows. One that doesn't answer is named on
// standard error and left out.
func (c *coreClient) origins(master *meshpb.StatusResponse) []loadestimate.Origin {
	var origins []loadestimate.Origin
	for _, node := range master.Nodes {
		if node.Addr == "" {
			continue
		}
		r, err := rpc.Call(toolCallTimeout, c.clients.Diagnostics(node.Addr).Flows, &meshpb.FlowsRequest{})
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s did not answer; its requests are left out\n", node.Name)
			continue
		}
		origins = append(origins, loadestimate.Origin{Node: r.Node, Zone: r.Zone, RemoteWeight: r.RemoteWeight, BulkWeight: r.BulkWeight, Flows: r.Flows})
	}
	return origins
}

// servingEndpoints returns the endpoints that are up.
func servingEndpoints(master *meshpb.StatusResponse) []*meshpb.Endpoint {
	var endpoints []*meshpb.Endpoint
	for _, n := range master.Nodes {
		if lifecycle.State(n.Official) == lifecycle.Up {
			endpoints = append(endpoints, &meshpb.Endpoint{Id: n.Endpoint, Service: n.Service, Zone: n.Zone, Slots: n.Slots, State: n.Official, Node: n.Name})
		}
	}
	return endpoints
}

func runEstimate(client *coreClient, change loadestimate.Change, saveTo string) error {
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	options := loadestimate.Options{Duration: estimateDuration, Seed: estimateSeed}
	estimate, err := loadestimate.Run(client.origins(master), servingEndpoints(master), change, options)
	if err != nil {
		return err
	}
	if saveTo != "" {
		if err := saveJSON(saveTo, estimate); err != nil {
			return err
		}
	}
	return client.printResult(estimate, estimateText(estimate))
}

func saveJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// rateChange is a number of requests a second, and what becomes of it.
type rateChange struct{ before, after float64 }

func estimateText(e loadestimate.Estimate) string {
	var b strings.Builder
	writeRouteSummaries(&b, e.Summaries)
	b.WriteString("\n")
	writeEndpointRates(&b, e.EndpointRates)
	return b.String()
}

func writeRouteSummaries(b *strings.Builder, summaries []loadestimate.RouteSummary) {
	fmt.Fprintf(b, "%-28s %-16s %-10s %10s %10s %7s\n", "requests from", "binding", "kind", "a second", "would move", "share")
	totals := map[string]rateChange{}
	for _, s := range summaries {
		percent := 0.0
		if s.Rate > 0 {
			percent = 100 * s.Moved / s.Rate
		}
		fmt.Fprintf(b, "%-28s %-16s %-10s %10.2f %10.2f %6.1f%%\n", s.OriginNode, s.Route, s.Kind, s.Rate, s.Moved, percent)
		total := totals[s.Kind]
		totals[s.Kind] = rateChange{total.before + s.Rate, total.after + s.Moved}
	}
	for _, kind := range slices.Sorted(maps.Keys(totals)) {
		fmt.Fprintf(b, "all %-40s %21.2f %10.2f\n", kind, totals[kind].before, totals[kind].after)
	}
}

func writeEndpointRates(b *strings.Builder, rates []loadestimate.EndpointRate) {
	totals := map[string]rateChange{}
	for _, r := range rates {
		name := r.Node + " " + r.Endpoint
		total := totals[name]
		totals[name] = rateChange{total.before + r.Before, total.after + r.After}
	}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		fmt.Fprintf(b, "%-46s now %8.2f/s, then %8.2f/s\n", name, totals[name].before, totals[name].after)
	}
}

// runEstimateCheck fails if a route is off by more than the tolerance.
func runEstimateCheck(client *coreClient, file string, tolerance float64) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var estimate loadestimate.Estimate
	if err := json.Unmarshal(data, &estimate); err != nil {
		return fmt.Errorf("%s holds no estimate: %w", file, err)
	}
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	deviations := loadestimate.Check(estimate, client.origins(master))
	if len(deviations) == 0 {
		return fmt.Errorf("none of the bindings in %s has flows now", file)
	}
	if err := client.printResult(deviations, deviationsText(deviations)); err != nil {
		return err
	}
	exceeding := 0
	for _, d := range deviations {
		if d.Difference > tolerance {
			exceeding++
		}
	}
	if exceeding > 0 {
		return fmt.Errorf("%d of %d bindings are off by more than %.0f%%", exceeding, len(deviations), 100*tolerance)
	}
	return nil
}

func deviationsText(deviations []loadestimate.Deviation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %-10s %9s %9s %9s\n", "binding", "kind", "foretold", "measured", "off by")
	for _, d := range deviations {
		fmt.Fprintf(&b, "%-16s %-10s %8.1f%% %8.1f%% %8.1f%%\n", d.Route, d.Kind, 100*d.Forecast, 100*d.Measured, 100*d.Difference)
	}
	return b.String()
}
