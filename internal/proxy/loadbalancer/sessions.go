package loadbalancer

import "corkcove/internal/affinity"

// Accepts tells whether an endpoint takes the requests of its sessions, and if
// not, why its sessions move. It serves affinity.Endpoints.
func (b *Balancer) Accepts(serviceName, id string) (ok bool, why string) {
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

// Available returns the endpoints that a session may be assigned to: all that
// take requests, without outliers unless there are no others.
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
