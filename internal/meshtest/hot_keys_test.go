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
	peakEndpoints = 12
	// peakSeconds is how long requests are sent.
	peakSeconds = 14.0
	// peakStep is the time between two rounds of requests.
	peakStep = 2 * time.Millisecond
	// hotPath is the path prefix of reads of the hot key.
	hotPath = "/read/final/"

	readTarget  = 600 * time.Millisecond
	buyTarget   = 800 * time.Millisecond
	checkTarget = 250 * time.Millisecond
)

// hotKeyConfig has reads of a key, purchases under the same key, and short
// checks, all at one service.
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

// peakResult is what became of the requests of a peak.
type peakResult struct {
	reads, buys, checks []time.Duration
	// late and failed count requests by kind.
	late, failed map[string]int
	// busiest is how many reads of the hot key one endpoint ran in a second, over
	// the mean of all endpoints.
	busiest float64
	// readers is how many endpoints ran such reads.
	readers int
	// widths are the largest of each change; after is what is left at the end.
	widths []int
	after  []*meshpb.HotKey
	// duplicated purchases ran twice; misreported ones ran though they were
	// refused, or did not though they succeeded.
	duplicated  []string
	misreported []string
}

func p99(latencies []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[len(sorted)*99/100]
}

// peak sends many requests for one key amid others, while a master is replaced,
// an endpoint crashes and another one drains.
type peak struct {
	mesh   *Mesh
	random *rand.Rand
	start  time.Time
	// crashed has the IDs of endpoints that break off what they run.
	crashed  sync.Map
	requests sync.WaitGroup

	// mu guards what follows.
	mu     sync.Mutex
	result peakResult
	// purchases has the status of each, by request ID.
	purchases map[string]int
}

