package clustercontroller

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxOutlierShare is the largest fraction of a service's endpoints that may be
	// marked as outliers.
	maxOutlierShare = 0.4
	// minOutlierFailurePercent is the lowest failure percentage at which an endpoint may
	// be marked as an outlier or ejected.
	minOutlierFailurePercent = 20
	// outlierMedianFactor is the multiple of the median failure percentage of its service
	// that an outlier exceeds.
	outlierMedianFactor = 2
	// minEjectionFailures is the number of failures, reported by all nodes together, at
	// which an endpoint is ejected.
	minEjectionFailures = 3
	// minRecoverySuccesses is the number of successes without a failure, reported by all
	// nodes together, that ends an ejection early.
	minRecoverySuccesses = 4
	// baseEjectionTime is the longest that a first ejection lasts. The limit doubles
	// with each further ejection, up to maxEjectionTime.
	baseEjectionTime = 2500 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
	// ejectionBackoffReset is the time after the end of an ejection at which its record is
	// deleted. The limit on a later ejection is then baseEjectionTime again.
	ejectionBackoffReset = 4 * maxEjectionTime
)

// markOutliers marks the endpoints that fail more than others of their service, at
// most maxOutlierShare of the service: if most endpoints fail, avoiding some of them
// only shifts their load to others that fail as well. It modifies neither the slice nor
// the endpoints that it is given.
func markOutliers(endpoints []*meshpb.Endpoint, failurePercents map[string]uint32) []*meshpb.Endpoint {
	indexesByService := map[string][]int{}
	for i, e := range endpoints {
		if lifecycle.State(e.State) == lifecycle.Up {
			indexesByService[e.Service] = append(indexesByService[e.Service], i)
		}
	}
	marked := endpoints
	copied := false
	for _, indexes := range indexesByService {
		for _, i := range findOutliers(endpoints, indexes, failurePercents) {
			if !copied {
				marked, copied = slices.Clone(endpoints), true
			}
			outlier := proto.Clone(endpoints[i]).(*meshpb.Endpoint)
			outlier.Outlier = true
			marked[i] = outlier
		}
	}
	return marked
}

// findOutliers returns the indexes of a service's outliers, the highest failure
// percentage first; indexes are those of the service's endpoints that are up.
func findOutliers(endpoints []*meshpb.Endpoint, indexes []int, failurePercents map[string]uint32) []int {
	percentOf := func(i int) uint32 { return failurePercents[endpoints[i].Id] }
	sortedPercents := make([]uint32, len(indexes))
	for k, i := range indexes {
		sortedPercents[k] = percentOf(i)
	}
	slices.Sort(sortedPercents)
	median := sortedPercents[len(sortedPercents)/2]
	var outliers []int
	for _, i := range indexes {
		if p := percentOf(i); p >= minOutlierFailurePercent && p > outlierMedianFactor*median {
			outliers = append(outliers, i)
		}
	}
	slices.SortFunc(outliers, func(a, b int) int {
		return cmp.Or(cmp.Compare(percentOf(b), percentOf(a)), cmp.Compare(endpoints[a].Id, endpoints[b].Id))
	})
	limit := int(maxOutlierShare * float64(len(indexes)))
	return outliers[:min(len(outliers), limit)]
}

// ejection is an endpoint's current or last ejection, decided from the reports of the
// nodes that call it.
type ejection struct {
	// failurePercent is the highest failure percentage during the ejection, 0 after its
	// end.
	failurePercent uint32
	// changedAt is the time at which the ejection began or ended.
	changedAt time.Duration
	// duration is the time after which the ejection ends unless the endpoint recovers
	// earlier.
	duration time.Duration
}

// end ends the ejection. It stays recorded so that another one soon after lasts longer.
func (e *ejection) end(now time.Duration) { e.failurePercent, e.changedAt = 0, now }

// ejections holds the current and recent ejections by endpoint id. An endpoint whose
// failures, summed over all nodes, are too many is ejected, for longer each time. The
// ejection ends when the few requests that nodes still send it succeed, or when its
// duration has passed.
type ejections map[string]*ejection

// update applies the nodes' last reports and returns the failure percentage of each
// endpoint that is ejected now, by id.
func (e ejections) update(histories map[string]*nodeHistory, now time.Duration) map[string]uint32 {
	for id, report := range sumFailureReports(histories) {
		e.applyReport(id, report, now)
	}
	failurePercents := map[string]uint32{}
	for id, entry := range e {
		e.expire(id, entry, now)
		if entry.failurePercent > 0 {
			failurePercents[id] = entry.failurePercent
		}
	}
	return failurePercents
}

// sumFailureReports adds up the failure reports of all reachable nodes by endpoint id.
func sumFailureReports(histories map[string]*nodeHistory) map[string]*meshpb.FailureReport {
	sums := map[string]*meshpb.FailureReport{}
	for _, history := range histories {
		if !history.reachable {
			continue
		}
		for _, report := range history.state.GetFailureReports() {
			sum := sums[report.Endpoint]
			if sum == nil {
				sum = &meshpb.FailureReport{}
				sums[report.Endpoint] = sum
			}
			sum.Successes += report.Successes
			sum.Failures += report.Failures
		}
	}
	return sums
}

// applyReport begins, continues or ends an endpoint's ejection as its summed report
// requires.
func (e ejections) applyReport(id string, report *meshpb.FailureReport, now time.Duration) {
	entry := e[id]
	if shouldEject(report) {
		if entry == nil {
			entry = &ejection{duration: baseEjectionTime}
			e[id] = entry
		} else if entry.failurePercent == 0 {
			entry.duration = min(2*entry.duration, maxEjectionTime)
		}
		if entry.failurePercent == 0 {
			entry.changedAt = now
		}
		entry.failurePercent = max(failurePercent(report), entry.failurePercent)
		return
	}
	if entry != nil && entry.failurePercent > 0 && report.Failures == 0 && report.Successes >= minRecoverySuccesses {
		entry.end(now)
	}
}

// shouldEject reports whether an endpoint's summed report justifies an ejection.
func shouldEject(report *meshpb.FailureReport) bool {
	return report.Failures >= minEjectionFailures && failurePercent(report) >= minOutlierFailurePercent
}

// failurePercent returns the percentage of failures; the report must not be empty.
func failurePercent(report *meshpb.FailureReport) uint32 {
	return 100 * report.Failures / (report.Successes + report.Failures)
}

// expire ends an ejection whose duration has passed, and deletes its record
// ejectionBackoffReset after its end.
func (e ejections) expire(id string, entry *ejection, now time.Duration) {
	switch {
	case entry.failurePercent > 0 && now-entry.changedAt > entry.duration:
		entry.end(now)
	case entry.failurePercent == 0 && now-entry.changedAt > ejectionBackoffReset:
		delete(e, id)
	}
}
