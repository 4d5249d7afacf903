package loadbalancer

import (
	"slices"
	"time"

	"corkcove/internal/routeconfig"
)

// bulkBody is the size in bytes from which on a body counts as bulk.
const bulkBody = 16 << 10

// IsBulk tells that the bytes of a request or its response are many.
func IsBulk(kind routeconfig.RouteKind, bodyBytes int64) bool {
	return kind.Bulk() || bodyBytes > bulkBody
}

// Criteria are what a choice has to serve.
type Criteria struct {
	Service string
	// Bulk tells that the request or its response has a large body.
	Bulk bool
	// Upload tells that the large body goes to the endpoint, so that the link
	// that carries it is this node's, whichever endpoint takes it.
	Upload bool
	// Idempotent tells that the request may run twice.
	Idempotent bool
	// Target is the time within which the route's requests should be answered.
	Target time.Duration
	// Tried are the endpoints that are not to be chosen again.
	Tried []*Endpoint
	// AnyZone tells that the request does not keep to its zone.
	AnyZone bool
	// Key is the hash of the key that the request reads; 0 is none.
	Key uint64
}

func (c *Criteria) hasTried(e *Endpoint) bool {
	for _, tried := range c.Tried {
		if tried == e || tried.id == e.id {
			return true
		}
	}
	return false
}

// outlierProbeShare is the share of idempotent requests that try out an outlier,
// so that it is seen when it has recovered.
const outlierProbeShare = 0.01

// selection is one choice under way.
type selection struct {
	Criteria
	balancer         *Balancer
	service          *service
	now              int64
	remoteWeight     float64
	usualServiceTime float64
	probesOutlier    bool
}

// Pick returns the endpoint that should answer first, or nil if there is none.
// Traffic between zones is expensive, so the request keeps to its own zone while
// that answers well within the target.
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
		s.usualServiceTime = usualServiceTime(service.all)
		if e := s.pickByKey(current.hotKeys[c.Key]); e != nil {
			return e
		}
	}
	if len(service.all) > 0 && service.all[0].IsDirect() {
		return s.pickDirect()
	}
	s.usualServiceTime = usualServiceTime(service.all)
	return s.pickByLoad()
}

// pickByLoad chooses where the endpoints' sidecars report their load.
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
	if best != nil && !s.AnyZone && s.keepsToZone(best, score) {
		return best
	}
	if best != nil && s.isZoneBusy(best) {
		s.remoteWeight = 1 + (s.remoteWeight-1)/busyZoneWeight
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

func (s *selection) pickOutlier() *Endpoint {
	for _, e := range s.service.sameZone {
		if e.outlier && e.takesRequests() {
			return e
		}
	}
	return nil
}

// pickLocal returns the endpoint beside this node if it has a free slot.
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
	// linkHeadroom is what is added to the use of links when a bulk request
	// chooses between zones, for the body that it brings itself.
	linkHeadroom = 0.2
	// linkSlots is as how many slots a link counts: it carries several bodies at
	// once without a queue.
	linkSlots = 6
	// busyLink is the use of a zone's links from which on bulk requests count
	// other zones as less remote.
	busyLink = 0.4
	// busyZoneWeight is the part of the weight of other zones that stays while
	// the own zone is busy.
	busyZoneWeight = 4
)

// keepsToZone tells whether a request goes to the best endpoint of its zone
// rather than to any.
func (s *selection) keepsToZone(best *Endpoint, score float64) bool {
	limit := s.Target * 4 / 5
	share := zoneShare(best.zoneLoad.slots.value(), best.slots)
	if s.Bulk {
		limit = s.Target
		share = min(share, zoneShare(best.zoneLoad.links.value()+linkHeadroom, linkSlots))
	}
	return s.Upload || score <= float64(limit) && s.balancer.random() < share
}

func (s *selection) isZoneBusy(best *Endpoint) bool {
	if zoneShare(best.zoneLoad.slots.value(), best.slots) < 1 {
		return true
	}
	return s.Bulk && best.zoneLoad.links.value() > busyLink
}

const (
	// maxCompared is how many endpoints are compared with one another; of more, a
	// few are drawn.
	maxCompared = 4
	// draws is how many endpoints are drawn of many.
	draws = 3
	// drawnScoreNoise and comparedScoreNoise are the share by which a score is
	// raised at random, so that nodes that know the same choose differently.
	drawnScoreNoise    = 0.1
	comparedScoreNoise = 0.3
)

// bestScored returns the endpoint with the lowest score, and one to fall back
// on where all are outliers or ejected.
func (s *selection) bestScored(endpoints []*Endpoint) (best *Endpoint, bestScore float64, fallback *Endpoint) {
	if len(endpoints) > maxCompared {
		if best, bestScore = s.bestOfDrawn(endpoints); best != nil {
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
		score := s.score(e) * (1 + comparedScoreNoise*s.balancer.random())
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

// bestOfDrawn returns the best of a few endpoints, drawn by what each can take:
// with many endpoints a sender knows little of each, and if each sender took
// what seems best, all would run to the same.
func (s *selection) bestOfDrawn(endpoints []*Endpoint) (best *Endpoint, bestScore float64) {
	sums := make([]float64, len(endpoints))
	sum := 0.0
	for i, e := range endpoints {
		if e.isAvailable(s.now) && !e.outlier && !s.hasTried(e) {
			sum += s.capacity(e)
		}
		sums[i] = sum
	}
	if sum == 0 {
		return nil, 0
	}
	for range draws {
		e := endpoints[drawIndex(sums, s.balancer.random()*sum)]
		score := s.score(e) * (1 + drawnScoreNoise*s.balancer.random())
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best, bestScore
}

// capacity returns the weight with which an endpoint is drawn: the requests that
// it can take in a time.
func (s *selection) capacity(e *Endpoint) float64 {
	capacity := float64(e.slots) / e.expectedServiceTime(s.usualServiceTime, s.now)
	if s.Bulk {
		slowdown := e.linkSlowdown(s.now)
		capacity /= slowdown * slowdown
	}
	if e.zone != s.balancer.zone {
		capacity /= s.remoteWeight
	}
	return capacity
}

// drawIndex returns where x falls among the running sums, past entries that add
// nothing.
func drawIndex(sums []float64, x float64) int {
	i, _ := slices.BinarySearch(sums, x)
	for i < len(sums)-1 && (i > 0 && sums[i] == sums[i-1] || sums[i] == 0) {
		i++
	}
	return i
}
