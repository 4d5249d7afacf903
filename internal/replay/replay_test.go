package replay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/meshtest"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const rules = `{"stamp":"r%d","resourceList":[
{"variant":"bindingList","metadata":{"name":"buy"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2,"sessionKey":"header X-Session"}},
{"variant":"bindingList","metadata":{"name":"pay"},"specification":{"hostname":"a","pathPrefix":"/pay/","bindingKind":"effectful","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":1}},
{"variant":"bindingList","metadata":{"name":"map"},"specification":{"hostname":"a","pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats","maxAttempts":2}},
{"variant":"bindingList","metadata":{"name":"up"},"specification":{"hostname":"a","pathPrefix":"/up/","bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats","maxAttempts":1}},
{"variant":"serviceList","metadata":{"name":"desk"},"specification":{"soundnessPath":"/h"}},
{"variant":"serviceList","metadata":{"name":"seats"},"specification":{"soundnessPath":"/h"}}]}`

var bars = Options{MaxMismatch: 0.02, MinCoverage: 0.9}

func doc(t *testing.T, version int, edits ...string) routeconfig.Config {
	t.Helper()
	s := fmt.Sprintf(rules, version)
	for i := 0; i < len(edits); i += 2 {
		n := strings.Replace(s, edits[i], edits[i+1], 1)
		qt.Assert(t, n == s, qt.IsFalse, qt.Commentf("%q is not there", edits[i]))
		s = n
	}
	d, err := routeconfig.Parse([]byte(s))
	qt.Assert(t, err, qt.IsNil)
	return d
}

// busy starts a mesh of six endpoints; broken tells which requests an endpoint
// runs and then gives no answer to.
func busy(broken func(r *http.Request) bool) *meshtest.Mesh {
	var es []*meshtest.Endpoint
	for i := range 6 {
		svc := "desk"
		if i >= 3 {
			svc = "seats"
		}
		es = append(es, &meshtest.Endpoint{ID: fmt.Sprint("e", i), Service: svc, Zone: "z", Slots: 4, BreaksOff: broken, ServiceTime: func(r *http.Request) time.Duration {
			return 20*time.Millisecond + time.Duration(len(r.Header.Get("X-Request-Id"))*7)*time.Millisecond
		}})
	}
	return meshtest.New(es...)
}

// carry sends n requests of all kinds and gives what user agents got, in the
// order that they were sent.
func carry(m *meshtest.Mesh, n int, seed uint64) []meshtest.Response {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]meshtest.Response, n)
	var wg sync.WaitGroup
	paths := []string{"/buy/", "/pay/", "/map/x", "/up/y", "/map/pay/z"}
	for i := range n {
		time.Sleep(time.Duration(5+rng.IntN(15)) * time.Millisecond)
		p := paths[rng.IntN(len(paths))]
		method, sess := "GET", ""
		if !strings.HasPrefix(p, "/map/") {
			method = "POST"
		}
		if p == "/buy/" {
			sess = fmt.Sprint("fan-", rng.IntN(12))
		}
		at := m.Nodes[rng.IntN(len(m.Nodes))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = m.Send(at, method, p, sess, 3*time.Second)
		}()
	}
	wg.Wait()
	return out
}

func everyTenth(path string) func(r *http.Request) bool {
	return func(r *http.Request) bool {
		return strings.HasPrefix(r.URL.Path, path) && strings.HasSuffix(r.Header.Get("X-Request-Id"), "7")
	}
}

// record carries traffic under the rules and gives the record.
func record(t *testing.T, broken func(*http.Request) bool, n int) (c *meshpb.ReplayFile) {
	synctest.Test(t, func(t *testing.T) {
		m := busy(broken)
		m.ApplyConfig(doc(t, 1))
		carry(m, n, 3)
		c = m.Recording()
		m.Close()
		time.Sleep(time.Minute)
	})
	var b bytes.Buffer
	qt.Assert(t, Write(&b, c), qt.IsNil)
	x, err := Parse(b.Bytes())
	qt.Assert(t, err, qt.IsNil)
	return x
}

func play(t *testing.T, c *meshpb.ReplayFile, d routeconfig.Config) *Report {
	t.Helper()
	r, err := Simulate(c, Scenario{Config: &d, Seed: 1}, bars)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Usable, qt.IsTrue, qt.Commentf("control is off by %v", r.ControlMismatch))
	return r
}

// with gives the requests that have a verdict, and those that the record says
// should.
func with(r *Report, v Verdict) (out []string) {
	for _, l := range r.ChangedRequests {
		if slices.Contains(l.Verdicts, v) {
			out = append(out, l.ID)
		}
	}
	slices.Sort(out)
	return out
}

func tickets(c *meshpb.ReplayFile, f func(*meshpb.RequestRecord) bool) (out []string) {
	for _, n := range c.Nodes {
		for _, t := range n.Records {
			if f(t) {
				out = append(out, t.Id)
			}
		}
	}
	slices.Sort(out)
	return out
}

func unsure(t *meshpb.RequestRecord) bool {
	return len(t.Attempts) > 0 && t.Attempts[0].Outcome == "unsure"
}

func TestWrongRulesAreFoundWithExactlyTheirRequests(t *testing.T) {
	c := record(t, everyTenth("/pay/"), 400)
	hit := tickets(c, func(x *meshpb.RequestRecord) bool { return x.Route == "pay" && unsure(x) })
	qt.Assert(t, len(hit) > 3, qt.IsTrue)

	pure := []string{`"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/pay/","bindingKind":"pure"`}
	r := play(t, c, doc(t, 2, pure...))
	qt.Assert(t, len(with(r, VerdictDuplicated)), qt.Equals, 0, qt.Commentf("one attempt can't double"))
	raised := append(pure, `"bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":1`,
		`"bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":3`)
	r = play(t, c, doc(t, 2, raised...))
	qt.Assert(t, with(r, VerdictDuplicated), qt.DeepEquals, hit)
	qt.Assert(t, r.SevereCount() >= len(hit), qt.IsTrue)
	for _, l := range r.ChangedRequests {
		if slices.Contains(l.Verdicts, VerdictDuplicated) {
			qt.Assert(t, l.Old.Kind, qt.Equals, "effectful")
			qt.Assert(t, l.Basis, qt.Equals, BasisModel)
		}
	}

	r = play(t, c, doc(t, 2, `"pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":2`, `"pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":0.01`))
	qt.Assert(t, with(r, VerdictLost), qt.DeepEquals, tickets(c, func(x *meshpb.RequestRecord) bool { return x.Route == "buy" }))
	qt.Assert(t, with(r, VerdictLate), qt.DeepEquals, with(r, VerdictLost))

	r = play(t, c, doc(t, 2, `"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/map/pay/","bindingKind":"effectful"`))
	swallowed := tickets(c, func(x *meshpb.RequestRecord) bool { return strings.HasPrefix(x.Target, "/map/pay/") })
	qt.Assert(t, with(r, VerdictRerouted), qt.DeepEquals, swallowed)
	var dropped []string
	for _, l := range r.ChangedRequests {
		if slices.Contains(l.Verdicts, VerdictRejected) {
			qt.Assert(t, l.New.Code, qt.Equals, 404)
			dropped = append(dropped, l.ID)
		}
	}
	slices.Sort(dropped)
	qt.Assert(t, dropped, qt.DeepEquals, tickets(c, func(x *meshpb.RequestRecord) bool { return x.Route == "pay" && x.Code == 200 }))

	r = play(t, c, doc(t, 2, `"bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats"`,
		`"bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"weightedSplit":[{"serviceName":"seats","share":0},{"serviceName":"desk","share":1}]`))
	qt.Assert(t, with(r, VerdictRerouted), qt.DeepEquals, tickets(c, func(x *meshpb.RequestRecord) bool { return x.Route == "up" }))
}

