package affinity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

type testEndpoints struct {
	available map[string][]string
	reasons   map[string]string
}

func (s testEndpoints) Accepts(service, id string) (bool, string) {
	if slices.Contains(s.available[service], id) {
		return true, ""
	}
	if w := s.reasons[id]; w != "" {
		return false, w
	}
	return false, ReasonEnded
}

func (s testEndpoints) Available(service string) []string { return s.available[service] }

// testCore is the owner of the pins; a takeover loads its state elsewhere.
type testCore struct{ table *coordination.Table }

func (c *testCore) takeover() {
	state := c.table.Snapshot(0)
	c.table = coordination.NewTable(time.Minute)
	c.table.Restore(state, 0, false)
}

func (c *testCore) answer(request *meshpb.PinRequest) *meshpb.PinResponse {
	decision := c.table.PinSession(request, 0)
	if decision.Change != nil {
		c.table.Apply(decision.Change, 0)
	}
	return decision.Result.Response()
}

type testNode struct {
	sessions      *Sessions
	endpoints     *testEndpoints
	yield         func()
	configVersion uint64
}

func newTestNode(core *testCore, now *time.Time, endpoints *testEndpoints) *testNode {
	node := &testNode{endpoints: endpoints, configVersion: 1}
	node.sessions = New(Options{Now: func() time.Time { return *now }, ConfigVersion: func() uint64 { return node.configVersion }, MoveDelay: 300 * time.Millisecond, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 10,
		Pin: func(_ context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
			node.yield()
			return core.answer(request), nil
		}})
	return node
}

func (node *testNode) find(key string, allowed ...string) Assignment {
	return node.sessions.Find(context.Background(), Query{SessionKey: key, AllowedServices: allowed, Service: allowed[0], EarlierServices: []string{"s", "t"}}, node.endpoints)
}

func noYield() {}

// All orders of two nodes that meet a session for the first time, a node that
// is new and already sees another endpoint, a push and a takeover: the session
// has one instance.
func TestSessionHasOneEndpointInAllOrders(t *testing.T) {
	differ, total := 0, 0
	for n := range 3 {
		key := SessionKey("header X", fmt.Sprint("fan-", n))
		before := []string{"e0", "e1", "e2"}
		after := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
		if Candidate(key, before) != Candidate(key, after) {
			differ++
		}
		for choices := []int{}; choices != nil; total++ {
			now := time.Unix(0, 0)
			core := &testCore{coordination.NewTable(time.Minute)}
			a, b, c := newTestNode(core, &now, &testEndpoints{available: map[string][]string{"s": before}}), newTestNode(core, &now, &testEndpoints{available: map[string][]string{"s": before}}), newTestNode(core, &now, &testEndpoints{available: map[string][]string{"s": after}})
			var used []string
			schedule := &scheduler{choices: choices}
			for i, node := range []*testNode{a, b, c} {
				schedule.add(fmt.Sprint("node ", i), func(yield func()) {
					node.yield = yield
					if assignment := node.find(key, "s"); assignment.State == Pinned {
						used = append(used, assignment.Endpoint)
					}
				})
			}
			schedule.add("push", func(func()) { a.configVersion, b.configVersion, c.configVersion = 2, 2, 2 })
			schedule.add("takeover", func(func()) { core.takeover() })
			choices = schedule.run()
			for _, node := range []*testNode{a, b, c} {
				node.yield = noYield
				node.endpoints.available["s"] = after
				used = append(used, node.find(key, "s").Endpoint)
			}
			for _, e := range used {
				qt.Assert(t, e, qt.Equals, used[0], qt.Commentf("order %v", schedule.choices))
			}
		}
	}
	qt.Assert(t, differ > 0, qt.IsTrue)
	qt.Assert(t, total > 4000, qt.IsTrue, qt.Commentf("%d orders", total))
}

