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
	// estimateDuration is the simulated time of an estimate.
	estimateDuration = 120 * time.Second
	// estimateSeed is fixed so that equal flows give equal estimates.
	estimateSeed = 1
	// addedEndpoint is the placeholder for the ID and node name of an endpoint that does
	// not exist yet.
	addedEndpoint = "to-be-added"
)

func registerEstimate(c *commandLine) {
	estimate := c.app.Command("estimate", "Estimate which requests would move to another endpoint if one were added or retired.")
	retire := estimate.Command("retire", "Estimate the retirement of a node or endpoint.")
	retired := retire.Arg("node", "Node name or endpoint ID.").Required().String()
	retireFile := retire.Flag("save", "Save the estimate to this file for check.").String()
	c.handleTool(retire, func(client *coreClient) error {
		return runEstimate(client, loadestimate.Change{Retire: *retired}, *retireFile)
	})
	add := estimate.Command("add", "Estimate the addition of an endpoint.")
	service := add.Arg("service", "Service of the endpoint.").Required().String()
	zone := add.Arg("site", "Site of the endpoint.").Required().String()
	slots := add.Arg("slots", "Number of slots of the endpoint.").Required().Uint32()
	addFile := add.Flag("save", "Save the estimate to this file for check.").String()
	c.handleTool(add, func(client *coreClient) error {
		added := &meshpb.Endpoint{Id: addedEndpoint, Service: *service, Zone: *zone, Slots: *slots, State: string(lifecycle.Up), Node: addedEndpoint}
		return runEstimate(client, loadestimate.Change{Add: added}, *addFile)
	})
	check := estimate.Command("check", "Compare a saved estimate with the current flows. Exits with code 1 if a binding deviates by more than --within.")
	file := check.Arg("file", "Saved estimate.").Required().String()
	tolerance := check.Flag("within", "Share of a binding's requests, from 0 to 1, that may be at other endpoints than estimated.").Default("0.1").Float64()
	c.handleTool(check, func(client *coreClient) error { return runEstimateCheck(client, *file, *tolerance) })
}

// fetchOrigins fetches the flows of each node. A node that does not respond is
// reported on standard error and skipped.
func (c *coreClient) fetchOrigins(master *meshpb.StatusResponse) []loadestimate.Origin {
	var origins []loadestimate.Origin
	for _, node := range master.Nodes {
		if node.Addr == "" {
			continue
		}
		r, err := rpc.Call(toolCallTimeout, c.clients.Diagnostics(node.Addr).Flows, &meshpb.FlowsRequest{})
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s did not respond; its requests are not included\n", node.Name)
			continue
		}
		origins = append(origins, loadestimate.Origin{Node: r.Node, Zone: r.Zone, RemoteWeight: r.RemoteWeight, BulkWeight: r.BulkWeight, Flows: r.Flows})
	}
	return origins
}

// servingEndpoints returns the endpoints whose official state is Up.
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
	estimate, err := loadestimate.Run(client.fetchOrigins(master), servingEndpoints(master), change, options)
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

// rateChange is the request rate of an endpoint, per second, before and after the
// estimated change.
type rateChange struct{ before, after float64 }

// routeTotal sums over routes the request rate and the part of it that would move
// to another endpoint, both per second.
type routeTotal struct{ rate, moved float64 }

func estimateText(e loadestimate.Estimate) string {
	var b strings.Builder
	writeRouteSummaries(&b, e.Summaries)
	b.WriteString("\n")
	writeEndpointRates(&b, e.EndpointRates)
	return b.String()
}

func writeRouteSummaries(b *strings.Builder, summaries []loadestimate.RouteSummary) {
	fmt.Fprintf(b, "%-28s %-16s %-10s %10s %10s %7s\n", "requests from", "binding", "kind", "a second", "would move", "share")
	totals := map[string]routeTotal{}
	for _, s := range summaries {
		percent := 0.0
		if s.Rate > 0 {
			percent = 100 * s.Moved / s.Rate
		}
		fmt.Fprintf(b, "%-28s %-16s %-10s %10.2f %10.2f %6.1f%%\n", s.OriginNode, s.Route, s.Kind, s.Rate, s.Moved, percent)
		total := totals[s.Kind]
		totals[s.Kind] = routeTotal{total.rate + s.Rate, total.moved + s.Moved}
	}
	for _, kind := range slices.Sorted(maps.Keys(totals)) {
		fmt.Fprintf(b, "all %-40s %21.2f %10.2f\n", kind, totals[kind].rate, totals[kind].moved)
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

// runEstimateCheck compares a saved estimate with the current flows. It fails if
// the deviation of a route exceeds the tolerance, a share from 0 to 1.
func runEstimateCheck(client *coreClient, file string, tolerance float64) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var estimate loadestimate.Estimate
	if err := json.Unmarshal(data, &estimate); err != nil {
		return fmt.Errorf("%s is not a saved estimate: %w", file, err)
	}
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	deviations := loadestimate.Check(estimate, client.fetchOrigins(master))
	if len(deviations) == 0 {
		return fmt.Errorf("no binding of the estimate in %s currently has flows", file)
	}
	if err := client.printResult(deviations, deviationsText(deviations)); err != nil {
		return err
	}
	exceeded := 0
	for _, d := range deviations {
		if d.Difference > tolerance {
			exceeded++
		}
	}
	if exceeded > 0 {
		return fmt.Errorf("%d of %d bindings deviate from the estimate by more than %.0f%%", exceeded, len(deviations), 100*tolerance)
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
