package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/hotkeys"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

func testRoute(kind routeconfig.RouteKind) *routeconfig.CompiledRoute {
	return &routeconfig.CompiledRoute{Route: routeconfig.Route{Kind: kind, MaxAttempts: 3, LatencyTarget: time.Second}}
}

func oneNode() int { return 1 }

// A session that moves to another endpoint gets a new plan. Its attempts that
// reached an endpoint under the earlier plans must count towards the limit of the
// route and be charged to the budget, or each move would allow extra retries.
func TestPlanOfAMovedSessionCountsEarlierArrivals(t *testing.T) {
	balancer := loadbalancer.New("z", 1, 1)
	view := &meshpb.View{Version: 1, Nodes: 1}
	for i := range 4 {
		view.Endpoints = append(view.Endpoints, &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Addr: "a", Zone: "z", Slots: 4, State: "up"})
	}
	balancer.ApplyView(view)
	started := false
	now := func() time.Duration {
		if !started {
			started = true
			return 0
		}
		return time.Minute
	}
	budget := NewBudget(0, 2, 10*time.Second, oneNode, now)
	route := &routeconfig.CompiledRoute{Route: routeconfig.Route{MaxAttempts: 3}}
	plan := NewPlan(balancer, budget, route, "s", false)
	for _, want := range []Action{Send, Send, GiveUp} {
		endpoint, action := plan.Next()
		qt.Assert(t, action, qt.Equals, want)
		if action == Send {
			plan.AttemptFailed(endpoint, Declined, false)
		}
		earlier := plan
		plan = NewPlan(balancer, budget, route, "s", false)
		plan.ContinueFrom(earlier)
	}
	qt.Assert(t, budget.Balance("s"), qt.Equals, 0.0)
}

// hotKeyView returns a view of six endpoints, without the one with removedID, in
// which reads of the key go to the given number of endpoints.
func hotKeyView(version uint64, key uint64, width uint32, removedID string) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: version, Nodes: 1}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		if id != removedID {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: id, Service: "s", Inbound: "in-" + id, Node: "n-" + id, Zone: "z", Slots: 4, State: "up"})
		}
	}
	if width > 1 {
		v.HotKeys = []*meshpb.HotKey{{Key: key, Service: "s", Width: width}}
	}
	return v
}

// The kinds of steps that TestPlansSurviveHotKeyChanges interleaves.
const (
	// viewStep applies the next view.
	viewStep = iota
	// writeStep starts or ends an attempt of the write.
	writeStep
	// readStep starts or ends an attempt of the read.
	readStep
	// pickStep picks endpoints for other reads of the key.
	pickStep
	stepKindCount
)

// hotKeyScenario runs a non-idempotent write and an idempotent read of one key
// while new views change the width of the key and remove an endpoint.
type hotKeyScenario struct {
	t        *testing.T
	now      int64
	key      uint64
	balancer *loadbalancer.Balancer
	write    Plan
	read     Plan

	writeEndpoint, readEndpoint *loadbalancer.Endpoint
	writeDone, readDone         bool
	// possibleRuns counts the endpoints that may have run the write.
	possibleRuns int
	views        []*meshpb.View
}

