package main

import (
	"fmt"

	"corkcove/internal/changetrace"
	"corkcove/internal/rpc/meshpb"
)

func registerTrace(c *commandLine) {
	command := c.app.Command("trace", "Trace one change through all nodes: r12, view:9, key:group.name or pin:SESSION.")
	change := command.Arg("change", "Change to trace.").Required().String()
	c.handleTool(command, func(client *coreClient) error { return runTrace(client, *change) })
}

// runTrace prints the recorded steps of a change from all processes. It fails if
// none of them has recorded the change.
func runTrace(client *coreClient, change string) error {
	if _, err := changetrace.ParseChange(change); err != nil {
		return err
	}
	statuses, err := client.coreStatuses()
	if err != nil {
		return err
	}
	report := changetrace.Gather(client.clients, change, processAddresses(statuses), toolCallTimeout)
	if err := client.printResult(report, report.String()); err != nil {
		return err
	}
	if !report.Known {
		return fmt.Errorf("no process that responded has a trace of %s", change)
	}
	return nil
}

// processAddresses maps the name of each process that the core knows to its
// address.
func processAddresses(statuses []*meshpb.StatusResponse) map[string]string {
	addresses := map[string]string{}
	for _, s := range statuses {
		for _, m := range s.Membership.GetMembers() {
			addresses["core "+m.Addr] = m.Addr
		}
		for _, n := range s.Nodes {
			if n.Addr != "" {
				addresses[n.Name] = n.Addr
			}
		}
	}
	return addresses
}
