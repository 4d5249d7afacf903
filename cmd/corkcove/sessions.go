package main

import (
	"fmt"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

func registerSessions(c *commandLine) {
	command := c.app.Command("sessions", "Show the open sessions, the endpoint each is pinned to, and which sessions moved and why.")
	since := command.Flag("since", "Show only moves under this configuration version or later, such as r12.").String()
	c.handleTool(command, func(client *coreClient) error { return runSessions(client, *since) })
}

// runSessions prints the sessions of all nodes. It fails if a session is at more than
// one endpoint or a node did not respond.
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
		return fmt.Errorf("%d sessions are at more than one endpoint", report.Split)
	case len(unreachable) > 0:
		return fmt.Errorf("%d nodes did not respond", len(unreachable))
	}
	return nil
}
