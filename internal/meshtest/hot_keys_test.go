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

const (
	// peakEndpoints is the number of endpoints, and of nodes.
	peakEndpoints = 12
	// peakSeconds is the time in seconds during which requests are sent.
	peakSeconds = 14.0
	// roundInterval is the interval between rounds of requests.
	roundInterval = 2 * time.Millisecond
	// hotPath is the path prefix of the reads of the hot key.
	hotPath = "/read/final/"

	// The latency targets of the routes in hotKeyConfig.
	readTarget     = 600 * time.Millisecond
	purchaseTarget = 800 * time.Millisecond
	checkTarget    = 250 * time.Millisecond
)

// hotKeyConfig returns a configuration with three routes to one service: reads and
// purchases, which share a hot key, and short checks without one.
func hotKeyConfig(t *testing.T) routeconfig.Config {
	t.Helper()
	config, err := routeconfig.Parse([]byte(`{"stamp":"r1","resourceList":[
{"variant":"bindingList","metadata":{"name":"read"},"specification":{"hostname":"a","pathPrefix":"/read/","bindingKind":"pure","timeoutS":4,"targetS":0.6,"rank":2,"serviceName":"s","maxAttempts":2,"hotKey":"path 1"}},
{"variant":"bindingList","metadata":{"name":"buy"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":4,"targetS":0.8,"rank":1,"serviceName":"s","maxAttempts":3,"hotKey":"path 1"}},
{"variant":"bindingList","metadata":{"name":"check"},"specification":{"hostname":"a","pathPrefix":"/check/","bindingKind":"pure","timeoutS":0.8,"targetS":0.25,"rank":1,"serviceName":"s","maxAttempts":2}},
{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}]}`))
	qt.Assert(t, err, qt.IsNil)
	return config
}

// peakResult summarizes the requests of a peak.
type peakResult struct {
	// reads, buys and checks are the latencies by kind of request.
	reads, buys, checks []time.Duration
	// late counts requests that missed their latency target, and failed those
	// without a complete response of status 200, by kind.
	late, failed map[string]int
	// peakToMeanReads is the largest number of reads of the hot key that one
	// endpoint ran in one second, divided by the mean over all endpoints and
	// seconds.
	peakToMeanReads float64
	// readingEndpoints is the number of endpoints that ran reads of the hot key.
	readingEndpoints int
	// maxWidths has the largest width after each change of widths.
	maxWidths []int
	// finalHotKeys has the hot keys that remain at the end.
	finalHotKeys []*meshpb.HotKey
	// duplicated has the IDs of purchases that ran more than once. misreported has
	// those that ran although they were refused with status 429 or 503, or that did
	// not run although they succeeded.
	duplicated  []string
	misreported []string
}

// p99 returns the 99th percentile of latencies.
func p99(latencies []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[len(sorted)*99/100]
}

// peak sends many reads of one key among other requests, while the master is
// replaced, one endpoint crashes and another one drains.
type peak struct {
	mesh   *Mesh
	random *rand.Rand
	start  time.Time
	// crashed has the IDs of endpoints that close the connection instead of
	// responding.
	crashed  sync.Map
	requests sync.WaitGroup

	// mu guards the fields below while requests are in flight, except for
	// result.maxWidths, which only the goroutine of TrackHotKeys appends to.
	mu     sync.Mutex
	result peakResult
	// purchases has the status code of each purchase by request ID.
	purchases map[string]int
}

// simulatePeak runs a peak in which the hot key is read rate(s) times per second at
// s seconds after the start. spread enables spreading of hot keys over several
// endpoints.
func simulatePeak(t *testing.T, spread bool, rate func(s float64) float64) peakResult {
	var result peakResult
	synctest.Test(t, func(t *testing.T) {
		p := &peak{random: rand.New(rand.NewPCG(5, 5)), purchases: map[string]int{}, result: peakResult{late: map[string]int{}, failed: map[string]int{}}}
		p.mesh = New(p.endpoints()...)
		p.mesh.ApplyConfig(hotKeyConfig(t))
		ctx, stop := context.WithCancel(context.Background())
		go p.mesh.TrackHotKeys(ctx, peakHotKeyOptions(spread), p.recordMaxWidth)
		p.start = time.Now()
		p.run(rate)
		p.requests.Wait()
		time.Sleep(20 * time.Second)
		p.result.finalHotKeys = p.mesh.HotKeys()
		stop()
		time.Sleep(time.Second)
		p.countReads()
		p.checkPurchases()
		p.mesh.Close()
		time.Sleep(time.Minute)
		result = p.result
	})
	return result
}

