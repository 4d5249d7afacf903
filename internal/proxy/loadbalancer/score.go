package loadbalancer

import (
	"math"
	"time"
)

const (
	// reportHalfTime is the age at which a load report counts as much as what is
	// usual in the endpoint's zone.
	reportHalfTime = 500 * time.Millisecond
	// linkHalfTime and serviceTimeHalfTime are the same, in times of reportHalfTime, of
	// links and of the time that a request takes, which change more slowly.
	linkHalfTime        = 4
	serviceTimeHalfTime = 8
	// defaultServiceTime is what a request is taken to need while no endpoint of the
	// service has reported.
	defaultServiceTime = float64(50 * time.Millisecond)
	// minUsualServiceTime keeps the usual time of very short requests above 0.
	minUsualServiceTime = float64(time.Millisecond)
	// warmUpFactor is how much slower an endpoint counts that is warming up.
	warmUpFactor = 2
	// queueFactor is how much a request in the queue counts against one in a slot.
	queueFactor = 2
)

const (
	// quietLink is the use of a link below which it slows no request down.
	quietLink = 0.35
	// quietLinkScale and linkLimit shape how bodies slow down as a link fills:
	// quietLinkScale / (linkLimit - use), which is 1 at quietLink.
	quietLinkScale = 0.7
	linkLimit      = 1.05
	// smallOnFullLink is the part of a full link's slowness that requests with
	// small bodies meet.
	smallOnFullLink = 4
)

// score returns the time in nanoseconds until the endpoint would have answered,
// with bytes between zones counted as time. What is not known, or not for long,
// is taken to be as at the other endpoints of its zone.
func (s *selection) score(e *Endpoint) float64 {
	use := (max(e.expectedLoad(s.now), float64(e.inFlight.Load())) + 1) / float64(e.slots)
	serviceTime := e.expectedServiceTime(s.usualServiceTime, s.now)
	score := serviceTime * (1 + use*use)
	if use > 1 {
		score += serviceTime * (use - 1) * queueFactor
	}
	if slowdown := e.linkSlowdown(s.now); slowdown > 1 {
		if !s.Bulk {
			slowdown = 1 + (slowdown-1)/smallOnFullLink
		}
		score *= slowdown
	}
	if e.warmingUp {
		score *= warmUpFactor
	}
	if e.zone != s.balancer.zone {
		score *= s.remoteWeight
	}
	return score
}

// reportAge returns the age of the last load report in times of reportHalfTime.
func (e *Endpoint) reportAge(now int64) float64 {
	return float64(now-e.lastReport.Load()) / float64(reportHalfTime)
}

// expectedLoad returns the requests running and queued at the endpoint, as far
// as they are known.
func (e *Endpoint) expectedLoad(now int64) float64 {
	age := e.reportAge(now)
	weight := 1 / (1 + age*age)
	usual := e.zoneLoad.slots.value() * float64(e.slots)
	return usual + (float64(e.load.Load())-usual)*weight
}

// linkSlowdown returns by what factor the link of the endpoint's machine slows
// bodies down.
func (e *Endpoint) linkSlowdown(now int64) float64 {
	age := e.reportAge(now)
	usual := e.zoneLoad.links.value()
	use := usual + (float64(e.linkPercent.Load())/100-usual)/(1+age*age/(linkHalfTime*linkHalfTime))
	if use < quietLink {
		return 1
	}
	return quietLinkScale / (linkLimit - min(use, 1))
}

// expectedServiceTime returns the time in nanoseconds that a request takes at the
// endpoint.
func (e *Endpoint) expectedServiceTime(usual float64, now int64) float64 {
	reported := e.serviceTime.Load()
	if reported == 0 {
		return usual
	}
	age := float64(now-e.lastReport.Load()) / float64(serviceTimeHalfTime*reportHalfTime)
	return usual + (float64(reported)-usual)/(1+age*age)
}

// usualServiceTime returns the mean time in nanoseconds that requests take at the
// endpoints that reported: what one without a recent report is taken to need.
func usualServiceTime(endpoints []*Endpoint) float64 {
	sum, count := int64(0), int64(0)
	for _, e := range endpoints {
		if serviceTime := e.serviceTime.Load(); serviceTime > 0 {
			sum += serviceTime
			count++
		}
	}
	if count == 0 {
		return defaultServiceTime
	}
	return max(float64(sum/count), minUsualServiceTime)
}

// fullZoneLoad is the load per slot from which on no request keeps to its zone.
const fullZoneLoad = 1.15

// zoneShare returns the share of requests that keep to a zone whose endpoints
// are that full. The more slots an endpoint has, the fuller it can be without a
// queue.
func zoneShare(load float64, slots int64) float64 {
	quietLoad := 1 - 1/math.Sqrt(float64(slots)+1)
	return min(max((fullZoneLoad-load)/(fullZoneLoad-quietLoad), 0), 1)
}
