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

// sessionConfigTemplate takes the version, the name and timeout of the route and its
// weighted split.
const sessionConfigTemplate = `{"stamp":"r%d","resourceList":[
{"variant":"bindingList","metadata":{"name":"%s"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":%v,"targetS":1.5,"rank":1,"weightedSplit":[%s],"maxAttempts":2,"sessionKey":"header X-Session"}},
{"variant":"serviceList","metadata":{"name":"desk"},"specification":{"soundnessPath":"/h"}},
{"variant":"serviceList","metadata":{"name":"other"},"specification":{"soundnessPath":"/h"}}]}`

const (
	splitBetweenServices = `{"serviceName":"desk","share":80},{"serviceName":"other","share":20}`
	splitShifted         = `{"serviceName":"desk","share":30},{"serviceName":"other","share":70}`
	splitToOneService    = `{"serviceName":"desk","share":100}`
)

// sessionConfig returns a configuration with one route, whose sessions are keyed by
// the X-Session header.
func sessionConfig(t *testing.T, version int, name string, timeout float64, split string) routeconfig.Config {
	config, err := routeconfig.Parse(fmt.Appendf(nil, sessionConfigTemplate, version, name, timeout, split))
	qt.Assert(t, err, qt.IsNil)
	return config
}

// newSessionMesh returns a mesh with endpoints e0 to e4 of service desk and e5 to e7
// of service other, in two zones.
func newSessionMesh() *Mesh {
	var endpoints []*Endpoint
	for i := range 8 {
		service := "desk"
		if i >= 5 {
			service = "other"
		}
		endpoints = append(endpoints, &Endpoint{ID: fmt.Sprint("e", i), Service: service, Zone: fmt.Sprint("z", i%2), Slots: 12, ServiceTime: func(r *http.Request) time.Duration { return 60 * time.Millisecond }})
	}
	return New(endpoints...)
}

// sentRequest is a request of a session and its response.
type sentRequest struct {
	session  string
	response Response
}

// sendPurchases sends the purchases of concurrent sessions, those of each session one
// after the other through random nodes, and calls duringTraffic after 1.5 s. A
// purchase that is refused with status 503 is sent again up to three times. It
// returns all requests.
func sendPurchases(m *Mesh, sessions, perSession int, duringTraffic func()) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var wg sync.WaitGroup
	for session := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(uint64(session), 5))
			name := fmt.Sprint("fan-", session)
			for range perSession {
				time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
				for range 4 {
					response := m.Send(m.RandomNode(rng.IntN), "POST", "/buy/", name, 3*time.Second)
					mu.Lock()
					sent = append(sent, sentRequest{name, response})
					mu.Unlock()
					if response.StatusCode != http.StatusServiceUnavailable {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	duringTraffic()
	wg.Wait()
	return sent
}

// assertExecutions checks the responses against the executions: each request ran at
// most once, a 200 names the endpoint that ran it, a request answered with 503 did
// not run, and executions of one session do not overlap. It returns the executions by
// session, in order of their start.
func assertExecutions(t *testing.T, m *Mesh, sent []sentRequest) map[string][]Execution {
	bySession := map[string][]Execution{}
	byRequest := m.Executions()
	for id, executions := range byRequest {
		qt.Assert(t, len(executions), qt.Equals, 1, qt.Commentf("request %s ran %v", id, executions))
		bySession[executions[0].Session] = append(bySession[executions[0].Session], executions[0])
	}
	for _, request := range sent {
		n := len(byRequest[request.response.RequestID])
		switch request.response.StatusCode {
		case http.StatusOK:
			qt.Assert(t, n, qt.Equals, 1)
			qt.Assert(t, request.response.Body, qt.Equals, byRequest[request.response.RequestID][0].Endpoint)
		case http.StatusServiceUnavailable:
			qt.Assert(t, n, qt.Equals, 0, qt.Commentf("request %s ran although it was answered with status 503", request.response.RequestID))
			qt.Assert(t, request.response.RetryAfter, qt.Not(qt.Equals), "")
		default:
			t.Fatalf("request %s of session %s: unexpected status %d after %v", request.response.RequestID, request.session, request.response.StatusCode, request.response.Latency)
		}
	}
	for _, executions := range bySession {
		slices.SortFunc(executions, func(a, b Execution) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(executions); i++ {
			qt.Assert(t, executions[i].Start.Before(executions[i-1].End), qt.IsFalse, qt.Commentf("executions of one session overlap: %v, %v", executions[i-1], executions[i]))
		}
	}
	return bySession
}

// collectSessionReports merges the session reports of all nodes. open has the
// endpoint of each session as of its latest use, and moves its move since the given
// configuration version as "from to reason", both by session key.
func collectSessionReports(m *Mesh, since uint64) (open map[string]string, moves map[string]string) {
	open, moves = map[string]string{}, map[string]string{}
	used := map[string]int64{}
	for _, n := range m.Nodes {
		sessions, moved, _ := n.Sessions.Report(since)
		for _, move := range moved {
			moves[move.Key] = move.From + " " + move.To + " " + move.Why
		}
		for _, session := range sessions {
			if session.UsedUs >= used[session.Key] {
				used[session.Key], open[session.Key] = session.UsedUs, session.Endpoint
			}
		}
	}
	return open, moves
}

// sessionKey returns the key of the session with the given X-Session header.
func sessionKey(name string) string { return affinity.SessionKey("header X-Session", name) }

// Sessions must stay at their endpoints while the weighted split, the name and the
// timeout of their route change and an endpoint is added.
func TestConfigChangeMovesNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSessionMesh()
		m.ApplyConfig(sessionConfig(t, 1, "buy", 4, splitBetweenServices))
		sent := sendPurchases(m, 60, 12, func() {
			m.ApplyConfig(sessionConfig(t, 2, "buy", 4, splitShifted))
			time.Sleep(300 * time.Millisecond)
			n := m.AddNode(&Endpoint{ID: "e9", Service: "desk", Zone: "z0", Slots: 12, ServiceTime: func(*http.Request) time.Duration { return 60 * time.Millisecond }})
			n.Routes.Store(m.Nodes[0].Routes.Load())
			m.PublishView(nil)
			m.ApplyConfig(sessionConfig(t, 3, "purchase", 2.5, splitShifted))
		})
		bySession := assertExecutions(t, m, sent)
		qt.Assert(t, len(bySession), qt.Equals, 60)
		open, moves := collectSessionReports(m, 2)
		qt.Assert(t, len(moves), qt.Equals, 0)
		used := map[string]bool{}
		for name, executions := range bySession {
			for _, r := range executions {
				qt.Assert(t, r.Endpoint, qt.Equals, executions[0].Endpoint, qt.Commentf("%s moved", name))
			}
			qt.Assert(t, len(executions), qt.Equals, 12)
			qt.Assert(t, open[sessionKey(name)], qt.Equals, executions[0].Endpoint)
			used[executions[0].Endpoint] = true
		}
		qt.Assert(t, len(used) > 5, qt.IsTrue)
		m.Close()
		time.Sleep(time.Minute)
	})
}

