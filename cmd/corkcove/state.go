package main

import (
	"errors"
	"fmt"
	"slices"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// maxMasterHops is the maximum number of core nodes that are tried in order to
// reach the master.
const maxMasterHops = 8

// reasonNotMaster is the reason that a core node returns if it is not the master; the
// caller may try another core node.
const reasonNotMaster = "not the master"

func registerState(c *commandLine) {
	command := c.app.Command("state", "Manage user states of nodes.").Command("set", "Limit a node's state; the limit survives restarts and failovers.")
	node := command.Arg("node", "Name of the node.").Required().String()
	state := command.Arg("state", "One of up, maintenance, retired and down.").Required().String()
	c.handleTool(command, func(client *coreClient) error { return runSetState(client, *node, *state) })
}

// runSetState sets the user state of a node.
func runSetState(client *coreClient, node, state string) error {
	if !lifecycle.State(state).SettableByUser() {
		return fmt.Errorf("invalid state %q: must be up, maintenance, retired or down", state)
	}
	if err := client.setState(node, state); err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", node, state)
	return nil
}

// setState tries the seeds in order. If one of them reports the master's address,
// that address is tried next. It returns the last reason for a failure if the
// state could not be set.
//
// The request names the version of the user states that the command has read, so that it
// is refused if it arrives after a later command's. Without a master's answer, or from a
// master of the previous release, no version is known and none is named.
func (c *coreClient) setState(node, state string) error {
	request := &meshpb.SetStateRequest{Node: node, State: state}
	if status, err := c.masterStatus(); err == nil {
		request.Expected = status.UserStates
	}
	reason := "no core node answers"
	addresses := slices.Clone(c.seeds)
	for i := 0; i < len(addresses) && i < maxMasterHops; i++ {
		r, err := rpc.Call(toolCallTimeout, c.clients.Control(addresses[i]).SetState, request)
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
