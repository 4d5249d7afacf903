package loadbalancer

import (
	"slices"
	"time"

	"corkcove/internal/routeconfig"
)

// bulkBodyBytes is the body size above which a request counts as bulk.
const bulkBodyBytes = 16 << 10

// IsBulk reports whether a request or its response is expected to have a large
// body, judging by the kind of its route and by the size of the request body.
func IsBulk(kind routeconfig.RouteKind, bodyBytes int64) bool {
	return kind.Bulk() || bodyBytes > bulkBodyBytes
}

// Criteria describe the request for which an endpoint is chosen.
type Criteria struct {
	// Service is the name of the service that the request goes to.
	Service string
	// Bulk is set if the request or its response has a large body.
	Bulk bool
	// Upload is set if the large body is sent to the endpoint. This node's link
	// carries it whichever endpoint is chosen, so another zone would not relieve
	// the link, and the request stays in its zone.
	Upload bool
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// LatencyTarget is the time within which the route's requests should be answered.
	LatencyTarget time.Duration
	// Tried are the endpoints that must not be chosen again.
	Tried []*Endpoint
	// AnyZone is set if the request has no preference for its own zone.
	AnyZone bool
	// Key is the hash of the key that the request reads, as hotkeys.Hash returns
	// it; 0 means no key.
	Key uint64
}

// hasTried reports whether the endpoint, possibly from an earlier view, is in
// Tried.
func (c *Criteria) hasTried(e *Endpoint) bool {
	for _, tried := range c.Tried {
		if tried == e || tried.id == e.id {
			return true
		}
	}
	return false
}

// outlierProbeShare is the share of idempotent requests that are sent to an
// outlier to detect when it has recovered.
const outlierProbeShare = 0.01

// selection is the state of one call of Pick.
type selection struct {
	Criteria
	balancer        *Balancer
	service         *serviceEndpoints
	now             int64
	remoteWeight    float64
	meanServiceTime float64
	probesOutlier   bool
}

// Pick returns the endpoint with the lowest expected response time, or nil if
// there is none. Traffic between zones is expensive, so the request stays in its
// own zone as long as an endpoint there is expected to answer well within the
// latency target.
func (b *Balancer) Pick(c Criteria) *Endpoint {
	current := b.table.Load()
	service := current.services[c.Service]
	if service == nil {
		return nil
	}
	s := selection{Criteria: c, balancer: b, service: service, now: b.now(), remoteWeight: b.remoteWeight}
	s.probesOutlier = c.Idempotent && len(c.Tried) == 0 && b.random() < outlierProbeShare
	if c.Bulk {
		s.remoteWeight = b.bulkWeight
	}
	if c.Key != 0 && len(c.Tried) == 0 && !s.probesOutlier {
		s.meanServiceTime = meanServiceTime(service.all)
		if e := s.pickByKey(current.hotKeys[c.Key]); e != nil {
			return e
		}
	}
	if len(service.all) > 0 && service.all[0].IsDirect() {
		return s.pickDirect()
	}
	s.meanServiceTime = meanServiceTime(service.all)
	return s.pickByLoad()
}

// pickByLoad chooses among endpoints whose sidecars report their load.
func (s *selection) pickByLoad() *Endpoint {
	if s.probesOutlier {
		if e := s.pickOutlier(); e != nil {
			return e
		}
	}
	if s.Bulk && s.balancer.localNode != "" {
		if e := s.pickLocal(); e != nil {
			return e
		}
	}
	best, score, fallback := s.bestScored(s.service.sameZone)
	if best != nil && !s.AnyZone && s.staysInZone(best, score) {
		return best
	}
	if best != nil && s.isZoneBusy(best) {
		s.remoteWeight = 1 + (s.remoteWeight-1)/busyZoneWeightDivisor
	}
	anywhere, _, fallbackAnywhere := s.bestScored(s.service.all)
	switch {
	case anywhere != nil:
		return anywhere
	case fallback != nil:
		return fallback
	}
	return fallbackAnywhere
}

// pickOutlier returns an outlier of the node's zone to probe, or nil.
func (s *selection) pickOutlier() *Endpoint {
	for _, e := range s.service.sameZone {
		if e.outlier && e.takesRequests() {
			return e
		}
	}
	return nil
}

// pickLocal returns the endpoint beside this node if it is available and has a
// free slot, or nil.
func (s *selection) pickLocal() *Endpoint {
	for _, e := range s.service.sameZone {
		if e.node != s.balancer.localNode || e.outlier || !e.isAvailable(s.now) || s.hasTried(e) {
			continue
		}
		if max(e.inFlight.Load(), e.load.Load()) < e.slots {
			return e
		}
	}
	return nil
}

