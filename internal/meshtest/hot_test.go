package meshtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

// A crowd's rules: reads of a key, what is bought or paid under the same key,
// and short checks, all at one service.
func crowdRules(t *testing.T, key string) routeconfig.Config {
	t.Helper()
	d, err := routeconfig.Parse([]byte(fmt.Sprintf(`{"stamp":"r1","resourceList":[
{"variant":"bindingList","metadata":{"name":"read"},"specification":{"hostname":"a","pathPrefix":"/read/","bindingKind":"pure","timeoutS":4,"targetS":0.6,"rank":2,"serviceName":"s","maxAttempts":2%s}},
{"variant":"bindingList","metadata":{"name":"buy"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":4,"targetS":0.8,"rank":1,"serviceName":"s","maxAttempts":3%s}},
{"variant":"bindingList","metadata":{"name":"check"},"specification":{"hostname":"a","pathPrefix":"/check/","bindingKind":"pure","timeoutS":0.8,"targetS":0.25,"rank":1,"serviceName":"s","maxAttempts":2}},
{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}]}`, key, key)))
	qt.Assert(t, err, qt.IsNil)
	return d
}

const keyed = `,"hotKey":"path 1"`

type crowd struct {
	reads, buys, checks []time.Duration
	late, failed        map[string]int
	// busiest is how many of the crowd's reads one endpoint ran in a second, over
	// the mean of all endpoints.
	busiest float64
	homes   int
	widths  []int
	after   []*meshpb.HotKey
	twice   []string
	lost    []string
}

func p99(ds []time.Duration) time.Duration {
	s := slices.Sorted(slices.Values(ds))
	return s[len(s)*99/100]
}

// play sends a crowd to one key amid other reads, with purchases of the key and
// checks, while a master is replaced, a copy crashes and an endpoint leaves.
func play(t *testing.T, spread, trouble bool, rate func(s float64) float64) (c crowd) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 12
		var es []*Endpoint
		var dead sync.Map
		for i := range endpoints {
			id := fmt.Sprint("e", i)
			es = append(es, &Endpoint{ID: id, Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 6, ServiceTime: func(r *http.Request) time.Duration {
				if strings.HasPrefix(r.URL.Path, "/check/") {
					return 4 * time.Millisecond
				}
				return 30*time.Millisecond + time.Duration(len(r.Header.Get("X-Request-Id")))*time.Millisecond
			}, BreaksOff: func(*http.Request) bool {
				_, is := dead.Load(id)
				return is
			}})
		}
		m := New(es...)
		m.ApplyConfig(crowdRules(t, keyed))
		ctx, stop := context.WithCancel(context.Background())
		o := hotkeys.Options{SlotShare: 0.4, MaxKeys: 16, MaxWidth: 8, NarrowAfter: 3 * time.Second}
		if !spread {
			o.MaxKeys = 0
		}
		go m.TrackHotKeys(ctx, o, func(hs []*meshpb.HotKey) {
			w := 1
			for _, h := range hs {
				w = max(w, int(h.Width))
			}
			c.widths = append(c.widths, w)
		})
		rng := rand.New(rand.NewPCG(5, 5))
		var wg sync.WaitGroup
		var mu sync.Mutex
		c.late, c.failed = map[string]int{}, map[string]int{}
		bought := map[string]int{}
		call := func(kind, path string, aim time.Duration, to *[]time.Duration) {
			n := m.Nodes[rng.IntN(endpoints)]
			if n.Endpoint.ID == "e11" && kind == "buy" {
				n = m.Nodes[0]
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				method := "GET"
				if kind == "buy" {
					method = "POST"
				}
				g := m.Send(n, method, path, "", 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				*to = append(*to, g.Took)
				if kind == "buy" {
					bought[g.RequestID] = g.StatusCode
				}
				switch {
				case g.StatusCode != 200 || g.Failed:
					c.failed[kind]++
				case g.Took > aim:
					c.late[kind]++
				}
			}()
		}
		const span = 14.0
		t0 := time.Now()
		gap := 2 * time.Millisecond
		crashed := ""
		for time.Since(t0).Seconds() < span {
			s := time.Since(t0).Seconds()
			if rng.Float64() < rate(s)*gap.Seconds() {
				call("read", "/read/final/seats", 600*time.Millisecond, &c.reads)
			}
			if rng.Float64() < 0.25 {
				call("read", fmt.Sprintf("/read/other-%d/seats", rng.IntN(300)), 600*time.Millisecond, &c.reads)
			}
			if rng.Float64() < 0.12 {
				call("buy", "/buy/final/seat", 800*time.Millisecond, &c.buys)
			}
			if rng.Float64() < 0.3 {
				call("check", "/check/", 250*time.Millisecond, &c.checks)
			}
			if trouble {
				switch {
				case s > 4 && s < 4+gap.Seconds():
					m.ReplaceMaster()
				case crashed == "" && s > 5:
					// A copy's endpoint breaks off what it runs, then is gone.
					crashed = "e3"
					dead.Store(crashed, true)
				case s > 5.8 && s < 5.8+gap.Seconds():
					m.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone})
				case s > 7 && s < 7+gap.Seconds():
					m.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone, "e11": lifecycle.Draining})
				}
			}
			time.Sleep(gap)
		}
		wg.Wait()
		time.Sleep(20 * time.Second)
		c.after = m.HotKeys()
		stop()
		time.Sleep(time.Second)
		runs := m.Executions()
		per := map[string]map[int]int{}
		hot := map[string]bool{}
		total := 0
		for _, n := range m.Nodes {
			for _, x := range n.Endpoint.Executions() {
				if strings.HasPrefix(x.Path, "/read/final/") {
					sec := int(x.Start.Sub(t0).Seconds())
					if per[n.Endpoint.ID] == nil {
						per[n.Endpoint.ID] = map[int]int{}
					}
					per[n.Endpoint.ID][sec]++
					total++
					hot[n.Endpoint.ID] = true
				}
			}
		}
		most := 0
		for _, p := range per {
			for _, k := range p {
				most = max(most, k)
			}
		}
		c.homes = len(hot)
		c.busiest = float64(most) / (float64(total) / span / endpoints)
		for id, code := range bought {
			if n := len(runs[id]); n > 1 {
				c.twice = append(c.twice, id)
			} else if code == 200 && n != 1 || (code == 503 || code == 429) && n != 0 {
				c.lost = append(c.lost, id)
			}
		}
		m.Close()
		time.Sleep(time.Minute)
	})
	return c
}

