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

// testEndpoints is a node's view. An endpoint that is not available has the reason
// ReasonEnded unless reasons has another.
type testEndpoints struct {
	available map[string][]string
	reasons   map[string]string
}

func (e testEndpoints) Accepts(service, id string) (bool, string) {
	if slices.Contains(e.available[service], id) {
		return true, ""
	}
	if reason := e.reasons[id]; reason != "" {
		return false, reason
	}
	return false, ReasonEnded
}

func (e testEndpoints) Available(service string) []string { return e.available[service] }

// testCore is the core node that owns the pins. takeover moves its state to a new
// owner.
type testCore struct{ table *coordination.Table }

func (c *testCore) takeover() {
	state := c.table.Snapshot(0)
	c.table = coordination.NewTable(time.Minute)
	c.table.Restore(state, 0, false)
}

func (c *testCore) pinSession(request *meshpb.PinRequest) *meshpb.PinResponse {
	decision := c.table.PinSession(request, 0)
	if decision.Change != nil {
		c.table.Apply(decision.Change, 0)
	}
	return decision.Result.Response()
}

// testNode is a node that calls yield before each call to the core.
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
			return core.pinSession(request), nil
		}})
	return node
}

func (node *testNode) find(key string, allowed ...string) Assignment {
	return node.sessions.Find(context.Background(), Query{SessionKey: key, AllowedServices: allowed, Service: allowed[0], EarlierServices: []string{"s", "t"}}, node.endpoints)
}

func noYield() {}

// Guards against two nodes that route a session to different endpoints. Two nodes
// receive the session for the first time; a third has a newer view with more
// endpoints, among which the hash of some keys chooses another one. Their calls, a
// configuration update and a takeover of the core's shard run in all orders. If a
// node with an older view treats an endpoint that it has never seen as ended, it
// moves the session away.
func TestSessionHasOneEndpointInAllOrders(t *testing.T) {
	differing, total := 0, 0
	for n := range 3 {
		key := SessionKey("header X", fmt.Sprint("user-", n))
		before := []string{"e0", "e1", "e2"}
		after := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
		if RendezvousEndpoint(key, before) != RendezvousEndpoint(key, after) {
			differing++
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
			schedule.add("configuration update", func(func()) { a.configVersion, b.configVersion, c.configVersion = 2, 2, 2 })
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
	qt.Assert(t, differing > 0, qt.IsTrue)
	qt.Assert(t, total > 4000, qt.IsTrue, qt.Commentf("%d orders", total))
}

// Guards against a session that alternates between two endpoints during a drain.
// Two nodes serve the session and receive, in all orders, the view in which its
// endpoint drains. Once one of them has used the new endpoint, neither may use the
// old one.
func TestDrainMovesSessionOnceInAllOrders(t *testing.T) {
	key := SessionKey("header X", "user")
	all := []string{"e0", "e1", "e2"}
	original := RendezvousEndpoint(key, all)
	others := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == original })
	total := 0
	for choices := []int{}; choices != nil; total++ {
		now := time.Unix(0, 0)
		core := &testCore{coordination.NewTable(time.Minute)}
		var nodes []*testNode
		for range 2 {
			node := newTestNode(core, &now, &testEndpoints{available: map[string][]string{"s": all}, reasons: map[string]string{}})
			node.yield = noYield
			qt.Assert(t, node.find(key, "s").Endpoint, qt.Equals, original)
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
		// All nodes get the view within the move delay of 300 ms: the clock advances
		// past it only once the last of them has the view.
		schedule.add("view update", func(yield func()) {
			for _, node := range nodes {
				*node.endpoints = testEndpoints{available: map[string][]string{"s": others}, reasons: map[string]string{original: ReasonDrain}}
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
			if e != original {
				moved = true
			}
			qt.Assert(t, moved && e == original, qt.IsFalse, qt.Commentf("order %v used %v", schedule.choices, used))
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

func TestCachedPinsHoldAndNewSessionsAreHashedWithoutCore(t *testing.T) {
	now := time.Unix(0, 0)
	core := &testCore{coordination.NewTable(time.Minute)}
	endpoints := &testEndpoints{available: map[string][]string{"s": {"e0", "e1", "e2"}}}
	node := newTestNode(core, &now, endpoints)
	node.yield = noYield
	pinned := node.find("k1", "s").Endpoint
	withoutCore := New(Options{Now: node.sessions.options.Now, ConfigVersion: node.sessions.options.ConfigVersion, MoveDelay: 300 * time.Millisecond, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 10,
		Pin: func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error) {
			return nil, errors.New("core unreachable")
		}})
	withoutCore.Add("k1", "s", pinned)
	find := func(key string) Assignment {
		return withoutCore.Find(context.Background(), Query{SessionKey: key, AllowedServices: []string{"s"}, Service: "s"}, endpoints)
	}
	qt.Assert(t, find("k1"), qt.DeepEquals, Assignment{Service: "s", Endpoint: pinned})
	assignment := find("k2")
	qt.Assert(t, assignment.State, qt.Equals, Provisional)
	qt.Assert(t, assignment.Endpoint, qt.Equals, RendezvousEndpoint("k2", endpoints.available["s"]))
	sessions, _, _ := withoutCore.Report(0)
	qt.Assert(t, sessions[1].Pinned, qt.IsFalse)
	endpoints.available["s"] = slices.DeleteFunc(slices.Clone(endpoints.available["s"]), func(e string) bool { return e == pinned })
	qt.Assert(t, find("k1").State, qt.Equals, Pending)
	now = now.Add(time.Second)
	qt.Assert(t, find("k1").State, qt.Equals, Pending, qt.Commentf("the session moved before the core recorded the move"))
}

func TestSessionMovesWhenConfigDisallowsItsService(t *testing.T) {
	now := time.Unix(0, 0)
	core := &testCore{coordination.NewTable(time.Minute)}
	endpoints := &testEndpoints{available: map[string][]string{"s": {"e0", "e1"}, "t": {"f0", "f1"}}}
	a, b := newTestNode(core, &now, endpoints), newTestNode(core, &now, endpoints)
	a.yield, b.yield = noYield, noYield
	before := a.find("k", "s", "t")
	qt.Assert(t, b.find("k", "t", "s"), qt.DeepEquals, before, qt.Commentf("changed weights moved the session"))
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