func newHotKeyScenario(t *testing.T) *hotKeyScenario {
	key := hotkeys.Hash("s", "final")
	s := &hotKeyScenario{t: t, now: int64(time.Hour), key: key}
	s.views = []*meshpb.View{hotKeyView(2, key, 4, ""), hotKeyView(3, key, 4, "e2"), hotKeyView(4, key, 1, "e2")}
	s.balancer = loadbalancer.New("z", 2, 5).SlowStart(time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	s.balancer.SetRandomAndClock(random.Float64, func() int64 { return s.now })
	s.balancer.ApplyView(hotKeyView(1, s.key, 1, ""))
	budget := NewBudget(0.2, 400, 10*time.Second, oneNode, func() time.Duration { return time.Duration(s.now) })
	s.now += int64(time.Minute)
	s.write = NewPlan(s.balancer, budget, testRoute(routeconfig.KindEffectful), "s", false)
	s.write.SetKey(s.key)
	qt.Assert(t, s.write.key, qt.Equals, uint64(0))
	s.read = NewPlan(s.balancer, budget, testRoute(routeconfig.KindPure), "s", false)
	s.read.SetKey(s.key)
	return s
}

// step executes the nth step of the kind, counted from 0.
func (s *hotKeyScenario) step(kind, nth int) {
	s.now += int64(50 * time.Millisecond)
	switch kind {
	case viewStep:
		s.balancer.ApplyView(s.views[nth])
	case writeStep:
		s.stepWrite(nth)
	case readStep:
		s.stepRead(nth)
	case pickStep:
		pickedRemoved := false
		for range 20 {
			e := s.balancer.Pick(loadbalancer.Criteria{Service: "s", Key: s.key})
			pickedRemoved = pickedRemoved || e != nil && e.ID() == "e2" && s.balancer.Find("s", "e2") == nil
		}
		qt.Assert(s.t, pickedRemoved, qt.IsFalse)
	}
}

// stepWrite makes two attempts of the write: the first is rejected, the second
// fails and may have run.
func (s *hotKeyScenario) stepWrite(nth int) {
	if s.writeDone {
		return
	}
	if nth%2 == 0 {
		endpoint, action := s.write.Next()
		if action != Send {
			s.writeDone = true
			return
		}
		s.writeEndpoint = endpoint
		return
	}
	outcome := Rejected
	if nth == 3 {
		outcome = Failed
		s.possibleRuns++
	}
	_, s.writeDone = s.write.AttemptFailed(s.writeEndpoint, outcome, false)
}

// stepRead makes two attempts of the read: the first fails, the second succeeds.
func (s *hotKeyScenario) stepRead(nth int) {
	if s.readDone {
		return
	}
	if nth%2 == 0 {
		endpoint, action := s.read.Next()
		qt.Assert(s.t, action, qt.Equals, Send)
		s.readEndpoint = endpoint
		return
	}
	if nth == 1 {
		_, done := s.read.AttemptFailed(s.readEndpoint, Failed, false)
		qt.Assert(s.t, done, qt.IsFalse)
		return
	}
	s.readDone = true
}

// checkOutcome checks that a write that may have run is not sent again, whatever
// the views contain, and that the read has ended.
func (s *hotKeyScenario) checkOutcome() {
	t := s.t
	endpoint, action := s.write.Next()
	if s.possibleRuns > 0 {
		qt.Assert(t, s.writeDone, qt.IsTrue)
		reply, _ := s.write.AttemptFailed(s.writeEndpoint, Failed, false)
		qt.Assert(t, s.write.FinalReply(reply, false), qt.Equals, localreply.InvalidResponse)
	} else {
		qt.Assert(t, action != Send || endpoint != nil, qt.IsTrue)
	}
	qt.Assert(t, s.possibleRuns <= 1, qt.IsTrue)
	qt.Assert(t, s.readDone, qt.IsTrue)
}

// Hot key changes must not affect requests in progress. In every interleaving of
// views that widen the key, remove an endpoint and narrow the key with the
// attempts of a write and a read, at most one endpoint may have run the write, and
// the read completes.
func TestPlansSurviveHotKeyChanges(t *testing.T) {
	orders := 0
	var permute func(remaining [stepKindCount]int, order []int)
	permute = func(remaining [stepKindCount]int, order []int) {
		complete := true
		for kind, count := range remaining {
			if count > 0 {
				complete = false
				rest := remaining
				rest[kind]--
				permute(rest, append(order[:len(order):len(order)], kind))
			}
		}
		if !complete {
			return
		}
		scenario := newHotKeyScenario(t)
		var stepsDone [stepKindCount]int
		for _, kind := range order {
			scenario.step(kind, stepsDone[kind])
			stepsDone[kind]++
		}
		scenario.checkOutcome()
		orders++
	}
	permute([stepKindCount]int{viewStep: 3, writeStep: 4, readStep: 4, pickStep: 1}, nil)
	t.Logf("%d orders", orders)
}