const (
	// bulkLinkUse is added to the average link utilization when a bulk request
	// chooses between zones, to account for its own body.
	bulkLinkUse = 0.2
	// linkSlots is the number of slots that a link corresponds to in sameZoneShare:
	// it carries several bodies at once without queueing.
	linkSlots = 6
	// busyLinkUse is the average link utilization of a zone above which the weight
	// of other zones is reduced for bulk requests.
	busyLinkUse = 0.4
	// busyZoneWeightDivisor divides the excess over 1 of the weight of other zones
	// while the node's own zone is busy.
	busyZoneWeightDivisor = 4
)

// staysInZone reports whether the request goes to the best endpoint of its zone,
// which has the given score, without other zones being considered. Uploads always
// do. Other requests do if the score is well within the latency target (for bulk
// requests: within it), and as the zone's load grows, a random and decreasing
// share of them.
func (s *selection) staysInZone(best *Endpoint, score float64) bool {
	limit := s.LatencyTarget * 4 / 5
	share := sameZoneShare(best.zoneLoad.slotUse.value(), best.slots)
	if s.Bulk {
		limit = s.LatencyTarget
		share = min(share, sameZoneShare(best.zoneLoad.linkUse.value()+bulkLinkUse, linkSlots))
	}
	return s.Upload || score <= float64(limit) && s.balancer.random() < share
}

// isZoneBusy reports whether the zone of the best endpoint is loaded so much that
// some requests should go to other zones.
func (s *selection) isZoneBusy(best *Endpoint) bool {
	if sameZoneShare(best.zoneLoad.slotUse.value(), best.slots) < 1 {
		return true
	}
	return s.Bulk && best.zoneLoad.linkUse.value() > busyLinkUse
}

const (
	// maxScanned is the largest number of endpoints that are all scored. Of more,
	// only a random sample is scored.
	maxScanned = 4
	// sampleSize is the number of endpoints in a random sample.
	sampleSize = 3
	// sampledScoreNoise and scannedScoreNoise are the largest fraction by which a
	// score is randomly raised, in a sample and in a full scan. The noise makes
	// nodes with the same load reports choose different endpoints.
	sampledScoreNoise = 0.1
	scannedScoreNoise = 0.3
)

// bestScored returns the available endpoint with the lowest score. If all are
// outliers or ejected, best is nil and fallback is the outlier with the lowest
// score or else an ejected endpoint.
func (s *selection) bestScored(endpoints []*Endpoint) (best *Endpoint, bestScore float64, fallback *Endpoint) {
	if len(endpoints) > maxScanned {
		if best, bestScore = s.bestOfSample(endpoints); best != nil {
			return best, bestScore, nil
		}
	}
	var bestOutlier *Endpoint
	var outlierScore float64
	for _, e := range endpoints {
		if !e.takesRequests() || s.hasTried(e) {
			continue
		}
		if e.ejectedUntil.Load() > s.now {
			fallback = e
			continue
		}
		score := s.score(e) * (1 + scannedScoreNoise*s.balancer.random())
		switch {
		case e.outlier && (bestOutlier == nil || score < outlierScore):
			bestOutlier, outlierScore = e, score
		case !e.outlier && (best == nil || score < bestScore):
			best, bestScore = e, score
		}
	}
	if bestOutlier != nil {
		fallback = bestOutlier
	}
	return best, bestScore, fallback
}

// bestOfSample returns the endpoint with the lowest score in a random sample that
// is weighted by capacity. With many endpoints, each node has few recent reports
// about each one; if every node chose the best of all, they would overload the
// same endpoint.
func (s *selection) bestOfSample(endpoints []*Endpoint) (best *Endpoint, bestScore float64) {
	cumulativeWeights := make([]float64, len(endpoints))
	totalWeight := 0.0
	for i, e := range endpoints {
		if e.isAvailable(s.now) && !e.outlier && !s.hasTried(e) {
			totalWeight += s.samplingWeight(e)
		}
		cumulativeWeights[i] = totalWeight
	}
	if totalWeight == 0 {
		return nil, 0
	}
	for range sampleSize {
		e := endpoints[cumulativeIndex(cumulativeWeights, s.balancer.random()*totalWeight)]
		score := s.score(e) * (1 + sampledScoreNoise*s.balancer.random())
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best, bestScore
}

// samplingWeight returns the endpoint's weight in a random sample: its capacity in
// requests per nanosecond, reduced for bulk requests on a congested link and for
// endpoints in other zones.
func (s *selection) samplingWeight(e *Endpoint) float64 {
	weight := float64(e.slots) / e.expectedServiceTime(s.meanServiceTime, s.now)
	if s.Bulk {
		slowdown := e.linkSlowdown(s.now)
		weight /= slowdown * slowdown
	}
	if e.zone != s.balancer.zone {
		weight /= s.remoteWeight
	}
	return weight
}

// cumulativeIndex returns the index of the entry whose range in the cumulative
// sums contains x. It skips entries of weight 0.
func cumulativeIndex(sums []float64, x float64) int {
	i, _ := slices.BinarySearch(sums, x)
	for i < len(sums)-1 && (i > 0 && sums[i] == sums[i-1] || sums[i] == 0) {
		i++
	}
	return i
}