func TestHarmlessChangeShowsNothing(t *testing.T) {
	c := record(t, everyTenth("/pay/"), 300)
	r := play(t, c, doc(t, 2, `"timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2`, `"timeoutS":1.9,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2`,
		`{"variant":"serviceList","metadata":{"name":"desk"}`, `{"variant":"bindingList","metadata":{"name":"new"},"specification":{"hostname":"b","pathPrefix":"/","bindingKind":"pure","serviceName":"desk"}},
{"variant":"serviceList","metadata":{"name":"desk"}`, `"metadata":{"name":"buy"}`, `"metadata":{"name":"purchase"}`))
	qt.Assert(t, r.ChangedRequests, qt.HasLen, 0, qt.Commentf("%s", r.Text(Filter{}, 10)))
	qt.Assert(t, r.SevereCount(), qt.Equals, 0)
	qt.Assert(t, r.ControlMismatch, qt.Equals, 0.0)
	qt.Assert(t, len(r.SessionMoves), qt.Equals, 0)
	qt.Assert(t, r.Sessions > 0, qt.IsTrue)
}

func TestOneSeedGivesOneReport(t *testing.T) {
	c := record(t, everyTenth("/"), 200)
	d := doc(t, 2, `"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/pay/","bindingKind":"pure"`)
	a, b := play(t, c, d), play(t, c, d)
	qt.Assert(t, a.Text(Filter{}, 1000), qt.Equals, b.Text(Filter{}, 1000))
}

func TestFewerRetriesAreForetold(t *testing.T) {
	c := record(t, everyTenth("/map/"), 300)
	hit := tickets(c, func(x *meshpb.RequestRecord) bool { return x.Route == "map" && unsure(x) && x.Code == 200 })
	r, err := Simulate(c, Scenario{Retries: &RetrySettings{Window: time.Second}, Seed: 1}, bars)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, with(r, VerdictMissedTarget), qt.DeepEquals, hit)
}

