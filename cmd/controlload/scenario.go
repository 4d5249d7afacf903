package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"corkcove/internal/lifecycle"
)

const (
	// settleTime is the pause between the start and the first measurement.
	settleTime = 2 * time.Second
	// configChanges and viewChanges are how many changes are timed, each followed
	// by a pause.
	configChanges     = 5
	configChangePause = 200 * time.Millisecond
	viewChanges       = 3
	viewChangePause   = 500 * time.Millisecond
	// churnPerSecond is how many endpoints change their state each second.
	churnPerSecond = 4
	// restartedShare is the part of the nodes, one of so many, whose endpoints
	// start anew at once.
	restartedShare = 10
)

// scenario is played on one goroutine.
type scenario struct {
	mesh   *loadMesh
	report *loadReport
	// seconds is how long the quiet stretch and the churn last.
	seconds int
	// master is the index of the core that is master.
	master int
}

func (s *scenario) play() error {
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s.report.QuietUsage = s.mesh.measure(s.master, func() { time.Sleep(time.Duration(s.seconds) * time.Second) })
	if err := s.changeConfigurations(); err != nil {
		return err
	}
	s.changeViews()
	s.churn()
	s.restartEndpoints()
	s.killMaster()
	return nil
}

// wait waits for all nodes and counts those that are missing.
func (s *scenario) wait(condition func(*simulatedNode) bool) (seconds float64) {
	took, missing := s.mesh.waitForAll(condition)
	s.report.Missing += missing
	return took.Seconds()
}

// start puts the first configuration and starts all nodes.
func (s *scenario) start() error {
	r := s.report
	began := time.Now()
	if err := s.mesh.putConfiguration(0, 1, configuration(1, r.Routes, r.Services, routeTimeoutSeconds)); err != nil {
		return err
	}
	for i := range r.Nodes {
		if err := s.mesh.startNode(i); err != nil {
			return err
		}
	}
	s.wait(func(n *simulatedNode) bool {
		return n.configVersion.Load() == 1 && n.endpoints.Load() == int64(r.Nodes)
	})
	r.StartSeconds = time.Since(began).Seconds()
	if r.Missing > 0 {
		return fmt.Errorf("%d of %d nodes have not got the whole view and the configuration", r.Missing, r.Nodes)
	}
	if s.master = s.mesh.master(); s.master < 0 {
		return errors.New("the master is not one of these cores")
	}
	return nil
}

// changeConfigurations times how long each change takes to all nodes.
func (s *scenario) changeConfigurations() error {
	var err error
	s.report.ConfigUsage = s.mesh.measure(s.master, func() {
		for base := 1; base <= configChanges && err == nil; base++ {
			err = s.changeConfiguration(base)
		}
	})
	return err
}

func (s *scenario) changeConfiguration(base int) error {
	version := base + 1
	body := configuration(version, s.report.Routes, s.report.Services, changedTimeoutSeconds)
	if err := s.mesh.putConfiguration(base, version, body); err != nil {
		return err
	}
	took := s.wait(func(n *simulatedNode) bool { return n.configVersion.Load() == uint64(version) })
	s.report.ConfigTimes = append(s.report.ConfigTimes, took)
	time.Sleep(configChangePause)
	return nil
}

// changeViews times how long a view takes to all nodes after an endpoint's state
// has changed.
func (s *scenario) changeViews() {
	nodes := s.mesh.nodes
	for range viewChanges {
		previous := nodes[0].viewVersion.Load()
		nodes[rand.IntN(len(nodes))].setEndpointState(lifecycle.Draining)
		took := s.wait(func(n *simulatedNode) bool { return n.viewVersion.Load() > previous })
		s.report.ViewTimes = append(s.report.ViewTimes, took)
		time.Sleep(viewChangePause)
	}
}

// churn changes one node's endpoint after the other to draining and back.
func (s *scenario) churn() {
	nodes := s.mesh.nodes
	s.report.ChangesPerSecond = churnPerSecond
	s.report.ChurnUsage = s.mesh.measure(s.master, func() {
		for i := range churnPerSecond * s.seconds {
			state := lifecycle.Draining
			if i%2 == 1 {
				state = lifecycle.Ready
			}
			nodes[i/2%len(nodes)].setEndpointState(state)
			time.Sleep(time.Second / churnPerSecond)
		}
	})
}

// restartEndpoints restarts many endpoints at once and times until all nodes
// know all of the new ones.
func (s *scenario) restartEndpoints() {
	restarted := map[string]bool{}
	for i := range max(s.report.Nodes/restartedShare, 1) {
		restarted[s.mesh.nodes[i].restartEndpoint()] = true
	}
	s.report.RestartSeconds = s.wait(func(n *simulatedNode) bool {
		known := 0
		for _, e := range n.agent.View().Endpoints {
			if restarted[e.Id] {
				known++
			}
		}
		return known == len(restarted)
	})
}

// killMaster times until all nodes have a view of the next master.
func (s *scenario) killMaster() {
	epoch := s.mesh.nodes[0].viewEpoch.Load()
	kill(s.mesh.cores[s.master])
	s.report.TakeoverSeconds = s.wait(func(n *simulatedNode) bool { return n.viewEpoch.Load() > epoch })
}
