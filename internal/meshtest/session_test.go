package meshtest

import (
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

	"corkcove/internal/affinity"
	"corkcove/internal/lifecycle"
	"corkcove/internal/routeconfig"
)

const rules = `{"stamp":"r%d","resourceList":[
{"variant":"bindingList","metadata":{"name":"%s"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":%v,"targetS":1.5,"rank":1,"weightedSplit":[%s],"maxAttempts":2,"sessionKey":"header X-Session"}},
{"variant":"serviceList","metadata":{"name":"desk"},"specification":{"soundnessPath":"/h"}},
{"variant":"serviceList","metadata":{"name":"other"},"specification":{"soundnessPath":"/h"}}]}`

const (
	both  = `{"serviceName":"desk","share":80},{"serviceName":"other","share":20}`
	swung = `{"serviceName":"desk","share":30},{"serviceName":"other","share":70}`
	alone = `{"serviceName":"desk","share":100}`
)

func doc(t *testing.T, version int, name string, timeout float64, split string) routeconfig.Config {
	d, err := routeconfig.Parse(fmt.Appendf(nil, rules, version, name, timeout, split))
	qt.Assert(t, err, qt.IsNil)
	return d
}

func house() *Mesh {
	var es []*Endpoint
	for i := range 8 {
		svc := "desk"
		if i >= 5 {
			svc = "other"
		}
		es = append(es, &Endpoint{ID: fmt.Sprint("e", i), Service: svc, Zone: fmt.Sprint("z", i%2), Slots: 12, ServiceTime: func(r *http.Request) time.Duration { return 60 * time.Millisecond }})
	}
	return New(es...)
}

type seen struct {
	session string
	at      time.Time
	got     Response
}

// rush lets fans buy one seat after the other, each time at another node, while
// then runs in the middle of it.
func rush(m *Mesh, fans, buys int, then func()) []seen {
	var mu sync.Mutex
	var out []seen
	var wg sync.WaitGroup
	for f := range fans {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(uint64(f), 5))
			name := fmt.Sprint("fan-", f)
			for range buys {
				time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
				for range 4 {
					t0 := time.Now()
					g := m.Send(m.PickNode(rng.IntN), "POST", "/buy/", name, 3*time.Second)
					mu.Lock()
					out = append(out, seen{name, t0, g})
					mu.Unlock()
					if g.StatusCode != http.StatusServiceUnavailable {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	then()
	wg.Wait()
	return out
}

// places gives the instances of each session in the order of its runs.
func places(t *testing.T, m *Mesh, all []seen) map[string][]Execution {
	by := map[string][]Execution{}
	runs := m.Executions()
	for id, rs := range runs {
		qt.Assert(t, len(rs), qt.Equals, 1, qt.Commentf("request %s ran at %v", id, rs))
		by[rs[0].Session] = append(by[rs[0].Session], rs[0])
	}
	for _, s := range all {
		n := len(runs[s.got.RequestID])
		switch s.got.StatusCode {
		case http.StatusOK:
			qt.Assert(t, n, qt.Equals, 1)
			qt.Assert(t, s.got.Body, qt.Equals, runs[s.got.RequestID][0].Endpoint)
		case http.StatusServiceUnavailable:
			qt.Assert(t, n, qt.Equals, 0, qt.Commentf("a promise that was not kept"))
			qt.Assert(t, s.got.RetryAfter, qt.Not(qt.Equals), "")
		default:
			t.Fatalf("request %s of %s got %d after %v", s.got.RequestID, s.session, s.got.StatusCode, s.got.Took)
		}
	}
	for _, rs := range by {
		slices.SortFunc(rs, func(a, b Execution) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(rs); i++ {
			qt.Assert(t, rs[i].Start.Before(rs[i-1].End), qt.IsFalse, qt.Commentf("one session ran at two instances at once"))
		}
	}
	return by
}

// report joins what the nodes say of sessions.
func report(m *Mesh, since uint64) (open map[string]string, moves map[string]string) {
	open, moves = map[string]string{}, map[string]string{}
	used := map[string]int64{}
	for _, n := range m.Nodes {
		ss, ms, _ := n.Sessions.Report(since)
		for _, x := range ms {
			moves[x.Key] = x.From + " " + x.To + " " + x.Why
		}
		for _, s := range ss {
			if s.UsedUs >= used[s.Key] {
				used[s.Key], open[s.Key] = s.UsedUs, s.Endpoint
			}
		}
	}
	return open, moves
}

func sessionKey(name string) string { return affinity.SessionKey("header X-Session", name) }

func TestChangeAmidThePeakMovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := house()
		m.ApplyConfig(doc(t, 1, "buy", 4, both))
		all := rush(m, 60, 12, func() {
			m.ApplyConfig(doc(t, 2, "buy", 4, swung))
			time.Sleep(300 * time.Millisecond)
			n := m.AddNode(&Endpoint{ID: "e9", Service: "desk", Zone: "z0", Slots: 12, ServiceTime: func(*http.Request) time.Duration { return 60 * time.Millisecond }})
			n.Routes.Store(m.Nodes[0].Routes.Load())
			m.PublishView(nil)
			m.ApplyConfig(doc(t, 3, "purchase", 2.5, swung))
		})
		by := places(t, m, all)
		qt.Assert(t, len(by), qt.Equals, 60)
		open, moves := report(m, 2)
		qt.Assert(t, len(moves), qt.Equals, 0)
		used := map[string]bool{}
		for name, rs := range by {
			for _, r := range rs {
				qt.Assert(t, r.Endpoint, qt.Equals, rs[0].Endpoint, qt.Commentf("%s moved", name))
			}
			qt.Assert(t, len(rs), qt.Equals, 12)
			qt.Assert(t, open[sessionKey(name)], qt.Equals, rs[0].Endpoint)
			used[rs[0].Endpoint] = true
		}
		qt.Assert(t, len(used) > 5, qt.IsTrue)
		m.Close()
		time.Sleep(time.Minute)
	})
}

func TestOnlyTheSessionsOfADrainedInstanceMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := house()
		m.ApplyConfig(doc(t, 1, "buy", 4, alone))
		var at time.Time
		all := rush(m, 60, 14, func() {
			m.ApplyConfig(doc(t, 2, "buy", 3, alone))
			at = time.Now()
			n := m.Nodes[1]
			n.Agent.Deregister("e1")
			time.Sleep(120 * time.Millisecond)
			m.PublishView(map[string]lifecycle.State{"e1": lifecycle.Draining})
			time.Sleep(2 * time.Second)
			m.PublishView(map[string]lifecycle.State{"e1": lifecycle.Gone})
		})
		by := places(t, m, all)
		open, moves := report(m, 2)
		moved := 0
		for name, rs := range by {
			first, last := rs[0].Endpoint, rs[len(rs)-1].Endpoint
			k := sessionKey(name)
			if first != "e1" {
				for _, r := range rs {
					qt.Assert(t, r.Endpoint, qt.Equals, first, qt.Commentf("%s moved", name))
				}
				qt.Assert(t, moves[k], qt.Equals, "")
				continue
			}
			moved++
			hops := 0
			for i, r := range rs {
				if i > 0 && r.Endpoint != rs[i-1].Endpoint {
					hops++
				}
				qt.Assert(t, r.Endpoint == "e1" && r.Start.After(at.Add(10*time.Millisecond)), qt.IsFalse)
			}
			qt.Assert(t, hops, qt.Equals, 1)
			qt.Assert(t, moves[k], qt.Equals, "e1 "+last+" "+affinity.ReasonDrain)
			qt.Assert(t, open[k], qt.Equals, last)
		}
		qt.Assert(t, moved > 3, qt.IsTrue)
		qt.Assert(t, len(moves), qt.Equals, moved)
		m.Close()
		time.Sleep(time.Minute)
	})
}

func TestBusyInstanceIsWaitedForNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := house()
		m.ApplyConfig(doc(t, 1, "buy", 4, alone))
		first := m.Send(m.Nodes[0], "POST", "/buy/", "one", 3*time.Second)
		var wg sync.WaitGroup
		codes := map[int]int{}
		var mu sync.Mutex
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				g := m.Send(m.Nodes[i%8], "POST", "/buy/", "one", 3*time.Second)
				mu.Lock()
				codes[g.StatusCode]++
				if g.StatusCode == 200 {
					qt.Check(t, g.Body, qt.Equals, first.Body)
				}
				mu.Unlock()
			}()
		}
		wg.Wait()
		qt.Assert(t, codes[200] > 24, qt.IsTrue, qt.Commentf("%v", codes))
		qt.Assert(t, codes[200]+codes[503], qt.Equals, 60)
		for _, n := range m.Nodes {
			if n.Endpoint.ID != first.Body {
				qt.Assert(t, len(n.Endpoint.Executions()), qt.Equals, 0)
			}
		}
		m.Close()
		time.Sleep(time.Minute)
	})
}

func TestBindingsWithoutAKeyAskNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := house()
		s := string(fmt.Appendf(nil, rules, 1, "buy", 4.0, alone))
		d, err := routeconfig.Parse([]byte(strings.Replace(s, `,"sessionKey":"header X-Session"`, "", 1)))
		qt.Assert(t, err, qt.IsNil)
		m.ApplyConfig(d)
		for i := range 20 {
			qt.Assert(t, m.Send(m.Nodes[i%8], "POST", "/buy/", "one", 3*time.Second).StatusCode, qt.Equals, 200)
		}
		open, _ := report(m, 0)
		qt.Assert(t, len(open), qt.Equals, 0)
		m.Close()
		time.Sleep(time.Minute)
	})
}
