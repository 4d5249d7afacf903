package hotkeys

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	boom "github.com/tylertreat/BoomFilters"

	"corkcove/internal/rpc/meshpb"
)

// Hash returns the number by which nodes and cluster controller know a key of a
// service. It is 0 for the empty key only.
func Hash(service, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(service+"\x00"+key), 1)
}

const (
	// windowPanes and paneSpan make up the sliding window that reads are counted
	// over: 2 s, of which the pane under way is half full on average.
	windowPanes = 4
	paneSpan    = 500 * time.Millisecond
	// maxReported is how many keys a node reports at most.
	maxReported = 16
	// maxMetered bounds the keys whose route and service are remembered.
	maxMetered = 64 * maxReported
	// minReportedRate is the rate, in reads a second, below which a key is not
	// reported.
	minReportedRate = 1.0
	// rateStep is the ratio between rates that are told apart: reports change
	// only when a rate has changed by about that much.
	rateStep = 1.25
	// sketchEpsilon and sketchDelta are the error and the confidence of a pane's
	// count-min sketch.
	sketchEpsilon = 0.002
	sketchDelta   = 0.99
)

// Meter counts the reads of keys in a sliding window of sketches, so that its
// size does not depend on the number of keys. It is safe for concurrent use; a
// nil Meter counts nothing.
type Meter struct {
	now func() time.Time

	mu       sync.Mutex
	panes    [windowPanes]*boom.TopK
	pane     int64
	metered  map[uint64]meteredKey
	reported []*meshpb.KeyRate
}

// meteredKey is what a meter remembers of a key beside its count.
type meteredKey struct {
	route, service string
	work           time.Duration
	lastPane       int64
}

// NewMeter returns a meter that takes the time from now.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{now: now, metered: map[uint64]meteredKey{}}
}

// currentPane empties the panes that the window has left behind and returns the
// one under way.
func (m *Meter) currentPane() *boom.TopK {
	pane := m.now().UnixNano() / int64(paneSpan)
	for i := max(m.pane+1, pane-windowPanes+1); i <= pane; i++ {
		if sketch := m.panes[i%windowPanes]; sketch != nil {
			sketch.Reset()
		}
	}
	m.pane = pane
	i := pane % windowPanes
	if m.panes[i] == nil {
		m.panes[i] = boom.NewTopK(sketchEpsilon, sketchDelta, maxReported)
	}
	return m.panes[i]
}

// Record counts one read of a key; work is how long the route's requests
// usually take.
func (m *Meter) Record(key uint64, route, service string, work time.Duration) {
	if m == nil || key == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentPane().Add(binary.BigEndian.AppendUint64(nil, key))
	if _, ok := m.metered[key]; ok || len(m.metered) < maxMetered {
		m.metered[key] = meteredKey{route, service, work, m.pane}
	}
}

// Rates returns the most read keys of the window, heaviest first, with rates
// rounded so that small changes do not show. Unchanged tells that they are those
// of the call before.
func (m *Meter) Rates() (rates []*meshpb.KeyRate, unchanged bool) {
	if m == nil {
		return nil, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.metered) == 0 && len(m.reported) == 0 {
		return nil, true
	}
	m.currentPane()
	rates = m.heaviest()
	m.forgetUnread()
	unchanged = slices.EqualFunc(rates, m.reported, func(a, b *meshpb.KeyRate) bool {
		return a.Key == b.Key && a.PerS == b.PerS
	})
	m.reported = rates
	return rates, unchanged
}

// heaviest returns the most read keys, heaviest first.
func (m *Meter) heaviest() []*meshpb.KeyRate {
	counts := map[uint64]uint64{}
	for _, sketch := range m.panes {
		if sketch == nil {
			continue
		}
		for _, e := range sketch.Elements() {
			counts[binary.BigEndian.Uint64(e.Data)] += e.Freq
		}
	}
	window := (windowPanes - 0.5) * paneSpan.Seconds()
	var rates []*meshpb.KeyRate
	for key, count := range counts {
		known := m.metered[key]
		rate := float64(count) / window
		if rate < minReportedRate || known.lastPane <= 0 {
			continue
		}
		rates = append(rates, &meshpb.KeyRate{
			Key:     key,
			PerS:    roundToStep(rate),
			WorkMs:  uint32(roundToStep(float64(known.work.Milliseconds()))),
			Route:   known.route,
			Service: known.service,
		})
	}
	slices.SortFunc(rates, func(a, b *meshpb.KeyRate) int {
		return cmp.Or(cmp.Compare(b.PerS, a.PerS), cmp.Compare(a.Key, b.Key))
	})
	return rates[:min(len(rates), maxReported)]
}

// forgetUnread drops the keys that were not read for two windows.
func (m *Meter) forgetUnread() {
	for key, known := range m.metered {
		if m.pane-known.lastPane > 2*windowPanes {
			delete(m.metered, key)
		}
	}
}

// roundToStep rounds to the nearest power of rateStep, with two decimals.
func roundToStep(x float64) float64 {
	if x <= 0 {
		return 0
	}
	return math.Round(100*math.Pow(rateStep, math.Round(math.Log(x)/math.Log(rateStep)))) / 100
}