func (c crowd) check(t *testing.T, aimReads time.Duration) {
	t.Helper()
	qt.Assert(t, c.twice, qt.HasLen, 0)
	qt.Assert(t, c.lost, qt.HasLen, 0)
	qt.Check(t, p99(c.checks) < 250*time.Millisecond, qt.IsTrue, qt.Commentf("checks: p99 %v", p99(c.checks)))
	qt.Check(t, p99(c.reads) < aimReads, qt.IsTrue, qt.Commentf("reads: p99 %v", p99(c.reads)))
	qt.Check(t, slices.Max(c.widths) > 2, qt.IsTrue, qt.Commentf("%v", c.widths))
	qt.Check(t, c.after, qt.HasLen, 0, qt.Commentf("width back to one"))
}

func onSale(s float64) float64 {
	if s < 2 || s > 11 {
		return 10
	}
	return 420
}

// A final goes on sale: its seat map is asked for at once, and stays hot while a
// master is replaced, a copy breaks off and an endpoint drains.
func TestFinalsOnSale(t *testing.T) {
	c := play(t, true, true, onSale)
	c.check(t, 600*time.Millisecond)
	off := play(t, false, true, onSale)
	qt.Assert(t, off.twice, qt.HasLen, 0)
	qt.Assert(t, off.after, qt.HasLen, 0)
	qt.Check(t, c.busiest < 6, qt.IsTrue, qt.Commentf("an endpoint ran %.1f times the mean", c.busiest))
	qt.Check(t, off.busiest > c.busiest, qt.IsTrue, qt.Commentf("%.1f spread, %.1f not", c.busiest, off.busiest))
	t.Logf("spread: widths %v, busiest endpoint %.1f times the mean, %d homes; reads p99 %v, purchases %v, checks %v; failed %v late %v", c.widths, c.busiest, c.homes, p99(c.reads), p99(c.buys), p99(c.checks), c.failed, c.late)
	t.Logf("not spread: busiest %.1f times the mean, %d homes; reads p99 %v, purchases %v, checks %v; failed %v late %v", off.busiest, off.homes, p99(off.reads), p99(off.buys), p99(off.checks), off.failed, off.late)
}

// Billing morning: a co-op's balance is asked for more and more, then less.
func TestBillingMorning(t *testing.T) {
	c := play(t, true, true, func(s float64) float64 {
		return 30 + 330*max(0, 1-(s-6)*(s-6)/25)
	})
	c.check(t, 600*time.Millisecond)
	t.Logf("widths %v, busiest endpoint %.1f times the mean; reads p99 %v, payments %v, checks %v; failed %v late %v", c.widths, c.busiest, p99(c.reads), p99(c.buys), p99(c.checks), c.failed, c.late)
}