// Each session of a draining endpoint must move exactly once and must not start a
// request there more than 10 ms after the drain began. Other sessions must not move.
func TestOnlySessionsOfDrainingEndpointMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSessionMesh()
		m.ApplyConfig(sessionConfig(t, 1, "buy", 4, splitToOneService))
		var drainedAt time.Time
		sent := sendPurchases(m, 60, 14, func() {
			m.ApplyConfig(sessionConfig(t, 2, "buy", 3, splitToOneService))
			drainedAt = time.Now()
			n := m.Nodes[1]
			n.Agent.Deregister("e1")
			time.Sleep(120 * time.Millisecond)
			m.PublishView(map[string]lifecycle.State{"e1": lifecycle.Draining})
			time.Sleep(2 * time.Second)
			m.PublishView(map[string]lifecycle.State{"e1": lifecycle.Gone})
		})
		bySession := assertExecutions(t, m, sent)
		open, moves := collectSessionReports(m, 2)
		moved := 0
		for name, executions := range bySession {
			first, last := executions[0].Endpoint, executions[len(executions)-1].Endpoint
			key := sessionKey(name)
			if first != "e1" {
				for _, r := range executions {
					qt.Assert(t, r.Endpoint, qt.Equals, first, qt.Commentf("%s moved", name))
				}
				qt.Assert(t, moves[key], qt.Equals, "")
				continue
			}
			moved++
			sessionMoves := 0
			for i, r := range executions {
				if i > 0 && r.Endpoint != executions[i-1].Endpoint {
					sessionMoves++
				}
				qt.Assert(t, r.Endpoint == "e1" && r.Start.After(drainedAt.Add(10*time.Millisecond)), qt.IsFalse)
			}
			qt.Assert(t, sessionMoves, qt.Equals, 1)
			qt.Assert(t, moves[key], qt.Equals, "e1 "+last+" "+affinity.ReasonDrain)
			qt.Assert(t, open[key], qt.Equals, last)
		}
		qt.Assert(t, moved > 3, qt.IsTrue)
		qt.Assert(t, len(moves), qt.Equals, moved)
		m.Close()
		time.Sleep(time.Minute)
	})
}

// Requests of a session must wait for the endpoint that it is pinned to, or be refused
// with status 503, and never run at another one.
func TestSessionWaitsForItsBusyEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSessionMesh()
		m.ApplyConfig(sessionConfig(t, 1, "buy", 4, splitToOneService))
		first := m.Send(m.Nodes[0], "POST", "/buy/", "one", 3*time.Second)
		var wg sync.WaitGroup
		codes := map[int]int{}
		var mu sync.Mutex
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				response := m.Send(m.Nodes[i%8], "POST", "/buy/", "one", 3*time.Second)
				mu.Lock()
				codes[response.StatusCode]++
				if response.StatusCode == 200 {
					qt.Check(t, response.Body, qt.Equals, first.Body)
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

// A route without a session key must ignore the X-Session header.
func TestRouteWithoutSessionKeyPinsNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSessionMesh()
		text := string(fmt.Appendf(nil, sessionConfigTemplate, 1, "buy", 4.0, splitToOneService))
		config, err := routeconfig.Parse([]byte(strings.Replace(text, `,"sessionKey":"header X-Session"`, "", 1)))
		qt.Assert(t, err, qt.IsNil)
		m.ApplyConfig(config)
		for i := range 20 {
			qt.Assert(t, m.Send(m.Nodes[i%8], "POST", "/buy/", "one", 3*time.Second).StatusCode, qt.Equals, 200)
		}
		open, _ := collectSessionReports(m, 0)
		qt.Assert(t, len(open), qt.Equals, 0)
		m.Close()
		time.Sleep(time.Minute)
	})
}
