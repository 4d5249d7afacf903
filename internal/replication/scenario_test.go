package replication_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// catchUpTime is the time that a repaired node or a successor gets to catch up.
	catchUpTime = 4 * time.Second
	// settleTime is the time after the start or end of a fault during which shards may
	// have no owner.
	settleTime = 4 * time.Second
	// gracePeriod is how long a process may take to leave before it is killed.
	gracePeriod = 4500 * time.Millisecond
	// transferTime is how long an ownership transfer may leave a shard without an owner.
	transferTime = 400 * time.Millisecond
)

// fault is a kind of fault that is injected at one node.
type fault int

const (
	// crash kills the process and restarts it later.
	crash fault = iota
	// wipe is a crash with the loss of the disk.
	wipe
	// partition loses all messages to and from the node.
	partition
	// receiveNothing loses all messages to the node, sendNothing all messages from it.
	receiveNothing
	sendNothing
	// freeze suspends the process.
	freeze
	// slowDisk makes syncs take 30 times as long.
	slowDisk
	// stalledDisk completes no sync until it ends.
	stalledDisk
	// fullDisk fails all syncs.
	fullDisk
	// cpuStarvation delays the node's ticks by 200 ms.
	cpuStarvation
	// replace kills the node for good and adds a successor later.
	replace
	// plannedReplacement adds a successor, then terminates the node gracefully.
	plannedReplacement
	// restart terminates the process gracefully and starts it again.
	restart
	// crashOrWipe is a wipe if the step's Target is even, otherwise a crash.
	crashOrWipe
	// connectionResets loses all messages to and from the node for 5 ms.
	connectionResets
	// partialPartition loses the messages between the node and every second node of the
	// cluster.
	partialPartition

	faultCount
)

var faultNames = [...]string{"crash", "wipe", "partition", "receive nothing", "send nothing", "freeze", "slow disk", "stalled disk", "full disk", "CPU starvation", "replace", "planned replacement", "restart", "crash or wipe", "connection resets", "partial partition"}

func (f fault) String() string { return faultNames[f] }

// faultStep is a fault at one node, as part of a sequence of faults.
type faultStep struct {
	// Fault is what happens to the node.
	Fault fault
	// Target selects one of the nodes without a fault by its index, modulo their number.
	Target int
	// TargetMaster selects the owner of shard 0 instead, unless it is faulty.
	TargetMaster bool
	// Wait is the time from the end of the previous step to the start of this one.
	Wait time.Duration
	// Duration is how long the fault lasts. Replacements, restarts and connection resets
	// ignore it.
	Duration time.Duration
	// Gap is an additional delay: of the restart or replacement of a node, or, six times,
	// of the end of a loss of messages.
	Gap time.Duration
}

// scenario is a cluster size and a sequence of faults that the cluster must survive.
//
// There is a sequence of faults for each node that may be lost at once. The steps of a
// sequence run one after another; the next one begins when the node of the previous one, or
// its successor, has had catchUpTime to catch up. So no more nodes are lost at any time
// than there are sequences, and every shard must have an owner whenever the last fault started
// or ended more than settleTime ago.
type scenario struct {
	// Seed determines all random choices of the simulation.
	Seed int64
	// Members is the number of members of the cluster.
	Members int
	// Sequences contains the steps of each sequence of faults.
	Sequences [][]faultStep
	// KillAllAt are the times at which all processes are killed, counted from the start of
	// the sequences. The random ones are at most 30 s.
	KillAllAt []time.Duration
	// KillAllAfterAck delays each of these kills until the next change is acknowledged.
	KillAllAfterAck bool
	// SyncDelay is the duration of a disk sync. If it is 0, it stays at 2 ms.
	SyncDelay time.Duration
	// The rates are the probabilities that a message is lost, delayed or duplicated.
	LossRate      float64
	DelayRate     float64
	DuplicateRate float64
	// KillAllAtEnd kills all processes after the sequences, and wipes as many disks as nodes
	// may be lost at once.
	KillAllAtEnd bool
}

// drawDuration draws a whole number of milliseconds from low to high.
func drawDuration(t *rapid.T, label string, low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// drawStep generates the steps of a cluster with that many members.
func drawStep(members int) *rapid.Generator[faultStep] {
	return rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Fault: fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")), Target: rapid.IntRange(0, members-1).Draw(t, "target"),
			TargetMaster: rapid.IntRange(0, 2).Draw(t, "target master") == 0, Wait: rapid.SampledFrom([]time.Duration{0, 0, 150 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "wait"),
			Duration: drawDuration(t, "duration", 50*time.Millisecond, 7*time.Second), Gap: drawDuration(t, "gap", 0, 2*time.Second),
		}
	})
}

