package loadbalancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer chooses endpoints. It is safe for concurrent use once the methods
// that configure it (PreferSubset, SetLocalNode, SlowStart, SetRandomAndClock)
// have been called.
type Balancer struct {
	zone         string
	remoteWeight float64
	bulkWeight   float64
	nodeName     string
	subsetSize   int
	localNode    string
	slowStart    int64
	random       func() float64
	now          func() int64

	// mu guards states and zoneLoads, which ApplyView carries from view to view.
	mu        sync.Mutex
	states    map[string]*endpointState
	zoneLoads map[zoneKey]*zoneLoad

	table atomic.Pointer[table]
}

// New returns a balancer for a node of the zone. Endpoints of other zones count
// as slower by remoteWeight, and by bulkWeight for bulk requests.
func New(zone string, remoteWeight, bulkWeight float64) *Balancer {
	b := &Balancer{
		zone:         zone,
		remoteWeight: remoteWeight,
		bulkWeight:   bulkWeight,
		random:       rand.Float64,
		now:          func() int64 { return time.Now().UnixNano() },
		states:       map[string]*endpointState{},
		zoneLoads:    map[zoneKey]*zoneLoad{},
	}
	b.table.Store(&table{services: map[string]*service{}})
	return b
}

// PreferSubset makes the node of that name keep to size endpoints of each
// service in its zone while these can take its requests.
func (b *Balancer) PreferSubset(nodeName string, size int) *Balancer {
	b.nodeName, b.subsetSize = nodeName, size
	return b
}

// SetLocalNode tells which node this is: bulk bodies to or from the endpoint
// beside it do not use the machine's link.
func (b *Balancer) SetLocalNode(node string) *Balancer {
	b.localNode = node
	return b
}

// SlowStart sets how long a new copy of a hot key takes to come up to its full
// share of reads.
func (b *Balancer) SlowStart(d time.Duration) *Balancer {
	b.slowStart = int64(d)
	return b
}

// SetRandomAndClock replaces the sources of chance and time, for simulations.
// The clock is in nanoseconds.
func (b *Balancer) SetRandomAndClock(random func() float64, now func() int64) {
	b.random, b.now = random, now
}

// Weights returns the weights that endpoints of other zones have.
func (b *Balancer) Weights() (remote, bulk float64) { return b.remoteWeight, b.bulkWeight }

// NodeCount returns how many nodes the view counts.
func (b *Balancer) NodeCount() int { return b.table.Load().nodes }
