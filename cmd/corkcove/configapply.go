package main

import (
	"corkcove/internal/routeconfig"
)

// configApplier compiles and activates the configurations that the master delivers.
// It is not safe for concurrent use; the agent's calls never overlap.
type configApplier struct {
	node      *trafficNode
	setLimits func(routeconfig.Limits)
	current   routeconfig.Config
}

// applyConfigs makes the agent activate the configurations that it receives, and
// pass their limits to setLimits.
func (n *trafficNode) applyConfigs(setLimits func(routeconfig.Limits)) {
	a := &configApplier{node: n, setLimits: setLimits}
	n.agent.OnConfig = a.applyFull
	n.agent.OnPatch = a.applyPatches
}

// applyFull activates a complete configuration.
func (a *configApplier) applyFull(_ uint64, data []byte) error {
	config, err := routeconfig.Parse(data)
	if err != nil {
		return err
	}
	a.activate(config)
	return nil
}

// applyPatches applies patches to the current configuration and activates the result.
func (a *configApplier) applyPatches(version uint64, patches [][]byte) error {
	config, err := a.current.ApplyPatches(version, patches)
	if err != nil {
		return err
	}
	a.activate(config)
	return nil
}

// activate compiles a configuration and makes it the current one.
func (a *configApplier) activate(config routeconfig.Config) {
	table := routeconfig.Compile(config)
	a.current = config
	a.node.routes.Store(table)
	a.node.requestLog.RecordConfig(config.Version, config.Marshal)
	a.setLimits(table.Limits)
}
