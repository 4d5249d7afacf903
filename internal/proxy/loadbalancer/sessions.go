package loadbalancer

import "corkcove/internal/affinity"

// Accepts reports whether an endpoint takes the requests of its sessions. If not,
// reason is affinity.ReasonDrain or affinity.ReasonEnded, for which its sessions
// move. It implements affinity.Endpoints.
func (b *Balancer) Accepts(serviceName, id string) (ok bool, reason string) {
	s := b.table.Load().services[serviceName]
	if s == nil {
		return false, affinity.ReasonEnded
	}
	for _, e := range s.all {
		if e.id != id {
			continue
		}
		if e.takesRequests() {
			return true, ""
		}
		return false, affinity.ReasonDrain
	}
	return false, affinity.ReasonEnded
}

// Available returns the IDs of the endpoints to which a new session may be
// assigned: all that take requests, except outliers unless there are no others.
// It implements affinity.Endpoints.
func (b *Balancer) Available(serviceName string) []string {
	s := b.table.Load().services[serviceName]
	if s == nil {
		return nil
	}
	ids := make([]string, 0, len(s.all))
	for _, e := range s.all {
		if e.takesRequests() && !e.outlier {
			ids = append(ids, e.id)
		}
	}
	if len(ids) > 0 {
		return ids
	}
	for _, e := range s.all {
		if e.takesRequests() {
			ids = append(ids, e.id)
		}
	}
	return ids
}