// simulatePeak runs a peak, in which the hot key is read rate(s) times a second,
// s seconds after the start; spread tells whether hot keys may have several
// endpoints.
func simulatePeak(t *testing.T, spread bool, rate func(s float64) float64) peakResult {
	var result peakResult
	synctest.Test(t, func(t *testing.T) {
		p := &peak{random: rand.New(rand.NewPCG(5, 5)), purchases: map[string]int{}, result: peakResult{late: map[string]int{}, failed: map[string]int{}}}
		p.mesh = New(p.endpoints()...)
		p.mesh.ApplyConfig(hotKeyConfig(t))
		ctx, stop := context.WithCancel(context.Background())
		go p.mesh.TrackHotKeys(ctx, peakHotKeyOptions(spread), p.addWidths)
		p.start = time.Now()
		p.run(rate)
		p.requests.Wait()
		time.Sleep(20 * time.Second)
		p.result.after = p.mesh.HotKeys()
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
		endpoints = append(endpoints, &Endpoint{ID: id, Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 6, ServiceTime: peakServiceTime, BreaksOff: func(*http.Request) bool {
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

func (p *peak) addWidths(hotKeys []*meshpb.HotKey) {
	width := 1
	for _, key := range hotKeys {
		width = max(width, int(key.Width))
	}
	p.result.widths = append(p.result.widths, width)
}

func (p *peak) run(rate func(s float64) float64) {
	crashed := ""
	for {
		s := time.Since(p.start).Seconds()
		if s >= peakSeconds {
			return
		}
		p.sendRound(rate(s))
		switch {
		case p.isStepAt(s, 4):
			p.mesh.ReplaceMaster()
		case crashed == "" && s > 5:
			// It breaks off what it runs, then is gone.
			crashed = "e3"
			p.crashed.Store(crashed, true)
		case p.isStepAt(s, 5.8):
			p.mesh.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone})
		case p.isStepAt(s, 7):
			p.mesh.PublishView(map[string]lifecycle.State{crashed: lifecycle.Gone, "e11": lifecycle.Draining})
		}
		time.Sleep(peakStep)
	}
}

// isStepAt tells whether s is in the first step after a time.
func (p *peak) isStepAt(s, at float64) bool { return s > at && s < at+peakStep.Seconds() }

// sendRound sends the requests of one step.
func (p *peak) sendRound(rate float64) {
	if p.random.Float64() < rate*peakStep.Seconds() {
		p.send("read", hotPath+"seats", readTarget, &p.result.reads)
	}
	if p.random.Float64() < 0.25 {
		p.send("read", fmt.Sprintf("/read/other-%d/seats", p.random.IntN(300)), readTarget, &p.result.reads)
	}
	if p.random.Float64() < 0.12 {
		p.send("buy", "/buy/final/seat", buyTarget, &p.result.buys)
	}
	if p.random.Float64() < 0.3 {
		p.send("check", "/check/", checkTarget, &p.result.checks)
	}
}

// send sends one request to a random node, and adds its latency to the list. No
// purchase begins beside the endpoint that will drain.
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
		*latencies = append(*latencies, response.Took)
		if kind == "buy" {
			p.purchases[response.RequestID] = response.StatusCode
		}
		switch {
		case response.StatusCode != http.StatusOK || response.Failed:
			p.result.failed[kind]++
		case response.Took > target:
			p.result.late[kind]++
		}
	})
}

// countReads counts how the reads of the hot key were spread.
func (p *peak) countReads() {
	type second struct {
		endpoint string
		number   int
	}
	perSecond := map[second]int{}
	readers := map[string]bool{}
	total, busiest := 0, 0
	for _, n := range p.mesh.Nodes {
		for _, execution := range n.Endpoint.Executions() {
			if !strings.HasPrefix(execution.Path, hotPath) {
				continue
			}
			key := second{n.Endpoint.ID, int(execution.Start.Sub(p.start).Seconds())}
			perSecond[key]++
			busiest = max(busiest, perSecond[key])
			readers[n.Endpoint.ID] = true
			total++
		}
	}
	p.result.readers = len(readers)
	p.result.busiest = float64(busiest) / (float64(total) / peakSeconds / peakEndpoints)
}

// checkPurchases holds what user agents were told against what ran.
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

func (r peakResult) check(t *testing.T) {
	t.Helper()
	qt.Assert(t, r.duplicated, qt.HasLen, 0)
	qt.Assert(t, r.misreported, qt.HasLen, 0)
	qt.Check(t, p99(r.checks) < checkTarget, qt.IsTrue, qt.Commentf("checks: p99 %v", p99(r.checks)))
	qt.Check(t, p99(r.reads) < readTarget, qt.IsTrue, qt.Commentf("reads: p99 %v", p99(r.reads)))
	qt.Check(t, slices.Max(r.widths) > 2, qt.IsTrue, qt.Commentf("%v", r.widths))
	qt.Check(t, r.after, qt.HasLen, 0, qt.Commentf("width back to one"))
}

func (r peakResult) log(t *testing.T, title string) {
	t.Helper()
	t.Logf("%s: widths %v, busiest endpoint %.1f times the mean, %d endpoints read; reads p99 %v, purchases %v, checks %v; failed %v late %v",
		title, r.widths, r.busiest, r.readers, p99(r.reads), p99(r.buys), p99(r.checks), r.failed, r.late)
}

// saleRate is that of a seat map whose tickets go on sale: it is asked for at
// once, and stays hot.
func saleRate(s float64) float64 {
	if s < 2 || s > 11 {
		return 10
	}
	return 420
}

func TestHotKeyIsSpreadWhileMasterAndEndpointsFail(t *testing.T) {
	spread := simulatePeak(t, true, saleRate)
	spread.check(t)
	single := simulatePeak(t, false, saleRate)
	qt.Assert(t, single.duplicated, qt.HasLen, 0)
	qt.Assert(t, single.after, qt.HasLen, 0)
	qt.Check(t, spread.busiest < 6, qt.IsTrue, qt.Commentf("an endpoint ran %.1f times the mean", spread.busiest))
	qt.Check(t, single.busiest > spread.busiest, qt.IsTrue, qt.Commentf("%.1f spread, %.1f not", spread.busiest, single.busiest))
	spread.log(t, "spread")
	single.log(t, "not spread")
}

// balanceRate is that of a balance that is asked for more and more, then less.
func balanceRate(s float64) float64 { return 30 + 330*max(0, 1-(s-6)*(s-6)/25) }

func TestHotKeyWidthFollowsSlowlyChangingRate(t *testing.T) {
	result := simulatePeak(t, true, balanceRate)
	result.check(t)
	result.log(t, "spread")
}
