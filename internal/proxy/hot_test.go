package proxy

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

func hotView(version uint64, key uint64, width uint32, gone string) *meshpb.View {
	v := &meshpb.View{Epoch: 1, Version: version, Nodes: 1}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		if id != gone {
			v.Endpoints = append(v.Endpoints, &meshpb.Endpoint{Id: id, Service: "s", Inbound: "in-" + id, Node: "n-" + id, Zone: "z", Slots: 4, State: "up"})
		}
	}
	if width > 1 {
		v.HotKeys = []*meshpb.HotKey{{Key: key, Service: "s", Width: width}}
	}
	return v
}

func hotPools(now *int64) *Balancer {
	p := NewBalancer("z", 2, 5).SlowStart(time.Second)
	n := uint64(1)
	p.SetRandomAndClock(func() float64 { n = mix(n); return float64(n>>11) / (1 << 53) }, func() int64 { return *now })
	return p
}

func homes(p *Balancer, key uint64, n int) map[string]int {
	out := map[string]int{}
	for range n {
		if r := p.pick(want{service: "s", key: key}); r != nil {
			out[r.id]++
		}
	}
	return out
}

func TestCopiesComeInSlowlyAndLeaveAtOnce(t *testing.T) {
	now := int64(time.Hour)
	p := hotPools(&now)
	key := KeyHash("s", "final")
	p.ApplyView(hotView(1, key, 1, ""))
	one := homes(p, key, 500)
	qt.Assert(t, len(one), qt.Equals, 1)
	p.ApplyView(hotView(2, key, 3, ""))
	now += int64(100 * time.Millisecond)
	early := homes(p, key, 2000)
	now += int64(2 * time.Second)
	late := homes(p, key, 2000)
	qt.Assert(t, len(late), qt.Equals, 3)
	for id := range one {
		qt.Check(t, early[id] > 1500, qt.IsTrue, qt.Commentf("%v", early))
		qt.Check(t, late[id] < 1000, qt.IsTrue, qt.Commentf("%v", late))
	}
	p.ApplyView(hotView(3, key, 2, ""))
	now += int64(time.Second)
	for id := range homes(p, key, 500) {
		qt.Check(t, late[id] > 0, qt.IsTrue)
	}
	qt.Check(t, len(homes(p, key, 500)), qt.Equals, 2)
	// A copy that ends moves its reads alone.
	var gone string
	for id := range homes(p, key, 500) {
		gone = id
	}
	was := homes(p, key, 500)
	p.ApplyView(hotView(4, key, 2, gone))
	delete(was, gone)
	left := homes(p, key, 500)
	for id := range was {
		qt.Check(t, left[id] > 0, qt.IsTrue)
	}
}

func TestFullHomeSendsItsReadsTheOrdinaryWay(t *testing.T) {
	now := int64(time.Hour)
	p := hotPools(&now)
	key := KeyHash("s", "final")
	p.ApplyView(hotView(1, key, 1, ""))
	for _, r := range p.cur.Load().by["s"].all {
		for id := range homes(p, key, 1) {
			if r.id == id {
				r.mine.Store(4)
			}
		}
	}
	qt.Assert(t, len(homes(p, key, 500)) > 2, qt.IsTrue)
}