// What the replay foretells of a change is compared with what the same traffic
// meets once the change is in force.
func TestForetoldIsWhatHappens(t *testing.T) {
	change := []string{`"pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats"`,
		`"pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"weightedSplit":[{"serviceName":"seats","share":50},{"serviceName":"desk","share":50}]`,
		`"pathPrefix":"/up/","bindingKind":"upload","timeoutS":2`, `"pathPrefix":"/up/","bindingKind":"upload","timeoutS":0.03`}
	var c *meshpb.ReplayFile
	var gots []meshtest.Response
	var lates, asks, else_ int
	synctest.Test(t, func(t *testing.T) {
		m := busy(nil)
		m.ApplyConfig(doc(t, 1))
		carry(m, 400, 9)
		c = m.Recording()
		m.ApplyConfig(doc(t, 2, change...))
		gots = carry(m, 400, 9)
		for _, n := range m.Recording().Nodes {
			for _, x := range n.Records {
				if x.Config != 2 {
					continue
				}
				switch x.Route {
				case "up":
					asks++
					if x.Code == 504 {
						lates++
					}
				case "map":
					if x.Service == "desk" {
						else_++
					}
				}
			}
		}
		for id, rs := range m.Executions() {
			qt.Check(t, len(rs), qt.Equals, 1, qt.Commentf("%s", id))
		}
		m.Close()
		time.Sleep(time.Minute)
	})
	r := play(t, c, doc(t, 2, change...))
	qt.Assert(t, asks > 40, qt.IsTrue)
	qt.Assert(t, lates, qt.Equals, asks)
	qt.Assert(t, r.Verdicts[VerdictLost], qt.Equals, lates)
	n := r.Verdicts[VerdictRerouted]
	d := float64(n - else_)
	qt.Assert(t, d*d <= 9*float64(n), qt.IsTrue, qt.Commentf("foretold %d sent elsewhere, %d were", n, else_))
	qt.Assert(t, len(gots), qt.Equals, 400)
	t.Logf("uploads past their time: foretold %d, happened %d; lookups sent elsewhere: foretold %d, happened %d", r.Verdicts[VerdictLost], lates, n, else_)
}

func TestCallsAreJoinedToTheRequestThatMadeThem(t *testing.T) {
	v := &meshpb.View{Epoch: 1, Version: 1, Endpoints: []*meshpb.Endpoint{{Id: "e0", Node: "n0", Service: "s", State: "up", Inbound: "i", Slots: 2}}}
	ticket := func(id string, at, due int64, d ...*meshpb.Attempt) *meshpb.RequestRecord {
		return &meshpb.RequestRecord{Id: id, AtUs: at, DeadlineUs: due, DueUs: due, Attempts: d}
	}
	c := &meshpb.ReplayFile{Views: []*meshpb.View{v}, Nodes: []*meshpb.RequestRecordsResponse{
		{Node: "n1", Records: []*meshpb.RequestRecord{ticket("p", 0, 2_000_000, &meshpb.Attempt{Endpoint: "e0", AtUs: 1000, TookUs: 300_000, Outcome: "ran"}),
			ticket("q", 0, 1_000_000, &meshpb.Attempt{Endpoint: "e0", AtUs: 1000, TookUs: 300_000, Outcome: "ran"})}},
		{Node: "n0", Records: []*meshpb.RequestRecord{ticket("call", 100_000, 1_893_000), ticket("other", 100_000, 500_000)}},
	}}
	for range 4 {
		c.Nodes[1].Records = append(c.Nodes[1].Records, ticket("own", 100_000, 1_897_000))
	}
	ps := findParents(c, endpointNodes(c))
	qt.Assert(t, len(ps), qt.Equals, 1)
	for k, p := range ps {
		qt.Assert(t, k.Id+" of "+p.Id, qt.Equals, "call of p")
	}
}

func TestBadFilesGetAClearWord(t *testing.T) {
	c := record(t, nil, 20)
	var b bytes.Buffer
	qt.Assert(t, Write(&b, c), qt.IsNil)
	whole := b.Bytes()
	changed := slices.Clone(whole)
	changed[len(changed)-3] ^= 1
	inside := slices.Clone(whole)
	inside[len(inside)/2] ^= 1
	var empty bytes.Buffer
	Write(&empty, &meshpb.ReplayFile{})
	for want, in := range map[string][]byte{
		"cut short":       whole[:len(whole)/2],
		"checksum":        changed,
		"was changed":     inside,
		"no file":         []byte("PK\x03\x04 something"),
		"another version": []byte("corkcove replay 9\nxx"),
		"empty":           empty.Bytes(),
	} {
		_, err := Parse(in)
		qt.Assert(t, err, qt.ErrorMatches, ".*"+want+".*")
	}
	for i := range len(whole) {
		_, err := Parse(whole[:i])
		qt.Assert(t, err, qt.IsNotNil)
	}
	_, err := ReadFile(t.TempDir() + "/none")
	qt.Assert(t, os.IsNotExist(err) || err != nil, qt.IsTrue)
}
