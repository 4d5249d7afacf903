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

// hotKeyView returns a view of six endpoints, without the one that is gone, in
// which the key has that many copies.
func hotKeyView(version uint64, key uint64, copies uint32, gone string) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: version, Nodes: 1}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		if id != gone {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: id, Service: "s", Inbound: "in-" + id, Node: "n-" + id, Zone: "z", Slots: 4, State: "up"})
		}
	}
	if copies > 1 {
		v.HotKeys = []*meshpb.HotKey{{Key: key, Service: "s", Width: copies}}
	}
	return v
}

// Who makes the next step in an order of TestPlansOutliveChangesOfAHotKey.
const (
	viewStep = iota
	purchaseStep
	readStep
	otherReadsStep
	stepKinds
)

// hotKeyRun is a purchase and a read of a hot key while views come in.
type hotKeyRun struct {
	t        *testing.T
	now      int64
	key      uint64
	balancer *loadbalancer.Balancer
	purchase Plan
	read     Plan

	purchaseAt, readAt    *loadbalancer.Endpoint
	purchaseEnded, readOK bool
	// mayHaveRun counts the endpoints that may have run the purchase.
	mayHaveRun int
	views      []*meshpb.View
}

func newHotKeyRun(t *testing.T) *hotKeyRun {
	key := hotkeys.Hash("s", "final")
	run := &hotKeyRun{t: t, now: int64(time.Hour), key: key}
	run.views = []*meshpb.View{hotKeyView(2, key, 4, ""), hotKeyView(3, key, 4, "e2"), hotKeyView(4, key, 1, "e2")}
	run.balancer = loadbalancer.New("z", 2, 5).SlowStart(time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	run.balancer.SetRandomAndClock(random.Float64, func() int64 { return run.now })
	run.balancer.ApplyView(hotKeyView(1, run.key, 1, ""))
	budget := NewBudget(0.2, 400, 10*time.Second, oneNode, func() time.Duration { return time.Duration(run.now) })
	run.now += int64(time.Minute)
	run.purchase = NewPlan(run.balancer, budget, testRoute(routeconfig.KindEffectful), "s", false)
	run.purchase.SetKey(run.key)
	qt.Assert(t, run.purchase.key, qt.Equals, uint64(0))
	run.read = NewPlan(run.balancer, budget, testRoute(routeconfig.KindPure), "s", false)
	run.read.SetKey(run.key)
	return run
}

// step makes the nth step of a kind.
func (run *hotKeyRun) step(kind, nth int) {
	run.now += int64(50 * time.Millisecond)
	switch kind {
	case viewStep:
		run.balancer.ApplyView(run.views[nth])
	case purchaseStep:
		run.stepPurchase(nth)
	case readStep:
		run.stepRead(nth)
	case otherReadsStep:
		choseGone := false
		for range 20 {
			e := run.balancer.Pick(loadbalancer.Criteria{Service: "s", Key: run.key})
			choseGone = choseGone || e != nil && e.ID() == "e2" && run.balancer.Find("s", "e2") == nil
		}
		qt.Assert(run.t, choseGone, qt.IsFalse)
	}
}

// stepPurchase has the purchase rejected once; then its endpoint breaks off.
func (run *hotKeyRun) stepPurchase(nth int) {
	if run.purchaseEnded {
		return
	}
	if nth%2 == 0 {
		endpoint, action := run.purchase.Next()
		if action != Send {
			run.purchaseEnded = true
			return
		}
		run.purchaseAt = endpoint
		return
	}
	outcome := Rejected
	if nth == 3 {
		outcome = Failed
		run.mayHaveRun++
	}
	_, run.purchaseEnded = run.purchase.AttemptFailed(run.purchaseAt, outcome, false)
}

// stepRead has the read's first endpoint break off.
func (run *hotKeyRun) stepRead(nth int) {
	if run.readOK {
		return
	}
	if nth%2 == 0 {
		endpoint, action := run.read.Next()
		qt.Assert(run.t, action, qt.Equals, Send)
		run.readAt = endpoint
		return
	}
	if nth == 1 {
		_, ends := run.read.AttemptFailed(run.readAt, Failed, false)
		qt.Assert(run.t, ends, qt.IsFalse)
		return
	}
	run.readOK = true
}

// check checks the end: what may have run must not be sent on, whatever the
// views say.
func (run *hotKeyRun) check() {
	t := run.t
	endpoint, action := run.purchase.Next()
	if run.mayHaveRun > 0 {
		qt.Assert(t, run.purchaseEnded, qt.IsTrue)
		reply, _ := run.purchase.AttemptFailed(run.purchaseAt, Failed, false)
		qt.Assert(t, run.purchase.FinalReply(reply, false), qt.Equals, localreply.InvalidResponse)
	} else {
		qt.Assert(t, action != Send || endpoint != nil, qt.IsTrue)
	}
	qt.Assert(t, run.mayHaveRun <= 1, qt.IsTrue)
	qt.Assert(t, run.readOK, qt.IsTrue)
}

// Each order in which views widen, narrow and lose a copy while a purchase and a
// read of the key are under way: at most one endpoint may have run the purchase,
// and the read ends somewhere.
func TestPlansOutliveChangesOfAHotKey(t *testing.T) {
	orders := 0
	var walk func(left [stepKinds]int, order []int)
	walk = func(left [stepKinds]int, order []int) {
		complete := true
		for kind, count := range left {
			if count > 0 {
				complete = false
				rest := left
				rest[kind]--
				walk(rest, append(order[:len(order):len(order)], kind))
			}
		}
		if !complete {
			return
		}
		run := newHotKeyRun(t)
		var made [stepKinds]int
		for _, kind := range order {
			run.step(kind, made[kind])
			made[kind]++
		}
		run.check()
		orders++
	}
	walk([stepKinds]int{viewStep: 3, purchaseStep: 4, readStep: 4, otherReadsStep: 1}, nil)
	t.Logf("%d orders", orders)
}
