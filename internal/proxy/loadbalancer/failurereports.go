package loadbalancer

import (
	"slices"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

// FailureReports returns this node's recent counts of successful and failed
// requests by endpoint, for the cluster controller, sorted by endpoint ID. It
// includes the endpoints with failures, and outliers with successes so that
// their recovery can be detected.
func (b *Balancer) FailureReports() []*meshpb.FailureReport {
	now := b.now()
	var reports []*meshpb.FailureReport
	for _, s := range b.table.Load().services {
		for _, e := range s.all {
			successes, failures := e.results.Totals(now)
			if failures > 0 || e.outlier && successes > 0 {
				reports = append(reports, &meshpb.FailureReport{Endpoint: e.id, Successes: successes, Failures: failures})
			}
		}
	}
	slices.SortFunc(reports, func(a, b *meshpb.FailureReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return reports
}
