package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// hotKey is a key whose reads are spread over several endpoints: those that
// rank highest in rendezvous hashing.
type hotKey struct {
	// endpoints are the endpoints that serve the key's reads, highest rank first.
	endpoints []*Endpoint
	// fullShareCount is the number of leading endpoints that get their full share
	// of the reads without a slow start.
	fullShareCount int
	// width is the number of endpoints that the view specifies. The endpoints slice
	// is shorter if fewer endpoints of the service are up.
	width int
	// widthChangedAt is the time at which the key became hot or its width last changed,
	// in nanoseconds of the balancer's clock. The slow start of added endpoints begins
	// then.
	widthChangedAt int64
}

// rank returns the endpoint's rendezvous hash for a key. The key's reads go to
// the endpoints with the highest rank.
func (e *Endpoint) rank(key uint64) uint64 { return mixBits(key ^ e.idHash) }

// mixBits is one step of the SplitMix64 generator: it adds the increment and
// applies the finalizer.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// highestRanked returns up to count endpoints that are up, in descending order
// of their rank for the key.
func highestRanked(key uint64, endpoints []*Endpoint, count int) []*Endpoint {
	up := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if e.up {
			up = append(up, e)
		}
	}
	slices.SortFunc(up, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(b.rank(key), a.rank(key)), cmp.Compare(a.id, b.id))
	})
	return slices.Clip(up[:min(count, len(up))])
}

// buildHotKeys returns the hot keys of a view. When a key's width grows, its
// earlier endpoints keep their full share during the slow start of the added
// ones.
func (b *Balancer) buildHotKeys(published []*meshpb.HotKey, next, previous *table) map[uint64]*hotKey {
	if len(published) == 0 {
		return nil
	}
	keys := make(map[uint64]*hotKey, len(published))
	now := b.now()
	for _, p := range published {
		service := next.services[p.Service]
		if service == nil || p.Width < 1 {
			continue
		}
		key := &hotKey{width: int(p.Width), fullShareCount: 1, widthChangedAt: now}
		if old := previous.hotKeys[p.Key]; old != nil {
			if old.width == key.width {
				key.fullShareCount, key.widthChangedAt = old.fullShareCount, old.widthChangedAt
			} else {
				key.fullShareCount = min(old.width, key.width)
			}
		}
		key.endpoints = highestRanked(p.Key, service.all, key.width)
		keys[p.Key] = key
	}
	return keys
}

// IsHot reports whether the key is a hot key, whose reads are spread over several
// endpoints. key is a hash as hotkeys.Hash returns it.
func (b *Balancer) IsHot(key uint64) bool {
	return key != 0 && b.table.Load().hotKeys[key] != nil
}

// pickByKey returns one of the endpoints that serve reads of the request's key;
// key is nil if that is not a hot key. It returns nil if none of them can serve
// the read, and the caller then chooses among all endpoints of the service.
func (s *selection) pickByKey(key *hotKey) *Endpoint {
	if key == nil {
		return s.pickHighestRanked()
	}
	progress := float64(s.now-key.widthChangedAt) / float64(max(s.balancer.slowStart, 1))
	if e := s.sampleHotKeyEndpoints(key, progress); e != nil {
		return e
	}
	for i, e := range key.endpoints {
		if (i < key.fullShareCount || progress >= 1) && s.canServeRead(e) {
			return e
		}
	}
	return nil
}

// sampleHotKeyEndpoints returns the endpoint with the lowest score in a random
// sample of the hot key's endpoints, or nil if none in the sample can serve the
// read. progress is how far the slow start is, 1 being complete; an added
// endpoint is admitted to the sample with that probability.
func (s *selection) sampleHotKeyEndpoints(key *hotKey, progress float64) *Endpoint {
	var best *Endpoint
	bestScore := math.Inf(1)
	for range sampleSize {
		i := int(s.balancer.random() * float64(len(key.endpoints)))
		if i >= len(key.endpoints) || i >= key.fullShareCount && progress < 1 && s.balancer.random() > progress {
			continue
		}
		e := key.endpoints[i]
		if !s.canServeRead(e) {
			continue
		}
		score := s.score(e) * (1 + sampledScoreNoise*s.balancer.random())
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// pickHighestRanked returns the one endpoint that serves all reads of a key that is
// not hot, or nil if it cannot serve one now.
func (s *selection) pickHighestRanked() *Endpoint {
	var highest *Endpoint
	for _, e := range s.service.all {
		if e.up && (highest == nil || e.rank(s.Key) > highest.rank(s.Key)) {
			highest = e
		}
	}
	if highest == nil || !s.canServeRead(highest) {
		return nil
	}
	return highest
}

// canServeRead reports whether the endpoint is available, is no outlier, has not
// been tried and has a free slot.
func (s *selection) canServeRead(e *Endpoint) bool {
	return e.isAvailable(s.now) && !e.outlier && !s.hasTried(e) && max(e.inFlight.Load(), e.recentLoad(s.now)) < e.slots
}

// recentLoad returns the last reported load, or 0 if the report is older than
// reportHalfWeightAge.
func (e *Endpoint) recentLoad(now int64) int64 {
	if now-e.lastReportAt.Load() > int64(reportHalfWeightAge) {
		return 0
	}
	return e.load.Load()
}
