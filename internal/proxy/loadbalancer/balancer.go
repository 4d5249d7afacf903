package loadbalancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Balancer chooses endpoints. It is safe for concurrent use; the methods that
// configure it (PreferSubset, SetLocalNode, SlowStart, SetRandomAndClock) must
// be called before first use.
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

	// mu guards states and zoneLoads, which persist across views.
	mu        sync.Mutex
	states    map[string]*endpointState
	zoneLoads map[zoneKey]*zoneLoad

	table atomic.Pointer[table]
}

// New returns a balancer for a node in the given zone. The scores of endpoints
// in other zones are multiplied by remoteWeight, or by bulkWeight for bulk
// requests. A lower score is better.
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
	b.table.Store(&table{services: map[string]*serviceEndpoints{}})
	return b
}

// PreferSubset makes the named node send its requests to a subset of size
// endpoints of each service in its zone, as long as one of them has a free slot.
// It applies only to endpoints that are dialled directly.
func (b *Balancer) PreferSubset(nodeName string, size int) *Balancer {
	b.nodeName, b.subsetSize = nodeName, size
	return b
}

// SetLocalNode sets the name of this node. Bulk requests prefer the endpoint beside
// it, because their bodies then do not use the machine's network link.
func (b *Balancer) SetLocalNode(node string) *Balancer {
	b.localNode = node
	return b
}

// SlowStart sets the time over which an endpoint that is added to a hot key
// reaches its full share of the key's reads.
func (b *Balancer) SlowStart(d time.Duration) *Balancer {
	b.slowStart = int64(d)
	return b
}

// SetRandomAndClock replaces the random source and the clock, for simulations.
// random returns numbers in [0, 1), now a time in nanoseconds.
func (b *Balancer) SetRandomAndClock(random func() float64, now func() int64) {
	b.random, b.now = random, now
}

// Weights returns the factors by which the scores of endpoints in other zones
// are multiplied: remote for ordinary requests, bulk for bulk requests.
func (b *Balancer) Weights() (remote, bulk float64) { return b.remoteWeight, b.bulkWeight }

// NodeCount returns the number of nodes in the mesh according to the latest
// view.
func (b *Balancer) NodeCount() int { return b.table.Load().nodes }
