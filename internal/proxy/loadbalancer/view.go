package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// table is what one view says. It is never changed once it is in use.
type table struct {
	services map[string]*service
	nodes    int
	hotKeys  map[uint64]*hotKey
}

// service is a service's endpoints: all of them, those of this node's zone, and
// of these the subset that this node prefers.
type service struct {
	all       []*Endpoint
	sameZone  []*Endpoint
	preferred []*Endpoint
}

// zoneKey names a service's endpoints in one zone.
type zoneKey struct{ service, zone string }

// ApplyView takes in a view. What is known of endpoints that stay is kept.
func (b *Balancer) ApplyView(view *meshpb.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &table{services: map[string]*service{}, nodes: int(view.Nodes)}
	states := make(map[string]*endpointState, len(view.Endpoints))
	for _, published := range view.Endpoints {
		e := b.newEndpoint(published)
		states[e.id] = e.endpointState
		next.add(published.Service, e, b.zone)
	}
	for _, s := range next.services {
		s.preferred = subset(b.nodeName, s.sameZone, b.subsetSize)
	}
	next.hotKeys = b.hotKeys(view.HotKeys, next, b.table.Load())
	b.states = states
	b.table.Store(next)
}

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
		hash:          xxhash.Sum64String(published.Id),
		zoneLoad:      b.zoneLoads[key],
		endpointState: state,
	}
}

func (t *table) add(name string, e *Endpoint, zone string) {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	s.all = append(s.all, e)
	if e.zone == zone {
		s.sameZone = append(s.sameZone, e)
	}
}

// subset returns size of the endpoints by rendezvous hashing, so that nodes
// spread evenly and an endpoint that comes or goes moves few.
func subset(nodeName string, endpoints []*Endpoint, size int) []*Endpoint {
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

// Find returns a service's endpoint by its ID if it takes requests, or nil.
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
