package loadbalancer

// pickDirect chooses among endpoints that are dialled directly. No node knows
// their total load, so it picks two at random and takes the one with the lower
// directScore. The preferred subset comes first, then the node's zone, then all
// zones.
func (s *selection) pickDirect() *Endpoint {
	if s.probesOutlier {
		isOutlier := func(e *Endpoint) bool { return e.outlier && e.isAvailable(s.now) }
		if e := s.firstFromRandomOffset(s.service.sameZone, isOutlier); e != nil {
			return e
		}
	}
	healthy := func(e *Endpoint) bool { return !e.outlier && e.isAvailable(s.now) && !s.hasTried(e) }
	hasFreeSlot := func(e *Endpoint) bool { return healthy(e) && e.inFlight.Load() < e.slots }
	if !s.AnyZone {
		if e := s.betterOfTwo(s.service.preferred, hasFreeSlot); e != nil {
			return e
		}
	}
	if e := s.betterOfTwo(s.service.sameZone, hasFreeSlot); e != nil && !s.AnyZone {
		return e
	}
	if e := s.betterOfTwo(s.service.all, hasFreeSlot); e != nil {
		return e
	}
	if e := s.firstFromRandomOffset(s.service.all, healthy); e != nil {
		return e
	}
	return s.firstFromRandomOffset(s.service.all, func(e *Endpoint) bool { return e.takesRequests() && !s.hasTried(e) })
}

// firstFromRandomOffset returns the first eligible endpoint at or after a random
// position, wrapping around, or nil if none is eligible.
func (s *selection) firstFromRandomOffset(endpoints []*Endpoint, eligible func(*Endpoint) bool) *Endpoint {
	count := len(endpoints)
	if count == 0 {
		return nil
	}
	start := int(s.balancer.random() * float64(count))
	for i := range count {
		if e := endpoints[(start+i)%count]; eligible(e) {
			return e
		}
	}
	return nil
}

// betterOfTwo returns the one with the lower directScore of two randomly chosen
// eligible endpoints, or nil if none is eligible.
func (s *selection) betterOfTwo(endpoints []*Endpoint, eligible func(*Endpoint) bool) *Endpoint {
	first := s.firstFromRandomOffset(endpoints, eligible)
	if first == nil {
		return nil
	}
	second := s.firstFromRandomOffset(endpoints, func(e *Endpoint) bool { return e != first && eligible(e) })
	if second != nil && second.directScore(s.now) < first.directScore(s.now) {
		return second
	}
	return first
}

// directScore returns a score, lower being better, that grows with this node's
// attempts in flight per slot and with how much slower than usual the endpoint
// recently responded.
func (e *Endpoint) directScore(now int64) float64 {
	score := float64(e.inFlight.Load()+1) / float64(e.slots) * e.slowness.Ratio(now)
	if e.warmingUp {
		score *= warmUpFactor
	}
	return score
}
