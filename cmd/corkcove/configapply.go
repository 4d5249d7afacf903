package main

import (
	"corkcove/internal/routeconfig"
)

// configApplier compiles the configurations that the master delivers. The agent
// calls it from one goroutine at a time.
type configApplier struct {
	node      *trafficNode
	setLimits func(routeconfig.Limits)
	current   routeconfig.Config
}

// applyConfigs makes the agent put configurations in force.
func (n *trafficNode) applyConfigs(setLimits func(routeconfig.Limits)) {
	a := &configApplier{node: n, setLimits: setLimits}
	n.agent.OnConfig = a.applyFull
	n.agent.OnPatch = a.applyPatches
}

func (a *configApplier) applyFull(_ uint64, data []byte) error {
	config, err := routeconfig.Parse(data)
	if err != nil {
		return err
	}
	a.put(config)
	return nil
}

// applyPatches puts in force what the patches make of the current configuration.
func (a *configApplier) applyPatches(version uint64, patches [][]byte) error {
	config, err := a.current.ApplyPatches(version, patches)
	if err != nil {
		return err
	}
	a.put(config)
	return nil
}

func (a *configApplier) put(config routeconfig.Config) {
	table := routeconfig.Compile(config)
	a.current = config
	a.node.routes.Store(table)
	a.node.requestLog.RecordConfig(config.Version, config.Marshal)
	a.setLimits(table.Limits)
}
