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
	// maxOutlierShare bounds the part of a service's endpoints that are outliers.
	maxOutlierShare = 0.4
	// outlierFailurePercent is the share of failures from which an endpoint may be an
	// outlier.
	outlierFailurePercent = 20
	// outlierMedianFactor: an outlier fails more than so many times what the median
	// endpoint of its service does.
	outlierMedianFactor = 2
	// minReportedFailures is how many failures, reported by all nodes together, it
	// takes to eject an endpoint.
	minReportedFailures = 3
	// minRecoverySuccesses, reported by all nodes together, end an ejection.
	minRecoverySuccesses = 4
	// baseEjectionTime is how long the first ejection lasts at most; each one after it
	// lasts twice as long, up to maxEjectionTime.
	baseEjectionTime = 2500 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
	// ejectionMemory is how long after its end an ejection lengthens the next one.
	ejectionMemory = 4 * maxEjectionTime
)

// markOutliers marks endpoints that fail more than their peers, at most a bounded
// share of a service: where most fail, none is better than another. It changes
// neither the slice nor the endpoints that it is given.
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
		for _, i := range outliersOf(endpoints, indexes, failurePercents) {
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

// outliersOf returns the indexes of one service's endpoints that are outliers.
func outliersOf(endpoints []*meshpb.Endpoint, indexes []int, failurePercents map[string]uint32) []int {
	percentOf := func(i int) uint32 { return failurePercents[endpoints[i].Id] }
	sorted := make([]uint32, len(indexes))
	for k, i := range indexes {
		sorted[k] = percentOf(i)
	}
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	var worst []int
	for _, i := range indexes {
		if p := percentOf(i); p >= outlierFailurePercent && p > outlierMedianFactor*median {
			worst = append(worst, i)
		}
	}
	slices.SortFunc(worst, func(a, b int) int {
		return cmp.Or(cmp.Compare(percentOf(b), percentOf(a)), cmp.Compare(endpoints[a].Id, endpoints[b].Id))
	})
	limit := int(maxOutlierShare * float64(len(indexes)))
	return worst[:min(len(worst), limit)]
}

// ejection is what the master holds of an endpoint that several nodes call.
type ejection struct {
	// failurePercent is the share of failures that it is ejected for, 0 once that has
	// ended.
	failurePercent uint32
	// since is when it was ejected, or when that ended.
	since    time.Duration
	duration time.Duration
}

func (e *ejection) end(now time.Duration) { e.failurePercent, e.since = 0, now }

// ejections joins what the nodes report of each endpoint, by id. One that fails too
// much is ejected, longer each time, until the nodes' few attempts succeed or its
// time is over.
type ejections map[string]*ejection

// update returns the share of failures of each endpoint that is ejected now.
func (e ejections) update(histories map[string]*nodeHistory, now time.Duration) map[string]uint32 {
	for id, report := range sumFailureReports(histories) {
		e.apply(id, report, now)
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

func (e ejections) apply(id string, report *meshpb.FailureReport, now time.Duration) {
	entry := e[id]
	if failing(report) {
		if entry == nil {
			entry = &ejection{duration: baseEjectionTime}
			e[id] = entry
		} else if entry.failurePercent == 0 {
			entry.duration = min(2*entry.duration, maxEjectionTime)
		}
		if entry.failurePercent == 0 {
			entry.since = now
		}
		entry.failurePercent = max(failurePercent(report), entry.failurePercent)
		return
	}
	if entry != nil && entry.failurePercent > 0 && report.Failures == 0 && report.Successes >= minRecoverySuccesses {
		entry.end(now)
	}
}

func failing(report *meshpb.FailureReport) bool {
	return report.Failures >= minReportedFailures && failurePercent(report) >= outlierFailurePercent
}

func failurePercent(report *meshpb.FailureReport) uint32 {
	return 100 * report.Failures / (report.Successes + report.Failures)
}

// expire ends an ejection whose time is over, and forgets it a while after.
func (e ejections) expire(id string, entry *ejection, now time.Duration) {
	switch {
	case entry.failurePercent > 0 && now-entry.since > entry.duration:
		entry.end(now)
	case entry.failurePercent == 0 && now-entry.since > ejectionMemory:
		delete(e, id)
	}
}