// drawScenario generates scenarios of the given sizes, each a number of members and a
// number of sequences.
func drawScenario(sizes [][2]int) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		size := rapid.SampledFrom(sizes).Draw(t, "size")
		drawn := scenario{Members: size[0], Seed: rapid.Int64Range(1, 1<<40).Draw(t, "seed")}
		for range size[1] {
			drawn.Sequences = append(drawn.Sequences, rapid.SliceOfN(drawStep(size[0]), 0, 4).Draw(t, "sequence"))
		}
		for range rapid.IntRange(0, 2).Draw(t, "kill all") {
			drawn.KillAllAt = append(drawn.KillAllAt, drawDuration(t, "kill all at", 3*time.Second, 30*time.Second))
		}
		drawn.SyncDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 500 * time.Microsecond, 12 * time.Millisecond}).Draw(t, "sync delay")
		drawn.LossRate = rapid.SampledFrom([]float64{0, 0, 0, 0.02}).Draw(t, "loss rate")
		drawn.DelayRate = rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(t, "delay rate")
		drawn.DuplicateRate = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "duplicate rate")
		drawn.KillAllAfterAck = rapid.Bool().Draw(t, "kill all after ack")
		drawn.KillAllAtEnd = rapid.Bool().Draw(t, "kill all at end")
		return drawn
	})
}

// survivableBySingleMember returns the steps without the faults that a cluster of one
// member cannot survive: the possible loss of its only disk, and replacement.
func survivableBySingleMember(steps []faultStep) []faultStep {
	var survivable []faultStep
	for _, step := range steps {
		if step.Fault != wipe && step.Fault != replace && step.Fault != plannedReplacement && step.Fault != crashOrWipe {
			survivable = append(survivable, step)
		}
	}
	return survivable
}

var scenarioCount = flag.Int("worlds", 15, "number of scenarios to run in each size group")

// scenarioSizes lists, for each group of scenarios, the sizes that its scenarios are drawn
// from: the number of members, and how many of them may be lost at once. The groups run in
// parallel.
var scenarioSizes = [][][2]int{{{1, 1}, {3, 1}, {3, 1}}, {{3, 1}, {5, 1}}, {{5, 2}}, {{7, 2}, {5, 2}}, {{11, 2}, {3, 1}}, {{19, 2}, {3, 1}, {3, 1}, {5, 1}, {5, 2}, {5, 2}}}

// TestRandomScenariosAreSurvived runs random scenarios and shrinks one that fails. The
// scenarios are the same in each run unless the flag rapid.seed is set.
func TestRandomScenariosAreSurvived(t *testing.T) {
	setFlag(t, "rapid.checks", fmt.Sprint(*scenarioCount))
	setFlag(t, "rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag(t, "rapid.seed", "1")
	}
	for group, sizes := range scenarioSizes {
		t.Run(fmt.Sprint("group ", group), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runScenario(t, drawScenario(sizes).Draw(t, "scenario")) })
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// TestScenarioIsDeterministic guards against simulations that cannot be reproduced from
// their seed, because something depends on the real clock or on the iteration order of a
// map: two runs of one scenario must log the same lines.
func TestScenarioIsDeterministic(t *testing.T) {
	sc := scenario{Seed: 9, Members: 5, DuplicateRate: 0.05, LossRate: 0.02, DelayRate: 0.02, KillAllAt: []time.Duration{9 * time.Second}, KillAllAtEnd: true,
		Sequences: [][]faultStep{{{Fault: plannedReplacement, Wait: 100 * time.Millisecond, Gap: time.Second}, {Fault: partition, TargetMaster: true, Duration: 3 * time.Second}},
			{{Fault: wipe, Target: 3, Duration: time.Second}, {Fault: freeze, TargetMaster: true, Duration: 2 * time.Second}}}}
	first, second := runScenario(t, sc), runScenario(t, sc)
	if len(first.logLines) != len(second.logLines) {
		t.Fatalf("the first run logged %d lines, the second %d", len(first.logLines), len(second.logLines))
	}
	for i := range first.logLines {
		if first.logLines[i] != second.logLines[i] {
			t.Fatalf("line %d of the first run: %s, of the second: %s", i, first.logLines[i], second.logLines[i])
		}
	}
}
