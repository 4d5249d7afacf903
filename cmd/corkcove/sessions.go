package main

import (
	"fmt"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

func registerSessions(c *commandLine) {
	command := c.app.Command("sessions", "Show open sessions, which instance each is pinned to, and which moved and why.")
	since := command.Flag("since", "Only moves under this configuration or later, such as r12.").String()
	c.handleTool(command, func(client *coreClient) error { return runSessions(client, *since) })
}

// runSessions fails if a session was seen at two endpoints, or a node is missing.
func runSessions(client *coreClient, since string) error {
	var sinceConfig uint64
	if since != "" {
		v, err := routeconfig.ParseVersion(since)
		if err != nil {
			return err
		}
		sinceConfig = v
	}
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	var responses []*meshpb.SessionsResponse
	unreachable := callNodes(master.Nodes, defaultParallelCalls, func(address string) (*meshpb.SessionsResponse, error) {
		return rpc.Call(toolCallTimeout, client.clients.Diagnostics(address).Sessions, &meshpb.SessionsRequest{Since: sinceConfig})
	}, func(r *meshpb.SessionsResponse) { responses = append(responses, r) })
	report := newSessionReport(responses, unreachable)
	if err := client.printResult(report, report.String()); err != nil {
		return err
	}
	switch {
	case report.Split > 0:
		return fmt.Errorf("%d sessions were seen at two instances", report.Split)
	case len(unreachable) > 0:
		return fmt.Errorf("%d nodes did not answer", len(unreachable))
	}
	return nil
}