// peakHotKeyOptions returns the options of the tracker; MaxKeys 0 disables spreading.
func peakHotKeyOptions(spread bool) hotkeys.Options {
	options := hotkeys.Options{SlotShare: 0.4, MaxKeys: 16, MaxWidth: 8, NarrowAfter: 3 * time.Second}
	if !spread {
		options.MaxKeys = 0
	}
	return options
}

func (p *peak) endpoints() []*Endpoint {
	var endpoints []*Endpoint
	for i := range peakEndpoints {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, &Endpoint{ID: id, Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 6, ServiceTime: peakServiceTime, ClosesWithoutResponse: func(*http.Request) bool {
			_, crashed := p.crashed.Load(id)
			return crashed
		}})
	}
	return endpoints
}

func peakServiceTime(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/check/") {
		return 4 * time.Millisecond
	}
	return 30*time.Millisecond + time.Duration(len(r.Header.Get(requestIDHeader)))*time.Millisecond
}

// recordMaxWidth appends the largest width to the result, or 1 without hot keys.
func (p *peak) recordMaxWidth(hotKeys []*meshpb.HotKey) {
	width := 1
	for _, key := range hotKeys {
		width = max(width, int(key.Width))
	}
	p.result.maxWidths = append(p.result.maxWidths, width)
}

// run sends rounds of requests and injects the failures until peakSeconds have
// passed.
func (p *peak) run(rate func(s float64) float64) {
	crashed := ""
	for {
		s := time.Since(p.start).Seconds()
		if s >= peakSeconds {
			return
		}
		p.sendRound(rate(s))
		switch {
		case p.isRoundAt(s, 4):
			p.mesh.ReplaceMaster()
		case crashed == "" && s > 5:
			// A crashing endpoint first closes its connections without responding. It is
			// removed from the view 0.8 s later.
			crashed = "e3"
			p.crashed.Store(crashed, true)
		case p.isRoundAt(s, 5.8):
			p.mesh.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone})
		case p.isRoundAt(s, 7):
			p.mesh.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone, "e11": lifecycle.Draining})
		}
		time.Sleep(roundInterval)
	}
}

// isRoundAt reports whether s is within one roundInterval after the given time.
func (p *peak) isRoundAt(s, at float64) bool { return s > at && s < at+roundInterval.Seconds() }

// sendRound sends the requests of one round.
func (p *peak) sendRound(rate float64) {
	if p.random.Float64() < rate*roundInterval.Seconds() {
		p.send("read", hotPath+"seats", readTarget, &p.result.reads)
	}
	if p.random.Float64() < 0.25 {
		p.send("read", fmt.Sprintf("/read/other-%d/seats", p.random.IntN(300)), readTarget, &p.result.reads)
	}
	if p.random.Float64() < 0.12 {
		p.send("buy", "/buy/final/seat", purchaseTarget, &p.result.buys)
	}
	if p.random.Float64() < 0.3 {
		p.send("check", "/check/", checkTarget, &p.result.checks)
	}
}

