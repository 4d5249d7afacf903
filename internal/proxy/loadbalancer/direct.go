package loadbalancer

// pickDirect serves nodes that dial endpoints themselves: nobody knows the
// endpoints' whole load, so two are drawn and the one that owes this node less
// and has answered it faster is taken.
func (s *selection) pickDirect() *Endpoint {
	if s.probesOutlier {
		isOutlier := func(e *Endpoint) bool { return e.outlier && e.isAvailable(s.now) }
		if e := s.drawFitting(s.service.sameZone, isOutlier); e != nil {
			return e
		}
	}
	healthy := func(e *Endpoint) bool { return !e.outlier && e.isAvailable(s.now) && !s.hasTried(e) }
	hasSlot := func(e *Endpoint) bool { return healthy(e) && e.inFlight.Load() < e.slots }
	if !s.AnyZone {
		if e := s.betterOfTwo(s.service.preferred, hasSlot); e != nil {
			return e
		}
	}
	if e := s.betterOfTwo(s.service.sameZone, hasSlot); e != nil && !s.AnyZone {
		return e
	}
	if e := s.betterOfTwo(s.service.all, hasSlot); e != nil {
		return e
	}
	if e := s.drawFitting(s.service.all, healthy); e != nil {
		return e
	}
	return s.drawFitting(s.service.all, func(e *Endpoint) bool { return e.takesRequests() && !s.hasTried(e) })
}

// drawFitting walks from a drawn position to the first endpoint that fits.
func (s *selection) drawFitting(endpoints []*Endpoint, fits func(*Endpoint) bool) *Endpoint {
	count := len(endpoints)
	if count == 0 {
		return nil
	}
	start := int(s.balancer.random() * float64(count))
	for i := range count {
		if e := endpoints[(start+i)%count]; fits(e) {
			return e
		}
	}
	return nil
}

func (s *selection) betterOfTwo(endpoints []*Endpoint, fits func(*Endpoint) bool) *Endpoint {
	first := s.drawFitting(endpoints, fits)
	if first == nil {
		return nil
	}
	second := s.drawFitting(endpoints, func(e *Endpoint) bool { return e != first && fits(e) })
	if second != nil && second.burden(s.now) < first.burden(s.now) {
		return second
	}
	return first
}

// burden grows with what this node waits for at the endpoint and with how much
// longer than usual the endpoint took of late.
func (e *Endpoint) burden(now int64) float64 {
	burden := float64(e.inFlight.Load()+1) / float64(e.slots) * e.slowness.Ratio(now)
	if e.warmingUp {
		burden *= warmUpFactor
	}
	return burden
}
