package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"corkcove/internal/rpc/meshpb"
)

// hotKey is a key whose reads are spread over several endpoints, its copies: the
// first ones in the order that rendezvous hashing gives.
type hotKey struct {
	// copies are the endpoints that the key's reads go to.
	copies []*Endpoint
	// established is how many of the copies have their full share of the reads
	// from the start, width how many the view asked for.
	established int
	width       int
	// changed is when the width changed, from which on new copies come up.
	changed int64
}

// rank orders endpoints by rendezvous hashing: a key's reads go to those with
// the highest rank.
func (e *Endpoint) rank(key uint64) uint64 { return mixBits(key ^ e.hash) }

// mixBits is the finalizer of the SplitMix64 generator.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// highestRanked returns the endpoints that a key's reads go to, count at most.
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

// hotKeys returns the hot keys of a view. A key that got more copies keeps the
// earlier ones at their full share while the new ones come up.
func (b *Balancer) hotKeys(published []*meshpb.HotKey, next, previous *table) map[uint64]*hotKey {
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
		key := &hotKey{width: int(p.Width), established: 1, changed: now}
		if old := previous.hotKeys[p.Key]; old != nil {
			if old.width == key.width {
				key.established, key.changed = old.established, old.changed
			} else {
				key.established = min(old.width, key.width)
			}
		}
		key.copies = highestRanked(p.Key, service.all, key.width)
		keys[p.Key] = key
	}
	return keys
}

// IsHot tells that a key's reads are spread over several endpoints.
func (b *Balancer) IsHot(key uint64) bool {
	return key != 0 && b.table.Load().hotKeys[key] != nil
}

// pickByKey returns one of the endpoints that the key's reads go to, or nil
// where they can't take it well, so that the choice is then by load among all.
func (s *selection) pickByKey(key *hotKey) *Endpoint {
	if key == nil {
		return s.pickHighestRanked()
	}
	share := float64(s.now-key.changed) / float64(max(s.balancer.slowStart, 1))
	if e := s.pickCopy(key, share); e != nil {
		return e
	}
	for i, e := range key.copies {
		if (i < key.established || share >= 1) && s.canRead(e) {
			return e
		}
	}
	return nil
}

// pickCopy draws a few of a hot key's copies and returns the best. New copies
// count for the share to which they have come up.
func (s *selection) pickCopy(key *hotKey, share float64) *Endpoint {
	var best *Endpoint
	bestScore := math.Inf(1)
	for range draws {
		i := int(s.balancer.random() * float64(len(key.copies)))
		if i >= len(key.copies) || i >= key.established && share < 1 && s.balancer.random() > share {
			continue
		}
		e := key.copies[i]
		if !s.canRead(e) {
			continue
		}
		score := s.score(e) * (1 + drawnScoreNoise*s.balancer.random())
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// pickHighestRanked returns the endpoint that all reads of a key go to that is
// not hot, or nil if it can't take one.
func (s *selection) pickHighestRanked() *Endpoint {
	var home *Endpoint
	for _, e := range s.service.all {
		if e.up && (home == nil || e.rank(s.Key) > home.rank(s.Key)) {
			home = e
		}
	}
	if home == nil || !s.canRead(home) {
		return nil
	}
	return home
}

func (s *selection) canRead(e *Endpoint) bool {
	return e.isAvailable(s.now) && !e.outlier && !s.hasTried(e) && max(e.inFlight.Load(), e.recentLoad(s.now)) < e.slots
}

// recentLoad returns the load last reported, or 0 where that was long ago.
func (e *Endpoint) recentLoad(now int64) int64 {
	if now-e.lastReport.Load() > int64(reportHalfTime) {
		return 0
	}
	return e.load.Load()
}
