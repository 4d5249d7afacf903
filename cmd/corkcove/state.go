package main

import (
	"errors"
	"fmt"
	"slices"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// maxMasterHops bounds how many core nodes are asked for the master.
const maxMasterHops = 8

// reasonNotMaster is what a core node answers that is not the master; the
// callers may ask another.
const reasonNotMaster = "not the master"

func registerState(c *commandLine) {
	command := c.app.Command("state", "User states of nodes.").Command("set", "Cap a node's state; kept over restarts and takeovers.")
	node := command.Arg("node", "The node's name.").Required().String()
	state := command.Arg("state", "up, maintenance, retired or down.").Required().String()
	c.handleTool(command, func(client *coreClient) error { return runSetState(client, *node, *state) })
}

func runSetState(client *coreClient, node, state string) error {
	if !lifecycle.State(state).SettableByUser() {
		return fmt.Errorf("%q is no state: give up, maintenance, retired or down", state)
	}
	if err := client.setState(node, state); err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", node, state)
	return nil
}

// setState asks the seeds in turn, and the master that one of them names next.
func (c *coreClient) setState(node, state string) error {
	reason := "no core node answers"
	addresses := slices.Clone(c.seeds)
	for i := 0; i < len(addresses) && i < maxMasterHops; i++ {
		r, err := rpc.Call(toolCallTimeout, c.clients.Control(addresses[i]).SetState, &meshpb.SetStateRequest{Node: node, State: state})
		if err != nil {
			continue
		}
		if r.Ok {
			return nil
		}
		reason = r.Why
		switch {
		case r.MasterAddr != "":
			addresses = slices.Insert(addresses, i+1, r.MasterAddr)
		case r.Why != reasonNotMaster:
			return errors.New(reason)
		}
	}
	return errors.New(reason)
}