// Each order in which views widen, narrow and lose a copy, while a purchase and
// a read of the key run their course: the purchase arrives at one endpoint at
// most that may have run it, and the read ends somewhere.
func TestWidthsChangeAroundAPurchaseInFlight(t *testing.T) {
	key := KeyHash("s", "final")
	orders := 0
	var walk func(left [4]int, order []int)
	play := func(order []int) {
		now := int64(time.Hour)
		p := hotPools(&now)
		p.ApplyView(hotView(1, key, 1, ""))
		b := NewBudget(0.2, 400, 10*time.Second, func() int { return 1 }, func() time.Duration { return time.Duration(now) })
		now += int64(time.Minute)
		route := func(k routeconfig.RouteKind) *routeconfig.CompiledRoute {
			return &routeconfig.CompiledRoute{Route: routeconfig.Route{Kind: k, MaxAttempts: 3, LatencyTarget: time.Second}}
		}
		buy, read := NewAttemptPlan(p, b, route(routeconfig.KindEffectful), "s", false), NewAttemptPlan(p, b, route(routeconfig.KindPure), "s", false)
		buy.SetKey(key)
		read.SetKey(key)
		qt.Assert(t, buy.key, qt.Equals, uint64(0))
		views := []*meshpb.View{hotView(2, key, 4, ""), hotView(3, key, 4, "e2"), hotView(4, key, 1, "e2")}
		at := [4]int{}
		var buyAt, readAt *remote
		ran, ended, readRan := 0, false, false
		for _, th := range order {
			i := at[th]
			at[th]++
			now += int64(50 * time.Millisecond)
			switch th {
			case 0:
				p.ApplyView(views[i])
			case 1:
				// The purchase is bounced once, then its endpoint breaks off.
				if ended {
					continue
				}
				if i%2 == 0 {
					r, m := buy.next()
					if m != Send {
						ended = true
						continue
					}
					buyAt = r
					continue
				}
				res := bounced
				if i == 3 {
					res, ran = broken, ran+1
				}
				_, ended = buy.got(buyAt, res, false)
			case 2:
				if readRan {
					continue
				}
				if i%2 == 0 {
					r, m := read.next()
					qt.Assert(t, m, qt.Equals, Send)
					readAt = r
					continue
				}
				if i == 1 {
					_, done := read.got(readAt, broken, false)
					qt.Assert(t, done, qt.IsFalse)
					continue
				}
				readRan = true
			case 3:
				for id := range homes(p, key, 20) {
					qt.Assert(t, id == "e2" && p.find("s", "e2") == nil, qt.IsFalse)
				}
			}
		}
		// What may have run must not be sent on, whatever the views say.
		r, m := buy.next()
		if ran > 0 {
			qt.Assert(t, ended, qt.IsTrue)
			o, _ := buy.got(buyAt, broken, false)
			qt.Assert(t, buy.end(o, false), qt.Equals, lost)
		} else {
			qt.Assert(t, m != Send || r != nil, qt.IsTrue)
		}
		qt.Assert(t, ran <= 1, qt.IsTrue)
		qt.Assert(t, readRan, qt.IsTrue)
		orders++
	}
	walk = func(left [4]int, order []int) {
		done := true
		for th, n := range left {
			if n > 0 {
				done = false
				l := left
				l[th]--
				walk(l, append(order[:len(order):len(order)], th))
			}
		}
		if done {
			play(order)
		}
	}
	walk([4]int{3, 4, 4, 1}, nil)
	t.Logf("%d orders", orders)
}

func TestMeterCountsAWindowAndTellsTheHeaviest(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewKeyMeter(func() time.Time { return now })
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		m.Record(KeyHash("s", "final"), "read", "s", 40*time.Millisecond)
		m.Record(KeyHash("s", fmt.Sprint("other-", i)), "read", "s", 40*time.Millisecond)
	}
	ks, same := m.Rates()
	qt.Assert(t, same, qt.IsFalse)
	qt.Assert(t, len(ks) <= heaviest, qt.IsTrue)
	qt.Assert(t, ks[0].Key, qt.Equals, KeyHash("s", "final"))
	qt.Assert(t, ks[0].PerS > 700 && ks[0].PerS < 1400, qt.IsTrue, qt.Commentf("%v", ks[0].PerS))
	qt.Assert(t, len(m.seen) <= mostSeen, qt.IsTrue)
	_, same = m.Rates()
	qt.Assert(t, same, qt.IsTrue)
	now = now.Add(time.Minute)
	ks, _ = m.Rates()
	qt.Assert(t, ks, qt.HasLen, 0)
	qt.Assert(t, m.seen, qt.HasLen, 0)
}