// send sends one request to a random node and appends its latency to latencies.
// Purchases are never sent through the node of e11, the endpoint that drains.
func (p *peak) send(kind, path string, target time.Duration, latencies *[]time.Duration) {
	node := p.mesh.Nodes[p.random.IntN(peakEndpoints)]
	method := http.MethodGet
	if kind == "buy" {
		method = http.MethodPost
		if node.Endpoint.ID == "e11" {
			node = p.mesh.Nodes[0]
		}
	}
	p.requests.Go(func() {
		response := p.mesh.Send(node, method, path, "", 4*time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		*latencies = append(*latencies, response.Latency)
		if kind == "buy" {
			p.purchases[response.RequestID] = response.StatusCode
		}
		switch {
		case response.StatusCode != http.StatusOK || response.Failed:
			p.result.failed[kind]++
		case response.Latency > target:
			p.result.late[kind]++
		}
	})
}

// countReads computes how the reads of the hot key were spread over endpoints.
func (p *peak) countReads() {
	type endpointSecond struct {
		endpoint string
		second   int
	}
	perSecond := map[endpointSecond]int{}
	readers := map[string]bool{}
	total, busiest := 0, 0
	for _, n := range p.mesh.Nodes {
		for _, execution := range n.Endpoint.Executions() {
			if !strings.HasPrefix(execution.Path, hotPath) {
				continue
			}
			key := endpointSecond{n.Endpoint.ID, int(execution.Start.Sub(p.start).Seconds())}
			perSecond[key]++
			busiest = max(busiest, perSecond[key])
			readers[n.Endpoint.ID] = true
			total++
		}
	}
	p.result.readingEndpoints = len(readers)
	p.result.peakToMeanReads = float64(busiest) / (float64(total) / peakSeconds / peakEndpoints)
}

// checkPurchases compares the responses to purchases with what endpoints ran.
func (p *peak) checkPurchases() {
	executions := p.mesh.Executions()
	for id, code := range p.purchases {
		n := len(executions[id])
		refused := code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
		switch {
		case n > 1:
			p.result.duplicated = append(p.result.duplicated, id)
		case code == http.StatusOK && n != 1 || refused && n != 0:
			p.result.misreported = append(p.result.misreported, id)
		}
	}
}

// check asserts what must hold for a peak whose hot key is spread.
func (r peakResult) check(t *testing.T) {
	t.Helper()
	qt.Assert(t, r.duplicated, qt.HasLen, 0)
	qt.Assert(t, r.misreported, qt.HasLen, 0)
	qt.Check(t, p99(r.checks) < checkTarget, qt.IsTrue, qt.Commentf("checks: p99 %v", p99(r.checks)))
	qt.Check(t, p99(r.reads) < readTarget, qt.IsTrue, qt.Commentf("reads: p99 %v", p99(r.reads)))
	qt.Check(t, slices.Max(r.maxWidths) > 2, qt.IsTrue, qt.Commentf("widths: %v", r.maxWidths))
	qt.Check(t, r.finalHotKeys, qt.HasLen, 0, qt.Commentf("hot keys are left after the peak"))
}

func (r peakResult) log(t *testing.T, title string) {
	t.Helper()
	t.Logf("%s: widths %v, busiest endpoint %.1f times the mean, %d endpoints read; reads p99 %v, purchases %v, checks %v; failed %v late %v",
		title, r.maxWidths, r.peakToMeanReads, r.readingEndpoints, p99(r.reads), p99(r.buys), p99(r.checks), r.failed, r.late)
}

// steppedRate models the seat map of an event at the start of ticket sales: the read
// rate rises in one step, stays high for nine seconds and drops again.
func steppedRate(s float64) float64 {
	if s < 2 || s > 11 {
		return 10
	}
	return 420
}

// The reads of a hot key must not overload single endpoints, and purchases must run at
// most once, although the master is replaced, an endpoint crashes and one drains. A
// run without spreading must concentrate the reads more.
func TestHotKeyIsSpreadWhileMasterAndEndpointsFail(t *testing.T) {
	spread := simulatePeak(t, true, steppedRate)
	spread.check(t)
	single := simulatePeak(t, false, steppedRate)
	qt.Assert(t, single.duplicated, qt.HasLen, 0)
	qt.Assert(t, single.finalHotKeys, qt.HasLen, 0)
	qt.Check(t, spread.peakToMeanReads < 6, qt.IsTrue, qt.Commentf("the busiest endpoint ran %.1f times the mean", spread.peakToMeanReads))
	qt.Check(t, single.peakToMeanReads > spread.peakToMeanReads, qt.IsTrue, qt.Commentf("busiest endpoint over mean: %.1f spread, %.1f not spread", spread.peakToMeanReads, single.peakToMeanReads))
	spread.log(t, "spread")
	single.log(t, "not spread")
}

// parabolicRate models the reads of an account balance whose popularity rises and
// falls gradually: from 30 reads per second to 360 and back.
func parabolicRate(s float64) float64 { return 30 + 330*max(0, 1-(s-6)*(s-6)/25) }

// The width must also grow and shrink again if the read rate changes gradually.
func TestHotKeyWidthFollowsSlowlyChangingRate(t *testing.T) {
	result := simulatePeak(t, true, parabolicRate)
	result.check(t)
	result.log(t, "spread")
}
