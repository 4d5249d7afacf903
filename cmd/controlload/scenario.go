package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"corkcove/internal/lifecycle"
)

const (
	// settleTime is the pause between the start and the idle phase.
	settleTime = 2 * time.Second
	// configChangeCount and viewChangeCount are the numbers of changes that are
	// timed. Each change is followed by a pause.
	configChangeCount = 5
	configChangePause = 200 * time.Millisecond
	viewChangeCount   = 3
	viewChangePause   = 500 * time.Millisecond
	// churnChangesPerSecond is the number of endpoint state changes per second in the
	// churn phase.
	churnChangesPerSecond = 4
	// restartDivisor sets the share of endpoints that restart at the same time: one
	// in restartDivisor.
	restartDivisor = 10
)

// scenario runs the phases of one measurement and fills in the report. Its methods
// must be called from one goroutine.
type scenario struct {
	mesh   *loadMesh
	report *loadReport
	// phaseSeconds is the duration of the idle phase and of the churn phase.
	phaseSeconds int
	// masterIndex is the index of the core that is master after the start.
	masterIndex int
}

// run runs all phases. It returns an error if the mesh does not start or a
// configuration is not accepted; other timeouts only count in loadReport.Missing.
func (s *scenario) run() error {
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s.report.IdleUsage = s.mesh.measure(s.masterIndex, func() { time.Sleep(time.Duration(s.phaseSeconds) * time.Second) })
	if err := s.changeConfigurations(); err != nil {
		return err
	}
	s.changeViews()
	s.churn()
	s.restartEndpoints()
	s.killMaster()
	return nil
}

// waitForNodes waits until the condition holds for all nodes and returns how long that
// took. Nodes for which it does not hold in time are added to loadReport.Missing.
func (s *scenario) waitForNodes(condition func(*simulatedNode) bool) (seconds float64) {
	took, missing := s.mesh.waitForAll(condition)
	s.report.Missing += missing
	return took.Seconds()
}

// start sends the first configuration, starts all nodes and waits until they have the
// configuration and a view with all endpoints. It returns an error if they do not get
// them in time.
func (s *scenario) start() error {
	r := s.report
	began := time.Now()
	if err := s.mesh.putConfiguration(0, 1, buildConfiguration(1, r.Routes, r.Services, defaultRouteTimeoutSeconds)); err != nil {
		return err
	}
	for i := range r.Nodes {
		if err := s.mesh.startNode(i); err != nil {
			return err
		}
	}
	s.waitForNodes(func(n *simulatedNode) bool {
		return n.configVersion.Load() == 1 && n.endpointCount.Load() == int64(r.Nodes)
	})
	r.StartSeconds = time.Since(began).Seconds()
	if r.Missing > 0 {
		return fmt.Errorf("%d of %d nodes did not receive the first configuration and the complete view in time", r.Missing, r.Nodes)
	}
	if s.masterIndex = s.mesh.masterIndex(); s.masterIndex < 0 {
		return errors.New("the master in the view of the first node is not one of the started cores")
	}
	return nil
}

// changeConfigurations measures how long each configuration change takes to reach all
// nodes.
func (s *scenario) changeConfigurations() error {
	var err error
	s.report.ConfigUsage = s.mesh.measure(s.masterIndex, func() {
		for base := 1; base <= configChangeCount && err == nil; base++ {
			err = s.changeConfiguration(base)
		}
	})
	return err
}

// changeConfiguration replaces version base and waits until all nodes have applied
// the next version.
func (s *scenario) changeConfiguration(base int) error {
	version := base + 1
	body := buildConfiguration(version, s.report.Routes, s.report.Services, changedRouteTimeoutSeconds)
	if err := s.mesh.putConfiguration(base, version, body); err != nil {
		return err
	}
	took := s.waitForNodes(func(n *simulatedNode) bool { return n.configVersion.Load() == uint64(version) })
	s.report.ConfigTimes = append(s.report.ConfigTimes, took)
	time.Sleep(configChangePause)
	return nil
}

// changeViews measures how long it takes until all nodes have a newer view after the
// state of one endpoint has changed.
func (s *scenario) changeViews() {
	nodes := s.mesh.nodes
	for range viewChangeCount {
		previous := nodes[0].viewVersion.Load()
		nodes[rand.IntN(len(nodes))].setEndpointState(lifecycle.Draining)
		took := s.waitForNodes(func(n *simulatedNode) bool { return n.viewVersion.Load() > previous })
		s.report.ViewTimes = append(s.report.ViewTimes, took)
		time.Sleep(viewChangePause)
	}
}

// churn changes the endpoints, one after the other, to draining and back to ready.
func (s *scenario) churn() {
	nodes := s.mesh.nodes
	s.report.ChangesPerSecond = churnChangesPerSecond
	s.report.ChurnUsage = s.mesh.measure(s.masterIndex, func() {
		for i := range churnChangesPerSecond * s.phaseSeconds {
			state := lifecycle.Draining
			if i%2 == 1 {
				state = lifecycle.Ready
			}
			nodes[i/2%len(nodes)].setEndpointState(state)
			time.Sleep(time.Second / churnChangesPerSecond)
		}
	})
}

// restartEndpoints restarts many endpoints at once and measures how long it takes until
// the views of all nodes contain all new endpoints.
func (s *scenario) restartEndpoints() {
	restarted := map[string]bool{}
	for i := range max(s.report.Nodes/restartDivisor, 1) {
		restarted[s.mesh.nodes[i].restartEndpoint()] = true
	}
	s.report.RestartSeconds = s.waitForNodes(func(n *simulatedNode) bool {
		known := 0
		for _, e := range n.agent.View().Endpoints {
			if restarted[e.Id] {
				known++
			}
		}
		return known == len(restarted)
	})
}

// killMaster kills the master and measures how long it takes until all nodes have a
// view of a later epoch, that of the next master.
func (s *scenario) killMaster() {
	epoch := s.mesh.nodes[0].viewEpoch.Load()
	kill(s.mesh.cores[s.masterIndex])
	s.report.TakeoverSeconds = s.waitForNodes(func(n *simulatedNode) bool { return n.viewEpoch.Load() > epoch })
}
