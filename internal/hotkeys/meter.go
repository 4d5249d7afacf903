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

// Hash returns the hash that identifies a key of a service on the nodes and at the
// cluster controller. It is 0 if and only if the key is empty.
func Hash(service, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(service+"\x00"+key), 1)
}

const (
	// windowBuckets and bucketDuration define the sliding window of 2 s in which
	// reads are counted. The current bucket covers half its duration on average.
	windowBuckets  = 4
	bucketDuration = 500 * time.Millisecond
	// maxReportedKeys is the maximum number of keys in the report of a node.
	maxReportedKeys = 16
	// maxTrackedKeys is the maximum number of keys whose route and service a Meter
	// keeps.
	maxTrackedKeys = 64 * maxReportedKeys
	// minReportedRate is the lowest rate that is reported, in reads per second.
	minReportedRate = 1.0
	// rateStep is the ratio between adjacent values that rates are rounded to, so
	// that a report changes only if a rate has changed by about that factor.
	rateStep = 1.25
	// sketchEpsilon and sketchDelta are the relative error and the confidence that
	// the count-min sketch of each bucket is created with.
	sketchEpsilon = 0.002
	sketchDelta   = 0.99
)

// Meter counts reads per key in a sliding window of count-min sketches, so that its
// memory use does not depend on the number of keys. It is safe for concurrent use.
// A nil Meter counts nothing.
type Meter struct {
	now func() time.Time

	mu sync.Mutex
	// sketches has one sketch per bucket of the window; nil if the bucket was
	// never used.
	sketches [windowBuckets]*boom.TopK
	// bucket is the number of the current bucket since 1970.
	bucket     int64
	keys       map[uint64]keyInfo
	lastReport []*meshpb.KeyRate
}

// keyInfo holds what a report contains about a key besides its rate.
type keyInfo struct {
	route, service string
	meanLatency    time.Duration
	// lastBucket is the number of the bucket that the key was last read in.
	lastBucket int64
}

// NewMeter returns a meter that uses now as its clock.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{now: now, keys: map[uint64]keyInfo{}}
}

// currentSketch resets the sketches whose buckets have left the window and returns
// the sketch of the current bucket. The caller holds mu.
func (m *Meter) currentSketch() *boom.TopK {
	bucket := m.now().UnixNano() / int64(bucketDuration)
	for i := max(m.bucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		if sketch := m.sketches[i%windowBuckets]; sketch != nil {
			sketch.Reset()
		}
	}
	m.bucket = bucket
	i := bucket % windowBuckets
	if m.sketches[i] == nil {
		m.sketches[i] = boom.NewTopK(sketchEpsilon, sketchDelta, maxReportedKeys)
	}
	return m.sketches[i]
}

// Record counts one read of the key with the hash, unless that is 0. meanLatency is
// the mean latency of the route.
func (m *Meter) Record(key uint64, route, service string, meanLatency time.Duration) {
	if m == nil || key == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentSketch().Add(binary.BigEndian.AppendUint64(nil, key))
	if _, ok := m.keys[key]; ok || len(m.keys) < maxTrackedKeys {
		m.keys[key] = keyInfo{route, service, meanLatency, m.bucket}
	}
}

// Rates returns the most frequently read keys in the window, in descending order of
// rate. Rates are in reads per second, rounded so that small changes have no
// effect. unchanged means that keys and rates are those of the previous call.
func (m *Meter) Rates() (rates []*meshpb.KeyRate, unchanged bool) {
	if m == nil {
		return nil, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.keys) == 0 && len(m.lastReport) == 0 {
		return nil, true
	}
	m.currentSketch()
	rates = m.heavyHitters()
	m.evictIdle()
	unchanged = slices.EqualFunc(rates, m.lastReport, func(a, b *meshpb.KeyRate) bool {
		return a.Key == b.Key && a.PerS == b.PerS
	})
	m.lastReport = rates
	return rates, unchanged
}

// heavyHitters returns the most frequently read keys in the window, in descending
// order of rate. The caller holds mu.
func (m *Meter) heavyHitters() []*meshpb.KeyRate {
	counts := map[uint64]uint64{}
	for _, sketch := range m.sketches {
		if sketch == nil {
			continue
		}
		for _, e := range sketch.Elements() {
			counts[binary.BigEndian.Uint64(e.Data)] += e.Freq
		}
	}
	window := (windowBuckets - 0.5) * bucketDuration.Seconds()
	var rates []*meshpb.KeyRate
	for key, count := range counts {
		info := m.keys[key]
		rate := float64(count) / window
		if rate < minReportedRate || info.lastBucket <= 0 {
			continue
		}
		rates = append(rates, &meshpb.KeyRate{
			Key:     key,
			PerS:    roundToStep(rate),
			WorkMs:  uint32(roundToStep(float64(info.meanLatency.Milliseconds()))),
			Route:   info.route,
			Service: info.service,
		})
	}
	slices.SortFunc(rates, func(a, b *meshpb.KeyRate) int {
		return cmp.Or(cmp.Compare(b.PerS, a.PerS), cmp.Compare(a.Key, b.Key))
	})
	return rates[:min(len(rates), maxReportedKeys)]
}

// evictIdle removes the keys that have not been read for two windows. The caller
// holds mu.
func (m *Meter) evictIdle() {
	for key, info := range m.keys {
		if m.bucket-info.lastBucket > 2*windowBuckets {
			delete(m.keys, key)
		}
	}
}

// roundToStep rounds x to the nearest power of rateStep, with two decimals. It
// returns 0 for an x of 0 or less.
func roundToStep(x float64) float64 {
	if x <= 0 {
		return 0
	}
	return math.Round(100*math.Pow(rateStep, math.Round(math.Log(x)/math.Log(rateStep)))) / 100
}
