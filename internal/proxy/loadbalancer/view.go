package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// table holds the contents of one view. It is immutable once it is stored in
// Balancer.table.
type table struct {
	services map[string]*serviceEndpoints
	nodes    int
	hotKeys  map[uint64]*hotKey
}

// serviceEndpoints holds the endpoints of one service: all of them, those in this
// node's zone, and the subset of the latter that PreferSubset sets.
type serviceEndpoints struct {
	all       []*Endpoint
	sameZone  []*Endpoint
	preferred []*Endpoint
}

// zoneKey identifies the endpoints of one service in one zone.
type zoneKey struct{ service, zone string }

// ApplyView replaces the endpoints with those of the view. Endpoints that were in
// the previous view keep their observed state.
func (b *Balancer) ApplyView(view *meshpb.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &table{services: map[string]*serviceEndpoints{}, nodes: int(view.Nodes)}
	states := make(map[string]*endpointState, len(view.Endpoints))
	for _, published := range view.Endpoints {
		e := b.newEndpoint(published)
		states[e.id] = e.endpointState
		next.add(published.Service, e, b.zone)
	}
	for _, s := range next.services {
		s.preferred = rendezvousSubset(b.nodeName, s.sameZone, b.subsetSize)
	}
	next.hotKeys = b.buildHotKeys(view.HotKeys, next, b.table.Load())
	b.states = states
	b.table.Store(next)
}

// newEndpoint returns an endpoint of the view with the state kept for its ID, or
// with new state. The caller holds b.mu.
func (b *Balancer) newEndpoint(published *meshpb.Endpoint) *Endpoint {
	state := b.states[published.Id]
	if state == nil {
		state = &endpointState{}
	}
	key := zoneKey{published.Service, published.Zone}
	if b.zoneLoads[key] == nil {
		b.zoneLoads[key] = &zoneLoad{}
	}
	return &Endpoint{
		id:            published.Id,
		node:          published.Node,
		inboundAddr:   published.Inbound,
		addr:          published.Addr,
		zone:          published.Zone,
		slots:         max(int64(published.Slots), 1),
		up:            lifecycle.State(published.State) == lifecycle.Up,
		warmingUp:     published.WarmupMs > 0,
		outlier:       published.Outlier,
		idHash:        xxhash.Sum64String(published.Id),
		zoneLoad:      b.zoneLoads[key],
		endpointState: state,
	}
}

// add adds an endpoint of the named service. localZone is this node's zone.
func (t *table) add(serviceName string, e *Endpoint, localZone string) {
	s := t.services[serviceName]
	if s == nil {
		s = &serviceEndpoints{}
		t.services[serviceName] = s
	}
	s.all = append(s.all, e)
	if e.zone == localZone {
		s.sameZone = append(s.sameZone, e)
	}
}

// rendezvousSubset returns size of the endpoints, chosen by rendezvous hashing.
// The subsets of different nodes spread evenly over the endpoints, and adding or
// removing an endpoint changes few subsets. It returns all endpoints if size is not
// positive or there are no more than size.
func rendezvousSubset(nodeName string, endpoints []*Endpoint, size int) []*Endpoint {
	if size <= 0 || len(endpoints) <= size {
		return endpoints
	}
	type ranked struct {
		endpoint *Endpoint
		hash     uint64
	}
	ranking := make([]ranked, len(endpoints))
	for i, e := range endpoints {
		ranking[i] = ranked{e, xxhash.Sum64String(nodeName + " " + e.id)}
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	chosen := make([]*Endpoint, size)
	for i := range chosen {
		chosen[i] = ranking[i].endpoint
	}
	return chosen
}

// Find returns the endpoint of a service with the given ID, or nil if there is no
// such endpoint or it does not take requests.
func (b *Balancer) Find(serviceName, id string) *Endpoint {
	s := b.table.Load().services[serviceName]
	if s == nil {
		return nil
	}
	for _, e := range s.all {
		if e.id == id && e.takesRequests() {
			return e
		}
	}
	return nil
}
