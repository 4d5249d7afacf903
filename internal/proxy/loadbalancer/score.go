package loadbalancer

import (
	"math"
	"time"
)

const (
	// reportHalfWeightAge is the age at which a load report and the average of the
	// endpoint's zone have equal weight.
	reportHalfWeightAge = 500 * time.Millisecond
	// linkAgeFactor and serviceTimeAgeFactor are the corresponding ages for link
	// utilization and service time, in multiples of reportHalfWeightAge. Both change
	// more slowly than the load.
	linkAgeFactor        = 4
	serviceTimeAgeFactor = 8
	// defaultServiceTime is the service time in nanoseconds that is assumed until an
	// endpoint of the service has reported one.
	defaultServiceTime = float64(50 * time.Millisecond)
	// minMeanServiceTime is the lower bound of the mean service time in nanoseconds.
	// It keeps the mean above 0 for very short requests.
	minMeanServiceTime = float64(time.Millisecond)
	// warmUpFactor is the factor by which warming up raises an endpoint's score.
	warmUpFactor = 2
	// queueFactor is the additional weight of load in excess of the slots, that is,
	// of queued requests.
	queueFactor = 2
)

const (
	// uncongestedLinkUse is the link utilization below which requests are not slowed
	// down.
	uncongestedLinkUse = 0.35
	// linkSlowdownScale and linkSlowdownAsymptote define the factor by which a link
	// slows bodies down: linkSlowdownScale / (linkSlowdownAsymptote - use), which
	// is 1 at uncongestedLinkUse.
	linkSlowdownScale     = 0.7
	linkSlowdownAsymptote = 1.05
	// smallBodyLinkDivisor divides the extra time on a congested link for requests
	// with small bodies, which are slowed down less.
	smallBodyLinkDivisor = 4
)

// score returns the endpoint's expected response time in nanoseconds, raised if
// the endpoint is warming up or in another zone. Where there is no recent load
// report, it assumes averages: for slots and link those of the endpoint's zone,
// for service time the mean of the service.
func (s *selection) score(e *Endpoint) float64 {
	use := (max(e.expectedLoad(s.now), float64(e.inFlight.Load())) + 1) / float64(e.slots)
	serviceTime := e.expectedServiceTime(s.meanServiceTime, s.now)
	score := serviceTime * (1 + use*use)
	if use > 1 {
		score += serviceTime * (use - 1) * queueFactor
	}
	if slowdown := e.linkSlowdown(s.now); slowdown > 1 {
		if !s.Bulk {
			slowdown = 1 + (slowdown-1)/smallBodyLinkDivisor
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

// reportAge returns the age of the last load report in multiples of
// reportHalfWeightAge.
func (e *Endpoint) reportAge(now int64) float64 {
	return float64(now-e.lastReportAt.Load()) / float64(reportHalfWeightAge)
}

// expectedLoad returns the estimated number of requests running and queued at the
// endpoint: its last report, weighted by age against the average of its zone.
func (e *Endpoint) expectedLoad(now int64) float64 {
	age := e.reportAge(now)
	weight := 1 / (1 + age*age)
	average := e.zoneLoad.slotUse.value() * float64(e.slots)
	return average + (float64(e.load.Load())-average)*weight
}

// linkSlowdown returns the factor by which the link of the endpoint's machine is
// estimated to slow bodies down; 1 is no slowdown.
func (e *Endpoint) linkSlowdown(now int64) float64 {
	age := e.reportAge(now)
	average := e.zoneLoad.linkUse.value()
	use := average + (float64(e.linkPercent.Load())/100-average)/(1+age*age/(linkAgeFactor*linkAgeFactor))
	if use < uncongestedLinkUse {
		return 1
	}
	return linkSlowdownScale / (linkSlowdownAsymptote - min(use, 1))
}

// expectedServiceTime returns the estimated service time at the endpoint in
// nanoseconds: its last report, weighted by age against mean, the mean service
// time of the service.
func (e *Endpoint) expectedServiceTime(mean float64, now int64) float64 {
	reported := e.serviceTime.Load()
	if reported == 0 {
		return mean
	}
	age := float64(now-e.lastReportAt.Load()) / float64(serviceTimeAgeFactor*reportHalfWeightAge)
	return mean + (float64(reported)-mean)/(1+age*age)
}

// meanServiceTime returns the mean service time in nanoseconds of the endpoints
// that have reported one. It is assumed for endpoints without a recent report.
func meanServiceTime(endpoints []*Endpoint) float64 {
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
	return max(float64(sum/count), minMeanServiceTime)
}

// saturatedZoneLoad is the load per slot at and above which no request is
// restricted to its zone, except uploads.
const saturatedZoneLoad = 1.15

// sameZoneShare returns the share of requests, 0 to 1, that are restricted to
// their zone at the given average load per slot. The more slots an endpoint has,
// the higher the load per slot that it takes without queueing.
func sameZoneShare(load float64, slots int64) float64 {
	uncongestedLoad := 1 - 1/math.Sqrt(float64(slots)+1)
	return min(max((saturatedZoneLoad-load)/(saturatedZoneLoad-uncongestedLoad), 0), 1)
}
