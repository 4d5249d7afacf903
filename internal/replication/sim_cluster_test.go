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

// event is a function to run at a point in virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by their times; events at the same time are
// ordered as they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// testingT has the methods of *testing.T and *rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Log(args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// simCluster simulates a cluster of replicas in virtual time, with simulated disks and
// connections. It runs on one goroutine and never sleeps. All randomness comes from rng, so
// that a seed determines the order of all events.
type simCluster struct {
	t         testingT
	now       time.Duration
	lastSeq   int
	events    eventQueue
	rng       *rand.Rand
	nodes     map[string]*simNode
	addresses []string
	// seedOverride contains the addresses of the seeds of all nodes that start from now on,
	// if it is set.
	seedOverride []string
	// syncDelay is the duration of a sync of a healthy disk.
	syncDelay time.Duration
	// withoutEpochChanges is the address of a member that ignores epoch changes, like
	// earlier releases.
	withoutEpochChanges string
	// replicateCalls is the number of Replicate requests sent.
	replicateCalls int
	// partitioned contains pairs of addresses; messages from the first to the second are
	// lost. So are all messages from nodes in notSending and to nodes in notReceiving.
	partitioned  map[[2]string]bool
	notSending   map[string]bool
	notReceiving map[string]bool
	// The rates are the probabilities that a message is lost, delayed by up to 1.2 s, or
	// duplicated.
	lossRate      float64
	delayRate     float64
	duplicateRate float64
	createdIDs    int
	// initialSize is the number of members at the first start.
	initialSize int
	// logLines contains the log of all nodes and of the test, for failure reports.
	logLines []string
}

// simShards is the number of shards of a simulated cluster.
const simShards = 4

// newSimCluster starts a cluster with the nodes m0, m1 and so on, for the first time.
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

// logf appends a line with the virtual time to logLines.
func (c *simCluster) logf(format string, args ...any) {
	c.logLines = append(c.logLines, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// schedule runs a function after a delay.
func (c *simCluster) schedule(delay time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.events, event{c.now + delay, c.lastSeq, run})
}

// runUntil advances the virtual time and runs all events that are due by then.
func (c *simCluster) runUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// seedsFor returns the seeds of a node that is starting. At the bootstrap, these are the
// first three nodes. Later they are seedOverride if it is set, else up to three random nodes
// known to service discovery, which lags behind.
func (c *simCluster) seedsFor(bootstrap bool) []*meshpb.Member {
	var seeds []*meshpb.Member
	for _, address := range c.addresses {
		if node := c.nodes[address]; bootstrap || node != nil && node.discoverable(c.now) {
			seeds = append(seeds, &meshpb.Member{Addr: address, Control: address})
		}
	}
	if bootstrap {
		return seeds[:min(c.initialSize, 3)]
	}
	if c.seedOverride != nil {
		seeds = seeds[:0]
		for _, address := range c.seedOverride {
			seeds = append(seeds, &meshpb.Member{Addr: address, Control: address})
		}
		return seeds
	}
	c.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(len(seeds), 3)]
}

// discoveryLag is how long service discovery takes to list a new node, and to remove one
// that no longer runs.
const discoveryLag = 3 * time.Second

// addNode adds a node with an empty disk and starts it.
func (c *simCluster) addNode(address string, bootstrap bool) *simNode {
	node := &simNode{cluster: c, address: address, syncDelay: c.syncDelay, bootstrap: bootstrap}
	c.nodes[address], node.addedAt = node, c.now
	if !slices.Contains(c.addresses, address) {
		c.addresses = append(c.addresses, address)
	}
	node.start()
	return node
}

// setSyncDelay sets the duration of a sync on all disks.
func (c *simCluster) setSyncDelay(delay time.Duration) {
	c.syncDelay = delay
	for _, node := range c.allNodes() {
		node.syncDelay = delay
	}
}

// allNodes returns the nodes in the order in which they were added.
func (c *simCluster) allNodes() []*simNode {
	var nodes []*simNode
	for _, address := range c.addresses {
		nodes = append(nodes, c.nodes[address])
	}
	return nodes
}

// setIsolated partitions a node from all other nodes, or ends that partition.
func (c *simCluster) setIsolated(address string, isolated bool) {
	for _, other := range c.addresses {
		if other != address {
			c.partitioned[[2]string{address, other}], c.partitioned[[2]string{other, address}] = isolated, isolated
		}
	}
}

// ownedShards returns the number of shards that have an owner. A shard with several owners
// is counted several times.
func (c *simCluster) ownedShards() int {
	count := 0
	for shard := 0; shard < simShards; shard++ {
		for _, node := range c.allNodes() {
			if node.running && !node.frozen {
				if _, owns := node.replica.OwnedEpoch(shard); owns {
					count++
				}
			}
		}
	}
	return count
}

// requireServing checks that each shard has an owner, and that the workload has had more
// than threshold calls served in total. If shards have no owner, it prints the end of the
// cluster's log.
func requireServing(t testing.TB, cluster *simCluster, load *workload, threshold int) {
	t.Helper()
	c := qt.New(t)
	if cluster.ownedShards() != simShards {
		for _, line := range cluster.logLines[max(0, len(cluster.logLines)-40):] {
			t.Log(line)
		}
	}
	c.Assert(cluster.ownedShards(), qt.Equals, simShards)
	c.Assert(load.served > threshold, qt.IsTrue)
}