// All orders of two nodes that hear of a drain and go on with a session there:
// once one has used the new instance, none uses the old.
func TestDrainMovesASessionOnceInAllOrders(t *testing.T) {
	key := SessionKey("header X", "fan")
	all := []string{"e0", "e1", "e2"}
	home := Candidate(key, all)
	others := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == home })
	total := 0
	for choices := []int{}; choices != nil; total++ {
		now := time.Unix(0, 0)
		core := &testCore{coordination.NewTable(time.Minute)}
		var nodes []*testNode
		for range 2 {
			node := newTestNode(core, &now, &testEndpoints{available: map[string][]string{"s": all}, reasons: map[string]string{}})
			node.yield = noYield
			qt.Assert(t, node.find(key, "s").Endpoint, qt.Equals, home)
			nodes = append(nodes, node)
		}
		var used []string
		schedule := &scheduler{choices: choices}
		for i, node := range nodes {
			schedule.add(fmt.Sprint("node ", i), func(yield func()) {
				node.yield = yield
				for n := range 2 {
					if n > 0 {
						yield()
					}
					if assignment := node.find(key, "s"); assignment.State == Pinned {
						used = append(used, assignment.Endpoint)
					}
				}
			})
		}
		// The move delay is longer than the views take to all nodes.
		schedule.add("views", func(yield func()) {
			for _, node := range nodes {
				*node.endpoints = testEndpoints{available: map[string][]string{"s": others}, reasons: map[string]string{home: ReasonDrain}}
				yield()
			}
			now = now.Add(400 * time.Millisecond)
		})
		choices = schedule.run()
		now = now.Add(time.Second)
		for range 2 {
			for _, node := range nodes {
				node.yield = noYield
				if assignment := node.find(key, "s"); assignment.State == Pinned {
					used = append(used, assignment.Endpoint)
				}
				now = now.Add(time.Second)
			}
		}
		moved := false
		for _, e := range used {
			if e != home {
				moved = true
			}
			qt.Assert(t, moved && e == home, qt.IsFalse, qt.Commentf("order %v went %v", schedule.choices, used))
		}
		qt.Assert(t, moved, qt.IsTrue)
		last := used[len(used)-1]
		for _, node := range nodes {
			sessions, moves, _ := node.sessions.Report(0)
			qt.Assert(t, len(sessions), qt.Equals, 1)
			qt.Assert(t, sessions[0].Endpoint, qt.Equals, last)
			qt.Assert(t, len(moves), qt.Equals, 1)
			qt.Assert(t, moves[0].Why, qt.Equals, ReasonDrain)
		}
	}
	qt.Assert(t, total > 200, qt.IsTrue, qt.Commentf("%d orders", total))
}

func TestKnownPinsStayWithoutACoreAndNewSessionsFollowTheHash(t *testing.T) {
	now := time.Unix(0, 0)
	core := &testCore{coordination.NewTable(time.Minute)}
	endpoints := &testEndpoints{available: map[string][]string{"s": {"e0", "e1", "e2"}}}
	node := newTestNode(core, &now, endpoints)
	node.yield = noYield
	pinned := node.find("k1", "s").Endpoint
	withoutCore := New(Options{Now: node.sessions.options.Now, ConfigVersion: node.sessions.options.ConfigVersion, MoveDelay: 300 * time.Millisecond, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 10,
		Pin: func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error) {
			return nil, errors.New("silent")
		}})
	withoutCore.Add("k1", "s", pinned)
	find := func(key string) Assignment {
		return withoutCore.Find(context.Background(), Query{SessionKey: key, AllowedServices: []string{"s"}, Service: "s"}, endpoints)
	}
	qt.Assert(t, find("k1"), qt.DeepEquals, Assignment{Service: "s", Endpoint: pinned})
	assignment := find("k2")
	qt.Assert(t, assignment.State, qt.Equals, Provisional)
	qt.Assert(t, assignment.Endpoint, qt.Equals, Candidate("k2", endpoints.available["s"]))
	sessions, _, _ := withoutCore.Report(0)
	qt.Assert(t, sessions[1].Pinned, qt.IsFalse)
	endpoints.available["s"] = slices.DeleteFunc(slices.Clone(endpoints.available["s"]), func(e string) bool { return e == pinned })
	qt.Assert(t, find("k1").State, qt.Equals, Pending)
	now = now.Add(time.Second)
	qt.Assert(t, find("k1").State, qt.Equals, Pending, qt.Commentf("a move that is not recorded is not made"))
}

func TestConfigThatForbidsTheServiceMovesTheSession(t *testing.T) {
	now := time.Unix(0, 0)
	core := &testCore{coordination.NewTable(time.Minute)}
	endpoints := &testEndpoints{available: map[string][]string{"s": {"e0", "e1"}, "t": {"f0", "f1"}}}
	a, b := newTestNode(core, &now, endpoints), newTestNode(core, &now, endpoints)
	a.yield, b.yield = noYield, noYield
	before := a.find("k", "s", "t")
	qt.Assert(t, b.find("k", "t", "s"), qt.DeepEquals, before, qt.Commentf("changed shares move nobody"))
	a.configVersion, b.configVersion = 7, 7
	after := a.find("k", "t")
	qt.Assert(t, after.Service, qt.Equals, "t")
	qt.Assert(t, b.find("k", "t"), qt.DeepEquals, after)
	for _, node := range []*testNode{a, b} {
		_, moves, _ := node.sessions.Report(7)
		qt.Assert(t, len(moves), qt.Equals, 1)
		qt.Assert(t, moves[0].Why+" "+moves[0].From+" "+moves[0].To, qt.Equals, ReasonConfig+" "+before.Endpoint+" "+after.Endpoint)
		_, none, _ := node.sessions.Report(8)
		qt.Assert(t, len(none), qt.Equals, 0)
	}
}
