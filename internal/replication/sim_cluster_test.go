package replication_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// simCluster and what follows run a core of replicas in virtual time, on simulated
// disks and connections. One seed gives one order of events; nothing sleeps.

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events by their time, and by the order of their making.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

func (a *eventQueue) Pop() any {
	o := *a
	x := o[len(o)-1]
	*a = o[:len(o)-1]
	return x
}

// testingT is what *testing.T and *rapid.T have in common.
type testingT interface {
	Helper()
	Log(a ...any)
	Fatal(a ...any)
	Fatalf(f string, a ...any)
}

type simCluster struct {
	t         testingT
	now       time.Duration
	scheduled int
	events    eventQueue
	rng       *rand.Rand
	nodes     map[string]*simNode
	addresses []string
	// seedOverride are the seeds of all that start later, if set.
	seedOverride []string
	// syncDelay is how long a healthy disk takes for a sync.
	syncDelay time.Duration
	// withoutEpochChanges is a member that knows no epoch changes; replicateCalls
	// counts the calls of Replicate.
	withoutEpochChanges string
	replicateCalls      int
	partitioned         map[[2]string]bool
	// Lost is what goes from one address to another that is partitioned from it, what
	// nodes send that are notSending, and what is sent to those notReceiving.
	notSending    map[string]bool
	notReceiving  map[string]bool
	lossRate      float64
	delayRate     float64
	duplicateRate float64
	createdIDs    int
	initialSize   int
	lines         []string
}

// simShards is the number of shards of a simulated core.
const simShards = 4

func newSimCluster(t testingT, seed int64, members int) *simCluster {
	c := &simCluster{
		t:            t,
		rng:          rand.New(rand.NewSource(seed)),
		nodes:        map[string]*simNode{},
		partitioned:  map[[2]string]bool{},
		notSending:   map[string]bool{},
		notReceiving: map[string]bool{},
		initialSize:  members,
		syncDelay:    2 * time.Millisecond,
	}
	for i := 0; i < members; i++ {
		c.addresses = append(c.addresses, fmt.Sprintf("m%d", i))
	}
	for _, address := range slices.Clone(c.addresses) {
		c.addNode(address, true)
	}
	return c
}

func (c *simCluster) logf(f string, a ...any) {
	c.lines = append(c.lines, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(f, a...))
}

// schedule has f run after d.
func (c *simCluster) schedule(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now + d, c.scheduled, f})
}

// runUntil runs all events up to that time.
func (c *simCluster) runUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		h := heap.Pop(&c.events).(event)
		c.now = h.at
		h.run()
	}
	c.now = until
}

// seedsFor are the seeds of a node that starts: the first three at the first start;
// later some that the platform's list knows, which lags.
func (c *simCluster) seedsFor(first bool) []*meshpb.Member {
	var out []*meshpb.Member
	for _, a := range c.addresses {
		if m := c.nodes[a]; first || m != nil && m.discoverable(c.now) {
			out = append(out, &meshpb.Member{Addr: a, Control: a})
		}
	}
	if first {
		return out[:min(c.initialSize, 3)]
	}
	if c.seedOverride != nil {
		out = out[:0]
		for _, a := range c.seedOverride {
			out = append(out, &meshpb.Member{Addr: a, Control: a})
		}
		return out
	}
	c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), 3)]
}

// discoveryLag is how long the platform's list takes to follow the nodes.
const discoveryLag = 3 * time.Second

func (c *simCluster) addNode(addr string, first bool) *simNode {
	m := &simNode{cluster: c, address: addr, syncDelay: c.syncDelay, bootstrap: first}
	c.nodes[addr], m.addedAt = m, c.now
	if !slices.Contains(c.addresses, addr) {
		c.addresses = append(c.addresses, addr)
	}
	m.start()
	return m
}

// setSyncDelay sets how long all disks take for a sync.
func (c *simCluster) setSyncDelay(d time.Duration) {
	c.syncDelay = d
	for _, m := range c.allNodes() {
		m.syncDelay = d
	}
}

// allNodes are the nodes in the order in which they were added.
func (c *simCluster) allNodes() []*simNode {
	var out []*simNode
	for _, a := range c.addresses {
		out = append(out, c.nodes[a])
	}
	return out
}

// setIsolated cuts, or mends, all connections of a node.
func (c *simCluster) setIsolated(a string, on bool) {
	for _, b := range c.addresses {
		if b != a {
			c.partitioned[[2]string{a, b}], c.partitioned[[2]string{b, a}] = on, on
		}
	}
}

// ownedShards counts the running members that serve a shard, over all shards.
func (c *simCluster) ownedShards() int {
	n := 0
	for s := 0; s < simShards; s++ {
		for _, m := range c.allNodes() {
			if m.running && !m.frozen {
				if _, own := m.replica.OwnedEpoch(s); own {
					n++
				}
			}
		}
	}
	return n
}

// requireServing checks that each shard is owned, and that calls were served.
func requireServing(t testing.TB, cluster *simCluster, r *workload, before int) {
	t.Helper()
	c := qt.New(t)
	if cluster.ownedShards() != simShards {
		for _, l := range cluster.lines[max(0, len(cluster.lines)-40):] {
			t.Log(l)
		}
	}
	c.Assert(cluster.ownedShards(), qt.Equals, simShards)
	c.Assert(r.served > before, qt.IsTrue)
}
